"""The interface of placement, and the planner that nodes use."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from almondshift.policy import placement

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from almondshift.model import fleet as fleets


class Planner(abc.ABC):
    """Decides which engine should hold what."""

    @abc.abstractmethod
    def plan(
        self,
        fleet: fleets.Fleet,
        engines: Sequence[placement.PlacedEngine],
        plain_ready: Iterable[str],
    ) -> placement.Plan:
        """Returns the orders to give now; none for what is as it should be.

        Args:
            fleet: The configuration in force.
            engines: Engines that live and are not leaving.
            plain_ready: Plain services that have endpoints.
        """


class FlowPlanner(Planner):
    """Raises the flow through the least covered layers."""

    def plan(
        self,
        fleet: fleets.Fleet,
        engines: Sequence[placement.PlacedEngine],
        plain_ready: Iterable[str],
    ) -> placement.Plan:
        """Returns what ``placement.plan`` decides."""
        return placement.plan(fleet, engines, plain_ready=plain_ready)


def create_flow_planner() -> FlowPlanner:
    """Builds the planner that nodes use."""
    return FlowPlanner()
