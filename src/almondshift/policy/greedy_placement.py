"""The named baseline of placement: fill whole chains in order of name.

Each engine gets as many layers as fit after those of the engine before it.
It doesn't look at speeds or links, and an engine that joins early in the
order shifts the ranges of those behind it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.policy import placements

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import fleet


class GreedyPlanner(placements.Planner):
    """Fills one chain after the other."""

    def plan(
        self, fleet: fleet.Fleet, engines: Sequence[placements.EngineView]
    ) -> list[placements.PlannedOrder]:
        """Returns orders for engines that do not hold their range yet."""
        usable = sorted(
            (e for e in engines if not e.leaving), key=lambda e: e.name
        )
        models = [fleet.models[name] for name in sorted(fleet.models)]
        if not models:
            return []
        orders = []
        for index, model in enumerate(models):
            share = usable[index :: len(models)]
            orders.extend(_fill(model, share))
        return [o for o in orders if not _holds(o, usable)]


def _fill(
    model: fleet.Model, engines: Sequence[placements.EngineView]
) -> list[placements.PlannedOrder]:
    orders = []
    start = 0
    for engine in engines:
        end = min(start + engine.description.layer_capacity, model.layers)
        orders.append(
            placements.PlannedOrder(
                endpoint=engine.name,
                role=endpoints.EndpointRole.SERVING,
                model=model.name,
                version=model.version,
                adapter="",
                layers=layers.LayerRange(start, end),
            )
        )
        start = 0 if end == model.layers else end
    return orders


def _holds(
    order: placements.PlannedOrder, engines: Sequence[placements.EngineView]
) -> bool:
    for engine in engines:
        if engine.name != order.endpoint or engine.report is None:
            continue
        return any(
            held.model == order.model
            and held.version == order.version
            and held.layers == order.layers
            for held in engine.report.holdings
        )
    return False


def create_greedy_planner() -> GreedyPlanner:
    """Builds the baseline."""
    return GreedyPlanner()
