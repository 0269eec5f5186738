"""Connections that never complete, as to a VM that lost its network."""

from __future__ import annotations

import socket

QUEUED_CONNECTIONS = 4


class FullBacklog:
    """A listening socket whose full backlog keeps new connections pending."""

    def __init__(self, port: int) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(0)
        self.queued = [self._connect() for _ in range(QUEUED_CONNECTIONS)]

    def _connect(self) -> socket.socket:
        queued = socket.socket()
        queued.setblocking(False)
        queued.connect_ex(self.listener.getsockname())
        return queued

    def close(self) -> None:
        """Closes all sockets."""
        for queued in self.queued:
            queued.close()
        self.listener.close()
