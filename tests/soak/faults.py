"""External faults, drawn from a seed as overlapping series."""

from __future__ import annotations

import abc
import asyncio
import contextlib
import dataclasses
import random
import signal
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from tests.faults import proxy as fault_proxy
from tests.platform import cut_links
from tests.soak import callers
from tests.soak import config_probes
from tests.soak import disturbances
from tests.soak import engine_process
from tests.soak import layout
from tests.soak import partition_links
from tests.soak import store_process

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.soak import system as soak_system

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Fault(abc.ABC):
    """A fault that is injected once.

    Attributes:
        at_s: Seconds after the start of the faults.
        pick: Selects the target, as a share of those present at the time.
        lasts_s: How long it lasts, unless it is instantaneous.
        shape: Selects the variant, as a share of all variants.
    """

    at_s: float
    pick: float
    lasts_s: float
    shape: float

    @abc.abstractmethod
    async def inject(self, system: soak_system.SoakSystem) -> None:
        """Injects the fault and reverts it after ``lasts_s``."""

    def node(self, system: soak_system.SoakSystem) -> soak_system.NodeProcess:
        return pick_by_share(system.nodes, self.pick)

    def engine(
        self, system: soak_system.SoakSystem
    ) -> soak_system.EngineProcess:
        return pick_by_share(system.engines, self.pick)


def pick_by_share(options: Sequence[T], share: float) -> T:
    return options[int(share * len(options))]


class StopNode(Fault):
    """SIGTERM; the process is restarted after it exits.

    Only the first one counts: another SIGTERM doesn't extend the grace period.
    """

    async def inject(self, system: soak_system.SoakSystem) -> None:
        node = self.node(system)
        if node.stopped_at:
            node.terminate()
            return
        stop = system.disturbances.begin(node.name, "stop", is_planned=True)
        node.terminate()
        await asyncio.sleep(layout.GRACE_S)
        stop.end = time.monotonic()


class KillNode(Fault):
    async def inject(self, system: soak_system.SoakSystem) -> None:
        kill_node(system, self.node(system))


class KillNodes(Fault):
    """Kills several nodes at the same moment."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        count = max(1, int(self.shape * len(system.nodes) + 1))
        for node in system.nodes[:count]:
            kill_node(system, node)


def kill_node(
    system: soak_system.SoakSystem, node: soak_system.NodeProcess
) -> None:
    system.disturbances.note(node.name, "kill")
    node.kill()


class PauseNode(Fault):
    """SIGSTOP and later SIGCONT."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        await pause(system, self.node(system), self.lasts_s)


class PauseEngine(Fault):
    """An engine is paused and resumes with its state intact."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        await pause(system, self.engine(system), self.lasts_s)


class PauseStore(Fault):
    async def inject(self, system: soak_system.SoakSystem) -> None:
        await pause(system, system.store, self.lasts_s)


async def pause(
    system: soak_system.SoakSystem,
    part: soak_system.SupervisedProcess,
    seconds: float,
) -> None:
    """Suspends a process; several such pauses of one may overlap."""
    with system.disturbances.during(part.name, "pause"):
        part.suspend()
        await asyncio.sleep(seconds)
        part.resume()


class ReloadNode(Fault):
    """The settings change, followed by SIGHUP."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        node = self.node(system)
        node.settings["log_lines"] = pick_by_share([100, 400, 1000], self.shape)
        system.write_settings(node)
        node.signal(signal.SIGHUP)


