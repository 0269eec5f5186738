"""A small HTTP/1.1 server and client over asyncio streams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

MAX_HEAD = 65_536
REASONS = {200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found"}


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
        first: The words of the first line.
        headers: Values by lower-case name; the last one of a name.
        body: The whole body.
        ended: Whether the message was received completely.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""
    ended: bool = False

    @property
    def status(self) -> int:
        return int(self.first[1]) if len(self.first) > 1 else 0


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a first line and header fields; None at the end of stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(
    reader: asyncio.StreamReader, message: Message, to_end: bool
) -> None:
    """Reads a body; ``to_end``: one without a length lasts to the end."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                part = await reader.readexactly(size + 2)
                message.body += part[:-2]
                if size == 0:
                    break
        elif "content-length" in message.headers:
            count = int(message.headers["content-length"])
            message.body = await reader.readexactly(count)
        elif to_end:
            message.body = await reader.read()
        message.ended = True
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.ended = False


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Serializes a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def response_bytes(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Serializes a whole response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Channel:
    """A server's connection, as a handler sees it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(data)

    def answer(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        self.send(response_bytes(status, headers, body))

    @property
    def is_closed(self) -> bool:
        return self.writer.is_closing() or self.reader.at_eof()

    def reset(self) -> None:
        self.writer.transport.abort()


Handler = Callable[[Message, Channel], Awaitable[None]]


class Server:
    """Serves requests one after another on each connection."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self.host = host
        self.port = port
        self.handler = handler
        self.channels: set[Channel] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stops listening and resets all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for channel in list(self.channels):
            channel.reset()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        self.channels.add(channel)
        try:
            while not writer.is_closing():
                message = await read_head(reader)
                if message is None:
                    break
                await read_body(reader, message, to_end=False)
                if not message.ended:
                    break
                await self.handler(message, channel)
                await writer.drain()
        except OSError:
            pass
        finally:
            self.channels.discard(channel)
            writer.close()


async def events(
    reader: asyncio.StreamReader, message: Message
) -> AsyncIterator[bytes]:
    """Yields the parts of a chunked body as they arrive."""
    while True:
        try:
            size = int((await reader.readline()).split(b";")[0] or b"x", 16)
            part = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            return
        if size == 0:
            message.ended = True
            return
        yield part[:-2]
