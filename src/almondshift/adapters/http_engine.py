"""Connections to model engines over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar
import urllib.parse

import expression
import msgspec

from almondshift import errors
from almondshift.adapters import curl_calls
from almondshift.adapters import engine_messages
from almondshift.ports import engines

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from collections.abc import Sequence

    from almondshift.model import endpoints
    from almondshift.model import orders
    from almondshift.model import steps

CONTROL_TIMEOUT_S = 2.0
KV_TIMEOUT_S = 10.0
OK = 200
NOT_RUN_STATUSES = frozenset({400, 404, 405, 413, 429})
"""Statuses that an engine returns before it starts to run a request."""

Answer = TypeVar("Answer")

MSGPACK_HEADERS = {"Content-Type": engine_messages.MSGPACK_TYPE}
JSON_HEADERS = {"Content-Type": engine_messages.JSON_TYPE}


class HttpEngine(engines.Engine):
    """One engine, over connections shared with other engines."""

    def __init__(
        self, name: str, address: str, client: curl_calls.CurlClient
    ) -> None:
        self.name = name
        self.root = f"http://{address}"
        self.client = client
        self.in_flight: set[asyncio.Future[curl_calls.CallResult]] = set()

    async def start(self) -> None:
        """Starts the shared HTTP client."""
        self.client.start()

    async def close(self) -> None:
        """Fails the calls in flight with an unknown outcome."""
        curl_calls.fail_in_flight(self.in_flight)

    async def describe(
        self,
    ) -> expression.Result[endpoints.EndpointDescription, engines.EngineError]:
        """Requests the engine's description."""
        call = self._get(engine_messages.DESCRIBE_PATH)
        return await self._send(call, engine_messages.decode_description)

    async def step(
        self, items: Sequence[steps.StepItem], timeout_s: float
    ) -> expression.Result[list[steps.StepResult], engines.EngineError]:
        """Runs items of many requests in one call, sent once."""
        call = curl_calls.Call(
            self.name,
            "POST",
            self.root + engine_messages.STEPS_PATH,
            MSGPACK_HEADERS,
            engine_messages.encode_items(items),
            timeout_s,
        )
        return await self._send(
            call, lambda body: decode_step_results(body, len(items))
        )

    async def cancel(
        self, sessions: Sequence[str]
    ) -> expression.Result[None, engines.EngineError]:
        """Drops sessions and queued items; unknown ones are ignored."""
        message = engine_messages.CancelMessage(tuple(sessions))
        call = self._post(
            engine_messages.CANCEL_PATH, msgspec.json.encode(message)
        )
        return await self._send(call, decode_nothing)

    async def export_kv(
        self, session: str
    ) -> expression.Result[steps.KvSnapshot, engines.EngineError]:
        """Exports the KV cache of a session."""
        call = curl_calls.Call(
            self.name, "GET", self._kv_url(session), {}, None, KV_TIMEOUT_S
        )
        return await self._send(call, engine_messages.decode_snapshot)

    async def import_kv(
        self, snapshot: steps.KvSnapshot
    ) -> expression.Result[None, engines.EngineError]:
        """Creates a session from an exported KV cache."""
        call = curl_calls.Call(
            self.name,
            "PUT",
            self._kv_url(snapshot.session),
            MSGPACK_HEADERS,
            engine_messages.encode_snapshot(snapshot),
            KV_TIMEOUT_S,
        )
        return await self._send(call, decode_nothing)

    async def load(
        self,
    ) -> expression.Result[endpoints.LoadReport, engines.EngineError]:
        """Reads the engine's load report, which lags behind its real load."""
        call = self._get(engine_messages.LOAD_PATH)
        return await self._send(call, engine_messages.decode_load)

    async def cache_events(
        self, after: int
    ) -> expression.Result[list[endpoints.CacheEvent], engines.EngineError]:
        """Reads cache events with a sequence number above ``after``."""
        call = self._get(f"{engine_messages.CACHE_EVENTS_PATH}?after={after}")
        return await self._send(call, engine_messages.decode_cache_events)

    async def order(
        self, order: orders.Order
    ) -> expression.Result[orders.OrderAnswer, engines.EngineError]:
        """Sends an order; idempotent."""
        call = self._post(
            engine_messages.ORDERS_PATH, engine_messages.encode_order(order)
        )
        return await self._send(call, engine_messages.decode_order_answer)

    def _kv_url(self, session: str) -> str:
        quoted = urllib.parse.quote(session, safe="")
        return f"{self.root}/v1/sessions/{quoted}/kv"

    def _get(self, path: str) -> curl_calls.Call:
        return curl_calls.Call(
            self.name, "GET", self.root + path, {}, None, CONTROL_TIMEOUT_S
        )

    def _post(self, path: str, body: bytes) -> curl_calls.Call:
        return curl_calls.Call(
            self.name,
            "POST",
            self.root + path,
            JSON_HEADERS,
            body,
            CONTROL_TIMEOUT_S,
        )

    async def _send(
        self, call: curl_calls.Call, decode: Callable[[bytes], Answer]
    ) -> expression.Result[Answer, engines.EngineError]:
        result = await self.client.send(call, self.in_flight)
        if result.is_error():
            return expression.Error(result.error)
        return self._read_response(result.ok, decode)

    def _read_response(
        self, response: curl_calls.Response, decode: Callable[[bytes], Answer]
    ) -> expression.Result[Answer, engines.EngineError]:
        if is_refusal(response):
            detail = f"{self.name} refused with status {response.status}."
            return expression.Error(errors.EndpointRefused(detail))
        if response.status != OK:
            detail = f"{self.name} failed with status {response.status}."
            return expression.Error(errors.EndpointOutcomeUnknown(detail))
        try:
            return expression.Ok(decode(response.body))
        except msgspec.DecodeError as error:
            detail = f"{self.name} returned an invalid response: {error}."
            return expression.Error(errors.EndpointOutcomeUnknown(detail))


def is_refusal(response: curl_calls.Response) -> bool:
    """Returns whether the endpoint reports that it ran nothing."""
    if response.status in NOT_RUN_STATUSES:
        return True
    is_marked = engine_messages.NOT_RUN_HEADER in response.headers
    return response.status != OK and is_marked


def decode_nothing(_: bytes) -> None:
    """Ignores the body of a response that only reports success."""


def decode_step_results(body: bytes, count: int) -> list[steps.StepResult]:
    """Decodes ``count`` results.

    Raises:
        msgspec.DecodeError: If the format or the number of results is wrong.
    """
    results = engine_messages.decode_results(body)
    if len(results) != count:
        reason = f"{len(results)} results for {count} items"
        raise msgspec.DecodeError(reason)
    return results


class HttpEngineFactory(engines.EngineFactory):
    """Creates engine connections that share one HTTP client."""

    def __init__(self, client: curl_calls.CurlClient) -> None:
        self.client = client

    def build(self, name: str, address: str) -> HttpEngine:
        """Builds a connection to an endpoint; not started yet."""
        return HttpEngine(name, address, self.client)

    async def close(self) -> None:
        """Closes the connections of all engines."""
        self.client.close()


def create_factory(
    max_connections: int = 64, connect_timeout_s: float = 0.5
) -> HttpEngineFactory:
    """Creates a factory.

    Args:
        max_connections: Calls in flight to all engines together.
        connect_timeout_s: Time to connect before the call fails and the next
            endpoint is chosen.
    """
    client = curl_calls.CurlClient(max_connections, connect_timeout_s)
    return HttpEngineFactory(client)
