"""Minimal stand-ins for the platform's engines and plain endpoints.

The first engine of a path streams events as long as every engine on the path
is alive and has kept its state. It records which requests ran, so that tests
can compare that with what callers were told.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import json
from typing import Any

from tornado import http1connection
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import web

from almondshift.platform import names

SIGNATURE = "X-Engine-Signature"
HEALTH_PATH = "/health"

ENDLESS_BLOCK_BYTES = 60_000
ENDLESS_PAUSE_S = 0.05
"""Bytes that an endpoint without end sends at a time, and the pause between
them, in seconds."""


class RequestFault(enum.Enum):
    """What an engine does to a request instead of running it."""

    NONE = enum.auto()
    REFUSE = enum.auto()
    RESET = enum.auto()
    CUT_HEAD = enum.auto()


class Framing(enum.Enum):
    """How the end of a response is marked."""

    CHUNKED = enum.auto()
    LENGTH = enum.auto()
    CLOSE = enum.auto()


@dataclasses.dataclass(slots=True)
class EngineCluster:
    """Engines by address, so that each can tell whether another is alive."""

    engines: dict[str, StandinEngine] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class RunningStream:
    """A stream that an engine runs as the first engine of its path.

    Attributes:
        path: Addresses with their layer ranges; each end is exclusive.
        starts: Each engine's start time when it joined the stream's path.
        stalled_on: Address of the engine that it waits for; empty for none.
    """

    path: list[tuple[str, int, int]]
    starts: dict[str, int] = dataclasses.field(default_factory=dict)
    stalled_on: str = ""


class StandinEngine:
    """An engine or a plain endpoint.

    Attributes:
        ran: Ids of the requests that it started to run.
        received_headers: Header fields of the requests that it received.
        events: Length of a stream in events.
        gap_s: Pause between events.
        is_dead: It makes no progress; its connections stay open.
        is_paused: The same, but others don't know of it: they wait for it
            and do not refuse paths through it.
        is_full: It refuses all new work for lack of memory.
        is_draining: It refuses all new work, and its health check fails.
        cut_after: Events after which a stream's connection is closed;
            negative for never.
        endless: What it sends over and over again, as bytes of the connection:
            after the first event of a stream, or as body of a plain response;
            empty for nothing.
        framing: How a plain endpoint sends a stream of events; None for a
            short response.
        cut_event: Where a plain endpoint closes a stream: the number of an
            event, and the number of its bytes that are sent; None for nowhere.
        numbers_events: Whether the events of a plain endpoint have IDs.
        whole_body: What an engine responds with in place of a stream; None for
            a stream.
        status: Response status of plain requests.
        raw_status: Text of the status of all its responses to requests; empty
            for valid ones.
        signs: Whether it signs responses to plain requests.
        backoffs: Values of Retry-After with which it refuses all requests, one
            field each; empty to refuse none.
        says_leaving: Each response says that it is shutting down.
        repeats_refusals: It sends each refusal once more, just before its
            response to the next request on the connection.
        crashing_body: A request with this body crashes the engine; empty for
            none.
        crashing_part: A request with this part in its prompt crashes the
            engine too; empty for none.
        on_crash: Called when such a request crashes it.
        crashes_silently: Its connections stay open then, without any data.
        born: Its start in Unix milliseconds; 0 to omit it.
        entries: Number of its registry entries so far.
        limits: Rate limits that its responses name, one field each.
        draw_fault: Called for each request to run.
        cut_head: What it sends before it closes, for ``CUT_HEAD``.
        arrivals: Loop times at which requests to run arrived.
        arrived_ids: Ids of these requests.
        other_calls: Loop times at which other calls arrived.
    """

    def __init__(
        self, cluster: EngineCluster, instance: str, kind: str, layers: int = 80
    ) -> None:
        self.cluster = cluster
        self.instance = instance
        self.kind = kind
        self.layer_count = layers
        self.layers: tuple[int, int] | None = None
        self.orders = 0
        self.ran: list[str] = []
        self.received_headers: list[dict[str, str]] = []
        self.received_bodies: list[bytes] = []
        self.running: dict[str, RunningStream] = {}
        self.events = 20
        self.gap_s = 0.01
        self.first_event_delay_s = 0.0
        self.is_dead = False
        self.is_paused = False
        self.is_full = False
        self.is_draining = False
        self.cut_after = -1
        self.endless = b""
        self.framing: Framing | None = None
        self.cut_event: tuple[int, int] | None = None
        self.numbers_events = True
        self.whole_body: bytes | None = None
        self.status = 200
        self.raw_status = ""
        self.signs = True
        self.backoffs: list[str] = []
        self.says_leaving = False
        self.repeats_refusals = False
        self.late_copies: dict[iostream.IOStream, bytes] = {}
        self.response_delay_s = 0.0
        self.resets = False
        self.crashing_body = b""
        self.crashing_part = ""
        self.on_crash = lambda: None
        self.crashes_silently = False
        self.cancelled: list[str] = []
        self.limits: list[str] = []
        self.draw_fault = lambda: RequestFault.NONE
        self.cut_head = b""
        self.arrivals: list[float] = []
        self.arrived_ids: list[str] = []
        self.other_calls: list[float] = []
        self.born = 0
        self.entries = 0
        self.address = ""
        self.on_change = lambda: None
        self.server: httpserver.HTTPServer | None = None

    @property
    def is_silent(self) -> bool:
        """Whether it makes no progress and answers no calls."""
        return self.is_dead or self.is_paused

    async def start(self, port: int = 0) -> None:
        """Listens on a port; 0 for any free one."""
        application = web.Application(
            [
                (names.ENGINE_REPORT, ReportHandler, {"engine": self}),
                (names.ENGINE_ORDER, OrderHandler, {"engine": self}),
                (HEALTH_PATH, HealthHandler, {"engine": self}),
                (r"/.*", WorkHandler, {"engine": self}),
            ],
            log_function=lambda handler: None,
        )
        sockets = netutil.bind_sockets(port, "127.0.0.1")
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        self.cluster.engines[self.address] = self

    async def close(self) -> None:
        assert self.server is not None
        self.server.stop()
        await self.server.close_all_connections()

    async def restart(self, updates_registry: bool = True) -> None:
        """Simulates a crash and a restart under the same name, without layers.

        Args:
            updates_registry: Whether the registry entry is updated at once.
        """
        assert self.server is not None
        self.born += 1_000
        self.layers = None
        self.orders = 0
        await self.server.close_all_connections()
        if updates_registry:
            self.on_change()

    def entry(self, service: str, zone: str, state: str = "ready") -> Any:
        """Returns the engine's next registry entry."""
        self.entries += 1
        layers = None
        if self.layers is not None:
            layers = {"from": self.layers[0], "to": self.layers[1]}
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "slots": 96,
            "state": state,
            "seq": self.entries,
            "kind": self.kind,
            "layers": layers,
            **self.start_fields(),
        }

    def start_fields(self) -> dict[str, int]:
        """Returns the start time as published in entries and reports."""
        return {"born": self.born} if self.born else {}

    def set_path(
        self, run: RunningStream, path: list[tuple[str, int, int]]
    ) -> None:
        """Assigns a path; engines on the old and the new one keep state."""
        kept = {address: run.starts.get(address) for address, _, _ in run.path}
        run.path = path
        run.stalled_on = ""
        for address, _, _ in path:
            held_since = kept.get(address)
            if held_since is None:
                held_since = self.cluster.engines[address].born
            run.starts[address] = held_since

    def refusal(self, path: list[tuple[str, int, int]]) -> tuple[int, str]:
        """Returns a status and the address at fault; 0 if the path can run."""
        for address, start, end in path:
            other = self.cluster.engines.get(address)
            if other is None or other.is_dead:
                return 503, address
            if other.is_full or other.is_draining:
                return 503, address
            held = other.layers
            if held is None or start < held[0] or end > held[1]:
                return 421, address
        return 0, ""


