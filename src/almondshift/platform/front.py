"""Serves callers' requests, readiness and the directory with tornado."""

from __future__ import annotations

import hashlib
import json
import re
import time
from urllib import parse
import weakref

from tornado import http1connection
from tornado import httputil

from almondshift import errors
from almondshift.adapters import http_listener
from almondshift.adapters import problems
from almondshift.model import buffers as message_buffers
from almondshift.model import relayed
from almondshift.platform import engines
from almondshift.platform import field_text
from almondshift.platform import names
from almondshift.ports import relays

DROPPED_REQUEST_FIELDS = (
    engines.HOP_BY_HOP_FIELDS | engines.STRIPPED_REQUEST_FIELDS
)
DROPPED_RESPONSE_FIELDS = engines.HOP_BY_HOP_FIELDS | {"content-length"}

MAX_TOKEN_COUNT_DIGITS = 9
"""Longest accepted token count in digits; allows a thousand times the largest
context of current models. Much longer numbers overflow floats, and above 4,300
digits Python refuses to parse them."""

MAX_PART_ID = 16
"""Maximum length of a prompt part's ID; longer ones, and those that are not
hexadecimal, are replaced by a digest."""

SHORT_PART_ID = re.compile(f"[0-9a-f]{{1,{MAX_PART_ID}}}")

BUFFERS_FULL_RETRY_S = 1.0
"""Retry-After of a request that is refused before its last byte, in seconds."""

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
HTTP_NOT_FOUND = 404


