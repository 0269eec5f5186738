"""Places the layers of models on engines while this node holds the lease."""

from __future__ import annotations

import dataclasses
import logging
import math
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.policy import layer_holdings
from almondshift.policy import layer_plan
from almondshift.ports import path_engines
from almondshift.relay import background

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.coordination import lease as coordination_lease
    from almondshift.model import layers as model_layers
    from almondshift.model import registered_engines
    from almondshift.policy import path_candidates
    from almondshift.relay import context

TICK_S = 0.2
"""Interval between checks whether to place layers, in seconds."""

FLEET_SETTLE_S = 1.0
"""Time without a new engine after which a fleet without layers is planned, in
seconds. Engines register within a few seconds of each other, and a plan for the
first few would have to be undone."""

ORDER_TIMEOUT_S = 0.8
"""Time-out of an order, in seconds. Engines respond within milliseconds,
but some responses are lost."""

RESEND_S = 1.0
"""Time after which an unanswered order is sent again, in seconds. Each order
states how many orders the engine should already have accepted; the engine
rejects it otherwise, so a resend is safe."""

NO_ORDERS = 0
"""Number of accepted orders assumed for an engine without a known count, such
as one that has not held layers yet."""

LOAD_TIMEOUT_FACTOR = 3.0
LOAD_TIMEOUT_EXTRA_S = 4.0
"""Time allowed for an order: the estimated load time multiplied by
``LOAD_TIMEOUT_FACTOR``, plus these seconds. Concurrent loads share the weight
store."""

