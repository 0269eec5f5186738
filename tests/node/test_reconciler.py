from __future__ import annotations

import asyncio
import random
from unittest import mock

import expression
import pytest

from almondshift.model import endpoints
from almondshift.model import fleet
from almondshift.model import layers
from almondshift.model import orders
from almondshift.node import directory
from almondshift.node import reconciler
from almondshift.policy import placement
from almondshift.policy import planners
from almondshift.ports import clocks
from almondshift.ports import engines

ORDER = orders.Order(
    0,
    endpoints.EndpointRole.SERVING,
    "m",
    1,
    "",
    layers.LayerRange(0, 4),
)
ENGINES = 100
FLEET = fleet.Fleet(1, "f", {}, {}, (), (), {})


class Guard(reconciler.OrderGuard):
    def __init__(self) -> None:
        self.numbers: list[int | None] = [7]

    def fencing(self) -> int | None:
        return self.numbers.pop(0) if len(self.numbers) > 1 else self.numbers[0]


class Rig:
    def __init__(self, *planned: placement.PlannedOrder) -> None:
        self.engine = mock.create_autospec(engines.Engine, instance=True)
        self.engine.order.return_value = expression.Ok(
            orders.OrderAnswer(orders.OrderStatus.ACCEPTED, 7)
        )
        known = mock.create_autospec(directory.Directory, instance=True)
        known.endpoints = {
            f"e{i}": directory.Endpoint(
                mock.Mock(), description=mock.Mock(), report=mock.Mock()
            )
            for i in range(ENGINES)
        }
        known.is_leaving.return_value = False
        known.is_unreachable.return_value = False
        known.plain_ready.return_value = set()
        known.engine.return_value = self.engine
        self.planner = mock.create_autospec(planners.Planner, instance=True)
        self.planner.plan.return_value = placement.Plan(planned)
        self.clock = mock.create_autospec(clocks.Clock, instance=True)
        self.clock.monotonic.return_value = 0.0
        self.guard = Guard()
        self.directory = known
        self.reconciler = reconciler.Reconciler(
            self.guard,
            known,
            lambda: FLEET,
            self.planner,
            self.clock,
            random.Random(1),
            reconciler.ReconcilerSettings(),
        )

    def reconcile(self, at: float) -> None:
        self.clock.monotonic.return_value = at
        asyncio.run(self.reconciler.reconcile())


@pytest.mark.parametrize(
    ("at", "plain_ready", "plans"),
    [(0.9, set(), 1), (0.9, {"portal"}, 2), (1.1, set(), 2)],
)
def test_replans_only_on_change_or_after_an_interval(
    at: float, plain_ready: set[str], plans: int
) -> None:
    rig = Rig()
    rig.reconcile(0.0)
    rig.directory.plain_ready.return_value = plain_ready
    rig.reconcile(at)
    assert rig.planner.plan.call_count == plans


def test_unreachable_engines_hold_no_layers() -> None:
    """Guards against layers that only a lost engine is planned to hold.

    The platform's list still shows the engine, and its last report stays.
    """
    rig = Rig()
    rig.reconcile(0.0)
    rig.directory.is_unreachable.side_effect = lambda name: name == "e1"
    rig.reconcile(0.1)
    assert rig.planner.plan.call_count == 2
    assert len(rig.planner.plan.call_args.args[1]) == ENGINES - 1


@pytest.mark.parametrize(
    ("status", "reported_at", "planned_at", "counts"),
    [
        (orders.OrderStatus.ACCEPTED, 0.0, 1.5, True),
        (orders.OrderStatus.ACCEPTED, 1.2, 1.5, False),
        (orders.OrderStatus.ACCEPTED, 0.0, 3.1, False),
        (orders.OrderStatus.STALE, 0.0, 1.5, False),
    ],
)
def test_an_accepted_order_counts_until_the_engine_reports(
    status: orders.OrderStatus,
    reported_at: float,
    planned_at: float,
    counts: bool,
) -> None:
    """Guards against a second order that contradicts the first.

    Engines report one after another; one whose report is older than its order
    looked free.
    """
    rig = Rig(placement.PlannedOrder("e1", ORDER))
    rig.engine.order.return_value = expression.Ok(orders.OrderAnswer(status, 7))
    known = rig.directory.endpoints["e1"]
    known.report = endpoints.LoadReport(
        "e1", "i1", endpoints.EndpointRole.IDLE, False, (), 0, 0, 0, 0.0
    )
    known.reported_at = 0.0
    rig.reconcile(1.0)
    known.reported_at = reported_at
    rig.reconcile(planned_at)
    placed = {e.report.endpoint: e for e in rig.planner.plan.call_args.args[1]}
    held = [h.layers for h in placed["e1"].report.holdings]
    assert held == ([ORDER.layers] if counts else [])


def test_order_is_resent_until_the_engine_reports_it() -> None:
    rig = Rig(placement.PlannedOrder("e1", ORDER))
    for at in (0.0, 1.0, 2.5):
        rig.reconcile(at)
    assert rig.engine.order.call_count == 2
    assert rig.engine.order.call_args.args[0].fencing == 7


def test_lease_lost_after_planning_sends_no_order() -> None:
    # The holder is paused after planning. When it resumes, its lease has
    # expired, and an order would undo the decisions of the new holder.
    rig = Rig(placement.PlannedOrder("e1", ORDER))
    rig.guard.numbers = [7, None]
    rig.reconcile(0.0)
    assert rig.engine.order.call_count == 0