class EngineHandler(web.RequestHandler):
    def initialize(self, engine: StandinEngine) -> None:
        self.engine = engine

    is_request = False

    async def prepare(self) -> None:
        now = asyncio.get_running_loop().time()
        engine = self.engine
        if self.is_request:
            engine.arrivals.append(now)
            request_id = self.request.headers.get(names.REQUEST_ID, "")
            engine.arrived_ids.append(request_id)
        else:
            engine.other_calls.append(now)
        for limit in engine.limits:
            self.add_header(names.RATE_LIMIT, limit)
        if engine.says_leaving:
            self.set_header("Server-Leaving", "1")
        late_copy = engine.late_copies.pop(self.stream(), b"")
        if late_copy:
            await self.stream().write(late_copy)
        while self.engine.is_silent:
            await asyncio.sleep(0.02)
        wanted = self.request.headers.get(names.EXPECTED_INSTANCE)
        if wanted is not None and wanted != self.engine.instance:
            self.refuse(421)
            self.finish()

    def stream(self) -> iostream.IOStream:
        """Returns the stream of the connection."""
        connection = self.request.connection
        assert isinstance(connection, http1connection.HTTP1Connection)
        return connection.stream

    def refuse(self, status: int, faulty_address: str = "") -> None:
        """Sets the head of a refusal, of which a copy may follow later."""
        fields = {
            "X-Request-Id": self.request.headers.get(names.REQUEST_ID, ""),
            "X-Not-Executed": "1",
        }
        if faulty_address:
            fields["At-Server"] = faulty_address
        self.set_status(status)
        for name, value in fields.items():
            self.set_header(name, value)
        if self.engine.repeats_refusals:
            lines = [f"HTTP/1.1 {status} Refused", "Content-Length: 0"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            late_copy = "\r\n".join([*lines, "", ""])
            self.engine.late_copies[self.stream()] = late_copy.encode()


class ReportHandler(EngineHandler):
    def get(self) -> None:
        stalled = [
            {"id": request_id, "address": run.stalled_on}
            for request_id, run in self.engine.running.items()
            if run.stalled_on
        ]
        report = {"pace": 1.0, "seq": self.engine.orders, "stalled": stalled}
        self.write({**report, **self.engine.start_fields()})


class HealthHandler(EngineHandler):
    def get(self) -> None:
        self.set_status(503 if self.engine.is_draining else 200)


class OrderHandler(EngineHandler):
    def post(self) -> None:
        order = json.loads(self.request.body)
        if order.get("expectedRev", self.engine.orders) != self.engine.orders:
            self.set_status(409)
        elif order["op"] == "place":
            self.engine.layers = (order["from"], order["to"])
            self.engine.orders += 1
            self.engine.on_change()
            self.set_status(202)
        elif order["op"] == "repath":
            self.repath(order["id"], parse_path(order["path"]))

    def repath(self, request_id: str, path: list[tuple[str, int, int]]) -> None:
        run = self.engine.running.get(request_id)
        if run is None:
            self.set_status(404)
            return
        status, address = self.engine.refusal(path)
        if status:
            self.set_status(409)
            self.write({"address": address})
            return
        self.engine.set_path(run, path)


class WorkHandler(EngineHandler):
    is_request = True
    request_id = ""

    async def get(self) -> None:
        await self.work()

    async def post(self) -> None:
        await self.work()

    def on_connection_close(self) -> None:
        self.engine.cancelled.append(self.request_id)

    async def work(self) -> None:
        self.request_id = self.request.headers[names.REQUEST_ID]
        self.engine.received_headers.append(dict(self.request.headers))
        self.engine.received_bodies.append(self.request.body)
        self.set_header("X-Request-Id", self.request_id)
        if self.engine.backoffs:
            self.refuse(503)
            for value in self.engine.backoffs:
                self.add_header("Retry-After", value)
            return
        fault = self.engine.draw_fault()
        if fault is RequestFault.REFUSE:
            self.refuse(503)
            return
        if fault is RequestFault.RESET:
            self.detach().close()
            return
        if fault is RequestFault.CUT_HEAD:
            stream = self.detach()
            await stream.write(self.engine.cut_head)
            stream.close()
            return
        if self.engine.raw_status:
            self.engine.ran.append(self.request_id)
            with contextlib.suppress(iostream.StreamClosedError):
                await self.respond_raw(self.engine.raw_status)
            return
        if self.engine.layers is None and not self.request.headers.get(
            names.PATH
        ):
            await self.plain()
            return
        path = parse_path(self.request.headers.get(names.PATH, ""))
        status, address = self.engine.refusal(path)
        if status:
            self.refuse(status, address)
            return
        await self.run_stream(path)

    async def plain(self) -> None:
        self.engine.ran.append(self.request_id)
        await asyncio.sleep(self.engine.response_delay_s)
        if self.engine.resets:
            self.detach().close()
            return
        if self.crashes():
            await self.hang()
            return
        if self.engine.endless:
            with contextlib.suppress(iostream.StreamClosedError):
                await self.respond_without_end(self.engine.endless)
            return
        if self.engine.framing is not None and self.engine.status == 200:
            with contextlib.suppress(iostream.StreamClosedError):
                await self.stream_alone(self.engine.framing)
            return
        if self.engine.signs:
            self.set_header(SIGNATURE, f"sig-{self.engine.instance}")
        self.set_status(self.engine.status)
        self.write(b"done " + self.request.body)

    async def respond_raw(self, status: str) -> None:
        """Sends a whole response, and keeps the connection open."""
        lines = [
            f"HTTP/1.1 {status} Odd",
            f"X-Request-Id: {self.request_id}",
            f"{SIGNATURE}: sig-{self.engine.instance}",
            "Content-Length: 3",
        ]
        await self.detach().write("\r\n".join([*lines, "", "odd"]).encode())

    async def respond_without_end(self, repeated: bytes) -> None:
        """Sends a body without a length or chunks, for as long as possible."""
        stream = self.detach()
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {self.request_id}",
            f"{SIGNATURE}: sig-{self.engine.instance}",
        ]
        await stream.write("\r\n".join([*lines, "", ""]).encode())
        block = repeated * (ENDLESS_BLOCK_BYTES // len(repeated) + 1)
        while True:
            await stream.write(block)

    async def stream_alone(self, framing: Framing) -> None:
        """Sends the events after the last one that the caller has."""
        after = int(self.request.headers.get(names.LAST_EVENT_ID, "0"))
        numbers = range(after + 1, self.engine.events + 1)
        stream = self.detach()
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {self.request_id}",
            f"{SIGNATURE}: sig-{self.engine.instance}",
            "Content-Type: text/event-stream",
        ]
        if framing is Framing.CHUNKED:
            lines.append("Transfer-Encoding: chunked")
        elif framing is Framing.LENGTH:
            length = sum(len(event(number)) for number in numbers)
            lines.append(f"Content-Length: {length}")
        await stream.write("\r\n".join([*lines, "", ""]).encode())
        for number in numbers:
            sent = event(number)
            if not self.engine.numbers_events:
                sent = sent.partition(b"\n")[2]
            is_cut = self.engine.cut_event is not None and (
                number == self.engine.cut_event[0]
            )
            if is_cut and self.engine.cut_event is not None:
                sent = sent[: self.engine.cut_event[1]]
            if framing is Framing.CHUNKED and sent:
                sent = f"{len(sent):x}\r\n".encode() + sent + b"\r\n"
            await stream.write(sent)
            if is_cut:
                stream.close()
                return
            await asyncio.sleep(self.engine.gap_s)
        if framing is Framing.CHUNKED:
            await stream.write(b"0\r\n\r\n")
        stream.close()

    def crashes(self) -> bool:
        """Crashes the engine if the request has the crashing body or part."""
        body, part = self.engine.crashing_body, self.engine.crashing_part
        parts = self.request.headers.get(names.PROMPT_PARTS, "")
        has_body = bool(body) and self.request.body == body
        if not has_body and not (part and part in parts):
            return False
        if not self.engine.crashes_silently:
            self.detach().close()
        self.engine.on_crash()
        return True

    async def hang(self) -> None:
        """Keeps the connection open while the engine is dead."""
        while self.engine.is_dead:
            await asyncio.sleep(0.02)

    async def run_stream(self, path: list[tuple[str, int, int]]) -> None:
        self.engine.ran.append(self.request_id)
        if self.crashes():
            return
        if self.engine.whole_body is not None:
            await asyncio.sleep(self.engine.response_delay_s)
            self.set_header(SIGNATURE, f"sig-{self.engine.instance}")
            self.set_status(self.engine.status)
            self.write(self.engine.whole_body)
            return
        run = RunningStream(path)
        self.engine.set_path(run, path)
        self.engine.running[self.request_id] = run
        self.set_header(SIGNATURE, f"sig-{self.engine.instance}")
        self.set_header("Content-Type", "text/event-stream")
        after = int(self.request.headers.get(names.LAST_EVENT_ID, "0"))
        try:
            with contextlib.suppress(iostream.StreamClosedError):
                await self.send_events(run, after)
        finally:
            self.engine.running.pop(self.request_id, None)

    async def send_events(self, run: RunningStream, after: int) -> None:
        """Sends events at their due times, which only a stalled path delays.

        With a pause of the same length after each event, a stream would take
        longer the busier the process is that runs the whole test.
        """
        await asyncio.sleep(self.engine.first_event_delay_s)
        loop = asyncio.get_running_loop()
        due = loop.time()
        for number in range(after + 1, self.engine.events + 1):
            due += await self.wait_for_path(run)
            if number - after > self.engine.cut_after >= 0:
                self.write(f"id: {number}\nda".encode())
                await self.flush()
                self.request.connection.stream.close()  # type: ignore[union-attr]
                return
            self.write(event(number))
            await self.flush()
            if self.engine.endless:
                await self.send_without_end(self.engine.endless)
            due += self.engine.gap_s
            await asyncio.sleep(due - loop.time())

    async def send_without_end(self, repeated: bytes) -> None:
        """Sends the same bytes until the caller closes the connection."""
        stream = self.detach()
        block = repeated * (ENDLESS_BLOCK_BYTES // len(repeated) + 1)
        while True:
            await stream.write(block)
            await asyncio.sleep(ENDLESS_PAUSE_S)

    async def wait_for_path(self, run: RunningStream) -> float:
        """Waits until the path makes progress; returns the seconds waited."""
        engines = self.engine.cluster.engines
        loop = asyncio.get_running_loop()
        started = loop.time()
        stalled_s = 0.0
        while True:
            # An engine that gives up layers lets the running streams finish,
            # so only dead and restarted engines stall a stream.
            dead = [
                address
                for address, _, _ in run.path
                if engines[address].is_silent
                or engines[address].born != run.starts[address]
            ]
            if not dead and not self.engine.is_silent:
                return stalled_s
            run.stalled_on = dead[0] if dead else ""
            await asyncio.sleep(0.01)
            stalled_s = loop.time() - started


def parse_path(text: str) -> list[tuple[str, int, int]]:
    path = []
    for part in filter(None, text.split(",")):
        address, _, layers = part.partition("=")
        start, _, end = layers.partition("-")
        path.append((address, int(start), int(end)))
    return path


def event(number: int) -> bytes:
    """Returns an event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()
