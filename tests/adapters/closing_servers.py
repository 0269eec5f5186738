"""A server that closes reused connections while a request is in flight."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]"


@dataclasses.dataclass(slots=True)
class ClosingServer:
    """Responds to one request per connection and closes at the next one.

    Attributes:
        bodies: Bodies of all complete requests.
        stop_listening: Whether to stop listening before closing, like a
            process that died.
    """

    stop_listening: bool = False
    bodies: list[bytes] = dataclasses.field(default_factory=list)
    connections: int = 0
    address: str = ""
    server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.bodies.append(await read_request(reader))
        writer.write(RESPONSE)
        await writer.drain()
        with contextlib.suppress(asyncio.IncompleteReadError):
            self.bodies.append(await read_request(reader))
        if self.stop_listening:
            await self.close()
        writer.close()


async def read_request(reader: asyncio.StreamReader) -> bytes:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = 0
    for line in head.split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return await reader.readexactly(length)
