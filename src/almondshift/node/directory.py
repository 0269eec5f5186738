"""The endpoints that a node knows, and its connections to them.

Watches the platform's list of VMs and the engines' own reports, keeps one
engine client and one coalescer for each engine, and tells the router.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift import log_events
from almondshift.model import endpoints
from almondshift.node import coalescer
from almondshift.node import step_queue
from almondshift.policy import events

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from almondshift.coordination import leaving as leaving_parts
    from almondshift.node import router_driver
    from almondshift.policy import step_timeouts
    from almondshift.ports import clocks
    from almondshift.ports import engines
    from almondshift.ports import vm_lists

logger = logging.getLogger(__name__)

JITTER = 0.2
LIST_READS_S = 100.0
"""Reads of the VM list a second by all nodes together, at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectorySettings:
    """How often endpoints are asked.

    Attributes:
        list_s: Seconds between reads of the VM list.
        load_s: Least seconds between load reports of one engine.
        ask_s: Least seconds between two questions to engines; with many
            engines each is asked less often, so that the cost is bounded.
        look_s: Least seconds between two looks at engines that peers
            watch; each look only finds whether this node has to ask now.
            820 engines looked at four times a second took an eighth of a
            core.
        forget_after: Reads of the list in a row without a VM after which
            its endpoint is dropped.
        coalesce: Whether steps of many requests share a call.
    """

    list_s: float = 0.5
    load_s: float = 0.25
    ask_s: float = 0.02
    look_s: float = 0.005
    forget_after: int = 2
    coalesce: bool = True


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint as this node knows it.

    Attributes:
        engine: Client, for engines.
        calls: Coalescer, for engines that described themselves.
        report: The newest load report seen here.
        reported_at: Monotonic time at which it was received.
        is_told: Whether the router takes it for leaving.
        missing: Reads of the VM list in a row without it.
        watched: Whether this node asks the engine itself for its load.
    """

    vm: endpoints.Vm
    engine: engines.Engine | None = None
    calls: coalescer.Coalescer | None = None
    description: endpoints.EndpointDescription | None = None
    report: endpoints.LoadReport | None = None
    reported_at: float | None = None
    is_told: bool = False
    missing: int = 0
    watched: bool = True
    cache_sequence: int = 0
    watcher: asyncio.Task[None] | None = None


class Directory:
    """Endpoints by name.

    Attributes:
        endpoints: What is known now.
        leaving: Which of them get no new work.
        list_known: Whether the VM list was read at least once.
        node_count: Says how many nodes read the VM list.
        watches: Says which engines this node asks for their load; peers
            tell of the others.
    """

    def __init__(
        self,
        vm_list: vm_lists.VmList,
        factory: engines.EngineFactory,
        driver: router_driver.RouterDriver,
        timeouts: step_timeouts.StepTimeouts,
        leaving: leaving_parts.LeavingEndpoints,
        clock: clocks.Clock,
        rng: random.Random,
        settings: DirectorySettings,
    ) -> None:
        self.vm_list = vm_list
        self.factory = factory
        self.driver = driver
        self.timeouts = timeouts
        self.leaving = leaving
        self.clock = clock
        self.rng = rng
        self.settings = settings
        self.endpoints: dict[str, Endpoint] = {}
        self.list_known = False
        self.watches: Callable[[str], bool] = lambda _: True
        self.node_count: Callable[[], int] = lambda: 1
        self._lister: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts watching."""
        self.driver.on_probe = self._probe
        self._lister = asyncio.create_task(self._watch_list())

    async def close(self) -> None:
        """Stops watching and closes all connections."""
        if self._lister is not None:
            self._lister.cancel()
        for name in list(self.endpoints):
            await self._drop(name)

    def calls_to(self, endpoint: str) -> coalescer.Coalescer | None:
        """Returns the way to an engine, or None if it is not known."""
        known = self.endpoints.get(endpoint)
        return known.calls if known else None

    def engine(self, endpoint: str) -> engines.Engine | None:
        """Returns the client of an engine, or None if it is not known."""
        known = self.endpoints.get(endpoint)
        return known.engine if known else None

    def address(self, endpoint: str) -> str | None:
        """Returns the address of an endpoint, or None."""
        known = self.endpoints.get(endpoint)
        return known.vm.address if known else None

    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether an endpoint is leaving or gone."""
        return endpoint not in self.endpoints or self.leaving.is_leaving(
            endpoint
        )

    def plain_ready(self) -> set[str]:
        """Returns the plain services that have an endpoint to use."""
        return {
            known.vm.service
            for name, known in self.endpoints.items()
            if known.vm.kind is endpoints.EndpointKind.PLAIN
            and not self.leaving.is_leaving(name)
        }

    def said_leaving(self, endpoint: str, instance: str = "") -> None:
        """Takes an endpoint's own word that it is leaving."""
        self.leaving.endpoint_said(endpoint, instance)
        self.tell_leaving()

    def router_hears_leaving(self, endpoint: str) -> None:
        """Notes that the router takes an endpoint for leaving by a move.

        A move may be decided after the endpoint was found to stay; the
        router would pass it over without end. The next look at the endpoint
        tells the router that it stays.
        """
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.is_told = True

    def tell_leaving(self) -> None:
        """Tells the router of each endpoint that began to leave."""
        for name, known in self.endpoints.items():
            self._tell_change(name, known)

    def _tell_change(self, name: str, known: Endpoint) -> None:
        leaving = self.leaving.is_leaving(name)
        if leaving and not known.is_told:
            self._tell_leaving(name)
        elif known.is_told and not leaving:
            self._tell_staying(name, known)
        known.is_told = leaving

    def _tell_leaving(self, name: str) -> None:
        log_events.emit(
            logger, log_events.EndpointLeaving(name, self.leaving.source(name))
        )
        self.driver.tell(events.EndpointLeaving(self.clock.monotonic(), name))

    def _tell_staying(self, name: str, known: Endpoint) -> None:
        """Tells the router that an endpoint stays after all."""
        now = self.clock.monotonic()
        self.driver.tell(events.EndpointGone(now, name))
        self._tell_seen(known)
        if known.report is not None:
            self.driver.tell(events.LoadReported(now, known.report))

    async def _watch_list(self) -> None:
        while True:
            try:
                await self.refresh()
            except Exception:
                logger.exception("reading the VM list failed")
            await self._pause(self._list_pause_s())

    def _list_pause_s(self) -> float:
        """Returns the time to the next read of the VM list.

        With many nodes each reads it less often, so that their reads do not
        grow past a part of what the platform takes; a leaving endpoint is
        told of by its own word and by peers meanwhile.
        """
        return max(self.settings.list_s, self.node_count() / LIST_READS_S)

    async def refresh(self) -> None:
        """Reads the VM list once; while it is down, all stays as known."""
        match await self.vm_list.list():
            case expression.Result(tag="ok", ok=vms):
                await self._merge(vms)
                self.list_known = True
            case _:
                return

    async def _merge(self, vms: list[endpoints.Vm]) -> None:
        seen = {vm.name for vm in vms}
        for vm in vms:
            await self._see(vm)
        self.leaving.vms_listed(vms)
        self.tell_leaving()
        for name in list(self.endpoints):
            if name in seen:
                self.endpoints[name].missing = 0
                continue
            self.endpoints[name].missing += 1
            if self.endpoints[name].missing >= self.settings.forget_after:
                await self._drop(name)

    async def _see(self, vm: endpoints.Vm) -> None:
        known = self.endpoints.get(vm.name)
        if known is not None and known.vm.address != vm.address:
            await self._drop(vm.name)
            known = None
        if known is None:
            await self._add(vm)
        elif known.vm != vm:
            known.vm = vm

    async def _add(self, vm: endpoints.Vm) -> None:
        known = Endpoint(vm)
        self.endpoints[vm.name] = known
        if vm.state is endpoints.VmState.LEAVING:
            self.leaving.listed_leaving(vm.name)
        self._tell_seen(known)
        if vm.kind is not endpoints.EndpointKind.ENGINE:
            return
        known.engine = self.factory.build(vm.name, vm.address)
        await known.engine.start()
        known.watcher = asyncio.create_task(self._watch_engine(known))

    async def _drop(self, name: str) -> None:
        known = self.endpoints.pop(name)
        if known.watcher is not None:
            known.watcher.cancel()
        if known.calls is not None:
            await known.calls.close()
        if known.engine is not None:
            await known.engine.close()
        self.timeouts.forget(name)
        self.leaving.endpoint_gone(name)
        self.driver.tell(events.EndpointGone(self.clock.monotonic(), name))

    def _tell_seen(self, known: Endpoint) -> None:
        """Tells the router of an endpoint, leaving or not as known here.

        The row's own state is only the list's word, and may be of a former
        instance. The router keeps what it was told of an instance: with the
        row's state it refused callers for want of a whole chain, without
        end, after an engine had come back while the list was behind.
        """
        is_leaving = self.leaving.is_leaving(known.vm.name)
        states = endpoints.VmState
        state = states.LEAVING if is_leaving else states.LIVE
        vm = dataclasses.replace(known.vm, state=state)
        now = self.clock.monotonic()
        self.driver.tell(events.EndpointSeen(now, vm, known.description))

    async def _watch_engine(self, known: Endpoint) -> None:
        while True:
            try:
                await self._ask_engine(known)
            except Exception:
                logger.exception("watching %s failed", known.vm.name)
            await self._pause(self._load_pause_s(known))

    async def _ask_engine(self, known: Endpoint) -> None:
        engine = known.engine
        if engine is None:
            return
        if known.description is None:
            await self._describe(known, engine)
        known.watched = self.watches(known.vm.name)
        if not known.watched and known.report is not None:
            return
        match await engine.load():
            case expression.Result(tag="ok", ok=report):
                await self._take_report(known, engine, report)
            case _:
                return
        await self._read_cache_events(known, engine)

    async def _describe(self, known: Endpoint, engine: engines.Engine) -> None:
        match await engine.describe():
            case expression.Result(tag="ok", ok=description):
                known.description = description
                if known.calls is None:
                    known.calls = await self._start_coalescer(known, engine)
                self._tell_seen(known)
            case _:
                return

    async def _start_coalescer(
        self, known: Endpoint, engine: engines.Engine
    ) -> coalescer.Coalescer:
        calls = coalescer.create_coalescer(
            engine,
            self.clock,
            coalescer.CoalescerSettings(
                limits=self._limits(known),
                coalesce=self.settings.coalesce,
            ),
            lambda timing: self._take_timing(known, timing),
            lambda: self.timeouts.limit_s(known.vm.name),
        )
        await calls.start()
        return calls

    def _limits(self, known: Endpoint) -> step_queue.CallLimits:
        if known.description is None:
            return step_queue.CallLimits()
        return step_queue.limits_for(
            known.description, known.description.layer_capacity
        )

    def _take_timing(
        self, known: Endpoint, timing: coalescer.CallTiming
    ) -> None:
        if timing.error:
            return
        self.timeouts.observe(known.vm.name, timing.seconds)
        self.driver.tell(
            events.CallTimed(
                at=self.clock.monotonic(),
                endpoint=known.vm.name,
                seconds=timing.seconds,
                items=timing.items,
                tokens=timing.tokens,
                layers=timing.layers,
            )
        )

    async def _take_report(
        self,
        known: Endpoint,
        engine: engines.Engine,
        report: endpoints.LoadReport,
    ) -> None:
        self.leaving.instance_seen(known.vm.name, report.instance)
        described = known.description
        if described is not None and described.instance != report.instance:
            known.description = None
            known.cache_sequence = 0
            await self._describe(known, engine)
        known.report = report
        known.reported_at = self.clock.monotonic()
        self._tell_change(known.vm.name, known)
        self.driver.tell(events.LoadReported(self.clock.monotonic(), report))
        if report.leaving:
            self.said_leaving(known.vm.name, report.instance)

    def take_peer_report(self, report: endpoints.LoadReport) -> None:
        """Takes a report that a peer read."""
        known = self.endpoints.get(report.endpoint)
        if known is None or known.watched:
            return
        described = known.description
        if described is not None and described.instance != report.instance:
            known.description = None
            known.report = None
            return
        known.report = report
        known.reported_at = self.clock.monotonic()
        self.driver.tell(events.LoadReported(self.clock.monotonic(), report))
        if report.leaving:
            self.said_leaving(report.endpoint, report.instance)

    async def _read_cache_events(
        self, known: Endpoint, engine: engines.Engine
    ) -> None:
        match await engine.cache_events(known.cache_sequence):
            case expression.Result(tag="ok", ok=fresh) if fresh:
                known.cache_sequence = fresh[-1].sequence
                self.driver.tell(
                    events.CacheChanged(
                        self.clock.monotonic(), known.vm.name, tuple(fresh)
                    )
                )
            case _:
                return

    def _load_pause_s(self, known: Endpoint) -> float:
        if not known.watched and known.report is not None:
            looks_s = len(self.endpoints) * self.settings.look_s
            return max(self.settings.load_s, looks_s)
        watched = sum(1 for e in self.endpoints.values() if e.watched)
        return max(self.settings.load_s, watched * self.settings.ask_s)

    def _probe(self, endpoint: str) -> None:
        known = self.endpoints.get(endpoint)
        if known is None or known.engine is None:
            return
        task = asyncio.create_task(self._run_probe(known, known.engine))
        task.add_done_callback(lambda _: None)

    async def _run_probe(self, known: Endpoint, engine: engines.Engine) -> None:
        started = self.clock.monotonic()
        answer = await engine.describe()
        now = self.clock.monotonic()
        self.driver.tell(
            events.ProbeAnswered(
                now, known.vm.name, answer.is_ok(), now - started
            )
        )

    async def _pause(self, seconds: float) -> None:
        spread = self.rng.uniform(1 - JITTER, 1 + JITTER)
        await self.clock.sleep(seconds * spread)


def unreachable(endpoint: str) -> errors.EndpointUnreachable:
    """Builds the error for an endpoint that this node doesn't know."""
    return errors.EndpointUnreachable(f"Endpoint {endpoint} is not known.")
