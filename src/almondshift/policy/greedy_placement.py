"""Baseline planner: fills complete chains with engines in order of name.

Each engine gets as many layers as fit, continuing after the engine before it.
Speeds and links are ignored, and an engine that joins shifts the ranges of all
engines after it in the order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.model import orders
from almondshift.policy import placement
from almondshift.policy import planners

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Sequence

    from almondshift.model import fleet as fleets


class GreedyPlanner(planners.Planner):
    """Fills one chain after another."""

    def plan(
        self,
        fleet: fleets.Fleet,
        engines: Sequence[placement.PlacedEngine],
        plain_ready: Iterable[str],
        in_use: Collection[tuple[str, int]] = (),
    ) -> placement.Plan:
        """Returns orders for engines that don't hold their range yet."""
        usable = sorted(engines, key=lambda e: e.name)
        models = [fleet.models[name] for name in sorted(fleet.models)]
        planned = []
        for index, model in enumerate(models):
            planned.extend(_fill(model, usable[index :: len(models)]))
        return placement.Plan(tuple(planned))


def _fill(
    model: fleets.Model, engines: Sequence[placement.PlacedEngine]
) -> list[placement.PlannedOrder]:
    planned = []
    start = 0
    for engine in engines:
        end = min(start + engine.description.layer_capacity, model.layers)
        order = _order(model, layers.LayerRange(start, end))
        if not _holds(order, engine):
            planned.append(placement.PlannedOrder(engine.name, order))
        start = 0 if end == model.layers else end
    return planned


def _order(model: fleets.Model, span: layers.LayerRange) -> orders.Order:
    return orders.Order(
        fencing=placement.UNSET_FENCING,
        role=endpoints.EndpointRole.SERVING,
        model=model.name,
        version=model.version,
        adapter="",
        layers=span,
    )


def _holds(order: orders.Order, engine: placement.PlacedEngine) -> bool:
    return any(
        held.model == order.model
        and held.version == order.version
        and held.layers == order.layers
        for held in engine.report.holdings
    )


def create_greedy_planner() -> GreedyPlanner:
    """Creates the baseline planner."""
    return GreedyPlanner()