class LinkFault(Fault):
    """A link is reset, delayed or silenced in one or both directions."""

    @abc.abstractmethod
    def link(
        self, system: soak_system.SoakSystem
    ) -> tuple[str, fault_proxy.FaultProxy | None]:
        """Returns the name of the disturbed process and the link's proxy."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        name, link = self.link(system)
        assert link is not None
        effect = pick_by_share(
            ["reset", "delay", "up", "down", "both"], self.shape
        )
        with system.disturbances.during(name, f"link {effect}"):
            if effect == "reset":
                link.cut()
            elif effect == "delay":
                link.delay_s = 0.05 + self.pick / 2
                await asyncio.sleep(self.lasts_s)
                link.delay_s = 0.0
            else:
                await self.silence(link, effect)

    async def silence(self, link: fault_proxy.FaultProxy, effect: str) -> None:
        both = set(fault_proxy.Direction)
        silent = both if effect == "both" else {fault_proxy.Direction(effect)}
        link.blocked_directions |= silent
        await asyncio.sleep(self.lasts_s)
        link.blocked_directions -= silent


class FrontLinkFault(LinkFault):
    def link(
        self, system: soak_system.SoakSystem
    ) -> tuple[str, fault_proxy.FaultProxy | None]:
        node = self.node(system)
        return node.name, node.front


class StoreLinkFault(LinkFault):
    def link(
        self, system: soak_system.SoakSystem
    ) -> tuple[str, fault_proxy.FaultProxy | None]:
        node = self.node(system)
        return node.name, node.store_link


class EngineLinkFault(LinkFault):
    def link(
        self, system: soak_system.SoakSystem
    ) -> tuple[str, fault_proxy.FaultProxy | None]:
        engine = self.engine(system)
        return engine.name, engine.link


class StoreFault(Fault):
    """The store refuses or ignores requests, or loses answers or history."""

    VARIANTS: tuple[dict[str, Any], ...] = (
        {"refuses": 503},
        {"refuses": 429},
        {"is_silent": True},
        {"loses_writes": True},
        {"forgets": True},
    )

    async def inject(self, system: soak_system.SoakSystem) -> None:
        switches = pick_by_share(self.VARIANTS, self.shape)
        await self.set_faults(system, switches)
        with system.disturbances.during(disturbances.STORE, str(switches)):
            await asyncio.sleep(self.lasts_s)
            await self.set_faults(system, {})

    async def set_faults(
        self, system: soak_system.SoakSystem, switches: dict[str, Any]
    ) -> None:
        address = system.network.store()
        await system.post(address, store_process.FAULTS_PATH, switches)


class SlowStore(Fault):
    """All calls from nodes to the store are slow."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        links = [node.store_link for node in system.nodes if node.store_link]
        with system.disturbances.during(disturbances.STORE, "slow"):
            for link in links:
                link.delay_s = 0.05 + self.shape / 2
            await asyncio.sleep(self.lasts_s)
            for link in links:
                link.delay_s = 0.0


class KillEngine(Fault):
    """The engine restarts under the same name, without its state."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        engine = self.engine(system)
        system.disturbances.note(engine.name, "kill")
        engine.kill()


class LeavingEngine(Fault):
    """An engine leaves, announced or not, and is replaced."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        engine = self.engine(system)
        if engine.leaves_at:
            return
        engine.leaves_at = time.monotonic()
        state = pick_by_share(["draining", "gone"], self.shape)
        serves_on_s = layout.DRAIN_S + 0.5 + self.lasts_s
        attributes = {"state": state, "serves_on_s": serves_on_s}
        await set_attributes(system, engine, attributes)


class FailingEngine(Fault):
    """An engine cuts streams within events, or loses answers."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        engine = self.engine(system)
        failing = {"cut_after": int(1 + self.shape * 30), "resets": True}
        with system.disturbances.during(engine.name, "fails"):
            await set_attributes(system, engine, failing)
            await asyncio.sleep(self.lasts_s)
            await set_attributes(
                system, engine, {"cut_after": -1, "resets": False}
            )


async def set_attributes(
    system: soak_system.SoakSystem,
    engine: soak_system.EngineProcess,
    attributes: dict[str, Any],
) -> None:
    await system.post(engine.listen, engine_process.CONTROL_PATH, attributes)


class LimitedEngine(Fault):
    """An engine names a limit of requests per second for a while."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        engine = self.engine(system)
        per_s = pick_by_share([0.0, 1.0, 3.0, 6.0], self.shape)
        generation = engine.starts
        await set_attributes(system, engine, {"limits": [str(per_s)]})
        limit = disturbances.NamedLimit(engine.name, per_s, time.monotonic())
        system.disturbances.limits.append(limit)
        await asyncio.sleep(layout.LIMIT_TOLD_S + self.lasts_s)
        if engine.starts == generation:
            limit.end = time.monotonic()
            await set_attributes(system, engine, {"limits": []})


