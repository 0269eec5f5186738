"""Callers' requests, readiness and the directory, over tornado's server."""

from __future__ import annotations

import json
import time
from urllib import parse
import weakref

from tornado import http1connection
from tornado import httputil

from almondshift import errors
from almondshift.adapters import http_listener
from almondshift.adapters import problems
from almondshift.model import relayed
from almondshift.platform import engines
from almondshift.platform import names
from almondshift.ports import relays

REQUEST_FIELDS_DROPPED = engines.HOP_BY_HOP | engines.OWN_FIELDS
ANSWER_FIELDS_DROPPED = engines.HOP_BY_HOP | {"content-length"}

MAX_TOKENS_DIGITS = 9
"""Longest number taken for a count of tokens: a thousand times the largest
context of today's models. Longer ones overflow floats, and beyond 4,300
digits Python refuses to read them."""

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
HTTP_NOT_FOUND = 404


class ConnectionResponder(relays.Responder):
    """Writes an answer to a connection of the server.

    Attributes:
        has_body: Whether the answer may have one; not to HEAD.
    """

    def __init__(
        self,
        connection: http1connection.HTTP1Connection,
        request_id: str,
        has_body: bool,
    ) -> None:
        self.connection = connection
        self.request_id = request_id
        self.has_body = has_body
        self.head_sent = False
        self.ended = False

    def send_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Begins the answer; its length is not known yet."""
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            if name not in ANSWER_FIELDS_DROPPED:
                fields.add(name, value)
        self._write_head(status, fields)

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""
        if not self.ended and data and self.has_body:
            self.connection.write(data)

    def send_whole(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Sends an answer whose length is known."""
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            if name not in ANSWER_FIELDS_DROPPED:
                fields.add(name, value)
        fields["Content-Length"] = str(len(body))
        self._write_head(status, fields, body)
        self.finish()

    def finish(self) -> None:
        """Ends the answer as whole."""
        if self.ended:
            return
        self.ended = True
        self.connection.finish()

    def break_off(self) -> None:
        """Closes the connection in the middle of the answer."""
        if self.ended:
            return
        self.ended = True
        self.connection.close()

    def fail(self, error: errors.AlmondshiftError) -> None:
        """Answers with an error as problem+json."""
        problem = problems.render(error, self.request_id)
        headers = dict(problem.headers)
        if error.retry_after_s is not None:
            # Callers here take fractions of a second.
            headers["Retry-After"] = f"{error.retry_after_s:.2f}"
        self.send_whole(problem.status, tuple(headers.items()), problem.body)

    def _write_head(
        self, status: int, fields: httputil.HTTPHeaders, body: bytes = b""
    ) -> None:
        if self.ended:
            return
        self.head_sent = True
        reason = http_listener.reason_of(status)
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        if self.connection.params.no_keep_alive:
            # The server has decided when it read the request, perhaps before
            # this node was asked to stop. Callers that kept the connection
            # sent their next request to a node that was about to end.
            fields["Connection"] = "close"
        if not self.connection.stream.closed():
            # The server turns Nagle's algorithm on again after each answer;
            # with it an event would wait for the one before to be acked.
            self.connection.stream.set_nodelay(True)
        self.connection.write_headers(
            line, fields, body if self.has_body else b""
        )


class RequestReader(httputil.HTTPMessageDelegate):
    """Reads one request and hands it on."""

    def __init__(
        self,
        relay: relays.Relay,
        connection: http1connection.HTTP1Connection,
        opened_at: float,
        half_read: weakref.WeakSet[RequestReader],
    ) -> None:
        self.relay = relay
        self.connection = connection
        self.opened_at = opened_at
        self.half_read = half_read
        self.start_line: httputil.RequestStartLine | None = None
        self.headers: httputil.HTTPHeaders | None = None
        self.parts: list[bytes] = []
        self.relaying: relays.Relaying | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Keeps the head, and bounds the body."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self.start_line = start_line
        self.headers = headers
        self.half_read.add(self)
        limits = self.relay.limits()
        self.connection.set_max_body_size(limits.body_bytes)

    def data_received(self, chunk: bytes) -> None:
        """Collects the body."""
        self.parts.append(chunk)

    def finish(self) -> None:
        """Hands the whole request on."""
        assert self.start_line is not None and self.headers is not None
        self.half_read.discard(self)
        request_id = self.headers.get(names.REQUEST_ID, "")
        responder = ConnectionResponder(
            self.connection, request_id, self.start_line.method != "HEAD"
        )
        try:
            request = decode_request(
                self.start_line,
                self.headers,
                b"".join(self.parts),
                time.monotonic() - self.opened_at,
            )
        except errors.MalformedRequest as error:
            responder.fail(error)
            return
        self.parts.clear()
        self.connection.set_close_callback(self.on_connection_close)
        self.relaying = self.relay.accept(request, responder)

    def on_connection_close(self) -> None:
        """Stops the work for a caller that left."""
        self.half_read.discard(self)
        if self.relaying is not None:
            self.relaying.caller_gone()


