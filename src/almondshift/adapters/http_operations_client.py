"""Client of a node's HTTP API for operators."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any
import urllib.parse

import expression
import pydantic
import tornado.httpclient
import tornado.simple_httpclient

from almondshift import errors
from almondshift.policy import burn
from almondshift.ports import operations

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.adapters import keys

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 10.0
MAX_CLIENTS = 64
MAX_RESPONSE_BYTES = 64_000_000
OK = 200

_VERSION = pydantic.TypeAdapter(operations.ConfigVersion)
_VERSIONS = pydantic.TypeAdapter(list[operations.ConfigVersion])
_SNAPSHOT = pydantic.TypeAdapter(burn.Snapshot)


class NodeUnreachable(errors.Refusal):
    """No call was sent to the node, or a read got no response."""

    kind = "node_unreachable"
    status = 502
    default_remedy = "Check the address, or use another node with --node."


class NodeOutcomeUnknown(errors.AlmondshiftError):
    """The call was sent to the node but no complete response came back."""

    kind = "node_outcome_unknown"
    status = 502
    default_execution = errors.Execution.UNKNOWN
    default_remedy = "Check 'almondshift config history' before retrying."


class NodeError(errors.AlmondshiftError):
    """An error that the node reported.

    Attributes:
        reported: The kind of error that the node reported.
    """

    kind = "node_error"

    def __init__(
        self,
        reported: str,
        detail: str,
        *,
        remedy: str,
        execution: errors.Execution,
        retry_after_s: float | None,
    ) -> None:
        self.reported = reported
        super().__init__(
            detail,
            remedy=remedy,
            execution=execution,
            retry_after_s=retry_after_s,
        )


class NodeClient:
    """Calls nodes; each call names the node's address."""

    def __init__(
        self, secret: keys.Secret, read_timeout_s: float = READ_TIMEOUT_S
    ) -> None:
        self.secret = secret
        self.read_timeout_s = read_timeout_s
        self.http = tornado.simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_buffer_size=MAX_RESPONSE_BYTES,
        )

    def close(self) -> None:
        """Closes the client."""
        self.http.close()

    async def apply(
        self, node: str, text: str, base: int, change_id: str, author: str
    ) -> expression.Result[operations.ConfigVersion, errors.AlmondshiftError]:
        """Proposes a configuration text; never sent twice."""
        body = {
            "text": text,
            "base": base,
            "change_id": change_id,
            "author": author,
        }
        result = await self._call(node, "POST", "/v1/admin/config", body)
        return result.bind(_validate_with(_VERSION.validate_python))

    async def show(
        self, node: str, version: int | None
    ) -> expression.Result[operations.ConfigVersion, errors.AlmondshiftError]:
        """Returns a version, or with None the one active on the node."""
        path = "/v1/admin/config"
        if version is not None:
            path += "?" + urllib.parse.urlencode({"version": version})
        result = await self._call(node, "GET", path)
        return result.bind(_validate_with(_VERSION.validate_python))

    async def history(
        self, node: str, limit: int
    ) -> expression.Result[
        list[operations.ConfigVersion], errors.AlmondshiftError
    ]:
        """Returns accepted versions, newest first."""
        path = f"/v1/admin/config/history?limit={limit}"
        result = await self._call(node, "GET", path)
        return result.bind(
            _validate_with(lambda v: _VERSIONS.validate_python(v["versions"]))
        )

    async def status(
        self, node: str
    ) -> expression.Result[dict[str, Any], errors.AlmondshiftError]:
        """Returns the node's state as a JSON object."""
        return await self._call(node, "GET", "/v1/admin/status")

    async def burn(
        self, node: str
    ) -> expression.Result[burn.Snapshot, errors.AlmondshiftError]:
        """Returns the node's counts of met and missed objectives."""
        result = await self._call(node, "GET", "/v1/admin/burn")
        return result.bind(_validate_with(_SNAPSHOT.validate_python))

    async def _call(
        self,
        node: str,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> expression.Result[dict[str, Any], errors.AlmondshiftError]:
        unreachable = await _check_reachable(node)
        if unreachable is not None:
            return expression.Error(unreachable)
        try:
            request = self._request(node, method, path, body)
            response = await self.http.fetch(request, raise_error=False)
        except (OSError, tornado.httpclient.HTTPError) as error:
            return expression.Error(_no_response_error(node, method, error))
        return _read_response(node, method, response)

    def _request(
        self, node: str, method: str, path: str, body: dict[str, Any] | None
    ) -> tornado.httpclient.HTTPRequest:
        return tornado.httpclient.HTTPRequest(
            f"http://{node}{path}",
            method=method,
            headers={
                "Authorization": f"Bearer {self.secret.text}",
                "Content-Type": "application/json",
            },
            body=None if body is None else json.dumps(body),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=self.read_timeout_s,
            follow_redirects=False,
        )


def create_node_client(secret: keys.Secret) -> NodeClient:
    """Returns a client; needs a running loop."""
    return NodeClient(secret)


async def _check_reachable(node: str) -> NodeUnreachable | None:
    """Detects an unreachable node before anything is sent to it.

    tornado's client raises the same error for a failed connection attempt and
    for a connection that broke later. If an apply is known not to have been
    sent, the operator need not check whether it took effect.
    """
    host, _, port = node.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()):
        return NodeUnreachable(f"{node!r} is not host:port.")
    try:
        connecting = asyncio.open_connection(host.strip("[]"), int(port))
        _, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
    except (OSError, OverflowError, ValueError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        return NodeUnreachable(f"Node {node} cannot be reached: {reason}.")
    writer.close()
    return None


def _no_response_error(
    node: str, method: str, error: BaseException
) -> errors.AlmondshiftError:
    detail = f"Node {node} returned no complete response: {error}."
    if method == "GET":
        return NodeUnreachable(detail)
    return NodeOutcomeUnknown(detail)


def _read_response(
    node: str, method: str, response: tornado.httpclient.HTTPResponse
) -> expression.Result[dict[str, Any], errors.AlmondshiftError]:
    try:
        value = json.loads(response.body)
    except ValueError as error:
        return expression.Error(_no_response_error(node, method, error))
    if not isinstance(value, dict):
        fault = ValueError("the response is not a JSON object")
        return expression.Error(_no_response_error(node, method, fault))
    if response.code != OK:
        return expression.Error(_node_error(value))
    return expression.Ok(value)


def _node_error(value: dict[str, Any]) -> NodeError:
    execution = value.get("execution")
    known = set(errors.Execution)
    retry_after_s = value.get("retry_after_s")
    return NodeError(
        str(value.get("kind", "internal")),
        str(value.get("detail", "The node gave no detail.")),
        remedy=str(value.get("remedy", "")),
        execution=errors.Execution(
            execution if execution in known else "unknown"
        ),
        retry_after_s=(
            retry_after_s if isinstance(retry_after_s, int) else None
        ),
    )


def _validate_with(read: Callable[[Any], Any]) -> Callable[[Any], Any]:
    def validate(value: Any) -> Any:
        try:
            return expression.Ok(read(value))
        except (pydantic.ValidationError, KeyError) as error:
            return expression.Error(
                NodeOutcomeUnknown(
                    f"The node's response has an unexpected format: {error}",
                    remedy="Use the command-line tool of the nodes' release.",
                )
            )

    return validate