class BackoffEngine(Fault):
    """An engine refuses all requests for a while, with Retry-After."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        engine = self.engine(system)
        generation = engine.starts
        await set_attributes(
            system, engine, {"backoffs": [f"{layout.BACKOFF_S}"]}
        )
        backoff = disturbances.Backoff(engine.name, time.monotonic())
        system.disturbances.backoffs.append(backoff)
        await asyncio.sleep(self.lasts_s)
        backoff.end = time.monotonic()
        if engine.starts == generation:
            await set_attributes(system, engine, {"backoffs": []})


class CutNodes(Fault):
    """Nodes lose all engines; some, most or all of them."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        cut = pick_by_share(list(cut_links.Cut), self.shape)
        share = pick_by_share([0.0, 0.5, 0.8, 1.0], self.pick)
        count = max(1, round(share * len(system.nodes)))
        with contextlib.ExitStack() as stack:
            for node in system.nodes[:count]:
                stack.enter_context(
                    system.disturbances.during(node.name, disturbances.CUT_OFF)
                )
                node.cut_file.write_text(cut)
            await asyncio.sleep(layout.SETTLE_S + self.lasts_s)
            for node in system.nodes[:count]:
                node.cut_file.write_text("")


class PartitionNodes(Fault):
    """Nodes lose all engines, by links that are cut outside of them."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        options = system.options
        kinds = list(partition_links.Partition)
        kind = options.partition or pick_by_share(kinds, self.shape)
        share = pick_by_share([0.0, 0.3, 0.7, 0.9], self.pick)
        count = options.partitioned or round(share * len(system.nodes))
        cut = system.nodes[: max(1, count)]
        with contextlib.ExitStack() as stack:
            for node in cut:
                stack.enter_context(
                    system.disturbances.during(node.name, disturbances.CUT_OFF)
                )
                node.partition_file.write_text(kind)
            await asyncio.sleep(layout.SETTLE_S + self.lasts_s)
            for node in cut:
                node.partition_file.write_text("")


class ChangeConfiguration(Fault):
    """The operator adds or removes a route, or rotates an account's key."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        async with system.writing:
            change = pick_by_share(
                [add_route, drop_route, rotate_key], self.shape
            )
            expected = change(system.configuration)
            system.configuration.version += 1 + int(self.pick * 5)
            acked_at = await system.write_configuration()
        version = system.configuration.version
        for route, key, verdict in expected:
            account = layout.ROTATING_ACCOUNT
            if key == layout.STEADY_KEY:
                account = layout.STEADY_ACCOUNT
            system.on_change(
                config_probes.ConfigChange(
                    version, acked_at, route, key, account, verdict
                )
            )


ExpectedResults = list[tuple[str, str, callers.Expected]]
"""Routes and keys, with the expected result of requests that use them."""


def add_route(configuration: layout.Configuration) -> ExpectedResults:
    configuration.routes_made += 1
    number = configuration.routes_made
    configuration.extra_routes.append(number)
    return [(f"extra{number}", layout.STEADY_KEY, callers.Expected.ADDED)]


def drop_route(configuration: layout.Configuration) -> ExpectedResults:
    if not configuration.extra_routes:
        return add_route(configuration)
    number = configuration.extra_routes.pop(0)
    return [(f"extra{number}", layout.STEADY_KEY, callers.Expected.DENIED)]


def rotate_key(configuration: layout.Configuration) -> ExpectedResults:
    former_key = configuration.rotating_key()
    configuration.key_number += 1
    new_key = configuration.rotating_key()
    return [
        ("look", former_key, callers.Expected.DENIED),
        ("look", new_key, callers.Expected.ADDED),
    ]


