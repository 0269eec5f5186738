"""Chains: endpoints that together cover every layer of a model once."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import layers


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """One endpoint and the layers that it runs in a chain."""

    endpoint: str
    layers: layers.LayerRange


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """Stages in order; each begins where the one before it ends.

    Attributes:
        model: Name of the model.
        version: Version of the model that every stage must report.
        adapter: Name of the adapter, or ``""`` for none.
        stages: The stages, from layer 0 to the last.
    """

    model: str
    version: int
    adapter: str
    stages: tuple[Stage, ...]

    def is_whole(self, layer_count: int) -> bool:
        """Returns whether the stages cover all layers once and in order."""
        position = 0
        for stage in self.stages:
            if stage.layers.start != position or stage.layers.count < 1:
                return False
            position = stage.layers.end
        return position == layer_count

    def replace(self, index: int, replacement: tuple[Stage, ...]) -> Chain:
        """Returns this chain with the stage at ``index`` replaced."""
        stages = (
            *self.stages[:index],
            *replacement,
            *self.stages[index + 1 :],
        )
        return dataclasses.replace(self, stages=stages)
