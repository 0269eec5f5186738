"""Sends orders to engines while this node holds the control lease."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

import expression

from almondshift import log_events
from almondshift.model import endpoints
from almondshift.model import orders
from almondshift.policy import placement

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from almondshift.model import fleet
    from almondshift.node import directory
    from almondshift.policy import planners
    from almondshift.ports import clocks
    from almondshift.ports import engines

logger = logging.getLogger(__name__)


class OrderGuard(abc.ABC):
    """Determines whether this node may send orders right now."""

    @abc.abstractmethod
    def fencing(self) -> int | None:
        """Returns the fencing token of the lease if held now, else None."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReconcilerSettings:
    """How often plans are made and orders are sent.

    Attributes:
        plan_interval_s: Seconds between reconciliations.
        min_interval_s: Minimum seconds between them if woken earlier.
        replan_s_per_engine: An unchanged state is planned again after this
            time multiplied by the number of engines, since the number of
            sessions is not part of the state. Planning for few engines is
            cheap, so a small fleet is planned again sooner.
        resend_interval_s: Seconds after which an order is sent again to an
            engine that doesn't report the ordered state.
    """

    plan_interval_s: float = 0.3
    min_interval_s: float = 0.1
    replan_s_per_engine: float = 0.01
    resend_interval_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _PlanState:
    """The inputs of a plan, used to detect changes."""

    version: int
    engines: frozenset[tuple[object, ...]]
    plain_ready: frozenset[str]
    in_use: frozenset[tuple[str, int]]


@dataclasses.dataclass(slots=True)
class _Sent:
    """An order that was sent.

    Attributes:
        accepted_at: Time at which the engine's acceptance was received.
    """

    order: placement.PlannedOrder
    at: float
    accepted_at: float | None = None