class FrontDelegate(httputil.HTTPServerConnectionDelegate):
    """Makes a reader for each request.

    Attributes:
        opened_at: When each open connection was accepted.
        half_read: Readers whose requests are not whole.
    """

    def __init__(self, relay: relays.Relay) -> None:
        self.relay = relay
        self.opened_at: weakref.WeakKeyDictionary[
            http1connection.HTTP1ServerConnection, float
        ] = weakref.WeakKeyDictionary()
        self.half_read: weakref.WeakSet[RequestReader] = weakref.WeakSet()

    def is_idle(self) -> bool:
        """Returns whether no caller is in the middle of a message.

        An answer is whole for the relay as soon as it is handed over, though
        a slow caller may have most of it to read yet; a request is nothing
        to the relay until its body is whole. Closing would cut both.
        """
        return not self.half_read and not any(
            connection.stream.writing() for connection in self.opened_at
        )

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of a request."""
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        opened_at = self.opened_at.setdefault(server_conn, time.monotonic())
        return RequestReader(
            self.relay, request_conn, opened_at, self.half_read
        )


class Directory:
    """Answers calls about readiness, and of callers that look for nodes."""

    def __init__(self, relay: relays.Relay, hold_s: float) -> None:
        self.relay = relay
        self.hold_s = hold_s

    def answer(self, target: str) -> http_listener.ShortAnswer:
        """Returns the answer to a call."""
        path, _, query = target.partition("?")
        if path == names.READY:
            ready = self.relay.is_ready()
            return http_listener.ShortAnswer(
                HTTP_OK if ready else HTTP_UNAVAILABLE
            )
        if path != names.RESOLVE:
            return http_listener.ShortAnswer(HTTP_NOT_FOUND)
        zone = parse.parse_qs(query).get("zone", [""])[0]
        addresses = self.relay.addresses(zone)
        if not addresses:
            return http_listener.ShortAnswer(HTTP_UNAVAILABLE)
        body = {"addresses": addresses, "ttlS": self.hold_s}
        return http_listener.ShortAnswer(
            HTTP_OK, "application/json", json.dumps(body).encode()
        )


class Front(http_listener.Listener):
    """The listener for callers' requests."""

    def __init__(
        self,
        address: str,
        delegate: FrontDelegate,
        idle_s: float,
        header_bytes: int,
    ) -> None:
        super().__init__(address, delegate, idle_s, header_bytes)
        self.delegate = delegate

    def is_idle(self) -> bool:
        """Returns whether no caller is in the middle of a message."""
        return self.delegate.is_idle()


def create_front(
    relay: relays.Relay, address: str, idle_s: float, header_bytes: int
) -> Front:
    """Creates the listener for callers' requests."""
    return Front(address, FrontDelegate(relay), idle_s, header_bytes)


def create_directory(
    relay: relays.Relay, address: str, hold_s: float
) -> http_listener.Listener:
    """Creates a listener for readiness and the directory.

    Args:
        relay: Answers the questions.
        address: ``host:port``.
        hold_s: How long callers may keep a list of addresses.
    """
    return http_listener.create_short_listener(
        address, Directory(relay, hold_s).answer
    )


def decode_request(
    start_line: httputil.RequestStartLine,
    headers: httputil.HTTPHeaders,
    body: bytes,
    connection_s: float = 0.0,
) -> relayed.RelayedRequest:
    """Decodes a caller's request.

    Args:
        start_line: Method and target.
        headers: As they came.
        body: The whole body.
        connection_s: Seconds since its connection was accepted.

    Raises:
        errors.MalformedRequest: It has no id, or a field can't be read.
    """
    passed: list[tuple[str, str]] = []
    connection_only = _connection_fields(headers)
    for name, value in headers.get_all():
        lower = name.lower()
        if lower not in REQUEST_FIELDS_DROPPED and lower not in connection_only:
            passed.append((name, value))
    if names.REQUEST_ID not in headers:
        raise errors.MalformedRequest("X-Request-Id is missing.")
    prompt, output = _token_counts(headers.get(names.TOKEN_USAGE, ""))
    target = start_line.path
    return relayed.RelayedRequest(
        request_id=headers[names.REQUEST_ID],
        method=start_line.method,
        host=headers.get("host", "").partition(":")[0].lower(),
        target=target,
        path=target.partition("?")[0],
        headers=tuple(passed),
        body=body,
        wait_s=_seconds(headers.get(names.DEADLINE_MS)),
        key=_bearer_key(headers.get("authorization", "")),
        last_event_id=headers.get(names.LAST_EVENT_ID, ""),
        prompt_tokens=prompt,
        output_tokens=output,
        expected_tokens=_token_count(
            headers.get(names.LENGTH_HINT, ""), "X-Length-Hint"
        ),
        connection_s=connection_s,
    )


def _connection_fields(headers: httputil.HTTPHeaders) -> frozenset[str]:
    named = headers.get("connection", "")
    return frozenset(part.strip().lower() for part in named.split(","))


def _seconds(milliseconds: str | None) -> float | None:
    if milliseconds is None:
        return None
    try:
        value = float(milliseconds)
    except ValueError as error:
        raise errors.MalformedRequest(
            "X-Deadline-Ms is no number of milliseconds."
        ) from error
    if not 0 <= value < 1e9:
        raise errors.MalformedRequest("X-Deadline-Ms is out of range.")
    return value / 1000


def _bearer_key(authorization: str) -> str:
    scheme, _, key = authorization.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _token_counts(usage: str) -> tuple[int, int]:
    prompt, _, output = usage.partition(",")
    field = "X-Token-Usage"
    return _token_count(prompt, field), _token_count(output, field)


def _token_count(text: str, field: str) -> int:
    """Returns a count; 0 for what is no number, since it only estimates."""
    text = text.strip()
    if not text.isascii() or not text.isdecimal():
        return 0
    if len(text) > MAX_TOKENS_DIGITS:
        raise errors.MalformedRequest(f"{field} is out of range.")
    return int(text)
