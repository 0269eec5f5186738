"""Listeners over tornado's HTTP server, without its web framework."""

from __future__ import annotations

import dataclasses
from http import client
from typing import TYPE_CHECKING

from tornado import http1connection
from tornado import httputil

from almondshift.adapters import http_server

if TYPE_CHECKING:
    from collections.abc import Callable

IDLE_FACTOR = 1.25
"""Idle connections stay open a quarter longer than the timeout that callers
rely on, so that no caller sends on one while it is being closed here."""

MAX_BODY_BYTES = 64_000_000
"""Applies to requests whose delegate sets no lower limit."""

SHORT_IDLE_TIMEOUT_S = 30.0
MAX_SHORT_HEADER_BYTES = 16_384


@dataclasses.dataclass(frozen=True, slots=True)
class ShortAnswer:
    """A complete response to a small request such as a health check."""

    status: int
    content_type: str = "text/plain"
    body: bytes = b""


class Listener:
    """A listening server and its connections.

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
        self.server = http_server.Server(
            delegate,
            idle_connection_timeout=idle_s * IDLE_FACTOR,
            max_header_size=header_bytes,
            max_body_size=MAX_BODY_BYTES,
        )

    async def start(self) -> None:
        """Starts listening."""
        self.server.listen(self.port, self.host)

    def limit(self, idle_s: float, header_bytes: int) -> None:
        """Sets limits that apply from each connection's next request on.

        The server has a single timeout until a complete request head was
        received; it covers both idle connections and slow request heads.
        """
        self.server.conn_params.header_timeout = idle_s * IDLE_FACTOR
        self.server.conn_params.max_header_size = header_bytes

    def disable_keep_alive(self) -> None:
        """Closes each connection after the response to its next request."""
        self.server.conn_params.no_keep_alive = True

    async def close_gracefully(self) -> None:
        """Closes the listener, and answers what has reached it by now."""
        await self.server.close_gracefully()

    async def close(self) -> None:
        """Closes the listener and all connections."""
        self.server.stop()
        await self.server.close_all_connections()


class ShortReader(httputil.HTTPMessageDelegate):
    """Reads one small request and responds to it."""

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
        """Stores the request target."""
        del headers
        assert isinstance(start_line, httputil.RequestStartLine)
        self.target = start_line.path

    def finish(self) -> None:
        """Sends the response."""
        answer = self.answer(self.target)
        fields = httputil.HTTPHeaders()
        fields["Content-Type"] = answer.content_type
        fields["Content-Length"] = str(len(answer.body))
        reason = reason_phrase(answer.status)
        line = httputil.ResponseStartLine("HTTP/1.1", answer.status, reason)
        self.connection.write_headers(line, fields, answer.body)
        self.connection.finish()


class ShortDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates a reader for each small request."""

    def __init__(self, answer: Callable[[str], ShortAnswer]) -> None:
        self.answer = answer

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Returns the reader of a request."""
        del server_conn
        assert isinstance(request_conn, http1connection.HTTP1Connection)
        return ShortReader(self.answer, request_conn)


def create_short_listener(
    address: str, answer: Callable[[str], ShortAnswer]
) -> Listener:
    """Creates a listener for small requests.

    Args:
        address: ``host:port``.
        answer: Returns the response for a target (path and query).
    """
    delegate = ShortDelegate(answer)
    return Listener(
        address, delegate, SHORT_IDLE_TIMEOUT_S, MAX_SHORT_HEADER_BYTES
    )


def reason_phrase(status: int) -> str:
    """Returns the standard reason phrase of a status."""
    return client.responses.get(status, "Unknown")
