"""Listeners over tornado's HTTP server, without its web framework."""

from __future__ import annotations

import dataclasses
from http import client
from typing import TYPE_CHECKING

from tornado import http1connection
from tornado import httpserver
from tornado import httputil

if TYPE_CHECKING:
    from collections.abc import Callable

IDLE_FACTOR = 1.25
"""Kept connections outlive what callers may count on by a quarter, so that
no caller sends on one while it is closed here."""

LARGEST_BODY_BYTES = 64_000_000
"""For requests whose delegate sets no lower bound."""

SHORT_IDLE_S = 30.0
SHORT_HEADER_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class ShortAnswer:
    """A whole answer of a small call."""

    status: int
    content_type: str = "text/plain"
    body: bytes = b""


class Listener:
    """A listener with its connections.

    Attributes:
        server: tornado's server.
    """

    def __init__(
        self,
        address: str,
        delegate: httputil.HTTPServerConnectionDelegate,
        idle_s: float,
        header_bytes: int,
    ) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.server = httpserver.HTTPServer(
            delegate,
            idle_connection_timeout=idle_s * IDLE_FACTOR,
            max_header_size=header_bytes,
            max_body_size=LARGEST_BODY_BYTES,
        )

    async def start(self) -> None:
        """Listens."""
        self.server.listen(self.port, self.host)

    def limit(self, idle_s: float, header_bytes: int) -> None:
        """Sets limits that hold from each connection's next request on.

        The server has one limit for the time until a whole head has come,
        which holds for idle connections and slow heads alike.
        """
        self.server.conn_params.header_timeout = idle_s * IDLE_FACTOR
        self.server.conn_params.max_header_size = header_bytes

    def keep_no_connections(self) -> None:
        """Ends each connection with the answer to its next request."""
        self.server.conn_params.no_keep_alive = True

    async def close(self) -> None:
        """Closes the listener and all connections."""
        self.server.stop()
        await self.server.close_all_connections()


class ShortReader(httputil.HTTPMessageDelegate):
    """Answers one small call."""

    def __init__(
        self,
        answer: Callable[[str], ShortAnswer],
        connection: http1connection.HTTP1Connection,
    ) -> None:
        self.answer = answer
        self.connection = connection
        self.target = ""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Keeps the target."""
        del headers
        assert isinstance(start_line, httputil.RequestStartLine)
        self.target = start_line.path

    def finish(self) -> None:
        """Answers."""
        answer = self.answer(self.target)
        fields = httputil.HTTPHeaders()
        fields["Content-Type"] = answer.content_type
        fields["Content-Length"] = str(len(answer.body))
        reason = reason_of(answer.status)
        line = httputil.ResponseStartLine("HTTP/1.1", answer.status, reason)
        self.connection.write_headers(line, fields, answer.body)
        self.connection.finish()


class ShortDelegate(httputil.HTTPServerConnectionDelegate):
    """Makes a reader for each small call."""

    def __init__(self, answer: Callable[[str], ShortAnswer]) -> None:
        self.answer = answer

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of a call."""
        del server_conn
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        return ShortReader(self.answer, request_conn)


def create_short_listener(
    address: str, answer: Callable[[str], ShortAnswer]
) -> Listener:
    """Creates a listener for small calls.

    Args:
        address: ``host:port``.
        answer: Returns the answer to a target (path and query).
    """
    delegate = ShortDelegate(answer)
    return Listener(address, delegate, SHORT_IDLE_S, SHORT_HEADER_BYTES)


def reason_of(status: int) -> str:
    """Returns the usual reason phrase of a status."""
    return client.responses.get(status, "Unknown")
