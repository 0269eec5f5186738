"""Ranges of model layers."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class LayerRange:
    """The layers ``start <= layer < end`` of a model."""

    start: int
    end: int

    @property
    def count(self) -> int:
        """The number of layers in the range."""
        return self.end - self.start

    def covers(self, other: LayerRange) -> bool:
        """Returns whether ``other`` lies within this range."""
        return self.start <= other.start and other.end <= self.end

    def intersection(self, other: LayerRange) -> LayerRange | None:
        """Returns the layers in both ranges; None if there are none."""
        start, end = max(self.start, other.start), min(self.end, other.end)
        return LayerRange(start, end) if start < end else None
