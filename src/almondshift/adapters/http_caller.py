"""A client of the system: for the demo, tests, benchmarks and as an example.

It asks the system which addresses to use, caches them for the time given, and
tells a complete stream from a truncated one by the token count at the end.
"""

from __future__ import annotations

import dataclasses
import json
import time
from typing import TYPE_CHECKING
from typing import Any

import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from almondshift.adapters import curl_client

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_TIMEOUT_S = 1.0
DEADLINE_MARGIN_S = 5.0
NO_RESPONSE_STATUS = 599
MAX_CLIENTS = 2000


@dataclasses.dataclass(slots=True)
class CallerAnswer:
    """The result of one request.

    Attributes:
        status: HTTP status; 599 if no complete response was received.
        tokens: Tokens received, in order.
        whole: Whether the response ended with a matching token count.
        problem: The problem object of a refusal or failure.
        details: The node's report on stages and recoveries.
        arrivals: Monotonic times at which streamed tokens were received.
        seconds: Time from sending to the end.
        unreachable: Whether no connection was made, so nothing was sent.
    """

    status: int = NO_RESPONSE_STATUS
    tokens: list[int] = dataclasses.field(default_factory=list)
    text: str = ""
    whole: bool = False
    problem: dict[str, Any] | None = None
    details: dict[str, Any] = dataclasses.field(default_factory=dict)
    arrivals: list[float] = dataclasses.field(default_factory=list)
    seconds: float = 0.0
    unreachable: bool = False

    @property
    def kind(self) -> str:
        """The problem's kind, or an empty string."""
        return str(self.problem["kind"]) if self.problem else ""

    @property
    def execution(self) -> str:
        """The problem's execution state, or an empty string."""
        return str(self.problem["execution"]) if self.problem else ""


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    code: int
    content_type: str
    body: bytes
    unreachable: bool = False


class _EventReader:
    """Parses server-sent events incrementally."""

    def __init__(
        self, answer: CallerAnswer, on_token: Callable[[int], None]
    ) -> None:
        self.answer = answer
        self.on_token = on_token
        self._buffer = b""

    def feed(self, content: bytes) -> None:
        self._buffer += content
        *whole, self._buffer = self._buffer.split(b"\n\n")
        for event in whole:
            self._handle_event(event)

    def _handle_event(self, event: bytes) -> None:
        if event.startswith(b"event: error"):
            self.answer.problem = json.loads(event.partition(b"data: ")[2])
            return
        data = event.removeprefix(b"data: ")
        if data == b"[DONE]":
            return
        self._handle_chunk(json.loads(data))

    def _handle_chunk(self, chunk: dict[str, Any]) -> None:
        choice = chunk["choices"][0]
        self.answer.text += choice["text"]
        for token in choice["tokens"]:
            self.answer.tokens.append(token)
            self.answer.arrivals.append(time.monotonic())
            self.on_token(token)
        if "usage" in chunk:
            count = chunk["usage"]["completion_tokens"]
            self.answer.whole = count == len(self.answer.tokens)
            self.answer.details = chunk["almondshift"]


