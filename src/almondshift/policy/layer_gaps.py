"""Moves of engines that fill the layers of a model that none holds.

A lost engine may leave a gap that no single engine can fill. Moving one engine
then helps nobody, so the moves are chosen together, and none is made unless
they fill the whole gap. Engines without sessions are preferred, since the
others load new layers only after their sessions have ended.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import layers

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class MovableEngine:
    """An engine that may get other layers.

    Attributes:
        group: Index of the group of engines that it belongs to.
    """

    name: str
    group: int
    capacity: int
    idle: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """A move, and the layers that no engine holds after it."""

    engine: MovableEngine
    span: layers.LayerRange
    gap: frozenset[int]

    @property
    def cost(self) -> tuple[bool, int, int, str]:
        """Sorts idle engines first, then by layers left and by capacity."""
        engine = self.engine
        return (not engine.idle, len(self.gap), engine.capacity, engine.name)


class _Search:
    def __init__(
        self,
        groups: Sequence[Mapping[str, layers.LayerRange]],
        target: int,
        count: int,
        engines: Sequence[MovableEngine],
    ) -> None:
        self.groups = [dict(group) for group in groups]
        self.target = target
        self.count = count
        self.engines = engines
        self.holders = [
            collections.Counter(n for span in g.values() for n in _layers(span))
            for g in self.groups
        ]
        self.moves: dict[str, layers.LayerRange] = {}

    def find(self) -> dict[str, layers.LayerRange]:
        """Returns the new ranges of the engines to move."""
        held = self.holders[self.target]
        gap = frozenset(n for n in range(self.count) if not held[n])
        while gap:
            options = [o for o in self._options(gap) if len(o.gap) < len(gap)]
            best = min(options, key=lambda option: option.cost, default=None)
            if best is None:
                return {}
            self._move(best)
            gap = best.gap
        return self.moves

    def _options(self, gap: frozenset[int]) -> Iterator[_Option]:
        """Yields one move of each kind of engine that others can replace."""
        tried = set()
        for engine in self.engines:
            span = self.groups[engine.group].get(engine.name)
            if span is None or engine.name in self.moves:
                continue
            kind = (engine.group, span, engine.capacity, engine.idle)
            if kind in tried:
                continue
            tried.add(kind)
            held = self.holders[engine.group]
            lost = {n for n in _layers(span) if held[n] == 1}
            if engine.group == self.target or not lost:
                yield self._best_option(engine, gap | lost)

    def _best_option(
        self, engine: MovableEngine, gap: frozenset[int]
    ) -> _Option:
        length = min(engine.capacity, self.count)
        options = [
            _Option(engine, span, gap - set(_layers(span)))
            for span in (
                layers.LayerRange(start, start + length)
                for start in range(self.count - length + 1)
            )
        ]
        return min(options, key=lambda option: len(option.gap))

    def _move(self, option: _Option) -> None:
        engine = option.engine
        old = self.groups[engine.group].pop(engine.name)
        self.holders[engine.group].subtract(_layers(old))
        self.holders[self.target].update(_layers(option.span))
        self.moves[engine.name] = option.span


def _layers(span: layers.LayerRange) -> range:
    return range(span.start, span.end)


def find_moves(
    groups: Sequence[Mapping[str, layers.LayerRange]],
    target: int,
    count: int,
    engines: Sequence[MovableEngine],
) -> dict[str, layers.LayerRange]:
    """Returns moves after which engines hold all layers of a group.

    Other groups lose no layer. A group is a model with an adapter.

    Args:
        groups: Ranges held in each group, by engine.
        target: Index of the group with a gap.
        count: Number of layers of its model.
        engines: Engines that may be moved, from any group.

    Returns:
        New ranges by engine; empty if the moves found don't fill the gap.
    """
    return _Search(groups, target, count, engines).find()
