"""A server that responds while the event loop of the test is blocked."""

from __future__ import annotations

import contextlib
import socketserver
import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextlib.contextmanager
def running_server(response: bytes, delay_s: float) -> Iterator[str]:
    """Runs a server on a thread; yields its address.

    Args:
        response: What it sends.
        delay_s: Time after the request at which it responds.
    """

    class Handler(socketserver.BaseRequestHandler):
        def handle(self) -> None:
            if self.request.recv(65_536):
                time.sleep(delay_s)
                self.request.sendall(response)

    with socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        try:
            yield f"127.0.0.1:{server.server_address[1]}"
        finally:
            server.shutdown()
            thread.join()
