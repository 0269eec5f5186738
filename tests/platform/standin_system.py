"""Store, engines and nodes in one process, connected by real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import TYPE_CHECKING
from typing import Any

from almondshift import log_events
from almondshift.adapters import relay_settings
from almondshift.daemons import relay
from tests.faults import proxy
from tests.platform import standin_engines
from tests.platform import standin_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from almondshift.relay import context

MODEL_SERVICE = "model"
PLAIN_SERVICE = "plain"
HOST = "chat.example"
KEY = "key-1"


def config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration of three routes."""
    content: dict[str, Any] = {
        "version": version,
        "routes": [
            route(
                "chat",
                "/chat/",
                "streaming",
                MODEL_SERVICE,
                canResume=True,
                maxAttempts=2,
            ),
            route("once", "/once/", "unsafe", PLAIN_SERVICE),
            route("look", "/look/", "safe", PLAIN_SERVICE, maxAttempts=2),
        ],
        "services": [
            {
                "name": MODEL_SERVICE,
                "healthPath": standin_engines.HEALTH_PATH,
                "maxConnections": 100,
                "engine": {
                    "slots": 96,
                    "kvTokenBytes": 1_836_000,
                    "models": [{"name": "m", "loadS": 1.0}],
                    "step_ms": 1.0,
                    "per_seq_ms": 0.01,
                    "context_per_k": 0.01,
                    "read_per_s": 100_000.0,
                    "usual": {"prompt": 100, "answer": 20},
                    "layers": 80,
                    "layerMb": 1750.0,
                    "kinds": [{"name": "big", "mb": 72_000.0, "pace": 2.0}],
                },
            },
            {
                "name": PLAIN_SERVICE,
                "healthPath": standin_engines.HEALTH_PATH,
                "maxConnections": 100,
            },
        ],
        "limits": {"maxBodyBytes": 10_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "account", "apiKeys": [KEY]}],
    }
    content.update(changes)
    return content


def route(
    name: str, prefix: str, kind: str, service: str, **more: Any
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "service": service,
        "maxAttempts": 1,
        "gapAimMs": 200,
        **more,
    }


PORTS = itertools.count(10_000)


def free_address() -> str:
    """Returns an address that no other test process uses.

    A port that the operating system reported as free could be taken by
    another test process before a node listens on it. So each process uses its
    own loopback address, and ports below the ephemeral range.
    """
    return f"{proxy.own_host()}:{next(PORTS)}"


REPEATS = relay_settings.RepeatsSection(0.2, 10.0, 100.0)


