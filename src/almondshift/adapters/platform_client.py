"""HTTP client of the platform; errors report what is known of the outcome."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math

import expression
import msgspec
import pycurl
from tornado import httpclient

from almondshift import errors
from almondshift import log_events
from almondshift.adapters import curl_client
from almondshift.adapters import platform_messages
from almondshift.model import revisions

MAX_CONCURRENT_REQUESTS = 16
DEFAULT_RETRY_AFTER_S = 1.0
REFUSED_STATUSES = (429, 503)
NOT_FOUND = 404
CONDITION_FAILED = 409

logger = logging.getLogger(__name__)

ClientError = (
    errors.StoreUnavailable
    | errors.StoreOutcomeUnknown
    | errors.ConditionFailed
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """A complete response; ``status`` is 2xx or 404.

    Attributes:
        era: Era of the store in which it was given; 0 if it names none.
    """

    status: int
    body: bytes
    era: int = 0


class _Transfer:
    """One transfer, and whether a byte of its request may have been sent.

    libcurl calls ``_before_request`` once it is connected and before it
    sends anything. A timeout while connecting looks to the caller like one
    after sending; only this flag distinguishes them.
    """

    def __init__(self, is_write: bool) -> None:
        self.is_write = is_write
        self.may_have_sent = False

    def prepare(self, curl: pycurl.Curl) -> None:
        """Sets options that tornado leaves at libcurl's defaults.

        libcurl silently retries a request when a reused connection turns out
        to be dead. A conditional write that took effect would then conflict
        with its own result and be reported as ``ConditionFailed``, which
        means that nothing was written. It retries only on reused connections,
        so a new one for each write, over HTTP/1.1, prevents that.
        """
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_request)
        if self.is_write:
            curl.setopt(pycurl.FRESH_CONNECT, 1)
            curl.setopt(pycurl.FORBID_REUSE, 1)

    def _before_request(self, *addresses: object) -> int:
        self.may_have_sent = True
        return pycurl.PREREQFUNC_OK


class PlatformClient:
    """Calls to the platform at one address, with limited concurrency.

    Attributes:
        era: The newest era in any response, errors included; 0 if no response
            named one.
    """

    def __init__(
        self, address: str, timeout_s: float, concurrent_requests: int
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.concurrent_requests = concurrent_requests
        self.era = 0
        self.slots = asyncio.Semaphore(concurrent_requests)
        self.http: curl_client.ClosableCurlClient | None = None
        self.in_flight: set[asyncio.Future[httpclient.HTTPResponse]] = set()

    async def start(self) -> None:
        """Creates the HTTP client on the running loop."""
        self.http = curl_client.create_curl_client(self.concurrent_requests)

    async def close(self) -> None:
        """Rejects new calls and waits for those in flight to end.

        Takes at most ``timeout_s``, since each call is limited to that.
        """
        http = self.http
        self.http = None
        if http is None:
            return
        if self.in_flight:
            await asyncio.wait(self.in_flight)
        http.close()

    async def read(
        self, path: str
    ) -> expression.Result[PlatformAnswer, ClientError]:
        """Sends a GET; every failure is ``StoreUnavailable``."""
        result = await self._call("GET", path, None)
        if result.is_error() and isinstance(
            result.error, errors.StoreOutcomeUnknown
        ):
            return expression.Error(
                errors.StoreUnavailable(
                    result.error.detail, retry_after_s=DEFAULT_RETRY_AFTER_S
                )
            )
        return result

    async def write(
        self, method: str, path: str, body: bytes | None
    ) -> expression.Result[PlatformAnswer, ClientError]:
        """Sends a write once, over a new connection."""
        return await self._call(method, path, body)

    async def _call(
        self, method: str, path: str, body: bytes | None
    ) -> expression.Result[PlatformAnswer, ClientError]:
        if not await self._take_slot():
            return expression.Error(
                self._unavailable_error("has too many calls in flight.")
            )
        try:
            if self.http is None:
                return expression.Error(
                    self._unavailable_error(
                        "was not called: the client is closed."
                    )
                )
            return await self._send(self.http, method, path, body)
        finally:
            self.slots.release()

    async def _take_slot(self) -> bool:
        """Waits for a free slot; returns False on a timeout.

        ``asyncio.wait_for`` loses a cancellation that arrives just as the slot
        is acquired. The lease or configuration loop then kept running after
        it was stopped, and a stopped node never exited. ``asyncio.timeout``
        waits in the current task, so a cancellation always takes effect.
        """
        try:
            async with asyncio.timeout(self.timeout_s):
                return await self.slots.acquire()
        except TimeoutError:
            return False

    async def _send(
        self,
        http: curl_client.ClosableCurlClient,
        method: str,
        path: str,
        body: bytes | None,
    ) -> expression.Result[PlatformAnswer, ClientError]:
        transfer = _Transfer(is_write=method != "GET")
        request = httpclient.HTTPRequest(
            f"http://{self.address}{path}",
            method=method,
            body=body,
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=transfer.prepare,
        )
        future = http.fetch(request, raise_error=False)
        self.in_flight.add(future)
        future.add_done_callback(self.in_flight.discard)
        try:
            response = await future
        except httpclient.HTTPError as error:
            return expression.Error(self._transfer_error(error, transfer))
        return self._interpret(response)

    def _transfer_error(
        self, error: httpclient.HTTPError, transfer: _Transfer
    ) -> ClientError:
        detail = f"failed: {error.message}."
        if transfer.may_have_sent:
            return self._unknown_outcome_error(detail)
        return self._unavailable_error(detail)

    def _interpret(
        self, response: httpclient.HTTPResponse
    ) -> expression.Result[PlatformAnswer, ClientError]:
        era = revisions.parse_era(response.headers.get(revisions.ERA_HEADER))
        self._note_era(era)
        if response.code < 300 or response.code == NOT_FOUND:
            return expression.Ok(
                PlatformAnswer(response.code, response.body, era)
            )
        if response.code == CONDITION_FAILED:
            return expression.Error(
                errors.ConditionFailed("The row has another revision.")
            )
        return expression.Error(self._refusal_error(response))

    def _note_era(self, era: int) -> None:
        if era <= self.era:
            return
        previous, self.era = self.era, era
        if previous:
            log_events.emit(logger, log_events.StoreRestored(previous, era))

    def _refusal_error(self, response: httpclient.HTTPResponse) -> ClientError:
        detail = f"responded with status {response.code}."
        if response.code not in REFUSED_STATUSES:
            return self._unknown_outcome_error(detail)
        if not _says_nothing_applied(response.body):
            return self._unknown_outcome_error(detail)
        return self._unavailable_error(detail, _retry_after(response))

    def _unavailable_error(
        self, detail: str, retry_after_s: float = DEFAULT_RETRY_AFTER_S
    ) -> errors.StoreUnavailable:
        return errors.StoreUnavailable(
            f"The platform at {self.address} {detail}",
            retry_after_s=retry_after_s,
        )

    def _unknown_outcome_error(self, detail: str) -> errors.StoreOutcomeUnknown:
        return errors.StoreOutcomeUnknown(
            f"The platform at {self.address} {detail}"
        )


def _says_nothing_applied(body: bytes) -> bool:
    """Returns whether the platform itself states that nothing took effect.

    A bare 503 may come from a proxy that had already forwarded the write, so
    only the platform's own problem body is trusted.
    """
    try:
        problem = msgspec.json.decode(body, type=platform_messages.ProblemBody)
    except msgspec.MsgspecError:
        return False
    return not problem.applied


def _retry_after(response: httpclient.HTTPResponse) -> float:
    try:
        seconds = float(response.headers.get("Retry-After", "1"))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
    return seconds if math.isfinite(seconds) else DEFAULT_RETRY_AFTER_S


def create_platform_client(
    address: str,
    timeout_s: float,
    concurrent_requests: int = MAX_CONCURRENT_REQUESTS,
) -> PlatformClient:
    """Creates a client of the platform.

    Args:
        address: ``host:port``.
        timeout_s: Timeout of one call, and of the wait for a free slot.
        concurrent_requests: Maximum calls in flight; more wait.
    """
    return PlatformClient(address, timeout_s, concurrent_requests)
