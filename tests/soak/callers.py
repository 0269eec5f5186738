"""Callers of a soak: the requests that they send and the answers they get."""

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

CONNECT_TIMEOUT_S = 1.0
RESOLVE_TIMEOUT_S = 1.0
ANSWER_MARGIN_S = 5.0
"""Time after the deadline until a request counts as never answered."""

THINK_TIME_S = (0.05, 0.6)
RETRY_DELAY_S = 0.2
DISCONNECT_PROBABILITY = 0.03
LONG_STREAM_EVENTS = (150, 400)

FIRST_TRY_INTERVAL_S = 0.25
FIRST_TRY_PATIENCE_S = 2.4
FIRST_TRY_PLAIN_S = 1.5
"""Time between two first tries of a caller, time without data after which it
leaves, and its deadline of plain requests."""


class Ending(enum.StrEnum):
    """How an exchange ended."""

    WHOLE = "whole"
    CUT = "cut"
    UNANSWERED = "unanswered"
    LEFT = "left"
    NOT_SENT = "not_sent"


class Expected(enum.StrEnum):
    """How the configuration decides on a request.

    ``ALLOWED`` requests are allowed by every version. ``ADDED`` ones are
    allowed and ``DENIED`` ones denied by the newest version, some time after
    its ack.
    """

    ALLOWED = "allowed"
    ADDED = "added"
    DENIED = "denied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request and the part of its answer that the caller received.

    Attributes:
        acked_at: When the configuration behind ``expected`` was acked.
        version: The version of that configuration.
        proven_version: The version that its success shows to be in force; 0
            for none.
        ended_at: When the exchange ended; 0 while it is in progress.
        body: The part of the response body that was received.
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
    version: int = 0
    proven_version: int = 0

    def target(self) -> str:
        return f"/{self.route}/x?q={self.request_id}"

    def is_stream(self) -> bool:
        return self.events > 0

    def service(self) -> str:
        """Returns the service that the configuration sends it to."""
        return (
            layout.MODEL_SERVICE if self.is_stream() else layout.PLAIN_SERVICE
        )

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


class NodeConnection:
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

    async def read_while_idle(self, seconds: float) -> bytes:
        """Waits; returns bytes received while no request is in flight.

        The rest of an answer that the caller abandoned is not included.
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
        """Sends a request and reads as much of the answer as arrives."""
        request.sent_at = time.monotonic()
        request.ending = Ending.UNANSWERED
        try:
            async with asyncio.timeout(request.deadline_s + ANSWER_MARGIN_S):
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


class ConnectionPolicy(enum.StrEnum):
    """How a caller uses its connections.

    ``STICKY`` stays with a node until its process is gone, whatever the
    directory says, and reconnects if the node closes a connection;
    ``FOLLOW_DIRECTORY`` leaves nodes that the directory no longer lists;
    ``PER_REQUEST`` opens a connection for each request.
    """

    STICKY = "keeps"
    FOLLOW_DIRECTORY = "follows"
    PER_REQUEST = "hops"


class SoakCaller:
    """Sends requests one after another.

    Attributes:
        addresses: Entry addresses in the latest answer of a directory.
        pinned_entry: Entry address that the caller stays with; empty for none.
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
        self.policy = list(ConnectionPolicy)[number % len(ConnectionPolicy)]
        self.connection: NodeConnection | None = None
        self.addresses: list[str] = []
        self.addresses_valid_until = 0.0
        self.pinned_entry = ""
        self.sent = 0
        self.stopping = False

    async def run(self) -> None:
        while not self.stopping:
            try:
                connection = await self.get_connection()
                if connection is None:
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                await self.send_one(connection)
                await self.pause(connection)
            finally:
                if (
                    self.policy is ConnectionPolicy.PER_REQUEST
                    and self.connection is not None
                ):
                    self.connection.close()

    async def pause(self, connection: NodeConnection) -> None:
        stray = await connection.read_while_idle(
            self.rng.uniform(*THINK_TIME_S)
        )
        if stray:
            self.judge.report_stray_bytes(connection.node, stray)

    async def send_one(self, connection: NodeConnection) -> None:
        request = self.draw_request(connection.node)
        self.judge.record_sent(request)
        sending = asyncio.create_task(connection.exchange(request))
        disconnect_after_s = None
        if self.rng.random() < DISCONNECT_PROBABILITY:
            disconnect_after_s = self.rng.uniform(0.0, 1.0)
        await asyncio.wait([sending], timeout=disconnect_after_s)
        sending.cancel()
        await asyncio.wait([sending])
        self.judge.check_answer(request)
        if request.ending is Ending.CUT and not request.status:
            self.drop_address(self.entry_address(request.node))
            await asyncio.sleep(RETRY_DELAY_S)
        if request.status in (429, 503):
            wait_s = float(request.fields.get("retry-after", RETRY_DELAY_S))
            await asyncio.sleep(min(wait_s, 1.0))

    def draw_request(self, node: str) -> SentRequest:
        """Draws a random request."""
        route = self.rng.choice(["chat", "chat", "talk", "once", "look"])
        events = 0
        if route in ("chat", "talk"):
            max_events = self.rng.choice([20, 20, 60, 60, 120, 400])
            events = self.rng.randint(1, max_events)
        self.sent += 1
        return self.make_request(node, route, events)

    def make_request(self, node: str, route: str, events: int) -> SentRequest:
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
            deadline_s=16.0 if events else layout.PLAIN_DEADLINE_S,
        )

    async def get_connection(self) -> NodeConnection | None:
        """Returns an open or new connection; None if none is available."""
        await self.refresh_addresses()
        connection = self.connection
        if connection is not None and connection.is_open:
            is_named = self.entry_address(connection.node) in self.addresses
            if self.policy is ConnectionPolicy.STICKY or is_named:
                return connection
            connection.close()
        self.connection = None
        entry = self.pinned_entry or (self.rng.choice(self.addresses or [""]))
        if entry:
            self.connection = await self.connect(entry)
        return self.connection

    def drop_address(self, entry: str) -> None:
        """Skips a failed address until the next refresh."""
        self.addresses = [
            address for address in self.addresses if address != entry
        ]
        self.pinned_entry = ""

    def entry_address(self, name: str) -> str:
        return next(n.entry for n in self.system.nodes if n.name == name)

    async def connect(self, entry: str) -> NodeConnection | None:
        node = next(n for n in self.system.nodes if n.entry == entry)
        assert node.front is not None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await open_node_connection(
                    node.name, node.front.address
                )
        except (OSError, TimeoutError):
            self.drop_address(entry)
            return None
        if self.policy is ConnectionPolicy.STICKY:
            self.pinned_entry = entry
        return connection

    async def refresh_addresses(self) -> None:
        """Refreshes stale addresses from a directory; keeps them on failure."""
        if time.monotonic() < self.addresses_valid_until and self.addresses:
            return
        node = self.rng.choice(self.system.nodes)
        found = await resolve(node.directory)
        if found:
            self.judge.check_directory(node.name, found)
            self.addresses = found
            self.addresses_valid_until = time.monotonic() + 1.0


