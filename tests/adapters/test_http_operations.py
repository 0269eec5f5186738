from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any
import urllib.error
import urllib.request

import pytest

from almondshift import errors
from almondshift.adapters import http_operations_client
from almondshift.adapters import keys
from tests import fake_operations

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    import expression

    Call = Callable[
        [http_operations_client.NodeClient],
        Awaitable[expression.Result[Any, errors.AlmondshiftError]],
    ]

AUTHORIZED = {"Authorization": f"Bearer {fake_operations.SECRET}"}


@pytest.fixture(scope="module")
def node() -> Iterator[str]:
    with fake_operations.serve(fake_operations.FakeOperations()) as address:
        yield address


def _fetch(
    node: str, path: str, headers: dict[str, str], body: bytes | None = None
) -> tuple[int, dict[str, Any]]:
    url = f"http://{node}{path}"
    request = urllib.request.Request(url, body, headers)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, json.load(response)
    except urllib.error.HTTPError as error:
        with error:
            return error.code, json.load(error)


@pytest.mark.parametrize(
    ("path", "headers", "body", "status", "kind"),
    [
        ("/v1/admin/status", {}, None, 401, "missing_key"),
        ("/v1/admin/status", {"Authorization": "Bearer x"}, None, 401,
         "wrong_key"),
        ("/v1/admin/status", {"Authorization": "Bearer p\xe4"}, None, 401,
         "wrong_key"),
        ("/v1/admin/config?version=x", AUTHORIZED, None, 400,
         "malformed_request"),
        ("/v1/admin/config?version=98", AUTHORIZED, None, 400,
         "malformed_request"),
        ("/v1/admin/config?version=99", AUTHORIZED, None, 500, "internal"),
        ("/v1/admin/config", AUTHORIZED, b"{", 400, "malformed_request"),
        ("/v1/admin/config", AUTHORIZED,
         b'{"text": "", "base": -1, "change_id": "c", "author": "a"}', 400,
         "malformed_request"),
        ("/v1/admin/config", AUTHORIZED,
         b'{"text": "", "base": 9, "change_id": "c", "author": "a"}', 409,
         "config_conflict"),
        ("/v1/admin/status", AUTHORIZED, b"", 400, "malformed_request"),
    ],
)  # fmt: skip
def test_refusals_are_problems(
    node: str,
    path: str,
    headers: dict[str, str],
    body: bytes | None,
    status: int,
    kind: str,
) -> None:
    code, problem = _fetch(node, path, headers, body)
    assert (code, problem["kind"]) == (status, kind)
    assert problem["remedy"]
    assert "a fault with a path" not in json.dumps(problem)


@pytest.mark.parametrize(
    ("path", "key"),
    [
        ("/v1/admin/config", "text"),
        ("/v1/admin/config?version=1", "change_id"),
        ("/v1/admin/config/history?limit=1", "versions"),
        ("/v1/admin/status", "lease"),
        ("/v1/admin/burn", "windows"),
    ],
)
def test_answers(node: str, path: str, key: str) -> None:
    code, content = _fetch(node, path, AUTHORIZED)
    assert code == 200
    assert key in content


def _call(call: Call, timeout_s: float = 5.0) -> errors.AlmondshiftError:
    async def run() -> errors.AlmondshiftError:
        client = http_operations_client.NodeClient(keys.Secret("s"), timeout_s)
        try:
            return (await call(client)).error
        finally:
            client.close()

    return asyncio.run(run())


@pytest.mark.parametrize("address", ["127.0.0.1:1", "x", "127.0.0.1:99999"])
def test_unreachable_node_means_not_run(address: str) -> None:
    error = _call(lambda client: client.apply(address, "", 0, "c", "a"))
    assert isinstance(error, http_operations_client.NodeUnreachable)
    assert error.execution is errors.Execution.NOT_RUN


@pytest.mark.parametrize("response", [None, b"", b"HTTP/1.1 200 OK\r\n\r\nx"])
def test_apply_without_complete_response_is_unknown(
    response: bytes | None,
) -> None:
    """The operator sees 'unknown', not 'failed'.

    The node reads the call and then closes the connection, sends an invalid
    response, or none at all; the change may have been accepted.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if await reader.read(65536) and response is not None:
            writer.write(response)
        elif response is None:
            await asyncio.sleep(1)
        writer.close()

    async def apply(
        client: http_operations_client.NodeClient,
    ) -> expression.Result[Any, errors.AlmondshiftError]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            return await client.apply(f"127.0.0.1:{port}", "", 0, "c", "a")

    error = _call(apply, timeout_s=0.5)
    assert error.execution is errors.Execution.UNKNOWN
