"""A TCP proxy that injects faults between two processes under test."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import os
import socket
import struct

CHUNK_BYTES = 65_536
POLL_S = 0.005
LINGER_ZERO = struct.pack("ii", 1, 0)


class Direction(enum.StrEnum):
    """Direction of bytes; requests of the client go up."""

    UP = "up"
    DOWN = "down"


def own_host() -> str:
    """Returns a loopback address that only this process listens on.

    On a shared address, another process could get the port of a proxy that
    refuses connections for a while.
    """
    process = os.getpid()
    host = f"127.{1 + process // 65_536 % 200}"
    return host + f".{process // 256 % 256}.{process % 254 + 1}"


class FaultProxy:
    """Forwards connections to one upstream; attributes set its faults.

    Attributes:
        upstream: ``host:port`` that connections are forwarded to.
        address: ``host:port`` to connect to, after ``start``.
        delay_s: Delay of each chunk, in each direction.
        blocked_directions: Directions in which bytes are held back. They are
            delivered after the direction is removed, as TCP would retransmit
            them.
        swallow_answers: Whether bytes that the upstream sends are dropped.
        request_limit: Bytes forwarded upstream on each connection; later
            ones are dropped. None for no limit.
        answer_limit: The same for bytes that the upstream sends.
        held_request_content: Requests that contain this are held back until it
            changes; None for none.
        held_requests: Number of requests that are being held back.
        held_response_to: Responses are held back on connections on which a
            request contained this, until it changes; None for none.
        trickle_bytes_s: Bytes per second in each direction; 0 for no limit.
        closes_with_client: Whether the end of a client's bytes closes both
            connections; else only that direction, until the upstream closes.
        connections: Number of connections accepted so far.
        delivered_bytes: Number of bytes delivered so far, by direction.
        requests: Number of HTTP requests received, by request line.
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.address = ""
        self.delay_s = 0.0
        self.blocked_directions: set[Direction] = set()
        self.swallow_answers = False
        self.request_limit: int | None = None
        self.answer_limit: int | None = None
        self.held_request_content: bytes | None = None
        self.held_requests = 0
        self.held_response_to: bytes | None = None
        self.held_response_streams: set[asyncio.StreamReader] = set()
        self.trickle_bytes_s = 0
        self.closes_with_client = False
        self.connections = 0
        self.delivered_bytes = dict.fromkeys(Direction, 0)
        self.requests: collections.Counter[str] = collections.Counter()
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listens on loopback, on a port chosen by the OS."""
        await self.accept()

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        await self.refuse()
        self.cut()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def accept(self) -> None:
        """Accepts connections; after ``refuse``, on the same port."""
        if self.server is not None:
            return
        host = own_host()
        self.server = await asyncio.start_server(self.serve, host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{self.port}"

    async def refuse(self) -> None:
        """Refuses new connections; existing ones stay open."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def cut(self) -> None:
        """Resets (RST) all existing connections on both sides."""
        for writer in list(self.writers):
            reset(writer)

    def heal(self) -> None:
        """Clears all faults except ``refuse``."""
        self.delay_s = 0.0
        self.blocked_directions.clear()
        self.swallow_answers = False
        self.request_limit = None
        self.answer_limit = None
        self.held_request_content = None
        self.held_response_to = None
        self.trickle_bytes_s = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection until both directions are closed."""
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            await self.forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            reset(writer)
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    async def forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connects to the upstream and forwards both directions."""
        host, _, port = self.upstream.rpartition(":")
        up_reader, up_writer = await asyncio.open_connection(host, int(port))
        self.writers.add(up_writer)
        try:
            await asyncio.gather(
                self.pump(reader, up_writer, Direction.UP, up_reader),
                self.pump(up_reader, writer, Direction.DOWN, up_reader),
            )
        finally:
            self.held_response_streams.discard(up_reader)
            self.writers.discard(up_writer)
            up_writer.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        upstream_reader: asyncio.StreamReader,
    ) -> None:
        """Forwards one direction until EOF, then forwards the EOF."""
        forwarded = 0
        while chunk := await reader.read(self.chunk_bytes()):
            await self.delay_chunk(direction, len(chunk))
            if direction is Direction.UP:
                self.count_request(chunk)
                self.mark_held_response(chunk, upstream_reader)
                await self.hold_request(chunk)
            else:
                await self.hold_response(upstream_reader)
            deliverable = self.truncate(chunk, direction, forwarded)
            forwarded += len(deliverable)
            self.delivered_bytes[direction] += len(deliverable)
            writer.write(deliverable)
            await writer.drain()
        await self.delay_chunk(direction, 0)
        if direction is Direction.UP and self.closes_with_client:
            writer.close()
        elif writer.can_write_eof() and not writer.is_closing():
            with contextlib.suppress(OSError):
                writer.write_eof()

    def count_request(self, chunk: bytes) -> None:
        """Counts a chunk if it starts with a request line."""
        line, _, _ = chunk.partition(b"\r\n")
        if line.endswith(b" HTTP/1.1"):
            self.requests[line.decode(errors="replace")] += 1

    def chunk_bytes(self) -> int:
        """Returns the maximum number of bytes to forward at once."""
        if not self.trickle_bytes_s:
            return CHUNK_BYTES
        return max(1, self.trickle_bytes_s // 20)

    async def delay_chunk(self, direction: Direction, size: int) -> None:
        """Applies the delay, the rate limit and blocked directions."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.trickle_bytes_s:
            await asyncio.sleep(size / self.trickle_bytes_s)
        while direction in self.blocked_directions:
            await asyncio.sleep(POLL_S)

    async def hold_request(self, chunk: bytes) -> None:
        """Waits while a request is to be held back."""
        self.held_requests += 1
        while (
            self.held_request_content is not None
            and self.held_request_content in chunk
        ):
            await asyncio.sleep(POLL_S)
        self.held_requests -= 1

    def mark_held_response(
        self, chunk: bytes, upstream_reader: asyncio.StreamReader
    ) -> None:
        """Marks the response to a request to be held back."""
        if self.held_response_to is not None and self.held_response_to in chunk:
            self.held_response_streams.add(upstream_reader)

    async def hold_response(
        self, upstream_reader: asyncio.StreamReader
    ) -> None:
        """Waits while a response is to be held back."""
        while (
            self.held_response_to is not None
            and upstream_reader in self.held_response_streams
        ):
            await asyncio.sleep(POLL_S)

    def truncate(
        self, chunk: bytes, direction: Direction, forwarded: int
    ) -> bytes:
        """Returns the part of a chunk that is delivered."""
        limit = self.request_limit
        if direction is Direction.DOWN:
            limit = 0 if self.swallow_answers else self.answer_limit
        if limit is None:
            return chunk
        return chunk[: max(0, limit - forwarded)]


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with RST instead of FIN."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


async def create_fault_proxy(upstream: str) -> FaultProxy:
    """Creates and starts a proxy in front of ``host:port``."""
    proxy = FaultProxy(upstream)
    await proxy.start()
    return proxy