class LongStreamCaller(SoakCaller):
    """Sends only resumable streams, which outlive several pauses."""

    def draw_request(self, node: str) -> SentRequest:
        self.sent += 1
        return self.make_request(
            node, "chat", self.rng.randint(*LONG_STREAM_EVENTS)
        )


class PlainCaller(SoakCaller):
    """Sends only plain requests."""

    def draw_request(self, node: str) -> SentRequest:
        self.sent += 1
        route = self.rng.choice(["look", "look", "once"])
        return self.make_request(node, route, 0)


class FirstTryCaller(SoakCaller):
    """Sends single tries at a steady rate, each on a connection of its own.

    Unlike other callers, it doesn't wait for an answer before it sends again,
    so requests that hang lower no rate.
    """

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        due_at = loop.time() + self.rng.uniform(0.0, FIRST_TRY_INTERVAL_S)
        sending: set[asyncio.Task[None]] = set()
        while not self.stopping:
            await asyncio.sleep(due_at - loop.time())
            due_at += FIRST_TRY_INTERVAL_S
            task = asyncio.create_task(self.try_once())
            sending.add(task)
            task.add_done_callback(sending.discard)
        await asyncio.gather(*sending)

    async def try_once(self) -> None:
        node = self.rng.choice(self.system.nodes)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await open_node_connection(node.name, node.entry)
        except (OSError, TimeoutError):
            return
        request = self.draw_request(node.name)
        self.judge.record_sent(request)
        sending = asyncio.create_task(connection.exchange(request))
        await asyncio.wait([sending], timeout=FIRST_TRY_PATIENCE_S)
        if not request.body:
            sending.cancel()
        await asyncio.wait([sending])
        self.judge.check_answer(request)
        connection.close()

    def draw_request(self, node: str) -> SentRequest:
        route = self.rng.choices(
            ["chat", "talk", "once", "look"], [40, 7, 18, 24]
        )[0]
        is_stream = route in ("chat", "talk")
        self.sent += 1
        request = self.make_request(
            node, route, self.rng.randint(5, 25) if is_stream else 0
        )
        if not is_stream:
            request.deadline_s = FIRST_TRY_PLAIN_S
        return request


class OrderCaller(SoakCaller):
    """Sends only requests that may not be repeated."""

    def draw_request(self, node: str) -> SentRequest:
        self.sent += 1
        route = self.rng.choice(["once", "once", "talk"])
        events = self.rng.randint(1, 20) if route == "talk" else 0
        return self.make_request(node, route, events)


async def open_node_connection(node: str, address: str) -> NodeConnection:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    return NodeConnection(node, reader, writer)


async def resolve(directory: str) -> list[str]:
    """Asks a node which addresses to use; returns none without an answer."""
    host, _, port = directory.rpartition(":")
    head = "GET /resolve?name=h&region=r&zone=za HTTP/1.1\r\nHost: x\r\n\r\n"
    try:
        async with asyncio.timeout(RESOLVE_TIMEOUT_S):
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
