"""A small deployment: node processes, engines, the store and clients."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
import uuid

from lib import engines
from lib import http
from lib import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
KEY = "key-of-account-a"
MODEL, PLAIN = "model-pool", "portal"
ZONES = ("zone-a", "zone-b", "zone-c")
READY_TIMEOUT_S = 30.0

COMMAND = (
    "python3",
    "-S",
    "-m",
    "almondshift.daemons.start_relay",
    "--settings",
)
"""The command of a node in ``deploy/system.toml``."""


def has_trouble() -> bool:
    """Returns whether the script is to bring about the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_addresses(count: int) -> list[str]:
    """Returns addresses for a node's ports on a loopback host of its own.

    Ports of 127.0.0.1 that are free now may be taken by an outgoing connection
    before the node listens.
    """
    host = ".".join(["127", *(str(random.randint(1, 250)) for _ in range(3))])
    first = random.randint(20_000, 29_000)
    found: list[str] = []
    for port in range(first, 30_000):
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        found.append(f"{host}:{port}")
        if len(found) == count:
            return found
    raise RuntimeError("no free ports")


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began_at = time.monotonic()

    def note(self, text: str) -> None:
        seconds = time.monotonic() - self.began_at
        self.file.write(f"{seconds:8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        self.note(text)
        print(text, flush=True)


class Node:
    """A node process; its settings follow ``deploy/settings.ini``."""

    def __init__(self, system: System, name: str, zone: str) -> None:
        self.system = system
        self.name = name
        self.zone = zone
        self.entry, self.ready, self.directory, self.peers, self.metrics = (
            free_addresses(5)
        )
        self.path = system.folder / f"{name}.ini"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self) -> None:
        lines = [
            "[node]",
            f"name = {self.name}",
            f"zone = {self.zone}",
            "[entry]",
            f"address = {self.entry}",
            f"ready_address = {self.ready}",
            f"directory_address = {self.directory}",
            "[peers]",
            f"address = {self.peers}",
            "[platform]",
            f"address = {self.system.store.address}",
            "[metrics]",
            f"address = {self.metrics}",
            "[drain]",
            "grace_s = 8",
            "[repeats]",
            "ratio = 0.2",
            "window_s = 10",
            "allowance = 198",
            "[engines]",
            "notice_ms = 2000",
        ]
        self.path.write_text("\n".join(lines) + "\n")

    def start(self) -> None:
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["ALMONDSHIFT_SETTINGS"] = str(self.path)
        log = open(self.system.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [*COMMAND, str(self.path)],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.system.record.note(f"{self.name} starts, entry {self.entry}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.system.record.note(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()

    def resident_mb(self) -> float:
        """Returns the resident memory; 0 if the process has ended."""
        assert self.process is not None
        try:
            statm = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        answer = await call(self.ready, "GET", "/readyz", {}, timeout_s=1.0)
        return answer is not None and answer.status == 200

    async def await_ready(self) -> None:
        until = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > until or not self.is_running:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)


class System:
    """All parts of a deployment."""

    def __init__(self, case: str) -> None:
        self.record = Record(ROOT / "review" / case)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self.temporary.name)
        self.store = store_module.Store()
        self.engines: list[engines.Engine] = []
        self.nodes: list[Node] = []
        self.node_zones = ZONES
        self.has_links = False
        self.config: dict[str, Any] = {
            "version": 3,
            "routes": [
                route("chat", "/chat/", "streaming", MODEL, 20_000, 2, True),
                route("once", "/once/", "streaming", MODEL, 20_000, 1, False),
                route("order", "/order/", "unsafe", PLAIN, 1_500, 1),
                route("look", "/look/", "safe", PLAIN, 1_500, 2),
            ],
            "services": [
                {
                    "name": MODEL,
                    "healthPath": "/healthz",
                    "maxConnections": 1_000,
                    "engine": engines.model_spec(),
                },
                {
                    "name": PLAIN,
                    "healthPath": "/healthz",
                    "maxConnections": 100,
                },
            ],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 4_194_304,
                "headerTimeoutMs": 3_000,
                "idleTimeoutMs": 15_000,
            },
            "tenants": [{"name": "account-a", "apiKeys": [KEY], "priority": 1}],
        }

    async def start(
        self, nodes: int = 3, models: int = 3, plain: int = 3
    ) -> None:
        await self.store.start()
        self.write_config()
        for index in range(models):
            await self.add_engine(MODEL, ZONES[index % 3], is_model=True)
        for index in range(plain):
            await self.add_engine(PLAIN, ZONES[index % 3], is_model=False)
        for index in range(nodes):
            zone = self.node_zones[index % len(self.node_zones)]
            node = Node(self, f"edge-{index + 1}", zone)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await node.await_ready()
        await self.await_layers()

    async def await_layers(self) -> None:
        """Waits until each model engine holds layers."""
        until = time.monotonic() + READY_TIMEOUT_S
        models = [engine for engine in self.engines if engine.is_model]
        while not all(engine.layers for engine in models):
            if time.monotonic() > until:
                raise RuntimeError("engines got no layers")
            await asyncio.sleep(0.1)

    def write_config(self) -> None:
        self.store.put("op", "config", json.dumps(self.config).encode())

    async def add_engine(
        self, service: str, zone: str, is_model: bool
    ) -> engines.Engine:
        engine = engines.Engine(self.store, service, zone, is_model)
        engine.is_behind_link = self.has_links
        self.engines.append(engine)
        await engine.start()
        self.record.note(f"engine {engine.name} of {service} {engine.address}")
        return engine

    def runs(self, request_id: str) -> int:
        """Returns how often engines began to work on a request."""
        return sum(
            ran == request_id
            for engine in self.engines
            for ran, _ in engine.ran
        )

    async def close(self) -> None:
        for node in self.nodes:
            if node.is_running:
                assert node.process is not None
                node.process.kill()
                node.process.wait()
        for engine in self.engines:
            await engine.close()
        await self.store.close()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            for log in self.folder.glob("*.log"):
                (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


def route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    timeout_ms: int,
    attempts: int,
    resumes: bool = False,
) -> dict[str, Any]:
    """Returns a route of the configuration."""
    found: dict[str, Any] = {
        "name": name,
        "host": HOST_NAME,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
    }
    if kind == "streaming":
        found |= {"sticky": True, "canResume": resumes, "gapAimMs": 200}
    return found