class ConnectionResponder(relays.Responder):
    """Writes a response to a server connection.

    Attributes:
        has_body: Whether the response may have a body; False for HEAD.
        closes: Whether the connection closes after the response.
        unsent_bytes: Bytes written since the connection last had none to send.
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
        self.closes = False
        self.unsent_bytes = 0

    def buffered_bytes(self) -> int:
        """Returns at most how many bytes wait for the caller to read them."""
        stream = self.connection.stream
        if stream is None or stream.closed() or not stream.writing():
            self.unsent_bytes = 0
        return self.unsent_bytes

    def send_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Starts a response of unknown length."""
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            if name not in DROPPED_RESPONSE_FIELDS:
                fields.add(name, value)
        self._write_head(status, fields)

    def send_data(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        if not self.ended and data and self.has_body:
            self.unsent_bytes = self.buffered_bytes() + len(data)
            self.connection.write(data)

    def send_whole(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Sends a complete response, with its length."""
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            if name not in DROPPED_RESPONSE_FIELDS:
                fields.add(name, value)
        fields["Content-Length"] = str(len(body))
        self._write_head(status, fields, body)
        self.finish()

    def finish(self) -> None:
        """Completes the response."""
        if self.ended:
            return
        self.ended = True
        self.connection.finish()

    def abort(self) -> None:
        """Closes the connection before the response is complete."""
        if self.ended:
            return
        self.ended = True
        self.connection.close()

    def fail(self, error: errors.AlmondshiftError) -> None:
        """Responds with an error as problem+json."""
        problem = problems.render(error, self.request_id)
        headers = dict(problem.headers)
        if error.retry_after_s is not None:
            # The platform's callers accept fractions of a second.
            headers["Retry-After"] = f"{error.retry_after_s:.2f}"
        self.send_whole(problem.status, tuple(headers.items()), problem.body)

    def _write_head(
        self, status: int, fields: httputil.HTTPHeaders, body: bytes = b""
    ) -> None:
        if self.ended:
            return
        self.head_sent = True
        reason = http_listener.reason_phrase(status)
        line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        if self.closes or self.connection.params.no_keep_alive:
            # tornado decides whether to keep the connection alive when it
            # reads the request, which may precede the stop of this node.
            # Without this field, callers that reuse the connection would send
            # their next request to a node that is about to exit.
            fields["Connection"] = "close"
        if not self.connection.stream.closed():
            # tornado enables Nagle's algorithm again after each response;
            # with it, an event would wait for the ACK of the previous one.
            self.connection.stream.set_nodelay(True)
        self.unsent_bytes = self.buffered_bytes() + len(body)
        self.connection.write_headers(
            line, fields, body if self.has_body else b""
        )


class BufferedResponder(ConnectionResponder):
    """Counts what the caller has not read yet.

    Attributes:
        buffers: Bytes of all messages in transfer.
        holder: Holds the bytes of the request and of this response.
    """

    def __init__(
        self,
        connection: http1connection.HTTP1Connection,
        request_id: str,
        has_body: bool,
        buffers: message_buffers.BufferAccount,
        holder: RequestReader,
    ) -> None:
        super().__init__(connection, request_id, has_body)
        self.buffers = buffers
        self.holder = holder

    def send_data(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        super().send_data(data)
        self.buffers.note(self.holder)

    def finish(self) -> None:
        """Completes the response."""
        super().finish()
        self.holder.response_ended()

    def abort(self) -> None:
        """Closes the connection before the response is complete."""
        super().abort()
        self.holder.response_ended()


class RequestReader(httputil.HTTPMessageDelegate, message_buffers.BufferHolder):
    """Reads one request and passes it to the relay.

    Attributes:
        body: The part of the body that has been received.
        request_bytes: Size of the complete body.
        responder: Writes the response; None before the request is complete.
    """

    buffer_kind = "caller"

    def __init__(
        self,
        relay: relays.Relay,
        connection: http1connection.HTTP1Connection,
        opened_at: float,
        incomplete_requests: weakref.WeakSet[RequestReader],
        buffers: message_buffers.BufferAccount,
    ) -> None:
        self.buffers = buffers
        self.responder: BufferedResponder | None = None
        self.relay = relay
        self.connection = connection
        self.opened_at = opened_at
        self.incomplete_requests = incomplete_requests
        self.start_line: httputil.RequestStartLine | None = None
        self.headers: httputil.HTTPHeaders | None = None
        self.body = bytearray()
        self.request_bytes = 0
        self.active_request: relays.ActiveRequest | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Stores the head and limits the size of the body."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self.start_line = start_line
        self.headers = headers
        self.incomplete_requests.add(self)
        limits = self.relay.limits()
        self.connection.set_max_body_size(limits.body_bytes)

    def data_received(self, chunk: bytes) -> None:
        """Collects the body."""
        self.body += chunk
        self.buffers.note(self)

    def buffered_bytes(self) -> int:
        """Returns the bytes of the request and of the unsent response.

        A request that is served is held twice: here, and as it is sent on.
        """
        if self.responder is None:
            return len(self.body)
        held = 0 if self.responder.ended else 2 * self.request_bytes
        return held + self.responder.buffered_bytes()

    def give_up_buffer(self) -> None:
        """Refuses an incomplete or waiting request; closes other ones."""
        if self.responder is None:
            self.refuse_incomplete()
        elif self.responder.ended:
            self.connection.close()
        elif self.active_request is not None:
            self.active_request.shed()

    def response_ended(self) -> None:
        """Drops the request; the caller may not have read the response yet."""
        self.active_request = None
        self.buffers.note(self)

    def refuse_incomplete(self) -> None:
        """Refuses a request before its last byte, and closes the connection."""
        self.body.clear()
        self.responder = self.create_responder()
        self.responder.closes = True
        self.responder.fail(
            errors.Overloaded(
                "This node buffers as many bytes as it can.",
                retry_after_s=BUFFERS_FULL_RETRY_S,
            )
        )

    def create_responder(self) -> BufferedResponder:
        """Creates what writes the response."""
        assert self.start_line is not None and self.headers is not None
        return BufferedResponder(
            self.connection,
            self.headers.get(names.REQUEST_ID, ""),
            self.start_line.method != "HEAD",
            self.buffers,
            self,
        )

    def finish(self) -> None:
        """Decodes the complete request and passes it to the relay."""
        assert self.start_line is not None and self.headers is not None
        self.incomplete_requests.discard(self)
        body = bytes(self.body)
        self.body.clear()
        self.request_bytes = len(body)
        responder = self.responder = self.create_responder()
        try:
            request = decode_request(
                self.start_line,
                self.headers,
                body,
                time.monotonic() - self.opened_at,
            )
        except errors.MalformedRequest as error:
            responder.fail(error)
            return
        self.connection.set_close_callback(self.on_connection_close)
        active_request = self.relay.accept(request, responder)
        if not responder.ended:
            self.active_request = active_request

    def on_connection_close(self) -> None:
        """Stops the work for a caller that disconnected."""
        self.incomplete_requests.discard(self)
        self.buffers.release(self)
        if self.active_request is not None:
            self.active_request.caller_gone()


class FrontDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates a reader for each request.

    Attributes:
        opened_at: When each open connection was accepted.
        incomplete_requests: Readers that have a head but not the whole body.
    """

    def __init__(
        self, relay: relays.Relay, buffers: message_buffers.BufferAccount
    ) -> None:
        self.relay = relay
        self.buffers = buffers
        self.opened_at: weakref.WeakKeyDictionary[
            http1connection.HTTP1ServerConnection, float
        ] = weakref.WeakKeyDictionary()
        self.incomplete_requests: weakref.WeakSet[RequestReader] = (
            weakref.WeakSet()
        )

    def is_idle(self) -> bool:
        """Returns whether no request or response is in transfer.

        The relay can't tell. It considers a response complete once it has
        handed it over, though a slow caller may not have read most of it yet,
        and it learns of a request only once the body is complete. Closing the
        connections would truncate both.
        """
        return not self.incomplete_requests and not any(
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
            self.relay,
            request_conn,
            opened_at,
            self.incomplete_requests,
            self.buffers,
        )


class Directory:
    """Responds to readiness checks and to callers that look up nodes."""

    def __init__(self, relay: relays.Relay, ttl_s: float) -> None:
        self.relay = relay
        self.ttl_s = ttl_s

    def answer(self, target: str) -> http_listener.ShortAnswer:
        """Returns the response to a request target."""
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
        body = {"addresses": addresses, "ttlS": self.ttl_s}
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
        """Returns whether no request or response is in transfer."""
        return self.delegate.is_idle()


def create_front(
    relay: relays.Relay,
    address: str,
    idle_s: float,
    header_bytes: int,
    buffers: message_buffers.BufferAccount,
) -> Front:
    """Creates the listener for callers' requests."""
    delegate = FrontDelegate(relay, buffers)
    return Front(address, delegate, idle_s, header_bytes)


def create_directory(
    relay: relays.Relay, address: str, ttl_s: float
) -> http_listener.Listener:
    """Creates a listener for readiness checks and the directory.

    Args:
        relay: Knows whether this node is ready, and the nodes' addresses.
        address: ``host:port``.
        ttl_s: How long callers may cache a list of addresses.
    """
    return http_listener.create_short_listener(
        address, Directory(relay, ttl_s).answer
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
        headers: As received.
        body: The whole body.
        connection_s: Seconds since the connection was accepted.

    Raises:
        errors.MalformedRequest: The request id is missing, or a field is
            invalid.
    """
    forwarded: list[tuple[str, str]] = []
    connection_only = _connection_fields(headers)
    for name, value in headers.get_all():
        lower = name.lower()
        if lower not in DROPPED_REQUEST_FIELDS and lower not in connection_only:
            forwarded.append((name, value))
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
        headers=tuple(forwarded),
        body=body,
        wait_s=_deadline_s(headers.get(names.DEADLINE_MS)),
        key=_bearer_key(headers.get("authorization", "")),
        last_event_id=headers.get(names.LAST_EVENT_ID, ""),
        prompt_tokens=prompt,
        output_tokens=output,
        expected_tokens=_token_count(
            headers.get(names.LENGTH_HINT, ""), "X-Length-Hint"
        ),
        connection_s=connection_s,
        peer_mark=headers.get(names.PEER_MARK, ""),
        run_limit=headers.get(names.RUN_LIMIT, ""),
        prompt_parts=_prompt_parts(headers.get(names.PROMPT_PARTS, "")),
    )


def _connection_fields(headers: httputil.HTTPHeaders) -> frozenset[str]:
    named = headers.get("connection", "")
    return frozenset(part.strip().lower() for part in named.split(","))


def _deadline_s(milliseconds: str | None) -> float | None:
    if milliseconds is None:
        return None
    try:
        value = float(milliseconds)
    except ValueError as error:
        raise errors.MalformedRequest(
            "X-Deadline-Ms is not a number of milliseconds."
        ) from error
    if not 0 <= value < 1e9:
        raise errors.MalformedRequest("X-Deadline-Ms is out of range.")
    return value / 1000


def _bearer_key(authorization: str) -> str:
    scheme, _, key = authorization.partition(" ")
    if scheme.lower() != "bearer":
        return ""
    return field_text.decode(key.strip())


def _prompt_parts(field: str) -> tuple[str, ...]:
    """Returns the IDs of a prompt's parts, without their token counts."""
    ids = (part.partition(":")[0].strip().lower() for part in field.split(","))
    return tuple(_short_id(part_id) for part_id in ids if part_id)


def _short_id(part_id: str) -> str:
    """Returns an ID of bounded length that logs and facts can contain."""
    if SHORT_PART_ID.fullmatch(part_id):
        return part_id
    digest = hashlib.blake2b(part_id.encode("utf-8", "surrogateescape"))
    return digest.hexdigest()[:MAX_PART_ID]


def _token_counts(usage: str) -> tuple[int, int]:
    prompt, _, output = usage.partition(",")
    field = "X-Token-Usage"
    return _token_count(prompt, field), _token_count(output, field)


def _token_count(text: str, field: str) -> int:
    """Returns a count, or 0 if invalid, as it is used only as an estimate."""
    text = text.strip()
    if not text.isascii() or not text.isdecimal():
        return 0
    if len(text) > MAX_TOKEN_COUNT_DIGITS:
        raise errors.MalformedRequest(f"{field} is out of range.")
    return int(text)
