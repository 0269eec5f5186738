"""Connecting takes for ever, as to a VM that has lost its network."""

from __future__ import annotations

import socket

QUEUED = 4


class FullBacklog:
    """A listening socket that takes no connection: its queue is full."""

    def __init__(self, port: int) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(0)
        self.queued = [self._queue() for _ in range(QUEUED)]

    def _queue(self) -> socket.socket:
        queued = socket.socket()
        queued.setblocking(False)
        queued.connect_ex(self.listener.getsockname())
        return queued

    def close(self) -> None:
        """Closes all sockets."""
        for queued in self.queued:
            queued.close()
        self.listener.close()
