"""Which engines run which layers of a request.

Load pattern: engines of mixed speed hold overlapping ranges of layers, some
die, some fill up. Fixed chains lose everything with one engine; a search over
ranges uses whatever still covers each layer. Without the charge for each
change of zone, paths scatter over the links between zones, which all
requests share: a trial with mixed chains earned 0.915 of a calm day where
chains within a zone earned 0.949.

Grounds: the published cost of a step is taken per layer, so a part of a
range costs its share. A hop costs the wait for the next engine's pass; half
a millisecond is about half of the shortest published step.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_MS = 0.5
"""Time that each further engine adds to a step."""

CROSSING_MS = 20.0
"""Charge for each change of zone: its delay of under a millisecond, and the
use of a link that all requests share."""

REREAD_MS = 25.0
"""Charge for an engine that has to read a moved request's tokens: more than
a change of zone, so that a move replaces what was lost and little else."""

MAX_PARTS = 32
"""Engines refuse longer paths."""

FULL_SHARE = 0.95
"""Share of an engine's memory that requests are let in to. What is left
covers requests that other nodes let in meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may take part in paths.

    Attributes:
        start: First layer that it holds.
        end: The layer after the last.
        layer_ms: Time of a step for one layer, at its present load.
        room: Memory for requests, in tokens times layers.
        used: What is believed to be in use of it.
        may_be_first: Whether it takes requests from nodes.
        entry_ms: Added once where a path enters it.
    """

    instance: str
    address: str
    zone: str
    start: int
    end: int
    layer_ms: float
    room: float
    used: float
    may_be_first: bool
    entry_ms: float = 0.0

    def fits(self, tokens: float, layers: int) -> bool:
        """Returns whether a request's memory fits."""
        return self.used + tokens * layers <= self.room * FULL_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class FoundPart:
    """A part of a path."""

    candidate: Candidate
    start: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class FoundPath:
    """A path over all layers.

    Attributes:
        cost_ms: Expected time of a step.
    """

    parts: tuple[FoundPart, ...]
    cost_ms: float


@dataclasses.dataclass(slots=True)
class _Reached:
    cost: float
    part: FoundPart | None
    before: _Reached | None


def find_path(
    candidates: Iterable[Candidate],
    layers: int,
    tokens: float,
    first_zone: str = "",
    first: FoundPart | None = None,
    kept: frozenset[str] = frozenset(),
) -> FoundPath | None:
    """Returns the path with the least expected time of a step.

    Args:
        candidates: Engines that may be used.
        layers: Layers of the model.
        tokens: Memory that the request needs, in tokens.
        first_zone: Only engines there may be first; empty for any.
        first: The part to begin with; None for any.
        kept: Engines that hold the request's memory already; any other one
            has to read all its tokens again. Only with ``first``.
    """
    usable = list(candidates)
    if first is not None:
        usable = [
            c
            if c.instance in kept
            else dataclasses.replace(c, entry_ms=c.entry_ms + REREAD_MS)
            for c in usable
        ]
    found = _search(usable, layers, tokens, first_zone, first, split=True)
    if found is not None and _is_valid(found):
        return found
    # An engine that is left in the middle of its range could be met again
    # later on the path, which engines refuse; whole ranges rule that out.
    found = _search(usable, layers, tokens, first_zone, first, split=False)
    return found if found is not None and _is_valid(found) else None


def _is_valid(path: FoundPath) -> bool:
    addresses = {part.candidate.address for part in path.parts}
    return len(addresses) == len(path.parts) <= MAX_PARTS


def _search(
    candidates: list[Candidate],
    layers: int,
    tokens: float,
    first_zone: str,
    first: FoundPart | None,
    split: bool,
) -> FoundPath | None:
    cuts = sorted({c.start for c in candidates} | {layers})
    reached: dict[int, dict[str, _Reached]] = {}
    if first is None:
        reached[0] = {"": _Reached(0.0, None, None)}
    else:
        start = _Reached(0.0, first, None)
        reached[first.end] = {first.candidate.zone: start}
        cuts = sorted({*cuts, first.end})
    todo = sorted({*reached, *cuts, *(c.end for c in candidates)})
    for position in todo:
        if position >= layers:
            break
        states = reached.get(position)
        if not states:
            continue
        for candidate in candidates:
            if not candidate.start <= position < candidate.end:
                continue
            if first is None and position == 0:
                if not candidate.may_be_first:
                    continue
                if first_zone and candidate.zone != first_zone:
                    continue
            if first is not None and (
                candidate.address == first.candidate.address
            ):
                continue
            _extend(states, candidate, position, cuts, tokens, split, reached)
    ends = reached.get(layers)
    if not ends:
        return None
    return _trace(min(ends.values(), key=lambda state: state.cost))


def _extend(
    states: dict[str, _Reached],
    candidate: Candidate,
    position: int,
    cuts: list[int],
    tokens: float,
    split: bool,
    reached: dict[int, dict[str, _Reached]],
) -> None:
    zone = candidate.zone
    before = min(
        states.items(),
        key=lambda item: (
            item[1].cost + (CROSSING_MS if item[0] not in ("", zone) else 0.0)
        ),
    )
    base = before[1].cost + HOP_MS + candidate.entry_ms
    if before[0] not in ("", zone):
        base += CROSSING_MS
    ends = [candidate.end]
    if split:
        ends += [cut for cut in cuts if position < cut < candidate.end]
    for end in ends:
        count = end - position
        if not candidate.fits(tokens, count):
            continue
        cost = base + count * candidate.layer_ms
        known = reached.setdefault(end, {}).get(zone)
        if known is None or cost < known.cost:
            part = FoundPart(candidate, position, end)
            reached[end][zone] = _Reached(cost, part, before[1])


def _trace(state: _Reached) -> FoundPath:
    cost = state.cost
    parts: list[FoundPart] = []
    current: _Reached | None = state
    while current is not None and current.part is not None:
        parts.append(current.part)
        current = current.before
    return FoundPath(tuple(reversed(parts)), cost)