class Caller:
    """Calls the system with one account's key.

    Attributes:
        addresses: Entry addresses, best first.
    """

    def __init__(self, key: str, seed_addresses: list[str]) -> None:
        self.key = key
        self.seed_addresses = seed_addresses
        self.addresses = list(seed_addresses)
        self._entries_expire_at = 0.0
        self._client: httpclient.AsyncHTTPClient | None = None

    async def start(self) -> None:
        """Creates the HTTP client."""
        self._client = curl_client.create_curl_client(MAX_CLIENTS)

    async def close(self) -> None:
        """Closes connections."""
        if self._client is not None:
            self._client.close()

    async def entries(self) -> list[str]:
        """Returns the addresses, refreshed when the cached ones expired."""
        if time.monotonic() < self._entries_expire_at:
            return self.addresses
        for address in [*self.addresses, *self.seed_addresses]:
            response = await self._fetch(
                address, "/v1/entries", "GET", None, {}, 2.0
            )
            if response.code != 200:
                continue
            content = json.loads(response.body)
            found = [entry["address"] for entry in content["entries"]]
            if found:
                self.addresses = found
                hold = float(content["hold_seconds"])
                self._entries_expire_at = time.monotonic() + hold
                break
        return self.addresses

    def forget_entries(self) -> None:
        """Expires the cached addresses."""
        self._entries_expire_at = 0.0

    async def complete(
        self,
        service: str,
        prompt: str | list[int],
        max_tokens: int,
        *,
        stream: bool = True,
        deadline_ms: int = 30_000,
        idempotency_key: str = "",
        address: str | None = None,
        on_token: Callable[[int], None] = lambda _: None,
    ) -> CallerAnswer:
        """Sends one completion request, once, to one address."""
        body = {
            "model": service,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
        }
        headers = self._headers(deadline_ms, idempotency_key)
        target = address or (await self.entries())[0]
        answer = CallerAnswer()
        reader = _EventReader(answer, on_token) if stream else None
        started = time.monotonic()
        response = await self._fetch(
            target,
            "/v1/completions",
            "POST",
            json.dumps(body).encode(),
            headers,
            deadline_ms / 1000 + DEADLINE_MARGIN_S,
            reader.feed if reader else None,
        )
        answer.seconds = time.monotonic() - started
        answer.status = response.code
        answer.unreachable = response.unreachable
        self._read_response(answer, response, reader)
        return answer

    async def call(
        self,
        service: str,
        path: str,
        body: bytes,
        *,
        method: str = "POST",
        deadline_ms: int = 10_000,
        idempotency_key: str = "",
        address: str | None = None,
    ) -> CallerAnswer:
        """Calls a plain service, once, at one address.

        Returns:
            The result, with the response body in ``text``.
        """
        headers = self._headers(deadline_ms, idempotency_key)
        target = address or (await self.entries())[0]
        started = time.monotonic()
        response = await self._fetch(
            target,
            f"/v1/services/{service}{path}",
            method,
            None if method == "GET" else body,
            headers,
            deadline_ms / 1000 + DEADLINE_MARGIN_S,
        )
        answer = CallerAnswer(status=response.code)
        answer.seconds = time.monotonic() - started
        answer.text = response.body.decode(errors="replace")
        answer.whole = response.code != NO_RESPONSE_STATUS
        answer.unreachable = response.unreachable
        answer.problem = _problem(response)
        return answer

    def _headers(
        self, deadline_ms: int, idempotency_key: str
    ) -> dict[str, str]:
        headers = {"Request-Deadline": str(deadline_ms)}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        return headers

    def _read_response(
        self,
        answer: CallerAnswer,
        response: _Response,
        reader: _EventReader | None,
    ) -> None:
        answer.problem = answer.problem or _problem(response)
        if response.code != 200:
            answer.whole = False
        elif reader is None:
            _read_completion(answer, response.body)

    async def _fetch(
        self,
        address: str,
        path: str,
        method: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
        on_chunk: Callable[[bytes], None] | None = None,
    ) -> _Response:
        assert self._client is not None, "start the caller first"
        buffered: list[bytes] = []
        request = httpclient.HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self.key}", **headers},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
            streaming_callback=_tee(buffered, on_chunk),
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except httpclient.HTTPError as error:
            got = b"".join(buffered)
            return _Response(
                NO_RESPONSE_STATUS, "", got, _is_unreachable(error)
            )
        kind = response.headers.get("Content-Type", "")
        return _Response(response.code, kind, b"".join(buffered))


def _tee(
    buffered: list[bytes], on_chunk: Callable[[bytes], None] | None
) -> Callable[[bytes], None]:
    def handle_chunk(content: bytes) -> None:
        buffered.append(content)
        if on_chunk is not None and content:
            on_chunk(content)

    return handle_chunk


def _is_unreachable(error: httpclient.HTTPError) -> bool:
    if not isinstance(error, curl_httpclient.CurlError):
        return False
    return bool(error.errno == pycurl.E_COULDNT_CONNECT)


def _problem(response: _Response) -> dict[str, Any] | None:
    if "problem+json" not in response.content_type:
        return None
    found: dict[str, Any] = json.loads(response.body)
    return found


def _read_completion(answer: CallerAnswer, body: bytes) -> None:
    content = json.loads(body)
    choice = content["choices"][0]
    answer.text = choice["text"]
    answer.tokens = choice["tokens"]
    answer.details = content["almondshift"]
    count = content["usage"]["completion_tokens"]
    answer.whole = count == len(answer.tokens)


def create_caller(key: str, seed_addresses: list[str]) -> Caller:
    """Builds a caller; not started yet.

    Args:
        key: Bearer key of a client account.
        seed_addresses: ``host:port`` of some nodes, for the first lookup.
    """
    return Caller(key, seed_addresses)