class StandinSystem:
    """A running system.

    Attributes:
        repeats: The retry budget of nodes that are added.
        engines: By instance.
        nodes: In the order of their start.
    """

    def __init__(
        self, repeats: relay_settings.RepeatsSection = REPEATS
    ) -> None:
        self.repeats = repeats
        self.store = standin_store.StandinStore()
        self.cluster = standin_engines.EngineCluster()
        self.engines: dict[str, standin_engines.StandinEngine] = {}
        self.nodes: list[relay.RelayProcess] = []

    async def add_engine(
        self, instance: str, service: str, zone: str, kind: str = ""
    ) -> standin_engines.StandinEngine:
        engine = standin_engines.StandinEngine(self.cluster, instance, kind)
        await engine.start()
        self.engines[instance] = engine

        def register() -> None:
            entry = engine.entry(service, zone)
            self.store.put("servers", instance, entry)

        engine.on_change = register
        register()
        return engine

    async def add_node(
        self, zone: str = "a", store_address: str = ""
    ) -> relay.RelayProcess:
        """Starts a node, which may call the store at an address of its own."""
        directory = free_address()
        settings = relay_settings.RelaySettings(
            node=relay_settings.NodeSection(f"node-{len(self.nodes)}", zone),
            entry=relay_settings.EntrySection(
                free_address(), directory, directory
            ),
            peers=relay_settings.PeersSection(free_address()),
            platform=relay_settings.PlatformSection(
                store_address or self.store.address
            ),
            metrics=relay_settings.MetricsSection(free_address()),
            drain=relay_settings.DrainSection(hold_s=0.2, grace_s=3.0),
            repeats=self.repeats,
        )
        process = relay.RelayProcess(settings)
        await process.start()
        self.nodes.append(process)
        return process

    async def until(self, condition: Any, seconds: float = 8.0) -> None:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def wait_for_peers(self) -> None:
        """Waits until each node knows another serving node."""
        await self.until(
            lambda: all(
                process.node.group and process.node.group.serving()
                for process in self.nodes
            )
        )

    def serves(self) -> bool:
        """Returns whether each node has a path over all layers."""
        for process in self.nodes:
            shared = process.node.shared
            view = shared.catalogue.view(MODEL_SERVICE)
            now = shared.clock.monotonic()
            if view is None or shared.paths.choose(view, 1.0, now) is None:
                return False
        return True

    def knows_layers(self) -> bool:
        """Returns whether each node knows which layers the engines hold."""
        held = {
            name: engine.layers
            for name, engine in self.engines.items()
            if engine.layers is not None
        }
        for process in self.nodes:
            known = process.node.catalogue.engines
            for name, (start, end) in held.items():
                layers = known[name].layers if name in known else None
                if layers is None or (layers.start, layers.end) != (start, end):
                    return False
        return True

    async def close(self) -> None:
        for process in self.nodes:
            await process.close()
        for engine in self.engines.values():
            engine.is_dead = False
            await engine.close()
        self.store.faults = standin_store.StoreFaults()
        await self.store.close()


def record_moves(
    shared: context.RelayContext,
) -> list[log_events.RequestMoved]:
    """Returns a list to which the moves of a node's streams are appended."""
    moves: list[log_events.RequestMoved] = []
    emit = shared.observer.emit

    def record(event: log_events.Event) -> None:
        if isinstance(event, log_events.RequestMoved):
            moves.append(event)
        emit(event)

    shared.observer.emit = record  # type: ignore[method-assign]
    return moves


@contextlib.asynccontextmanager
async def running_system(
    nodes: int = 1,
    zones: str = "ab",
    repeats: relay_settings.RepeatsSection = REPEATS,
) -> AsyncIterator[StandinSystem]:
    """Runs a system whose zones each hold a chain of four engines."""
    system = StandinSystem(repeats)
    await system.store.start()
    system.store.put("op", "config", config())
    try:
        for zone in zones:
            for index in range(4):
                await system.add_engine(
                    f"{zone}{index}", MODEL_SERVICE, zone, "big"
                )
            await system.add_engine(f"p{zone}", PLAIN_SERVICE, zone)
        for index in range(nodes):
            await system.add_node(zones[index % len(zones)])
        await system.until(lambda: system.serves() and system.knows_layers())
        yield system
    finally:
        await system.close()


async def send(
    address: str, head: list[str], body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request on a new connection and returns the response.

    Status 0 means that the connection closed before the response was complete.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        text = "\r\n".join([*head, f"Content-Length: {len(body)}", "", ""])
        writer.write(text.encode() + body)
        raw = await read_answer(reader)
    finally:
        writer.close()
    return raw


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except (asyncio.IncompleteReadError, ConnectionError):
        return 0, {}, b""
    lines = head.split("\r\n")
    status = int(lines[0].split()[1])
    fields = dict(
        (name.lower(), value.strip())
        for name, _, value in (
            line.partition(":") for line in lines[1:] if line
        )
    )
    try:
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
            return status, fields, body
        return status, fields, await read_chunks(reader)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        partial = getattr(error, "partial", b"")
        return 0, fields, partial


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return body


def request(
    path: str, request_id: str, method: str = "POST", **fields: str
) -> list[str]:
    """Returns the head of a valid request."""
    written = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
        "X-Token-Usage": "100,20",
    }
    written.update({k.replace("_", "-"): v for k, v in fields.items()})
    lines = [f"{name}: {value}" for name, value in written.items() if value]
    return [f"{method} {path} HTTP/1.1", *lines]
