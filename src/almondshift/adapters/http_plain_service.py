"""Calls to plain services over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.adapters import curl_calls
from almondshift.ports import plain_services

if TYPE_CHECKING:
    import asyncio

UNAVAILABLE = 503
NOT_RUN_HEADER = "X-Not-Run"
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
DEFAULT_CONTENT_TYPE = "application/octet-stream"


class HttpPlainService(plain_services.PlainService):
    """Connections to the endpoints of all plain services."""

    def __init__(self, client: curl_calls.CurlClient) -> None:
        self.client = client
        self.in_flight: set[asyncio.Future[curl_calls.CallResult]] = set()

    async def start(self) -> None:
        """Starts the HTTP client."""
        self.client.start()

    async def close(self) -> None:
        """Closes connections; calls in flight end with an unknown outcome."""
        self.client.close()

    async def call(
        self, address: str, call: plain_services.PlainCall
    ) -> expression.Result[
        plain_services.PlainAnswer, plain_services.PlainError
    ]:
        """Sends one call, once; never retries or follows redirects."""
        result = await self.client.send(
            build_call(address, call), self.in_flight
        )
        if result.is_error():
            return expression.Error(result.error)
        return read_response(address, result.ok)


def build_call(address: str, call: plain_services.PlainCall) -> curl_calls.Call:
    """Builds the HTTP call.

    A call that must not be repeated gets a new connection: libcurl retries
    only after a reused connection turned out to be dead.
    """
    has_body = bool(call.body) or call.method in BODY_METHODS
    headers = {"X-Request-Id": call.request_id, "X-Attempt-Id": call.attempt}
    if has_body:
        headers["Content-Type"] = call.content_type
    return curl_calls.Call(
        address,
        call.method,
        f"http://{address}{call.path}",
        headers,
        call.body if has_body else None,
        call.timeout_s,
        fresh=not call.repeatable,
    )


def read_response(
    address: str, response: curl_calls.Response
) -> expression.Result[plain_services.PlainAnswer, plain_services.PlainError]:
    """Distinguishes a service's response from a refusal to run the call."""
    if response.status == UNAVAILABLE and NOT_RUN_HEADER in response.headers:
        detail = f"{address} refused before running the call."
        return expression.Error(errors.EndpointRefused(detail))
    content_type = response.headers.get("Content-Type", DEFAULT_CONTENT_TYPE)
    return expression.Ok(
        plain_services.PlainAnswer(response.status, content_type, response.body)
    )


def create_plain_service(
    max_connections: int = 64, connect_timeout_s: float = 0.5
) -> HttpPlainService:
    """Creates the connections to plain services.

    Args:
        max_connections: Calls in flight to all endpoints together.
        connect_timeout_s: Time to connect before a call fails as not sent.
    """
    client = curl_calls.CurlClient(max_connections, connect_timeout_s)
    return HttpPlainService(client)
