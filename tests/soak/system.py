"""The processes of a soak and the proxies between them."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
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

    from tests.soak import config_probes

WATCH_INTERVAL_S = 0.05
HTTP_TIMEOUT_S = 5.0
RESTART_DELAY_S = 0.3
"""Delay before a process that exited is restarted."""

MIN_RECORDED_PAUSE_S = 0.15
"""Nodes probe a silent engine for 0.3 s. A pause half as long of the proxies,
which run in this process, can make them treat an engine as lost."""

STATM_RESIDENT_FIELD = 1
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1_000_000


@dataclasses.dataclass(slots=True)
class SupervisedProcess:
    """A process that is restarted when it exits.

    Attributes:
        command: Module and arguments.
        exit_reasons: Signals that it was sent; empty if it must not exit.
        stopped_at: When SIGTERM was first sent; 0 if it was not.
        was_killed: Whether it was killed.
        is_exit_handled: Whether its exit was handled; reset on restart.
        peak_mb: Largest resident memory seen.
        suspensions: Number of pauses by SIGSTOP that have not ended.
    """

    name: str
    command: list[str]
    process: processes.ChildProcess | None = None
    exit_reasons: list[str] = dataclasses.field(default_factory=list)
    stopped_at: float = 0.0
    was_killed: bool = False
    is_exit_handled: bool = False
    restart_delay_s: float = RESTART_DELAY_S
    starts: int = 0
    peak_mb: float = 0.0
    suspensions: int = 0

    def is_running(self) -> bool:
        return self.process is not None and self.process.is_running()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.signal(number)

    def suspend(self) -> None:
        """Sends SIGSTOP."""
        self.suspensions += 1
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Sends SIGCONT at the end of the last suspension."""
        self.suspensions -= 1
        if not self.suspensions:
            self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        if not self.stopped_at:
            self.stopped_at = time.monotonic()
        self.exit_reasons.append("SIGTERM")
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        self.exit_reasons.append("SIGKILL")
        self.was_killed = True
        self.signal(signal.SIGKILL)

    def resident_mb(self) -> float:
        assert self.process is not None
        try:
            with open(f"/proc/{self.process.pid}/statm") as file:
                return int(file.read().split()[STATM_RESIDENT_FIELD]) * PAGE_MB
        except (OSError, IndexError):
            return 0.0


@dataclasses.dataclass(slots=True)
class NodeProcess(SupervisedProcess):
    """A relay node.

    Attributes:
        entry: Address on which it serves requests; ``front`` forwards there.
        front: The proxy that callers connect to.
        store_link: The proxy between the node and the store.
        cut_file: Says whether the node is cut off from engines.
        partition_file: Says whether its links outside the node are cut.
    """

    entry: str = ""
    directory: str = ""
    front: fault_proxy.FaultProxy | None = None
    store_link: fault_proxy.FaultProxy | None = None
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    cut_file: pathlib.Path = pathlib.Path()
    partition_file: pathlib.Path = pathlib.Path()

    def links(self) -> list[fault_proxy.FaultProxy]:
        assert self.front is not None and self.store_link is not None
        return [self.front, self.store_link]


@dataclasses.dataclass(slots=True)
class EngineProcess(SupervisedProcess):
    """An engine.

    Attributes:
        listen: Its address; ``link``, which is registered, forwards there.
        leaves_at: When it was told to leave; 0 if it was not.
    """

    index: int = 0
    service: str = ""
    listen: str = ""
    link: fault_proxy.FaultProxy | None = None
    leaves_at: float = 0.0


class DirectLink(fault_proxy.FaultProxy):
    """A link without a proxy, on which no fault can be injected."""

    def __init__(self, upstream: str) -> None:
        super().__init__(upstream)
        self.address = upstream

    async def close(self) -> None:
        """Does nothing; there is no proxy."""


