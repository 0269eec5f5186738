"""Interface of placement planners, and the production planner."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from almondshift.policy import placement

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Sequence

    from almondshift.model import fleet as fleets


class Planner(abc.ABC):
    """Decides which layers each engine should hold."""

    @abc.abstractmethod
    def plan(
        self,
        fleet: fleets.Fleet,
        engines: Sequence[placement.PlacedEngine],
        plain_ready: Iterable[str],
        in_use: Collection[tuple[str, int]] = (),
    ) -> placement.Plan:
        """Returns the orders to send now; none for engines that need no change.

        Args:
            fleet: Active configuration.
            engines: Live engines that are not leaving.
            plain_ready: Plain services that have endpoints.
            in_use: Models and versions that requests run on or start on.
        """


class FlowPlanner(Planner):
    """Increases the flow through the least covered layers."""

    def plan(
        self,
        fleet: fleets.Fleet,
        engines: Sequence[placement.PlacedEngine],
        plain_ready: Iterable[str],
        in_use: Collection[tuple[str, int]] = (),
    ) -> placement.Plan:
        """Returns the plan of ``placement.plan``."""
        return placement.plan(
            fleet, engines, plain_ready=plain_ready, in_use=in_use
        )


def create_flow_planner() -> FlowPlanner:
    """Creates the production planner."""
    return FlowPlanner()