RESTORED_PAUSE_S = 2.5
"""Time without orders after the store returned from an older copy, in seconds.
Its registry shows layers that engines held then, until they write their entries
again."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class PendingOrder:
    """An order that was sent.

    Attributes:
        valid_until: Monotonic time until which its layers count as held, even
            if the registry does not list them yet.
        resend_at: Monotonic time at which to send it again; None if no resend
            is due.
        is_unanswered: Whether the engine did not respond, or refused the
            order. The plan then assigns the layers to other engines as well
            while the order is resent, since the engine may not respond for a
            long time.
    """

    layers: model_layers.LayerRange
    valid_until: float
    resend_at: float | None = None
    is_unanswered: bool = False


class LayerKeeper:
    """Plans the placement of layers and sends orders to engines.

    Attributes:
        pending: Orders that were sent, by instance.
        accepted_orders: Number of orders that an engine has accepted, by
            instance; missing if not known.
        last_new_engine_at: Monotonic time at which an engine without layers was
            last new or changed.
        settled_fleets: The fleet for which the last plan needed no orders, by
            service; it is not planned again until it changes.
        paused_until: Monotonic time until which no orders are sent.
        is_cut_off: Returns whether peers reach a service's engines while this
            node does not. They are not dead then, and no layers are moved.
    """

    def __init__(
        self,
        shared: context.RelayContext,
        lease: coordination_lease.Lease,
    ) -> None:
        self.shared = shared
        self.lease = lease
        self.pending: dict[str, PendingOrder] = {}
        self.accepted_orders: dict[str, int] = {}
        self.last_new_engine_at = shared.clock.monotonic()
        self.was_holder = False
        self.settled_fleets: dict[str, list[layer_holdings.PlannedEngine]] = {}
        self.paused_until = -math.inf
        self.is_cut_off: Callable[[str], bool] = lambda service: False
        self.work = background.Background()

    async def start(self) -> None:
        """Starts to contend for the lease and to place layers."""
        self.shared.catalogue.on_engine.append(self.on_engine_changed)
        self.shared.catalogue.on_gone.append(self.on_engine_gone)
        await self.lease.start()
        self.work.repeat(TICK_S, self.tick, "layers could not be placed")

    async def close(self) -> None:
        """Stops, and releases the lease."""
        await self.work.close()
        await self.lease.close()

    def on_engine_changed(
        self, engine: registered_engines.RegisteredEngine
    ) -> None:
        """Records which layers an engine holds now."""
        if engine.layers is None:
            self.last_new_engine_at = self.shared.clock.monotonic()
        pending = self.pending.get(engine.instance)
        if pending is not None and pending.layers == engine.layers:
            del self.pending[engine.instance]
        self.accepted_orders.pop(engine.instance, None)

    def on_engine_gone(
        self, engine: registered_engines.RegisteredEngine
    ) -> None:
        """Forgets an engine."""
        self.pending.pop(engine.instance, None)
        self.accepted_orders.pop(engine.instance, None)

    def pause_after_restore(self) -> None:
        """Sends no orders until engines have written their entries again."""
        now = self.shared.clock.monotonic()
        self.paused_until = now + RESTORED_PAUSE_S

    def tick(self) -> None:
        """Plans and sends orders if this node holds the lease."""
        grant = self.lease.grant()
        self.log_lease_change(grant)
        if grant is None:
            return
        config = self.shared.catalogue.config
        if config is None:
            return
        now = self.shared.clock.monotonic()
        if now < self.paused_until:
            return
        self.resend_orders(now, grant)
        for service in config.services:
            view = self.shared.catalogue.view(service)
            if view is not None and not self.is_cut_off(service):
                self.place(view, now, grant)

    def log_lease_change(
        self, grant: coordination_lease.LeaseGrant | None
    ) -> None:
        """Logs that the lease was gained or lost."""
        has_grant = grant is not None
        if has_grant == self.was_holder:
            return
        self.was_holder = has_grant
        owner = self.lease.owner
        if grant is not None:
            log_events.emit(
                logger, log_events.LeaseGained(owner, grant.fencing)
            )
        else:
            log_events.emit(
                logger, log_events.LeaseLost(self.lease.holder, 0, "ended")
            )

    def place(
        self,
        view: path_candidates.FleetView,
        now: float,
        grant: coordination_lease.LeaseGrant,
    ) -> None:
        """Plans a service's layers and sends the orders.

        Skips fleets that need no orders and have not changed, and waits until
        a fleet without layers has settled.
        """
        planned = self.plannable_engines(view, now)
        if not planned or planned == self.settled_fleets.get(view.service):
            return
        has_no_layers = all(engine.held is None for engine in planned)
        if has_no_layers and now - self.last_new_engine_at < FLEET_SETTLE_S:
            return
        orders = layer_plan.plan_orders(planned, view.spec)
        if not orders:
            self.settled_fleets[view.service] = planned
        engines = {engine.instance: engine for engine in view.engines}
        for order in orders:
            load_s = view.spec.load_s * order.layers.count / view.spec.layers
            until = now + load_s * LOAD_TIMEOUT_FACTOR + LOAD_TIMEOUT_EXTRA_S
            self.pending[order.instance] = PendingOrder(order.layers, until)
            self.start_order(engines[order.instance], order.layers, grant)

    def plannable_engines(
        self, view: path_candidates.FleetView, now: float
    ) -> list[layer_holdings.PlannedEngine]:
        """Returns the engines that the plan may use."""
        found = []
        for engine in view.engines:
            engine_kind = view.spec.kinds.get(engine.kind)
            if engine_kind is None or engine.leaving:
                continue
            tracker = self.shared.tracker
            if tracker.is_suspect(
                engine.instance
            ) and not tracker.may_be_paused(engine.instance):
                continue
            found.append(
                self.planned_engine(
                    layer_holdings.PlannedEngine(
                        engine.instance,
                        engine.zone,
                        engine_kind.memory_mb,
                        engine.layers,
                        is_slow=self.shared.tracker.is_slow(
                            engine.instance, now
                        ),
                        step_factor=engine_kind.step_factor,
                    ),
                    now,
                )
            )
        return found

    def planned_engine(
        self, engine: layer_holdings.PlannedEngine, now: float
    ) -> layer_holdings.PlannedEngine:
        """Returns an engine with its pending order applied, if any."""
        pending = self.pending.get(engine.instance)
        if pending is None or now >= pending.valid_until:
            return engine
        certain_layers = None
        if pending.is_unanswered and engine.held is not None:
            certain_layers = engine.held.intersection(pending.layers)
        return dataclasses.replace(
            engine,
            held=pending.layers,
            is_busy=True,
            is_unanswered=pending.is_unanswered,
            certain_layers=certain_layers,
        )

    def resend_orders(
        self, now: float, grant: coordination_lease.LeaseGrant
    ) -> None:
        """Resends orders that are due; drops those whose time is over."""
        for instance, pending in list(self.pending.items()):
            if pending.valid_until <= now:
                del self.pending[instance]
                continue
            if pending.resend_at is None or pending.resend_at > now:
                continue
            engine = self.shared.catalogue.engines.get(instance)
            pending.resend_at = None
            if engine is not None:
                self.start_order(engine, pending.layers, grant)

    def start_order(
        self,
        engine: registered_engines.RegisteredEngine,
        layers: model_layers.LayerRange,
        grant: coordination_lease.LeaseGrant,
    ) -> None:
        """Sends an order in the background."""
        order = f"layers {layers.start}-{layers.end}"
        log_events.emit(
            logger,
            log_events.OrderSent(engine.instance, order, grant.fencing),
        )
        self.work.run(self.deliver_order(engine, layers, order))

    async def deliver_order(
        self,
        engine: registered_engines.RegisteredEngine,
        layers: model_layers.LayerRange,
        order: str,
    ) -> None:
        """Sends an order and records its outcome."""
        if (
            engine.layers is not None
            and engine.instance not in self.accepted_orders
        ):
            has_responded = await self.fetch_accepted_orders(engine)
            if not has_responded:
                self.mark_unanswered(engine.instance, layers)
        expected = self.accepted_orders.get(engine.instance, NO_ORDERS)
        sent_at = self.shared.clock.monotonic()
        response = await self.shared.engines.place(
            engine.address,
            engine.instance,
            layers.start,
            layers.end,
            expected,
            ORDER_TIMEOUT_S,
        )
        now = self.shared.clock.monotonic()
        log_events.emit(
            logger,
            log_events.OrderAnswered(
                engine.instance,
                order,
                response.outcome.value,
                round(now - sent_at, 3),
            ),
        )
        pending = self.pending.get(engine.instance)
        if pending is None or pending.layers != layers:
            return
        if response.outcome is path_engines.OrderOutcome.CONFLICT:
            await self.fetch_accepted_orders(engine)
            pending.resend_at = self.shared.clock.monotonic() + RESEND_S
        elif response.outcome in (
            path_engines.OrderOutcome.UNKNOWN,
            path_engines.OrderOutcome.REFUSED,
        ):
            pending.resend_at = now + RESEND_S
            pending.is_unanswered = True
        else:
            pending.is_unanswered = False

    def mark_unanswered(
        self, instance: str, layers: model_layers.LayerRange
    ) -> None:
        """Marks an order as unanswered before it times out."""
        pending = self.pending.get(instance)
        if pending is not None and pending.layers == layers:
            pending.is_unanswered = True

    async def fetch_accepted_orders(
        self, engine: registered_engines.RegisteredEngine
    ) -> bool:
        """Queries how many orders an engine has accepted.

        An order whose response was lost may have been counted, and another node
        may have held the lease before.

        Returns:
            Whether this instance of the engine responded. A report without a
            start time (0) is assumed to come from this instance.
        """
        report = await self.shared.engines.report(
            engine.address, ORDER_TIMEOUT_S
        )
        if report is None or report.born_ms not in (0, engine.born_ms):
            return False
        if not report.busy:
            self.accepted_orders[engine.instance] = report.orders
        return True


def create_layer_keeper(
    shared: context.RelayContext, lease: coordination_lease.Lease
) -> LayerKeeper:
    """Creates a layer keeper; ``start`` begins to contend for the lease."""
    return LayerKeeper(shared, lease)
