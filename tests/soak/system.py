"""The processes of a soak and the proxies between them."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING
from typing import Any

from tornado import httpclient

from tests.faults import processes
from tests.faults import proxy as fault_proxy
from tests.soak import disturbances
from tests.soak import layout
from tests.soak import ledger
from tests.soak import store_process

if TYPE_CHECKING:
    from collections.abc import Callable
    import pathlib

    from tests.soak import config_probes

WATCH_S = 0.05
CALL_S = 5.0
RESTART_S = 0.3
"""A process that ended is started again after so long."""

PAUSE_S = 0.15
"""Nodes ask a silent engine for 0.3 s; a pause of the proxies, which run in
this process, that is half as long can make them give one up."""

STATM_RSS = 1
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1_000_000


@dataclasses.dataclass(slots=True)
class Part:
    """A process that is started again when it ended.

    Attributes:
        command: Module and arguments.
        ends: Why it may end: signals that it got; empty for no reason.
        stopped_at: When SIGTERM came first; 0 for not.
        was_killed: Whether its end was forced.
        is_retired: It is not started again.
        peak_mb: Largest resident memory seen.
    """

    name: str
    command: list[str]
    process: processes.ChildProcess | None = None
    ends: list[str] = dataclasses.field(default_factory=list)
    stopped_at: float = 0.0
    was_killed: bool = False
    is_retired: bool = False
    restart_s: float = RESTART_S
    starts: int = 0
    peak_mb: float = 0.0

    def is_running(self) -> bool:
        return self.process is not None and self.process.is_running()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.signal(number)

    def terminate(self) -> None:
        if not self.stopped_at:
            self.stopped_at = time.monotonic()
        self.ends.append("SIGTERM")
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        self.ends.append("SIGKILL")
        self.was_killed = True
        self.signal(signal.SIGKILL)

    def resident_mb(self) -> float:
        assert self.process is not None
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[STATM_RSS]) * PAGE_MB
        except (OSError, IndexError):
            return 0.0


@dataclasses.dataclass(slots=True)
class NodePart(Part):
    """A relay node.

    Attributes:
        entry: Where it listens for requests; ``front`` leads there.
        front: The proxy that callers connect to.
        store_link: The proxy between it and the store.
    """

    entry: str = ""
    directory: str = ""
    front: fault_proxy.FaultProxy | None = None
    store_link: fault_proxy.FaultProxy | None = None
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)

    def links(self) -> list[fault_proxy.FaultProxy]:
        assert self.front is not None and self.store_link is not None
        return [self.front, self.store_link]


@dataclasses.dataclass(slots=True)
class EnginePart(Part):
    """An engine.

    Attributes:
        listen: Where it listens; ``link`` leads there, and is registered.
        leaves_at: When it was told to leave; 0 for not.
    """

    index: int = 0
    service: str = ""
    listen: str = ""
    link: fault_proxy.FaultProxy | None = None
    leaves_at: float = 0.0


class SoakSystem:
    """Starts the processes, watches them and ends all of them.

    Attributes:
        engines: Present ones; those that left are in ``former``.
        on_end: Called with each part whose process ended.
        on_change: Called with each change of the configuration.
        writing: Held while the operator writes a configuration.
    """

    def __init__(
        self, options: layout.SoakOptions, folder: pathlib.Path
    ) -> None:
        self.options = options
        self.folder = folder
        self.network = layout.Network()
        self.disturbances = disturbances.Disturbances()
        self.nodes: list[NodePart] = []
        self.engines: list[EnginePart] = []
        self.former: list[EnginePart] = []
        self.configuration = layout.Configuration()
        self.store = Part(
            "store",
            [
                "tests.soak.store_process",
                *("--address", self.network.store()),
            ],
        )
        self.tails: list[ledger.LedgerTail] = []
        self.on_end: Callable[[Part, int], None] = lambda part, code: None
        self.on_change: Callable[[config_probes.ConfigChange], None]
        self.on_change = lambda change: None
        self.writing = asyncio.Lock()
        self.http = httpclient.AsyncHTTPClient(max_clients=100)
        self.watching: asyncio.Task[None] | None = None
        self.is_closing = False

    async def start(self) -> None:
        """Starts all and returns while nodes still find together."""
        self.launch(self.store)
        await self.until_listens(self.network.store())
        await self.write_configuration()
        for index in range(self.options.engines):
            await self.add_engine(index, 0)
        for index in range(self.options.nodes):
            await self.add_node(index)
        self.watching = asyncio.create_task(self.watch())

    async def close(self) -> None:
        """Ends every process that it started, also a stopped one."""
        self.is_closing = True
        if self.watching is not None:
            self.watching.cancel()
        for part in self.parts():
            if part.process is not None:
                part.process.kill()
        for node in self.nodes:
            for link in node.links():
                await link.close()
        for engine in self.engines + self.former:
            if engine.link is not None:
                await engine.link.close()

    def parts(self) -> list[Part]:
        return [self.store, *self.nodes, *self.engines, *self.former]

    async def add_node(self, index: int) -> NodePart:
        network = self.network
        front = await fault_proxy.create_fault_proxy(
            network.node(index, layout.NODE_PORT)
        )
        link = await fault_proxy.create_fault_proxy(network.store())
        name = f"n{index}"
        path = self.folder / f"{name}.ini"
        node = NodePart(
            name,
            ["almondshift.daemons.start_relay", "--settings", str(path)],
            entry=network.node(index, layout.NODE_PORT),
            directory=network.node(index, layout.DIRECTORY_PORT),
            front=front,
            store_link=link,
            settings={
                "name": name,
                "zone": layout.ZONES[index % len(layout.ZONES)],
                "log_lines": 400,
                "entry": network.node(index, layout.NODE_PORT),
                "ready": network.node(index, layout.READY_PORT),
                "directory": network.node(index, layout.DIRECTORY_PORT),
                "peers": network.node(index, layout.PEERS_PORT),
                "metrics": network.node(index, layout.METRICS_PORT),
                "store": link.address,
                "grace_s": layout.GRACE_S,
            },
        )
        self.write_settings(node)
        self.nodes.append(node)
        self.launch(node)
        return node

    def write_settings(self, node: NodePart) -> None:
        path = self.folder / f"{node.name}.ini"
        path.write_text(layout.SETTINGS.format(**node.settings))

    async def add_engine(self, index: int, generation: int) -> EnginePart:
        """Starts an engine; a later one in its place has another name."""
        is_plain = index < self.options.plain_engines()
        service = layout.PLAIN_SERVICE if is_plain else layout.MODEL_SERVICE
        listen = self.network.engine(index, generation)
        link = await fault_proxy.create_fault_proxy(listen)
        name = f"e{index}-{generation}"
        path = self.folder / f"{name}.ledger"
        engine = EnginePart(
            name,
            [
                "tests.soak.engine_process",
                *("--name", name),
                *("--zone", layout.ZONES[index % len(layout.ZONES)]),
                *("--service", service),
                *("--listen", listen),
                *("--public", link.address),
                *("--store", self.network.store()),
                *("--ledger", str(path)),
            ],
            index=index,
            service=service,
            listen=listen,
            link=link,
        )
        self.tails.append(ledger.LedgerTail(path))
        self.engines.append(engine)
        self.launch(engine)
        return engine

    async def replace_engine(self, engine: EnginePart) -> None:
        """Starts another in the place of one that left."""
        self.engines.remove(engine)
        self.former.append(engine)
        generation = int(engine.name.partition("-")[2]) + 1
        await self.add_engine(engine.index, generation)

    def launch(self, part: Part) -> None:
        if self.is_closing:
            # A restart that was due would leave a process behind.
            return
        log_file = self.folder / f"{part.name}.log"
        with log_file.open("ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", *part.command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        part.process = processes.ChildProcess(
            part.name, popen, log_file, log_file
        )
        part.ends.clear()
        part.stopped_at = 0.0
        part.was_killed = False
        part.starts += 1
        self.disturbances.note(part.name, "start")

    async def watch(self) -> None:
        """Starts processes again, and notes when this one stands still."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(WATCH_S)
            for part in self.parts():
                self.look_after(part)
            self.note_pause(before)

    def note_pause(self, before: float) -> None:
        """Notes that this process stood still, and all links with it."""
        pause_s = time.monotonic() - before - WATCH_S
        if pause_s > PAUSE_S:
            what = f"paused {pause_s:.2f} s"
            noted = self.disturbances.begin(disturbances.HARNESS, what)
            noted.start = before
            noted.end = time.monotonic()

    def look_after(self, part: Part) -> None:
        assert part.process is not None
        if part.is_retired:
            return
        if part.is_running():
            self.end_after_grace(part)
            return
        self.on_end(part, part.process.popen.returncode)
        part.is_retired = True
        if isinstance(part, EnginePart) and part.leaves_at:
            asyncio.ensure_future(self.replace_engine(part))
            return
        loop = asyncio.get_running_loop()
        loop.call_later(part.restart_s, self.relaunch, part)

    def relaunch(self, part: Part) -> None:
        part.is_retired = False
        self.launch(part)

    def end_after_grace(self, part: Part) -> None:
        is_over = time.monotonic() - part.stopped_at > layout.GRACE_S
        if part.stopped_at and is_over and not part.was_killed:
            part.kill()

    async def until_listens(self, address: str) -> None:
        async with asyncio.timeout(processes.START_TIMEOUT_S):
            while True:
                try:
                    host, _, port = address.rpartition(":")
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(WATCH_S)
                else:
                    writer.close()
                    return

    async def post(self, address: str, path: str, body: Any) -> bool:
        """Posts to a stand-in; returns whether it answered."""
        try:
            await self.http.fetch(
                f"http://{address}{path}",
                method="POST",
                body=json.dumps(body),
                request_timeout=CALL_S,
            )
        except (OSError, httpclient.HTTPError):
            return False
        return True

    async def write_configuration(self) -> float:
        """Writes the present configuration; returns when it was acked."""
        body = {
            "table": "op",
            "key": "config",
            "value": self.configuration.wire(),
        }
        store = self.network.store()
        while not await self.post(store, store_process.PUT_PATH, body):
            await asyncio.sleep(WATCH_S)
        return time.monotonic()

    def new_rows(self) -> list[ledger.Row]:
        return [row for tail in self.tails for row in tail.read()]
