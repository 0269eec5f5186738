"""tornado's HTTP server, closed without leaving requests unanswered."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING
from typing import Any

from tornado import http1connection
from tornado import httpserver
from tornado import httputil
from tornado import iostream

if TYPE_CHECKING:
    from collections.abc import Iterable

QUIET_S = 0.03
"""Time in which a caller that has connected sends its request."""

CLOSE_LIMIT_S = 0.15
"""Longest time that closing takes; half of what a stop reserves for it."""

POLL_S = 0.005

MAX_PENDING_CONNECTIONS = 4096
"""Most connections to accept at the end; the usual limit of a backlog."""


class Server(httpserver.HTTPServer):
    """An HTTP server that can answer what has reached it before it closes.

    Attributes:
        listening: The listening sockets.
        waiting_since: When each open connection began to wait for its current
            request, in monotonic seconds.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Initialises the server; tornado calls this in place of __init__."""
        super().initialize(*args, **kwargs)
        self.listening: list[socket.socket] = []
        self.waiting_since: dict[
            http1connection.HTTP1ServerConnection, float
        ] = {}

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Starts accepting connections on listening sockets."""
        added = list(sockets)
        self.listening += added
        super().add_sockets(added)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Notes that a connection waits for a request."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        self.waiting_since[server_conn] = time.monotonic()
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forgets a closed connection."""
        assert isinstance(server_conn, http1connection.HTTP1ServerConnection)
        self.waiting_since.pop(server_conn, None)
        super().on_close(server_conn)

    async def close_gracefully(self) -> None:
        """Stops listening, and closes each connection once it is idle.

        The application must refuse requests by now. Closing at once would
        reset connections that callers have opened but the server has not
        accepted yet, and those whose request has arrived but was not read.
        Their callers could not know whether it ran.
        """
        self.stop_listening()
        end = time.monotonic() + CLOSE_LIMIT_S
        # Connections that were just accepted are known after a pass of the
        # event loop.
        await asyncio.sleep(POLL_S)
        while self.close_idle_connections() and time.monotonic() < end:
            await asyncio.sleep(POLL_S)
        await self.close_all_connections()

    def stop_listening(self) -> None:
        """Accepts the connections that callers have opened, then stops.

        New connections are refused after that, so callers know that nothing
        was sent.
        """
        # Until its last descriptor is closed, a socket keeps listening.
        duplicates = [sock.dup() for sock in self.listening]
        self.listening.clear()
        self.stop()
        for duplicate in duplicates:
            duplicate.setblocking(False)
            self.accept_pending(duplicate)
            duplicate.close()

    def accept_pending(self, listening: socket.socket) -> None:
        """Accepts all connections that wait on a listening socket."""
        for _ in range(MAX_PENDING_CONNECTIONS):
            try:
                accepted, address = listening.accept()
            except OSError:
                return
            stream = iostream.IOStream(
                accepted,
                max_buffer_size=self.max_buffer_size,
                read_chunk_size=self.read_chunk_size,
            )
            self.handle_stream(stream, address)

    def close_idle_connections(self) -> int:
        """Closes idle connections; returns the number of the others."""
        now = time.monotonic()
        open_count = 0
        for connection, waiting_since in list(self.waiting_since.items()):
            stream = connection.stream
            if now - waiting_since >= QUIET_S and _is_idle(stream):
                stream.close()
            else:
                open_count += 1
        return open_count


def _is_idle(stream: iostream.IOStream) -> bool:
    """Returns whether a connection waits for a request that has not come."""
    if stream.writing() or not stream.reading():
        return False
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
