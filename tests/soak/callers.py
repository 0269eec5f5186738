"""Callers of a soak: what they send, and what they make of the answers."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import hashlib
import json
import random
import time
from typing import TYPE_CHECKING

from tests.soak import layout

if TYPE_CHECKING:
    from tests.soak import judge as soak_judge
    from tests.soak import system as soak_system

CONNECT_S = 1.0
RESOLVE_S = 1.0
PATIENCE_S = 5.0
"""Beyond the deadline; then a request counts as never answered."""

PAUSE_S = (0.05, 0.6)
RETRY_S = 0.2
LEAVE_EARLY = 0.03


class Ending(enum.StrEnum):
    """How an exchange ended."""

    WHOLE = "whole"
    CUT = "cut"
    UNANSWERED = "unanswered"
    LEFT = "left"
    NOT_SENT = "not_sent"


class Expected(enum.StrEnum):
    """What the configuration says of a request.

    ``ALLOWED`` is allowed by every version; ``ADDED`` and ``DENIED`` by the
    newest one, from some time after its ack.
    """

    ALLOWED = "allowed"
    ADDED = "added"
    DENIED = "denied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request and what the caller saw of its answer.

    Attributes:
        acked_at: When the configuration that ``expected`` is of was acked.
        ended_at: 0 while it waits.
        body: Of the answer, as much as came.
    """

    request_id: str
    node: str
    route: str
    key: str
    account: str
    payload: bytes
    events: int
    deadline_s: float
    sent_at: float = 0.0
    ended_at: float = 0.0
    ending: Ending = Ending.NOT_SENT
    status: int = 0
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    expected: Expected = Expected.ALLOWED
    acked_at: float = 0.0

    def target(self) -> str:
        return f"/{self.route}/x?q={self.request_id}"

    def is_stream(self) -> bool:
        return self.events > 0

    def is_idempotent(self) -> bool:
        return self.route not in ("once", "talk")

    def digest(self) -> str:
        return hashlib.sha256(self.payload).hexdigest()

    def head(self) -> bytes:
        lines = [
            f"POST {self.target()} HTTP/1.1",
            f"Host: {layout.HOST}",
            f"X-Request-Id: {self.request_id}",
            f"X-Deadline-Ms: {self.deadline_s * 1000:.0f}",
            f"Authorization: Bearer {self.key}",
            "X-Tenant: forged",
            f"X-Token-Usage: 100,{self.events}",
            f"Content-Length: {len(self.payload)}",
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Channel:
    """A caller's connection to a node."""

    def __init__(
        self,
        node: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.node = node
        self.reader = reader
        self.writer = writer
        self.is_open = True

    def close(self) -> None:
        self.is_open = False
        self.writer.close()

    async def idle(self, seconds: float) -> bytes:
        """Waits; returns bytes that came with no request waiting.

        What is left of an answer that the caller left early is none of them.
        """
        if not self.is_open:
            await asyncio.sleep(seconds)
            return b""
        try:
            found = await asyncio.wait_for(self.reader.read(1), seconds)
        except TimeoutError:
            return b""
        except OSError:
            found = b""
        self.close()
        return found

    async def exchange(self, request: SentRequest) -> None:
        """Sends a request and reads its answer as far as it comes."""
        request.sent_at = time.monotonic()
        request.ending = Ending.UNANSWERED
        try:
            async with asyncio.timeout(request.deadline_s + PATIENCE_S):
                self.writer.write(request.head() + request.payload)
                await self.writer.drain()
                await self.read_answer(request)
                request.ending = Ending.WHOLE
        except TimeoutError:
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            request.ending = Ending.CUT
            self.close()
        except asyncio.CancelledError:
            request.ending = Ending.LEFT
            self.close()
            raise
        finally:
            request.ended_at = time.monotonic()

    async def read_answer(self, request: SentRequest) -> None:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        request.status = int(lines[0].split()[1])
        pairs = (line.partition(":") for line in lines[1:] if line)
        request.fields = {n.lower(): v.strip() for n, _, v in pairs}
        if "content-length" in request.fields:
            left = int(request.fields["content-length"])
            while left:
                chunk = await self.read_some(left)
                request.body += chunk
                left -= len(chunk)
        else:
            await self.read_chunks(request)
        if request.fields.get("connection", "").lower() == "close":
            self.close()

    async def read_chunks(self, request: SentRequest) -> None:
        while True:
            size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
            left = size
            while left:
                chunk = await self.read_some(left)
                request.body += chunk
                left -= len(chunk)
            await self.reader.readexactly(2)
            if not size:
                return

    async def read_some(self, most: int) -> bytes:
        chunk = await self.reader.read(most)
        if not chunk:
            raise asyncio.IncompleteReadError(chunk, most)
        return chunk


class Habit(enum.StrEnum):
    """How a caller uses its connections.

    ``KEEPS`` stays with a node until its process is gone, whatever the
    directory says, and connects again if the node closes a connection;
    ``FOLLOWS`` leaves nodes that the directory no longer names; ``HOPS``
    opens one for each request.
    """

    KEEPS = "keeps"
    FOLLOWS = "follows"
    HOPS = "hops"


class SoakCaller:
    """Sends one request after the other.

    Attributes:
        known: Entry addresses by the newest answer of a directory.
        home: Entry address of the node that it stays with; empty for none.
    """

    def __init__(
        self,
        number: int,
        system: soak_system.SoakSystem,
        judge: soak_judge.Judge,
    ) -> None:
        self.number = number
        self.system = system
        self.judge = judge
        self.rng = random.Random(f"{system.options.seed}-caller-{number}")
        self.habit = list(Habit)[number % len(Habit)]
        self.channel: Channel | None = None
        self.known: list[str] = []
        self.known_until = 0.0
        self.home = ""
        self.sent = 0
        self.stopping = False

    async def run(self) -> None:
        while not self.stopping:
            try:
                channel = await self.connected()
                if channel is None:
                    await asyncio.sleep(RETRY_S)
                    continue
                await self.send_one(channel)
                await self.pause(channel)
            finally:
                if self.habit is Habit.HOPS and self.channel is not None:
                    self.channel.close()

    async def pause(self, channel: Channel) -> None:
        stray = await channel.idle(self.rng.uniform(*PAUSE_S))
        if stray:
            self.judge.stray_bytes(channel.node, stray)

    async def send_one(self, channel: Channel) -> None:
        request = self.draw(channel.node)
        self.judge.sending(request)
        sending = asyncio.create_task(channel.exchange(request))
        patience_s = None
        if self.rng.random() < LEAVE_EARLY:
            patience_s = self.rng.uniform(0.0, 1.0)
        await asyncio.wait([sending], timeout=patience_s)
        sending.cancel()
        await asyncio.wait([sending])
        self.judge.answered(request)
        if request.ending is Ending.CUT and not request.status:
            self.pass_over(self.entry_of(request.node))
            await asyncio.sleep(RETRY_S)
        if request.status in (429, 503):
            wait_s = float(request.fields.get("retry-after", RETRY_S))
            await asyncio.sleep(min(wait_s, 1.0))

    def draw(self, node: str) -> SentRequest:
        """Draws the next request."""
        route = self.rng.choice(["chat", "chat", "talk", "once", "look"])
        events = 0
        if route in ("chat", "talk"):
            longest = self.rng.choice([20, 20, 60, 60, 120, 400])
            events = self.rng.randint(1, longest)
        self.sent += 1
        return self.make(node, route, events)

    def make(self, node: str, route: str, events: int) -> SentRequest:
        request_id = f"c{self.number}-{self.sent}"
        size = self.rng.choice([0, 10, 10, 3000])
        return SentRequest(
            request_id=request_id,
            node=node,
            route=route,
            key=layout.STEADY_KEY,
            account=layout.STEADY_ACCOUNT,
            payload=request_id.encode() + self.rng.randbytes(size),
            events=events,
            deadline_s=16.0 if events else 4.0,
        )

    async def connected(self) -> Channel | None:
        """Returns a connection to use, new or kept; None if none is found."""
        await self.look_up()
        channel = self.channel
        if channel is not None and channel.is_open:
            is_named = self.entry_of(channel.node) in self.known
            if self.habit is Habit.KEEPS or is_named:
                return channel
            channel.close()
        self.channel = None
        entry = self.home or (self.rng.choice(self.known or [""]))
        if entry:
            self.channel = await self.connect(entry)
        return self.channel

    def pass_over(self, entry: str) -> None:
        """Leaves out an address that failed until the next look-up."""
        self.known = [known for known in self.known if known != entry]
        self.home = ""

    def entry_of(self, name: str) -> str:
        return next(n.entry for n in self.system.nodes if n.name == name)

    async def connect(self, entry: str) -> Channel | None:
        node = next(n for n in self.system.nodes if n.entry == entry)
        assert node.front is not None
        try:
            async with asyncio.timeout(CONNECT_S):
                channel = await open_channel(node.name, node.front.address)
        except (OSError, TimeoutError):
            self.pass_over(entry)
            return None
        if self.habit is Habit.KEEPS:
            self.home = entry
        return channel

    async def look_up(self) -> None:
        """Asks a directory when what it said is old; keeps it on failure."""
        if time.monotonic() < self.known_until and self.known:
            return
        node = self.rng.choice(self.system.nodes)
        found = await resolve(node.directory)
        if found:
            self.judge.resolved(node.name, found)
            self.known = found
            self.known_until = time.monotonic() + 1.0


async def open_channel(node: str, address: str) -> Channel:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    return Channel(node, reader, writer)


async def resolve(directory: str) -> list[str]:
    """Asks a node which addresses to use; empty without an answer."""
    host, _, port = directory.rpartition(":")
    head = "GET /resolve?name=h&region=r&zone=za HTTP/1.1\r\nHost: x\r\n\r\n"
    try:
        async with asyncio.timeout(RESOLVE_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(head.encode())
                answer = (await reader.readuntil(b"\r\n\r\n")).decode()
                if " 200 " not in answer.split("\r\n")[0]:
                    return []
                fields = answer.lower().split("content-length:")[1]
                length = int(fields.split("\r\n")[0])
                body = await reader.readexactly(length)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return []
    return list(json.loads(body)["addresses"])