async def create_link(upstream: str, is_direct: bool) -> fault_proxy.FaultProxy:
    """Creates a proxy that keeps no connections of clients that are gone.

    A paused process doesn't close them, and clients whose queries time out open
    new ones all the while.

    Args:
        upstream: Address that is connected to.
        is_direct: Whether no proxy is used. Then the kernel alone decides what
            becomes of connections to processes that stand still.
    """
    if is_direct:
        return DirectLink(upstream)
    link = await fault_proxy.create_fault_proxy(upstream)
    link.closes_with_client = True
    return link


class SoakSystem:
    """Starts, supervises and finally kills the processes.

    Attributes:
        engines: Present engines; ``departed`` holds those that left.
        on_exit: Called with each process that exited and its exit code.
        on_change: Called with each change of the configuration.
        writing: Held while the operator writes a configuration.
        pausing: Held while sound engines are silent.
    """

    def __init__(
        self, options: layout.SoakOptions, folder: pathlib.Path
    ) -> None:
        self.options = options
        self.folder = folder
        self.network = layout.Network()
        self.disturbances = disturbances.Disturbances()
        self.nodes: list[NodeProcess] = []
        self.engines: list[EngineProcess] = []
        self.departed: list[EngineProcess] = []
        self.configuration = options.create_configuration()
        self.partition_links: list[SupervisedProcess] = []
        self.store = SupervisedProcess(
            "store",
            [
                "tests.soak.store_process",
                *("--address", self.network.store()),
            ],
        )
        self.tails: list[ledger.LedgerTail] = []
        self.on_exit: Callable[[SupervisedProcess, int], None] = (
            lambda part, code: None
        )
        self.on_change: Callable[[config_probes.ConfigChange], None]
        self.on_change = lambda change: None
        self.writing = asyncio.Lock()
        self.pausing = asyncio.Lock()
        self.http = httpclient.AsyncHTTPClient(max_clients=100)
        self.watching: asyncio.Task[None] | None = None
        self.is_closing = False

    async def start(self) -> None:
        """Starts all; returns before the nodes have discovered each other."""
        self.launch(self.store)
        await self.wait_until_listening(self.network.store())
        await self.write_configuration()
        for index in range(self.options.engines):
            await self.add_engine(index, 0)
        for index in range(self.options.nodes):
            await self.add_node(index)
        self.watching = asyncio.create_task(self.watch())

    async def close(self) -> None:
        """Kills every process that it started, including paused ones."""
        self.is_closing = True
        if self.watching is not None:
            self.watching.cancel()
        for part in self.parts():
            if part.process is not None:
                part.process.kill()
        for node in self.nodes:
            for link in node.links():
                await link.close()
        for engine in self.engines + self.departed:
            if engine.link is not None:
                await engine.link.close()

    def parts(self) -> list[SupervisedProcess]:
        return [
            *(self.store, *self.nodes, *self.engines, *self.departed),
            *self.partition_links,
        ]

    def add_partition_links(self, index: int) -> pathlib.Path:
        """Starts the process of a node's links; returns its control file."""
        name = f"links{index}"
        file = self.folder / f"{name}.partition"
        links = SupervisedProcess(
            name,
            [
                "tests.soak.partition_links",
                *("--node", str(index)),
                *("--network", self.network.prefix),
                *("--engines", str(self.options.engines)),
                *("--file", str(file)),
            ],
        )
        self.partition_links.append(links)
        self.launch(links)
        return file

    async def add_node(self, index: int) -> NodeProcess:
        network = self.network
        is_direct = self.options.direct
        front = await create_link(
            network.node(index, layout.NODE_PORT), is_direct
        )
        link = await create_link(network.store(), is_direct)
        name = f"n{index}"
        path = self.folder / f"{name}.ini"
        cut_file = self.folder / f"{name}.cut"
        command = ["almondshift.daemons.start_relay", "--settings", str(path)]
        if self.options.cuts:
            command[0] = "tests.soak.node_process"
            command += ["--cut-file", str(cut_file)]
        partition_file = pathlib.Path()
        if self.options.partitions:
            partition_file = self.add_partition_links(index)
            command[0] = "tests.soak.node_process"
            command += ["--node", str(index)]
        node = NodeProcess(
            name,
            command,
            cut_file=cut_file,
            partition_file=partition_file,
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
                "allowance": self.options.allowance,
            },
        )
        self.write_settings(node)
        self.nodes.append(node)
        self.launch(node)
        return node

    def write_settings(self, node: NodeProcess) -> None:
        path = self.folder / f"{node.name}.ini"
        path.write_text(layout.SETTINGS.format(**node.settings))

    async def add_engine(self, index: int, generation: int) -> EngineProcess:
        """Starts an engine; its replacement gets another name."""
        is_plain = index < self.options.plain_engines()
        service = layout.PLAIN_SERVICE if is_plain else layout.MODEL_SERVICE
        listen = self.network.engine(index, generation)
        link = await create_link(listen, self.options.direct)
        name = f"e{index}-{generation}"
        path = self.folder / f"{name}.ledger"
        engine = EngineProcess(
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
                *("--seed", str(self.options.seed)),
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

    async def replace_engine(self, engine: EngineProcess) -> None:
        """Starts a replacement for an engine that left."""
        self.engines.remove(engine)
        self.departed.append(engine)
        generation = int(engine.name.partition("-")[2]) + 1
        await self.add_engine(engine.index, generation)

    def launch(self, part: SupervisedProcess) -> None:
        if self.is_closing:
            # A pending restart would leave a process behind.
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
        part.exit_reasons.clear()
        part.stopped_at = 0.0
        part.was_killed = False
        part.starts += 1
        self.disturbances.note(part.name, "start")

    async def watch(self) -> None:
        """Restarts processes, and records pauses of this one."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(WATCH_INTERVAL_S)
            for part in self.parts():
                self.supervise(part)
            self.record_pause(before)

    def record_pause(self, before: float) -> None:
        """Records a pause of this process, which pauses all links too."""
        pause_s = time.monotonic() - before - WATCH_INTERVAL_S
        if pause_s > MIN_RECORDED_PAUSE_S:
            what = f"paused {pause_s:.2f} s"
            noted = self.disturbances.begin(disturbances.HARNESS, what)
            noted.start = before
            noted.end = time.monotonic()

    def supervise(self, part: SupervisedProcess) -> None:
        assert part.process is not None
        if part.is_exit_handled:
            return
        if part.is_running():
            self.kill_after_grace(part)
            return
        self.on_exit(part, part.process.popen.returncode)
        part.is_exit_handled = True
        if isinstance(part, EngineProcess) and part.leaves_at:
            asyncio.ensure_future(self.replace_engine(part))
            return
        loop = asyncio.get_running_loop()
        loop.call_later(part.restart_delay_s, self.relaunch, part)

    def relaunch(self, part: SupervisedProcess) -> None:
        part.is_exit_handled = False
        self.launch(part)

    def kill_after_grace(self, part: SupervisedProcess) -> None:
        is_over = time.monotonic() - part.stopped_at > layout.GRACE_S
        if part.stopped_at and is_over and not part.was_killed:
            part.kill()

    async def wait_until_listening(self, address: str) -> None:
        async with asyncio.timeout(processes.START_TIMEOUT_S):
            while True:
                try:
                    host, _, port = address.rpartition(":")
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(WATCH_INTERVAL_S)
                else:
                    writer.close()
                    return

    async def post(self, address: str, path: str, body: Any) -> bool:
        """Posts to a stand-in; returns whether that succeeded."""
        try:
            await self.http.fetch(
                f"http://{address}{path}",
                method="POST",
                body=json.dumps(body),
                request_timeout=HTTP_TIMEOUT_S,
            )
        except (OSError, httpclient.HTTPError):
            return False
        return True

    async def write_configuration(self) -> float:
        """Writes the current configuration; returns the time of the ack."""
        body = {
            "table": "op",
            "key": "config",
            "value": self.configuration.to_wire(),
        }
        store = self.network.store()
        while not await self.post(store, store_process.PUT_PATH, body):
            await asyncio.sleep(WATCH_INTERVAL_S)
        return time.monotonic()

    def read_new_rows(self) -> list[ledger.Row]:
        return [row for tail in self.tails for row in tail.read()]
