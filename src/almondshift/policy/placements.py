"""The interface of placement: which engine should hold what."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import endpoints
    from almondshift.model import fleet
    from almondshift.model import layers


@dataclasses.dataclass(frozen=True, slots=True)
class EngineView:
    """An engine as placement sees it."""

    name: str
    zone: str
    description: endpoints.EndpointDescription
    report: endpoints.LoadReport | None
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order without the fencing number of who gives it."""

    endpoint: str
    role: endpoints.EndpointRole
    model: str
    version: int
    adapter: str
    layers: layers.LayerRange


class Planner(abc.ABC):
    """Decides placement."""

    @abc.abstractmethod
    def plan(
        self, fleet: fleet.Fleet, engines: Sequence[EngineView]
    ) -> list[PlannedOrder]:
        """Returns the orders to give now; none for what is as it should be."""