class Reconciler:
    """Compares what engines hold with the plan and orders the difference.

    Attributes:
        sent: Number of orders sent since the start.
        stale: Number of orders refused because of an old fencing token.
        notes: What the last plan could not satisfy.
        wake: Set to reconcile before the next regular time.
        versions_in_use: Returns the models and versions that requests run on
            or start on, on all nodes.
    """

    def __init__(
        self,
        guard: OrderGuard,
        endpoint_directory: directory.Directory,
        current_fleet: Callable[[], fleet.Fleet | None],
        planner: planners.Planner,
        clock: clocks.Clock,
        rng: random.Random,
        settings: ReconcilerSettings,
    ) -> None:
        self.guard = guard
        self.directory = endpoint_directory
        self.current_fleet = current_fleet
        self.planner = planner
        self.clock = clock
        self.rng = rng
        self.settings = settings
        self.sent = 0
        self.stale = 0
        self.notes: tuple[str, ...] = ()
        self.wake = asyncio.Event()
        self.versions_in_use: Callable[[], frozenset[tuple[str, int]]] = (
            frozenset
        )
        self._settled_state: _PlanState | None = None
        self._planned_at = float("-inf")
        self._last_sent: dict[str, _Sent] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts planning."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops planning."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self.reconcile()
            except Exception:
                logger.exception("reconciliation failed")
            await self.clock.sleep(self.settings.min_interval_s)
            spread = self.rng.uniform(0.8, 1.2)
            interval_s = self.settings.plan_interval_s * spread
            await self._wait_for_wake(interval_s - self.settings.min_interval_s)

    async def _wait_for_wake(self, seconds: float) -> None:
        """Waits until ``wake`` is set, or for a time."""
        waits = [
            asyncio.ensure_future(self.wake.wait()),
            asyncio.ensure_future(self.clock.sleep(seconds)),
        ]
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
        self.wake.clear()

    async def reconcile(self) -> None:
        """Plans once and sends the orders that are due."""
        current = self.current_fleet()
        if self.guard.fencing() is None or current is None:
            self._last_sent.clear()
            self._settled_state = None
            return
        engines = self._engines()
        plain_ready = self.directory.plain_ready()
        state = _PlanState(
            current.version,
            frozenset(_engine_state(engine) for engine in engines),
            frozenset(plain_ready),
            self.versions_in_use(),
        )
        if not self._needs_plan(state):
            return
        plan = self.planner.plan(current, engines, plain_ready, state.in_use)
        self._settled_state = state if not plan.orders else None
        self._planned_at = self.clock.monotonic()
        self.notes = plan.notes
        for order in plan.orders:
            if self._is_due(order):
                await self._send_order(order)

    def _needs_plan(self, state: _PlanState) -> bool:
        """Returns whether a new plan could differ from the last one.

        A plan for 820 engines takes 59 ms (bench.placement), and a plan
        without orders stays without orders while the state is the same.
        """
        age_s = self.clock.monotonic() - self._planned_at
        replan_interval_s = (
            len(state.engines) * self.settings.replan_s_per_engine
        )
        return state != self._settled_state or age_s >= replan_interval_s

    def _engines(self) -> list[placement.PlacedEngine]:
        return [
            placement.PlacedEngine(
                known.description,
                self._with_accepted_order(known.report, known.reported_at),
            )
            for name, known in self.directory.endpoints.items()
            if known.description is not None
            and known.report is not None
            and not self.directory.is_leaving(name)
            and not self.directory.is_unreachable(name)
        ]

    def _with_accepted_order(
        self, report: endpoints.LoadReport, reported_at: float | None
    ) -> endpoints.LoadReport:
        """Returns a report with an order accepted after its measurement.

        Without it, engines that report later than others would count as free
        and get a second order that contradicts the first.
        """
        sent = self._last_sent.get(report.endpoint)
        if sent is None or sent.accepted_at is None or reported_at is None:
            return report
        was_measured_after = reported_at - report.age_s > sent.accepted_at
        age_s = self.clock.monotonic() - sent.accepted_at
        if was_measured_after or age_s >= self.settings.resend_interval_s:
            return report
        return _apply(sent.order.order, report)

    def _is_due(self, order: placement.PlannedOrder) -> bool:
        last = self._last_sent.get(order.endpoint)
        if last is None or last.order != order:
            return True
        return (
            self.clock.monotonic() - last.at >= self.settings.resend_interval_s
        )

    async def _send_order(self, order: placement.PlannedOrder) -> None:
        """Sends one order if the lease is still held.

        A holder that was paused between plan and order may have lost its
        lease, and its order would undo the new holder's decisions. The lease
        is therefore checked directly before the call. If an order is late
        nevertheless, engines that check the fencing token refuse it. Others
        run it and are corrected by the new holder's next plan; until then
        routing follows what they report.
        """
        engine = self.directory.engine(order.endpoint)
        fencing = self.guard.fencing()
        if engine is None or fencing is None:
            return
        self._last_sent[order.endpoint] = _Sent(order, self.clock.monotonic())
        self.sent += 1
        self._log_sent(order, fencing)
        sent_at = self.clock.monotonic()
        answer = await engine.order(
            dataclasses.replace(order.order, fencing=fencing)
        )
        self._log_answer(order, answer, self.clock.monotonic() - sent_at)
        self._take_answer(order, answer)

    def _log_sent(self, order: placement.PlannedOrder, fencing: int) -> None:
        known = self.directory.endpoints.get(order.endpoint)
        report = known.report if known else None
        log_events.emit(
            logger,
            log_events.OrderSent(
                endpoint=order.endpoint,
                order=_describe(order.order),
                fencing=fencing,
                sessions=report.sessions if report else None,
            ),
        )

    def _log_answer(
        self,
        order: placement.PlannedOrder,
        answer: expression.Result[orders.OrderAnswer, engines.EngineError],
        seconds: float,
    ) -> None:
        log_events.emit(
            logger,
            log_events.OrderAnswered(
                endpoint=order.endpoint,
                order=_describe(order.order),
                outcome=answer.ok.status.value if answer.is_ok() else "unknown",
                seconds=round(seconds, 3),
            ),
        )

    def _take_answer(
        self,
        order: placement.PlannedOrder,
        answer: expression.Result[orders.OrderAnswer, engines.EngineError],
    ) -> None:
        match answer:
            case expression.Result(tag="ok", ok=given):
                if given.status is orders.OrderStatus.STALE:
                    self.stale += 1
                    logger.warning(
                        "engine %s refused an order with a stale fencing token",
                        order.endpoint,
                    )
                sent = self._last_sent.get(order.endpoint)
                if sent is not None and _is_accepted(given):
                    sent.accepted_at = self.clock.monotonic()
            case _:
                self._last_sent.pop(order.endpoint, None)


def _is_accepted(answer: orders.OrderAnswer) -> bool:
    return answer.status is orders.OrderStatus.ACCEPTED


def _apply(
    order: orders.Order, report: endpoints.LoadReport
) -> endpoints.LoadReport:
    """Returns the report of an engine that has begun to execute an order."""
    if order.role is endpoints.EndpointRole.DRAINING:
        # Sessions may have started after the measurement.
        sessions = max(1, report.sessions)
        return dataclasses.replace(report, role=order.role, sessions=sessions)
    ordered = endpoints.Holding(
        order.model, order.version, order.adapter, order.layers, ready=False
    )
    kept = [
        held
        for held in report.holdings
        if (held.model, held.adapter) == (order.model, order.adapter)
        and (held.version != order.version or held.layers == order.layers)
    ]
    if not any(held.version == order.version for held in kept):
        kept.append(ordered)
    return dataclasses.replace(report, role=order.role, holdings=tuple(kept))


def _describe(order: orders.Order) -> str:
    """Returns an order as text for the log."""
    span = order.layers
    return (
        f"{order.role.value} {order.model} version {order.version} "
        f"layers {span.start}-{span.end}"
    )


def _engine_state(engine: placement.PlacedEngine) -> tuple[object, ...]:
    report = engine.report
    is_empty = report.sessions == 0
    return (
        engine.name,
        report.instance,
        report.role,
        report.holdings,
        is_empty and engine.is_draining,
    )
