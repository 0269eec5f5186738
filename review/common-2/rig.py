"""Stand-ins for the platform's store, engines and clients, and real nodes.

Only the standard library is used. Nodes run as separate processes with the
command of the deploy file. Each node gets its own address of the store and of
every engine, so that the links of a single node can be cut.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
OTHER_KEY = "k7pqzzs989anu6wsjnb2"
MODEL = "writers"
PLAIN = "approvals"


class Record:
    """The record of what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


FIRST_PORT = 12_000
LAST_PORT = 30_000
"""Ports below those that the system gives to outgoing channels: a node must
get its port again when it is restarted."""

given_ports: set[int] = set()


def free_port() -> int:
    """Returns a port on which nothing listens."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in given_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        given_ports.add(port)
        return port


@dataclasses.dataclass
class Message:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes

    def get(self, name: str, default: str = "") -> str:
        for key, value in self.headers:
            if key == name:
                return value
        return default


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one request; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.lower(), value.strip()))
    message = Message(method, target, headers, b"")
    length = int(message.get("content-length", "0"))
    if length:
        message.body = await reader.readexactly(length)
    return message


def response(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    framed: bool = True,
) -> bytes:
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store, with one address for each node."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.rows: dict[tuple[str, str], tuple[str | None, int]] = {}
        self.version = 0
        self.era = 1
        self.silent = False
        self.silent_for: set[int] = set()
        self.followed: dict[int, float] = {}
        self.refuses = False
        self.changed = asyncio.Event()
        self.servers: list[asyncio.Server] = []

    async def listen(self, node: int) -> str:
        async def serve(r: Any, w: Any) -> None:
            await self.serve(r, w, node)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, value: Any) -> int:
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.set_row(table, key, text)

    def set_row(self, table: str, key: str, value: str | None) -> int:
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def wire(self, key: tuple[str, str], node: int) -> dict[str, Any]:
        value, ver = self.rows[key]
        row = {"table": key[0], "part": "", "key": key[1], "ver": ver}
        if value is None:
            row["tombstone"] = True
        elif key[0] == "servers" and key[1] in self.rig.engines:
            # Each node has an address of its own for each engine.
            entry = json.loads(base64.b64decode(value))
            entry["address"] = self.rig.engines[key[1]].addresses[node]
            row["value"] = base64.b64encode(json.dumps(entry).encode()).decode()
        else:
            row["value"] = value
        return row

    async def serve(self, reader: Any, writer: Any, node: int) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (message := await read_message(reader)) is not None:
                while self.silent or node in self.silent_for:
                    await asyncio.sleep(0.02)
                if self.refuses:
                    status, body = 503, {}
                else:
                    status, body = await self.answer(message, node)
                while self.silent or node in self.silent_for:
                    await asyncio.sleep(0.02)
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", str(self.era)),
                ]
                writer.write(response(status, headers, json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    async def answer(self, message: Message, node: int) -> tuple[int, Any]:
        path, _, query = message.target.partition("?")
        args = {k: v[0] for k, v in parse.parse_qs(query).items()}
        if path == "/rows-get":
            found = sorted(
                key
                for key, (value, _) in self.rows.items()
                if key[0] == args["table"]
                and value is not None
                and key[1] >= args.get("from", "")
            )
            limit = int(args.get("limit", "500"))
            return 200, {
                "rows": [self.wire(k, node) for k in found[:limit]],
                "ver": self.version,
                "nowMs": int(time.monotonic() * 1000),
                "truncated": len(found) > limit,
            }
        if path == "/rows-feed":
            if args["table"] == "op":
                self.followed[node] = time.monotonic()
            after = int(args["after"])
            if after > self.version:
                return 410, {}
            end = time.monotonic() + int(args.get("waitMs", "0")) / 1000
            while True:
                found = sorted(
                    (
                        key
                        for key, (_, ver) in self.rows.items()
                        if key[0] == args["table"] and ver > after
                    ),
                    key=lambda key: self.rows[key][1],
                )
                left = end - time.monotonic()
                if found or left <= 0 or self.refuses or self.silent:
                    break
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.1))
            if self.refuses:
                return 503, {}
            return 200, {
                "rows": [self.wire(k, node) for k in found],
                "ver": self.version,
                "nowMs": int(time.monotonic() * 1000),
            }
        if path == "/rows-tx":
            body = json.loads(message.body)
            for row in body.get("expectedRev", []):
                held = self.rows.get((row["table"], row["key"]))
                ver = held[1] if held and held[0] is not None else 0
                if ver != row["ver"]:
                    return 412, {"rows": [], "ver": self.version}
            for row in body.get("setKeys", []):
                self.set_row(row["table"], row["key"], row["value"])
            for row in body.get("remove", []):
                self.set_row(row["table"], row["key"], None)
            return 200, {"rows": [], "ver": self.version, "nowMs": 0}
        return 404, {}


@dataclasses.dataclass
class Run:
    """A request that an engine began to run."""

    at: float
    engine: str
    node: int
    request_id: str
    last_event_id: str


@dataclasses.dataclass
class Arrival:
    """A request that reached an engine."""

    at: float
    engine: str
    node: int
    request_id: str
    named: tuple[tuple[str, str], ...]


class Engine:
    """An engine: of the model service, or of the plain one."""

    def __init__(self, rig: Rig, name: str, service: str, zone: str) -> None:
        self.rig = rig
        self.name = name
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.layers: tuple[int, int] | None = None
        self.seq = 0
        self.beat = 0
        self.state = "ready"
        self.addresses: list[str] = []
        self.ports: list[int] = []
        self.servers: dict[int, asyncio.Server] = {}
        self.channels: dict[int, set[asyncio.StreamWriter]] = {}
        self.cut: dict[int, str] = {}
        self.running = 0
        self.leaving = False
        self.limit_per_s = 0.0
        self.frozen = False
        self.work_s = 0.02
        self.gap_s = 0.01
        self.first_s = 0.03
        self.refuse: tuple[int, list[tuple[str, str]]] | None = None
        self.on_request: Any = None

    async def listen(self, node: int, port: int = 0) -> None:
        async def serve(r: Any, w: Any) -> None:
            await self.serve(r, w, node)

        is_new = not port
        port = port or free_port()
        server = await asyncio.start_server(serve, "127.0.0.1", port, backlog=512)
        self.servers[node] = server
        if is_new:
            self.ports.append(port)
            self.addresses.append(f"127.0.0.1:{port}")
            self.rig.engine_at[f"127.0.0.1:{port}"] = self

    def entry(self) -> dict[str, Any]:
        self.beat += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.addresses[0],
            "zone": self.zone,
            "version": 1,
            "slots": 96,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.beat,
            "born": self.born,
        }
        if self.service == MODEL:
            entry |= {"kind": "big", "stage": "both", "models": []}
            if self.layers:
                entry["layers"] = {
                    "from": self.layers[0],
                    "to": self.layers[1],
                    "version": 1,
                }
        return entry

    def register(self) -> None:
        self.rig.store.put("servers", self.name, self.entry())

    def set_cut(self, node: int, kind: str) -> None:
        """Cuts a node off: reset, hang, or refuse (open channels live on)."""
        self.cut[node] = kind
        if kind in ("reset", "refuse"):
            server = self.servers.pop(node, None)
            if server is not None:
                server.close()
        if kind == "reset":
            for writer in list(self.channels.get(node, ())):
                writer.transport.abort()

    async def heal(self, node: int) -> None:
        kind = self.cut.pop(node, "")
        if kind == "hang":
            for writer in list(self.channels.get(node, ())):
                writer.transport.abort()
        if node not in self.servers:
            await self.listen(node, self.ports[node])

    async def wait_links(self, node: int) -> None:
        while self.cut.get(node) == "hang" or self.frozen:
            await asyncio.sleep(0.01)

    async def serve(self, reader: Any, writer: Any, node: int) -> None:
        channels = self.channels.setdefault(node, set())
        channels.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.wait_links(node)
                if not await self.handle(message, reader, writer, node):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            channels.discard(writer)
            writer.close()

    def extra(self) -> list[tuple[str, str]]:
        """Returns the fields that all answers of the engine bear now."""
        fields = [("Server-Leaving", "1")] if self.leaving else []
        if self.limit_per_s:
            fields.append(("Server-Limit", f"{self.limit_per_s}"))
        return fields

    async def handle(
        self, message: Message, reader: Any, writer: Any, node: int
    ) -> bool:
        path = message.target.partition("?")[0]
        rid = message.get("x-request-id")
        echo = [("X-Request-Id", rid)] if rid else []
        echo += self.extra()
        expected = message.get("x-expect-instance")
        if expected and expected != self.name:
            writer.write(response(421, echo))
            return True
        if path == "/report":
            report: dict[str, Any] = {
                "stage": "both",
                "models": [],
                "busy": False,
                "seq": self.seq,
                "waiting": 0,
                "running": self.running,
                "kvUsed": self.running * 100 * 8,
                "kvTotal": 50_000 * 8,
                "handles": 0,
                "born": self.born,
                "pace": 1.0,
                "stalled": [],
            }
            writer.write(response(200, echo, json.dumps(report).encode()))
            return True
        if path == "/healthz":
            status = 200 if self.state == "ready" and not self.leaving else 503
            writer.write(
                response(status, [("X-Instance-Id", self.name), *echo])
            )
            return True
        if path == "/order":
            order = json.loads(message.body)
            if order.get("expectedRev", self.seq) != self.seq:
                writer.write(response(409, echo))
                return True
            if order["op"] == "place":
                self.layers = (order["from"], order["to"])
                self.seq += 1
                self.register()
                writer.write(response(202, echo))
            else:
                writer.write(response(404, echo))
            return True
        self.rig.arrivals.append(
            Arrival(time.monotonic(), self.name, node, rid, tuple(self.extra()))
        )
        self.rig.record.write(
            f"arrives {rid} at {self.name} from node {node}"
            f" after '{message.get('last-event-id')}'"
        )
        if self.on_request is not None:
            handled = await self.on_request(self, message, writer, node)
            if handled is not None:
                return bool(handled)
        if self.refuse is not None:
            status, fields = self.refuse
            writer.write(response(status, [*echo, *fields]))
            return True
        is_stream = self.rig.is_stream(path)
        if is_stream if is_stream is not None else self.service == MODEL:
            return await self.stream(message, reader, writer, node, echo)
        return await self.plain(message, reader, writer, node, echo)

    def begin(self, message: Message, node: int) -> str:
        rid = message.get("x-request-id")
        run = Run(
            time.monotonic(), self.name, node, rid, message.get("last-event-id")
        )
        self.rig.runs.append(run)
        self.rig.record.write(f"runs {rid} at {self.name}")
        return f"3e1b.{self.name}.{rid}.{len(self.rig.runs)}"

    async def plain(
        self, message: Message, reader: Any, writer: Any, node: int, echo: Any
    ) -> bool:
        signature = self.begin(message, node)
        await asyncio.sleep(self.work_s)
        await self.wait_links(node)
        body = f"done {message.get('x-request-id')} ".encode() + message.body
        writer.write(
            response(200, [*echo, ("X-Engine-Signature", signature)], body)
        )
        await writer.drain()
        return True

    async def stream(
        self, message: Message, reader: Any, writer: Any, node: int, echo: Any
    ) -> bool:
        hops = message.get("x-hop-count")
        parts = [hop.partition("=") for hop in hops.split(",") if hop]
        for address, _, span in parts:
            first, _, last = span.partition("-")
            other = self.rig.engine_at.get(address)
            held = other.layers if other else None
            if held is None or int(first) < held[0] or int(last) > held[1]:
                fields = [*echo, ("At-Server", address), ("X-Not-Executed", "1")]
                writer.write(response(421, fields))
                return True
        signature = self.begin(message, node)
        self.running += 1
        try:
            rid = message.get("x-request-id")
            total = self.rig.lengths.get(rid, 20)
            after = int(message.get("last-event-id") or "0")
            head = [
                *echo,
                ("X-Engine-Signature", signature),
                ("Content-Type", "text/event-stream"),
                ("X-Weight-Versions", "1"),
                ("Transfer-Encoding", "chunked"),
            ]
            await asyncio.sleep(self.first_s)
            await self.wait_links(node)
            writer.write(response(200, head, framed=False))
            for number in range(after + 1, total + 1):
                await self.wait_links(node)
                event = event_text(number)
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            await self.wait_links(node)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1
        return True


def event_text(number: int) -> bytes:
    return f"id: {number}\ndata: token {number}\n\n".encode()


@dataclasses.dataclass
class Answer:
    """What a client got for one attempt."""

    request_id: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    seconds: float = 0.0
    error: str = ""

    def event_ids(self) -> list[int]:
        found = []
        for line in self.body.split(b"\n"):
            if line.startswith(b"id:"):
                found.append(int(line[3:]))
        return found


class Node:
    """A node of the system, as its own process."""

    def __init__(self, rig: Rig, index: int, zone: str) -> None:
        self.rig = rig
        self.index = index
        self.name = f"edge-{zone}-{index}"
        self.zone = zone
        self.entry = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.directory = f"127.0.0.1:{free_port()}"
        self.peers = f"127.0.0.1:{free_port()}"
        self.metrics = f"127.0.0.1:{free_port()}"
        self.store = ""
        self.process: subprocess.Popen[bytes] | None = None
        self.path = rig.folder / f"{self.name}.ini"
        self.log = rig.folder / f"{self.name}.log"

    def write_settings(self) -> None:
        text = (ROOT / "deploy" / "settings.ini").read_text()
        host, _, port = self.peers.rpartition(":")
        values = {
            "node": self.name,
            "zone": self.zone,
            "listen.front": self.entry,
            "listen.readyAddress": self.ready,
            "listen.directory": self.directory,
            "ip": host,
            "portRange.0": port,
            "platform.address": self.store,
            "bounds.graceS": "8",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.budgetSlack": "198",
            "bounds.drainMs": "2000",
            "limits.memoryMb": "300",
        }
        # Several nodes share this address, so each has its own metrics port.
        text = text.replace("{{ip}}:9464", self.metrics)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        self.path.write_text(text)

    def start(self) -> None:
        self.write_settings()
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        command = [
            "python3",
            "-S",
            "-m",
            "almondshift.daemons.start_relay",
            "--settings",
            str(self.path),
        ]
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.rig.record.write(f"starts {self.name}, process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.rig.record.write(f"sends {number.name} to {self.name}")
        self.process.send_signal(number)

    def resident_mb(self) -> float:
        assert self.process is not None
        with open(f"/proc/{self.process.pid}/statm") as file:
            pages = int(file.read().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Rig:
    """A small deployment: a store, engines, nodes and clients."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.folder = folder
        self.store = Store(self)
        self.engines: dict[str, Engine] = {}
        self.engine_at: dict[str, Engine] = {}
        self.nodes: list[Node] = []
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.lengths: dict[str, int] = {}
        self.config_version = 0
        self.routes: list[dict[str, Any]] = []
        self.more_services: list[str] = []
        self.numbers = 0

    def route(
        self, name: str, kind: str, service: str, **more: Any
    ) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 5000,
            "targetLatencyMs": 500,
            "gapAimMs": 200,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            **more,
        }

    def write_config(self, **changes: Any) -> None:
        self.config_version += 3
        self.store.put("op", "config", self.config() | changes)
        self.record.write(f"config {self.config_version}")

    def config(self) -> dict[str, Any]:
        return {
            "version": self.config_version,
            "routes": self.routes,
            "services": [
                {
                    "name": MODEL,
                    "healthPath": "/healthz",
                    "maxConnections": 1000,
                    "engine": {
                        "slots": 96,
                        "kvTokenBytes": 163840,
                        "models": [{"name": "m0", "loadS": 1.0}],
                        "step_ms": 1.02,
                        "per_seq_ms": 0.01,
                        "context_per_k": 0.01,
                        "read_per_s": 100000.0,
                        "usual": {"prompt": 700, "answer": 60},
                        "layers": 8,
                        "layerMb": 1750.0,
                        "kinds": [
                            {"name": "big", "mb": 72000.0, "pace": 1.0, "readX": 1.0}
                        ],
                    },
                },
                *(
                    {"name": name, "healthPath": "/healthz", "maxConnections": 100}
                    for name in (PLAIN, *self.more_services)
                ),
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [
                {"name": "hule930", "apiKeys": [KEY]},
                {"name": "bosa114", "apiKeys": [OTHER_KEY]},
            ],
        }

    async def start(
        self,
        nodes: int = 3,
        model_engines: int = 6,
        plain_engines: int = 3,
        new_engines: int = 0,
    ) -> None:
        if not self.routes:
            self.routes = [
                self.route("chat", "streaming", MODEL, canResume=True),
                self.route("single", "streaming", MODEL),
                self.route("order", "unsafe", PLAIN),
                self.route("look", "safe", PLAIN),
            ]
        zones = ["a", "b", "c"]
        for index in range(nodes):
            node = Node(self, index, zones[index % 3])
            node.store = await self.store.listen(index)
            self.nodes.append(node)
        self.write_config()
        for index in range(model_engines):
            await self.add_engine(f"i-m{index}", MODEL, zones[index % 3])
        for index in range(plain_engines):
            await self.add_engine(f"i-p{index}", PLAIN, zones[index % 3])
        for index in range(new_engines):
            await self.add_engine(
                f"i-n{index}", self.more_services[0], zones[index % 3]
            )
        for node in self.nodes:
            node.start()
        await self.until(self.is_up, 45.0)
        await asyncio.sleep(3.0)

    async def add_engine(self, name: str, service: str, zone: str) -> Engine:
        engine = Engine(self, name, service, zone)
        self.engines[name] = engine
        for index in range(len(self.nodes)):
            await engine.listen(index)
        engine.register()
        return engine

    async def is_up(self) -> bool:
        for node in self.nodes:
            for path in ("/chat/up", "/look/up"):
                answer = await self.ask(node, path, deadline_ms=2000)
                if answer.status != 200:
                    return False
        return True

    async def until(self, condition: Any, seconds: float) -> None:
        end = time.monotonic() + seconds
        while not await condition():
            if time.monotonic() > end:
                raise CaseFailed("the system did not come up in time")
            await asyncio.sleep(0.2)

    def is_stream(self, path: str) -> bool | None:
        """Returns whether a path belongs to a streaming route."""
        for route in self.routes:
            if path.startswith(route["prefix"]):
                return bool(route["kind"] == "streaming")
        return None

    def new_id(self, prefix: str = "r") -> str:
        self.numbers += 1
        return f"{prefix}{self.numbers:05d}"

    async def ask(
        self,
        node: Node,
        target: str,
        rid: str = "",
        body: bytes = b"prompt",
        method: str = "POST",
        deadline_ms: int = 5000,
        last_event_id: str = "",
        patience_s: float = 0.0,
        leave_after: int = 0,
        key: str = KEY,
        **fields: str,
    ) -> Answer:
        """Sends one attempt on a new channel, and reads its answer.

        Args:
            patience_s: When the client leaves; 0 for its time budget + 1 s.
            leave_after: It leaves after so many events; 0 for never.
        """
        rid = rid or self.new_id()
        answer = Answer(rid)
        began = time.monotonic()
        self.record.write(
            f"client sends {rid} {target} to {node.name} after '{last_event_id}'"
        )
        try:
            async with asyncio.timeout(patience_s or deadline_ms / 1000 + 1.0):
                await self.exchange(
                    node, target, rid, body, method, deadline_ms,
                    last_event_id, leave_after, key, fields, answer,
                )
        except TimeoutError:
            answer.error = "no final answer"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = repr(error)
        answer.seconds = time.monotonic() - began
        self.record.write(
            f"client got {rid}: status {answer.status},"
            f" complete {answer.complete}, {len(answer.body)} bytes,"
            f" {answer.seconds:.2f} s {answer.error}"
        )
        return answer

    async def exchange(
        self, node, target, rid, body, method, deadline_ms, last_event_id,
        leave_after, key, fields, answer,
    ) -> None:  # type: ignore[no-untyped-def]
        host, _, port = node.entry.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [
                f"{method} {target} HTTP/1.1",
                f"Host: {HOST}",
                f"X-Request-Id: {rid}",
                f"X-Deadline-Ms: {deadline_ms}",
                f"Authorization: Bearer {key}",
            ]
            if target.startswith(("/chat", "/single")):
                lines += [
                    "X-Model: m0",
                    "X-Token-Usage: 700,60",
                    f"X-Prompt-Prefix: 5c1e07a2:40,{abs(hash(rid)):x}:660",
                ]
            if last_event_id:
                lines.append(f"Last-Event-Id: {last_event_id}")
            lines += [f"{k.replace('_', '-')}: {v}" for k, v in fields.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            await read_answer(reader, answer, leave_after)
        finally:
            writer.close()

    def runs_of(self, rid: str) -> list[Run]:
        return [run for run in self.runs if run.request_id == rid]

    def cut_node(self, node: int, kind: str) -> None:
        self.record.write(f"cuts node {node} off from all engines: {kind}")
        for engine in self.engines.values():
            engine.set_cut(node, kind)

    async def heal_node(self, node: int) -> None:
        self.record.write(f"heals the links of node {node} to engines")
        for engine in self.engines.values():
            await engine.heal(node)

    def close(self) -> None:
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()


async def read_answer(
    reader: asyncio.StreamReader, answer: Answer, leave_after: int = 0
) -> None:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    answer.status = int(lines[0].split()[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.lower()] = value.strip()
    length = answer.headers.get("content-length")
    if length is not None:
        answer.body = await reader.readexactly(int(length))
        answer.complete = True
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        answer.body += data[:-2]
        if size == 0:
            answer.complete = True
            return
        if leave_after and len(answer.event_ids()) >= leave_after:
            return


class CaseFailed(Exception):
    """The case could not run."""


def main(scenario: Any, folder: str, trouble: bool) -> None:
    """Runs a scenario; exits with 10 if the rule was broken, 0 if it held.

    Args:
        scenario: Takes the rig and whether there is trouble; returns what
            broke the rule, or "".
        folder: The folder of the case.
        trouble: Whether the disruption takes place.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"trouble: {trouble}")
    code = 2

    async def run() -> int:
        with tempfile.TemporaryDirectory() as path:
            rig = Rig(record, pathlib.Path(path))
            task = asyncio.current_task()
            assert task is not None
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, task.cancel
            )
            try:
                async with asyncio.timeout(110):
                    broken = await scenario(rig, trouble)
                record.write(f"result: {broken or 'the rule held'}")
                print(broken or "the rule held")
                return 10 if broken else 0
            except (Exception, asyncio.CancelledError) as error:
                record.write(f"could not run: {error!r}")
                print(f"could not run: {error!r}")
                return 2
            finally:
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for node in rig.nodes:
                        if node.log.exists():
                            target = pathlib.Path(keep) / node.log.name
                            target.write_bytes(node.log.read_bytes())
                rig.close()

    code = asyncio.run(run())
    sys.stdout.flush()
    # Tasks of stand-ins that still wait must not delay the exit.
    os._exit(code)
