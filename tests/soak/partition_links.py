"""The links of one node to all endpoints, in a process beside the node.

Unlike ``cut_pools``, which cuts connections inside the node, this lets the
node's kernel see each cut.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import enum
import pathlib
import socket
import struct

from tests.soak import layout

POLL_INTERVAL_S = 0.02
CONNECT_TIMEOUT_S = 1.0
QUEUE_LENGTH = 1024
LINGER_ZERO = struct.pack("ii", 1, 0)


class Partition(enum.StrEnum):
    """What happens to a node's connections to endpoints.

    Attributes:
        RESET: Open ones are reset, new ones are refused.
        SILENT: Nothing passes; new ones get no response, as a queue is full.
        ONE_WAY: Requests arrive, responses don't; new ones are accepted.
        REFUSE_NEW: Open ones work on, new ones are refused.
        ACCEPT: Nothing passes; new ones are accepted and stay silent.
    """

    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"
    REFUSE_NEW = "refuse_new"
    ACCEPT = "accept"


PASSES_UP = (Partition.ONE_WAY, Partition.REFUSE_NEW)
REFUSES = (Partition.RESET, Partition.REFUSE_NEW)


class Side(asyncio.Protocol):
    """One side of a connection; forwards what it receives to the other.

    Attributes:
        is_up: Whether it receives what the node sends.
    """

    def __init__(self, links: Links, is_up: bool) -> None:
        self.links = links
        self.is_up = is_up
        self.other: Side | None = None
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.links.sides.add(self)

    def join(self, other: Side) -> None:
        self.other, other.other = other, self
        for data in self.waiting:
            self.data_received(data)
        self.waiting.clear()

    def data_received(self, data: bytes) -> None:
        if not self.links.passes(self.is_up):
            return
        if self.other is None:
            self.waiting.append(data)
        elif self.other.transport is not None:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        del exc
        self.links.sides.discard(self)
        if self.other is not None and self.other.transport is not None:
            if self.links.partition in (None, Partition.REFUSE_NEW):
                self.other.transport.close()
            elif self.is_up:
                self.other.transport.abort()

    def reset(self) -> None:
        if self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.transport.abort()


class Listener:
    """Accepts a node's connections to one endpoint."""

    def __init__(self, links: Links, address: str, upstream: str) -> None:
        self.links = links
        self.address = split(address)
        self.upstream = split(upstream)
        self.sock: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None
        self.fillers: list[socket.socket] = []

    def open(self) -> None:
        self.close()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.address)
        sock.listen(QUEUE_LENGTH)
        self.sock = sock
        self.accepting = asyncio.create_task(self.accept_all(sock))

    def close(self) -> None:
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        if self.sock is not None:
            self.sock.close()
            self.sock = None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def fill_queue(self) -> None:
        """Lets new connections wait without a response."""
        self.close()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(self.address)
        sock.listen(0)
        self.sock = sock
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    async def accept_all(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listening)
            self.links.run(self.serve(sock))

    async def serve(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        down = Side(self.links, is_up=True)
        await loop.connect_accepted_socket(lambda: down, sock)
        if self.links.partition is Partition.ACCEPT:
            return
        up = Side(self.links, is_up=False)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: up, *self.upstream)
        except (OSError, TimeoutError):
            down.reset()
            return
        down.join(up)


class Links:
    """All links of a node.

    Attributes:
        partition: What happens to connections; None for nothing.
    """

    def __init__(self) -> None:
        self.partition: Partition | None = None
        self.sides: set[Side] = set()
        self.listeners: list[Listener] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def run(self, work: asyncio._CoroutineLike[None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def passes(self, is_up: bool) -> bool:
        """Returns whether data passes; ``is_up``: from the node."""
        if self.partition is None or self.partition is Partition.REFUSE_NEW:
            return True
        return is_up and self.partition in PASSES_UP

    def begin(self, partition: Partition) -> None:
        self.partition = partition
        if partition is Partition.RESET:
            self.reset_all()
        for listener in self.listeners:
            if partition in REFUSES:
                listener.close()
            elif partition is Partition.SILENT:
                listener.fill_queue()

    def end(self) -> None:
        """Ends the partition; connections that lost bytes are reset."""
        was, self.partition = self.partition, None
        if was is not Partition.REFUSE_NEW:
            self.reset_all()
        for listener in self.listeners:
            if listener.accepting is None:
                listener.open()

    def reset_all(self) -> None:
        for side in list(self.sides):
            side.reset()


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


async def run(options: argparse.Namespace) -> None:
    links = Links()
    network = layout.Network(prefix=options.network)
    for index in range(options.engines):
        for generation in range(layout.MAX_GENERATIONS):
            upstream = network.engine(index, generation)
            address = layout.address_for_node(upstream, options.node)
            listener = Listener(links, address, upstream)
            listener.open()
            links.listeners.append(listener)
    file = pathlib.Path(options.file)
    while True:
        wanted = file.read_text() if file.exists() else ""
        if wanted and links.partition is None:
            links.begin(Partition(wanted))
        elif not wanted and links.partition is not None:
            links.end()
        await asyncio.sleep(POLL_INTERVAL_S)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--node", type=int, required=True)
    parser.add_argument("--network", required=True)
    parser.add_argument("--engines", type=int, required=True)
    parser.add_argument("--file", required=True)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