PLANNED: tuple[type[Fault], ...] = (
    StopNode,
    StopNode,
    ReloadNode,
    LeavingEngine,
    ChangeConfiguration,
    ChangeConfiguration,
)
"""Operators' actions, which must harm no request."""

UNPLANNED: tuple[type[Fault], ...] = (
    KillNode,
    KillNodes,
    PauseNode,
    PauseEngine,
    PauseStore,
    FrontLinkFault,
    StoreLinkFault,
    EngineLinkFault,
    EngineLinkFault,
    StoreFault,
    StoreFault,
    SlowStore,
    KillEngine,
    KillEngine,
    FailingEngine,
)

PROXY_FAULTS = (LinkFault, SlowStore)
"""Faults that only the proxies of links can inject."""

PLANNED_ONLY_PROBABILITY = 0.3
"""Share of seeds with planned faults only, which check the guarantees for
planned work without other disturbances."""

SECONDS_PER_SERIES = 4.0
PROCESSES_PER_SERIES = 14
MIN_SERIES = 6
MAX_FAULTS_IN_SERIES = 4

MAX_PARTITION_S = 9.0
MIN_PARTITION_GAP_S = 4.0


def draw(rng: random.Random, options: layout.SoakOptions) -> list[Fault]:
    """Draws all faults of a soak, in series that overlap."""
    is_planned_only = rng.random() < PLANNED_ONLY_PROBABILITY
    kinds = PLANNED if is_planned_only else PLANNED + UNPLANNED
    if options.direct:
        kinds = tuple(k for k in kinds if not issubclass(k, PROXY_FAULTS))
    size = (options.nodes + options.engines) / PROCESSES_PER_SERIES
    count = round(options.seconds / SECONDS_PER_SERIES * size)
    count = 0 if options.is_calm else max(MIN_SERIES, count)
    found: list[Fault] = []
    for _ in range(count):
        found += draw_series(rng, kinds, options.seconds)
    found += draw_extra(options, LimitedEngine, options.limits)
    found += draw_extra(options, CutNodes, options.cuts)
    found += draw_extra(options, BackoffEngine, options.backoffs)
    found += draw_partitions(options)
    return sorted(found, key=lambda fault: fault.at_s)


def draw_extra(
    options: layout.SoakOptions, kind: type[Fault], count: int
) -> list[Fault]:
    """Draws faults that leave the others of a seed as they are."""
    rng = random.Random(f"{options.seed}/{kind.__name__}")
    return [
        kind(
            rng.uniform(0.0, options.seconds),
            rng.random(),
            rng.choice([2.0, 4.0, 7.0]),
            rng.random(),
        )
        for _ in range(count)
    ]


def draw_partitions(options: layout.SoakOptions) -> list[Fault]:
    """Draws partitions that follow each other."""
    rng = random.Random(f"{options.seed}/{PartitionNodes.__name__}")
    slot_s = options.seconds / max(1, options.partitions)
    lasts_s = min(MAX_PARTITION_S, slot_s - MIN_PARTITION_GAP_S)
    return [
        PartitionNodes(
            number * slot_s + rng.uniform(0.5, 1.0),
            rng.random(),
            max(1.0, lasts_s - layout.SETTLE_S),
            rng.random(),
        )
        for number in range(options.partitions)
    ]


def draw_series(
    rng: random.Random, kinds: tuple[type[Fault], ...], seconds: float
) -> list[Fault]:
    """Draws consecutive faults of one kind."""
    kind = rng.choice(kinds)
    at_s = rng.uniform(0.0, seconds)
    gap_s = rng.choice([0.05, 0.5, 1.0, 3.0])
    pick = rng.random()
    keeps_target = rng.random() < 0.4
    series = []
    for _ in range(rng.randint(1, MAX_FAULTS_IN_SERIES)):
        lasts_s = rng.choice([0.2, 0.8, 2.0, 4.0, 7.0])
        series.append(kind(at_s, pick, lasts_s, rng.random()))
        at_s += gap_s * rng.uniform(0.5, 1.5)
        pick = pick if keeps_target else rng.random()
    return [fault for fault in series if fault.at_s < seconds]
