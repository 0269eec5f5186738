"""The endpoints known to a node, and its connections to them.

Polls the platform's VM list and the engines' load reports, keeps one client
and one coalescer for each engine, and notifies the router of changes.
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

JITTER_RATIO = 0.2
MAX_LIST_READS_PER_S = 100.0
"""Limit for the reads of the VM list by all nodes together."""

UNREACHABLE_QUERIES = 2
UNREACHABLE_S = 1.0
"""An engine is unreachable once this many queries in a row have failed, the
first of them at least this long ago. A restarted engine is back earlier."""

MIN_OVERDUE_S = 2.0
"""Minimum age of a peer's report before the planning node queries the engine
itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectorySettings:
    """How often endpoints are polled.

    Attributes:
        list_interval_s: Minimum seconds between reads of the VM list.
        load_interval_s: Minimum seconds between load queries to one engine.
        engine_query_interval_s: Minimum average seconds between queries to
            any engine; with many engines each is queried less often, which
            bounds the cost.
        watch_check_interval_s: Minimum average seconds between checks of
            engines watched by peers. A check only finds out whether this
            node has to query the engine now. Checking 820 engines four
            times a second took an eighth of a core.
        missing_reads_before_drop: Consecutive reads of the list without a
            VM after which its endpoint is dropped.
        coalesce: Whether steps of many requests share a call.
    """

    list_interval_s: float = 0.5
    load_interval_s: float = 0.25
    engine_query_interval_s: float = 0.02
    watch_check_interval_s: float = 0.005
    missing_reads_before_drop: int = 2
    coalesce: bool = True


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint as this node knows it.

    Attributes:
        engine: Client; only for engines.
        step_coalescer: Coalescer; only for engines with a description.
        report: The newest load report received.
        reported_at: Monotonic time at which it was received.
        router_told_leaving: Whether the router regards it as leaving.
        missing_reads: Consecutive reads of the VM list without it.
        watched: Whether this node queries the engine's load itself.
        failing_since: Monotonic time at which the first of the latest,
            consecutive failed queries was sent; None after a report.
        failed_queries: Number of these queries.
    """

    vm: endpoints.Vm
    engine: engines.Engine | None = None
    step_coalescer: coalescer.Coalescer | None = None
    description: endpoints.EndpointDescription | None = None
    report: endpoints.LoadReport | None = None
    reported_at: float | None = None
    router_told_leaving: bool = False
    missing_reads: int = 0
    watched: bool = True
    failing_since: float | None = None
    failed_queries: int = 0
    cache_sequence: int = 0
    watcher: asyncio.Task[None] | None = None


class Directory:
    """Tracks the endpoints and keeps the router up to date.

    Attributes:
        endpoints: The known endpoints, by name.
        leaving: Tracks the endpoints that get no new work.
        was_list_read: Whether the VM list was read at least once.
        node_count: Returns how many nodes read the VM list.
        watches: Returns whether this node queries the load of an engine;
            peers publish the load of the others.
        plans_placement: Returns whether this node plans which layers engines
            hold. It queries engines itself that no peer has reported lately.
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
        self.was_list_read = False
        self.watches: Callable[[str], bool] = lambda _: True
        self.plans_placement: Callable[[], bool] = lambda: False
        self.node_count: Callable[[], int] = lambda: 1
        self._list_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts polling."""
        self.driver.on_probe = self._probe
        self._list_task = asyncio.create_task(self._watch_list())

    async def close(self) -> None:
        """Stops polling and closes all connections."""
        if self._list_task is not None:
            self._list_task.cancel()
        for name in list(self.endpoints):
            await self._drop(name)

    def coalescer_for(self, endpoint: str) -> coalescer.Coalescer | None:
        """Returns the coalescer of an engine, or None if it has none."""
        known = self.endpoints.get(endpoint)
        return known.step_coalescer if known else None

    def engine(self, endpoint: str) -> engines.Engine | None:
        """Returns the client of an engine, or None if it has none."""
        known = self.endpoints.get(endpoint)
        return known.engine if known else None

    def address(self, endpoint: str) -> str | None:
        """Returns the address of an endpoint, or None if it is not known."""
        known = self.endpoints.get(endpoint)
        return known.vm.address if known else None

    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether an endpoint is leaving or gone."""
        return endpoint not in self.endpoints or self.leaving.is_leaving(
            endpoint
        )

    def is_unreachable(self, endpoint: str) -> bool:
        """Returns whether an engine has failed to answer for some time.

        A single failed query doesn't count: after a pause of this node, the
        queries of all engines may fail at once.
        """
        known = self.endpoints.get(endpoint)
        if known is None or known.failing_since is None:
            return False
        failing_s = self.clock.monotonic() - known.failing_since
        return (
            known.failed_queries >= UNREACHABLE_QUERIES
            and failing_s >= UNREACHABLE_S
        )

    def plain_ready(self) -> set[str]:
        """Returns the plain services that have a usable endpoint."""
        return {
            known.vm.service
            for name, known in self.endpoints.items()
            if known.vm.kind is endpoints.EndpointKind.PLAIN
            and not self.leaving.is_leaving(name)
        }

    def endpoint_reported_leaving(
        self, endpoint: str, instance: str = ""
    ) -> None:
        """Records that an endpoint itself reported that it is leaving."""
        self.leaving.endpoint_reported_leaving(endpoint, instance)
        self.notify_router_of_leaving()

    def note_move_from_leaving(self, endpoint: str) -> None:
        """Records that a move makes the router regard an endpoint as leaving.

        A move may be decided after the router was notified that the endpoint
        stays. Because of this record, the next sync of the endpoint notifies
        the router again; otherwise the router would skip it for ever.
        """
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.router_told_leaving = True

    def notify_router_of_leaving(self) -> None:
        """Notifies the router of endpoints that started or stopped leaving."""
        for name, known in self.endpoints.items():
            self._sync_leaving_state(name, known)

    def _sync_leaving_state(self, name: str, known: Endpoint) -> None:
        leaving = self.leaving.is_leaving(name)
        if leaving and not known.router_told_leaving:
            self._notify_leaving(name)
        elif known.router_told_leaving and not leaving:
            self._notify_staying(name, known)
        known.router_told_leaving = leaving

    def _notify_leaving(self, name: str) -> None:
        log_events.emit(
            logger, log_events.EndpointLeaving(name, self.leaving.source(name))
        )
        self.driver.notify(events.EndpointLeaving(self.clock.monotonic(), name))

    def _notify_staying(self, name: str, known: Endpoint) -> None:
        """Notifies the router that an endpoint stays after all."""
        now = self.clock.monotonic()
        self.driver.notify(events.EndpointGone(now, name))
        self._notify_seen(known)
        if known.report is not None:
            self.driver.notify(events.LoadReported(now, known.report))

    async def _watch_list(self) -> None:
        while True:
            try:
                await self.refresh()
            except Exception:
                logger.exception("failed to read the VM list")
            await self._sleep_with_jitter(self._list_read_interval_s())

    def _list_read_interval_s(self) -> float:
        """Returns the time to the next read of the VM list.

        With many nodes each reads it less often, so that their reads use
        only a part of the platform's capacity. Meanwhile a leaving endpoint
        is announced by itself and by peers.
        """
        return max(
            self.settings.list_interval_s,
            self.node_count() / MAX_LIST_READS_PER_S,
        )

    async def refresh(self) -> None:
        """Reads the VM list once; changes nothing if the read fails."""
        match await self.vm_list.list():
            case expression.Result(tag="ok", ok=vms):
                await self._merge_list(vms)
                self.was_list_read = True
            case _:
                return

    async def _merge_list(self, vms: list[endpoints.Vm]) -> None:
        seen = {vm.name for vm in vms}
        for vm in vms:
            await self._update_vm(vm)
        self.leaving.update_vm_list(vms)
        self.notify_router_of_leaving()
        for name in list(self.endpoints):
            if name in seen:
                self.endpoints[name].missing_reads = 0
                continue
            self.endpoints[name].missing_reads += 1
            if (
                self.endpoints[name].missing_reads
                >= self.settings.missing_reads_before_drop
            ):
                await self._drop(name)

    async def _update_vm(self, vm: endpoints.Vm) -> None:
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
        self._notify_seen(known)
        if vm.kind is not endpoints.EndpointKind.ENGINE:
            return
        known.engine = self.factory.build(vm.name, vm.address)
        await known.engine.start()
        known.watcher = asyncio.create_task(self._watch_engine(known))

    async def _drop(self, name: str) -> None:
        known = self.endpoints.pop(name)
        if known.watcher is not None:
            known.watcher.cancel()
        if known.step_coalescer is not None:
            await known.step_coalescer.close()
        if known.engine is not None:
            await known.engine.close()
        self.timeouts.forget(name)
        self.leaving.endpoint_gone(name)
        self.driver.notify(events.EndpointGone(self.clock.monotonic(), name))

    def _notify_seen(self, known: Endpoint) -> None:
        """Notifies the router of an endpoint, with the locally known state.

        The state in the VM list may belong to a former instance, and the
        router keeps the state that it was given for an instance. With the
        list's state it refused requests indefinitely for lack of a complete
        chain after an engine came back while the list was outdated.
        """
        is_leaving = self.leaving.is_leaving(known.vm.name)
        states = endpoints.VmState
        state = states.LEAVING if is_leaving else states.LIVE
        vm = dataclasses.replace(known.vm, state=state)
        now = self.clock.monotonic()
        self.driver.notify(events.EndpointSeen(now, vm, known.description))

    async def _watch_engine(self, known: Endpoint) -> None:
        while True:
            try:
                await self._query_engine(known)
            except Exception:
                logger.exception("failed to query engine %s", known.vm.name)
            await self._sleep_with_jitter(self._engine_query_interval_s(known))

    async def _query_engine(self, known: Endpoint) -> None:
        engine = known.engine
        if engine is None:
            return
        if known.description is None:
            await self._describe(known, engine)
        known.watched = self.watches(known.vm.name)
        if not known.watched and not self._is_report_overdue(known):
            return
        sent_at = self.clock.monotonic()
        match await engine.load():
            case expression.Result(tag="ok", ok=report):
                await self._take_report(known, engine, report)
            case _:
                _record_failed_query(known, sent_at)
                return
        await self._read_cache_events(known, engine)

    def _is_report_overdue(self, known: Endpoint) -> bool:
        """Returns whether to query an engine that only peers watch."""
        if known.report is None or known.reported_at is None:
            return True
        if not self.plans_placement():
            return False
        measured_at = known.reported_at - known.report.age_s
        max_age_s = max(
            MIN_OVERDUE_S,
            len(self.endpoints) * self.settings.engine_query_interval_s,
        )
        return self.clock.monotonic() - measured_at >= max_age_s

    async def _describe(self, known: Endpoint, engine: engines.Engine) -> None:
        match await engine.describe():
            case expression.Result(tag="ok", ok=description):
                known.description = description
                if known.step_coalescer is None:
                    known.step_coalescer = await self._start_coalescer(
                        known, engine
                    )
                self._notify_seen(known)
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
        self.driver.notify(
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
        _clear_failed_queries(known)
        self._sync_leaving_state(known.vm.name, known)
        self.driver.notify(events.LoadReported(self.clock.monotonic(), report))
        if report.leaving:
            self.endpoint_reported_leaving(known.vm.name, report.instance)

    def take_peer_report(self, report: endpoints.LoadReport) -> None:
        """Applies a load report published by a peer."""
        known = self.endpoints.get(report.endpoint)
        if known is None:
            return
        measured_at = self.clock.monotonic() - report.age_s
        since = known.failing_since
        if since is not None and measured_at > since:
            _clear_failed_queries(known)
        if known.watched:
            return
        described = known.description
        if described is not None and described.instance != report.instance:
            known.description = None
            known.report = None
            return
        known.report = report
        known.reported_at = self.clock.monotonic()
        self.driver.notify(events.LoadReported(self.clock.monotonic(), report))
        if report.leaving:
            self.endpoint_reported_leaving(report.endpoint, report.instance)

    async def _read_cache_events(
        self, known: Endpoint, engine: engines.Engine
    ) -> None:
        match await engine.cache_events(known.cache_sequence):
            case expression.Result(tag="ok", ok=fresh) if fresh:
                known.cache_sequence = fresh[-1].sequence
                self.driver.notify(
                    events.CacheChanged(
                        self.clock.monotonic(), known.vm.name, tuple(fresh)
                    )
                )
            case _:
                return

    def _engine_query_interval_s(self, known: Endpoint) -> float:
        if not known.watched and known.report is not None:
            check_s = len(self.endpoints) * self.settings.watch_check_interval_s
            return max(self.settings.load_interval_s, check_s)
        watched = sum(1 for e in self.endpoints.values() if e.watched)
        return max(
            self.settings.load_interval_s,
            watched * self.settings.engine_query_interval_s,
        )

    def _probe(self, endpoint: str) -> None:
        known = self.endpoints.get(endpoint)
        if known is None or known.engine is None:
            return
        task = asyncio.create_task(self._run_probe(known, known.engine))
        task.add_done_callback(lambda _: None)

    async def _run_probe(self, known: Endpoint, engine: engines.Engine) -> None:
        started = self.clock.monotonic()
        response = await engine.describe()
        now = self.clock.monotonic()
        self.driver.notify(
            events.ProbeAnswered(
                now, known.vm.name, response.is_ok(), now - started
            )
        )

    async def _sleep_with_jitter(self, seconds: float) -> None:
        spread = self.rng.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        await self.clock.sleep(seconds * spread)


def _record_failed_query(known: Endpoint, sent_at: float) -> None:
    if known.failing_since is None:
        known.failing_since = sent_at
    known.failed_queries += 1


def _clear_failed_queries(known: Endpoint) -> None:
    known.failing_since = None
    known.failed_queries = 0


def unreachable(endpoint: str) -> errors.EndpointUnreachable:
    """Returns the error for an endpoint that this node doesn't know."""
    return errors.EndpointUnreachable(f"Endpoint {endpoint} is not known.")
