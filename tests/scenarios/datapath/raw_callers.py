"""Callers on raw sockets, which can stop reading or disconnect."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from typing import Any

from tests.faults import systems

RECEIVE_BUFFER = 4096
END = b"data: [DONE]"
READ_TIMEOUT_S = 30.0


class RawCaller:
    """One request on one connection; reads only when asked to."""

    def __init__(self, address: str, **body: Any) -> None:
        host, _, port = address.rpartition(":")
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
        )
        self.socket.connect((host, int(port)))
        self.socket.sendall(encode(body))

    async def read_to_end(self) -> bytes:
        """Reads until the stream or the connection ends."""
        reader, writer = await asyncio.open_connection(sock=self.socket)
        received = b""
        async with asyncio.timeout(READ_TIMEOUT_S):
            while END not in received:
                chunk = await reader.read(RECEIVE_BUFFER)
                if not chunk:
                    break
                received += chunk
        writer.close()
        return received

    def received(self) -> bytes:
        """Returns the first bytes of the response without reading them."""
        with contextlib.suppress(BlockingIOError):
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return self.socket.recv(RECEIVE_BUFFER, flags)
        return b""

    def close(self) -> None:
        """Disconnects."""
        self.socket.close()


def encode(body: dict[str, Any]) -> bytes:
    """Returns the bytes of a completion request."""
    content = json.dumps({"model": "chat", **body}).encode()
    head = (
        "POST /v1/completions HTTP/1.1\r\n"
        "Host: node\r\n"
        f"Authorization: Bearer {systems.KEY}\r\n"
        f"Content-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content
