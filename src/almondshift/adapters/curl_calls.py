"""HTTP calls over libcurl that report reliably whether anything was sent.

libcurl automatically retries a request when a reused connection turns out to
be dead. An engine would then append twice to a KV cache, and a plain service
would run a call twice. Here a body can be read only once: libcurl can't
rewind it, so its retry fails before it sends anything. A call that must not
be repeated and has no body uses a new connection instead, since libcurl
retries only after a reused connection failed.
"""

from __future__ import annotations

import asyncio
import dataclasses
import io
from typing import TYPE_CHECKING

import expression
import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from almondshift import errors
from almondshift.adapters import curl_client

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_TIMEOUT_S = 0.001
"""libcurl counts in whole milliseconds and treats 0 as no limit."""

MAX_RESPONSE_BYTES = 64 * 1024 * 1024

CallError = errors.EndpointUnreachable | errors.EndpointOutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One HTTP call.

    Attributes:
        endpoint: Name or address, for error messages.
        body: None for a call without a body.
        timeout_s: Total time, from the call to the complete response.
        fresh: Whether it needs a new connection that is not reused.
    """

    endpoint: str
    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes | None
    timeout_s: float
    fresh: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


CallResult = expression.Result[Response, CallError]


class Transfer:
    """Configures one libcurl transfer and tracks what it sends.

    Attributes:
        sent: Whether bytes of the request may have been sent. For a call with
            a body this becomes true when libcurl reads the body to send it;
            the endpoint runs nothing before it has the body.
    """

    def __init__(self, call: Call) -> None:
        self.call = call
        self.sent = False
        self.body_reader = io.BytesIO(call.body or b"")

    def prepare(self, curl: pycurl.Curl) -> None:
        """Sets the curl options, just before the transfer starts."""
        curl.setopt(pycurl.NOSIGNAL, 1)
        if self.call.body is not None:
            curl.setopt(pycurl.READFUNCTION, self.read)
            curl.setopt(pycurl.SEEKFUNCTION, refuse_seek)
        if not self.call.body:
            curl.setopt(pycurl.VERBOSE, 1)
            curl.setopt(pycurl.DEBUGFUNCTION, self.on_debug)
        if self.call.fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def read(self, size: int) -> bytes:
        """Returns the next part of the body (called by libcurl)."""
        self.sent = True
        return self.body_reader.read(size)

    def on_debug(self, kind: int, _: bytes) -> None:
        """Notes that libcurl has sent bytes (called by libcurl)."""
        if kind in (pycurl.INFOTYPE_HEADER_OUT, pycurl.INFOTYPE_DATA_OUT):
            self.sent = True


def refuse_seek(_offset: int, _origin: int) -> int:
    """Prevents libcurl from sending a body a second time."""
    return pycurl.SEEKFUNC_FAIL


class CurlClient:
    """Persistent connections to many endpoints, with a concurrency limit.

    A call over the limit waits here and not in the internal queue of tornado's
    client, which applies its own timeout with a different start time.
    """

    def __init__(self, max_connections: int, connect_timeout_s: float) -> None:
        self.max_connections = max_connections
        self.connect_timeout_s = connect_timeout_s
        self.slots = asyncio.Semaphore(max_connections)
        self.client: curl_client.ClosableCurlClient | None = None
        self.in_flight: set[asyncio.Future[CallResult]] = set()

    def start(self) -> None:
        """Creates the HTTP client; needs a running loop. Idempotent."""
        if self.client is None:
            self.client = curl_client.create_curl_client(
                self.max_connections, MAX_RESPONSE_BYTES
            )

    def close(self) -> None:
        """Closes connections; calls in flight end with an unknown outcome."""
        fail_in_flight(self.in_flight)
        if self.client is not None:
            self.client.close()
            self.client = None

    async def send(
        self, call: Call, group: set[asyncio.Future[CallResult]]
    ) -> CallResult:
        """Sends a call and waits for the complete response.

        Args:
            call: What to send.
            group: Holds the call while it is in flight, for
                ``fail_in_flight``.

        Returns:
            The response; or ``EndpointUnreachable`` if nothing was sent, else
            ``EndpointOutcomeUnknown``.
        """
        if self.client is None:
            return unreachable_error(call, "the client is closed")
        begun_at = asyncio.get_running_loop().time()
        if not await self._take_slot(call.timeout_s):
            return unreachable_error(
                call, "timed out waiting for a free connection"
            )
        if self.client is None:
            self.slots.release()
            return unreachable_error(call, "the client is closed")
        waited_s = asyncio.get_running_loop().time() - begun_at
        pending = self._start_transfer(call, call.timeout_s - waited_s)
        self.in_flight.add(pending)
        group.add(pending)
        try:
            return await pending
        finally:
            self.in_flight.discard(pending)
            group.discard(pending)

    async def _take_slot(self, timeout_s: float) -> bool:
        if not self.slots.locked():
            return await self.slots.acquire()
        try:
            async with asyncio.timeout(timeout_s):
                await self.slots.acquire()
        except TimeoutError:
            return False
        return True

    def _start_transfer(
        self, call: Call, timeout_s: float
    ) -> asyncio.Future[CallResult]:
        """Starts a transfer.

        The slot is released when the transfer ends and not when the caller
        stops waiting, because its curl handle is in use until then.
        """
        transfer = Transfer(call)
        pending: asyncio.Future[CallResult] = (
            asyncio.get_running_loop().create_future()
        )

        def finish(
            fetched: asyncio.Future[httpclient.HTTPResponse],
        ) -> None:
            self.slots.release()
            result = read_response(transfer, fetched)
            if not pending.done():
                pending.set_result(result)

        assert self.client is not None
        request = self._build_request(transfer, timeout_s)
        fetching = self.client.fetch(request, raise_error=False)
        asyncio.ensure_future(fetching).add_done_callback(finish)
        return pending

    def _build_request(
        self, transfer: Transfer, timeout_s: float
    ) -> httpclient.HTTPRequest:
        call = transfer.call
        timeout_s = max(timeout_s, MIN_TIMEOUT_S)
        return httpclient.HTTPRequest(
            call.url,
            method=call.method,
            headers=dict(call.headers),
            body=call.body,
            connect_timeout=min(self.connect_timeout_s, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=transfer.prepare,
        )


def fail_in_flight(group: set[asyncio.Future[CallResult]]) -> None:
    """Fails the calls of a group; their late responses are dropped."""
    for pending in list(group):
        if not pending.done():
            error = errors.EndpointOutcomeUnknown(
                "The connection was closed while the call was in flight."
            )
            pending.set_result(expression.Error(error))


def read_response(
    transfer: Transfer, fetched: asyncio.Future[httpclient.HTTPResponse]
) -> CallResult:
    """Converts the result of a transfer."""
    failure = fetched.exception()
    if failure is None:
        response = fetched.result()
        failure = response.error
        if failure is None or is_status_error(failure):
            complete = Response(response.code, response.headers, response.body)
            return expression.Ok(complete)
    if transfer.sent:
        return unknown_outcome_error(transfer.call, str(failure))
    return unreachable_error(transfer.call, str(failure))


def is_status_error(failure: BaseException) -> bool:
    """Returns whether an error only reports the status of a full response."""
    if isinstance(failure, curl_httpclient.CurlError):
        return False
    return isinstance(failure, httpclient.HTTPError)


def unreachable_error(call: Call, reason: str) -> CallResult:
    """Returns the error of a call that was not sent."""
    detail = f"{call.endpoint} could not be reached: {reason}."
    return expression.Error(errors.EndpointUnreachable(detail))


def unknown_outcome_error(call: Call, reason: str) -> CallResult:
    """Returns the error of a call that may have run."""
    detail = f"{call.endpoint} returned no complete response: {reason}."
    return expression.Error(errors.EndpointOutcomeUnknown(detail))