def new_id() -> str:
    return uuid.uuid4().hex[:16]


def headers(
    request_id: str, wait_ms: int = 3_000, **more: str
) -> dict[str, str]:
    """Returns the header fields of a client's request."""
    return {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(wait_ms),
        "Authorization": f"Bearer {KEY}",
        **more,
    }


def stream_headers(request_id: str, **more: str) -> dict[str, str]:
    """Returns the header fields of a request for a stream."""
    found = headers(request_id, 20_000)
    found |= {
        "X-Model": "m",
        "X-Token-Usage": "100,120",
        "X-Prompt-Prefix": f"5c1e07a2:40,{request_id[:8]}:60",
    }
    return found | more


async def call(
    address: str,
    method: str,
    path: str,
    head: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 25.0,
) -> http.Message | None:
    """Makes one call on a new channel; None without a response head."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(http.request_bytes(method, path, head, body))
            message = await http.read_head(reader)
            if message is not None:
                await http.read_body(reader, message, to_end=True)
            return message
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def stream(
    address: str, path: str, head: dict[str, str], gap_s: float = 2.0
) -> tuple[int, list[int], bool]:
    """Reads a stream as clients do: they leave after a gap between events.

    Returns:
        The status, 0 for none; the ids of the events; whether it is whole.
    """
    host, _, port = address.rpartition(":")
    writer = None
    ids: list[int] = []
    status = 0
    try:
        async with asyncio.timeout(gap_s) as gap:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(http.request_bytes("POST", path, head, b"x"))
            message = await http.read_head(reader)
            if message is None:
                return 0, ids, False
            status = message.status
            if "content-length" in message.headers:
                await http.read_body(reader, message, to_end=False)
                return status, ids, message.ended
            async for part in http.events(reader, message):
                found = [int(i) for i in re.findall(rb"(?m)^id: ?(\d+)$", part)]
                if found:
                    ids += found
                    gap.reschedule(asyncio.get_running_loop().time() + gap_s)
            return status, ids, message.ended
    except (OSError, TimeoutError):
        return status, ids, False
    finally:
        if writer is not None:
            writer.close()


def run(main: Any) -> None:
    """Runs a case; exits with 0, 1 if a rule was broken, 2 if it can't run."""
    # Whoever ends the script early leaves no process behind.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        broken = asyncio.run(main())
    except Exception as error:  # The case could not run.
        print(f"can't run: {error!r}", flush=True)
        sys.exit(2)
    sys.exit(1 if broken else 0)
