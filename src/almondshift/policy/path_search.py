"""Which engines run which layers of a request.

Load pattern: engines of mixed speed hold overlapping ranges of layers, some
die, some fill up. Fixed chains lose everything with one engine; a search over
ranges uses whatever still covers each layer. Without the charge for each
change of zone, paths scatter over the links between zones, which all
requests share, and streams pause while others' tokens pass.

Grounds: the published cost of a step is taken per layer, so a part of a
range costs its share. A hop costs the wait for the next engine's pass; half
a millisecond is about half of the shortest published step.
"""

from __future__ import annotations

import bisect
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
    """The best way so far to have run the layers before ``end``.

    Attributes:
        zone: Zone of its last engine; empty at the very beginning.
        candidate: Its last engine; None at the very beginning.
        start: First layer of the last part.
        before: The way up to ``start``.
    """

    cost: float
    zone: str
    candidate: Candidate | None
    start: int
    end: int
    before: _Reached | None


Row = dict[str, _Reached]
"""The best ways that end before one layer, by the zone of the last engine."""


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
    """Extends the best ways layer by layer.

    The work is in the innermost loop, which runs for each engine, each layer
    at which it can be entered and each at which it can be left. What doesn't
    change there is found before, and a way that is beaten is overwritten in
    place: nothing refers to it yet, since ways are extended in the order of
    their ends. That halves the processor time of a choice in a large fleet.
    """
    cuts = sorted({layers, *(c.start for c in candidates)})
    if first is None:
        begin = _Reached(0.0, "", None, 0, 0, None)
    else:
        candidate = first.candidate
        begin = _Reached(
            0.0, candidate.zone, candidate, first.start, first.end, None
        )
        cuts = sorted({first.end, *cuts})
    stops = sorted({begin.end, *cuts, *(c.end for c in candidates)})
    reached: dict[int, Row] = {stop: {} for stop in stops}
    reached[begin.end][begin.zone] = begin
    at = _by_stop(candidates, stops)
    for position in stops:
        if position >= layers:
            break
        states = reached[position]
        if not states:
            continue
        usable = at[position]
        if first is not None:
            address = first.candidate.address
            usable = [c for c in usable if c.address != address]
        elif position == 0:
            usable = [
                c
                for c in usable
                if c.may_be_first and (not first_zone or c.zone == first_zone)
            ]
        later = cuts[bisect.bisect_right(cuts, position) :] if split else []
        _extend(states, usable, position, later, tokens, reached)
    ends = reached[layers]
    if not ends:
        return None
    return _trace(min(ends.values(), key=lambda state: state.cost))


def _by_stop(
    candidates: list[Candidate], stops: list[int]
) -> dict[int, list[Candidate]]:
    """Returns the engines that hold the layer after each stop."""
    found: dict[int, list[Candidate]] = {stop: [] for stop in stops}
    for candidate in candidates:
        begin = bisect.bisect_left(stops, candidate.start)
        end = bisect.bisect_left(stops, candidate.end)
        for stop in stops[begin:end]:
            found[stop].append(candidate)
    return found


def _extend(
    states: Row,
    candidates: list[Candidate],
    position: int,
    cuts: list[int],
    tokens: float,
    reached: dict[int, Row],
) -> None:
    """Extends the ways that end at a position by each engine.

    Args:
        states: The ways.
        candidates: Engines that hold the layer at the position.
        position: Where the ways end.
        cuts: Later layers at which an engine may be left, in order.
        tokens: Memory that the request needs, in tokens.
        reached: Ways by their end; takes what is better.
    """
    best: dict[str, tuple[_Reached, float]] = {}
    for candidate in candidates:
        zone = candidate.zone
        known = best.get(zone)
        if known is None:
            known = best[zone] = _cheapest(states, zone)
        before, crossing_ms = known
        base = before.cost + HOP_MS + candidate.entry_ms + crossing_ms
        layer_ms = candidate.layer_ms
        last = bisect.bisect_left(cuts, candidate.end)
        ends = [candidate.end, *cuts[:last]]
        if not candidate.fits(tokens, candidate.end - position):
            ends = [e for e in ends if candidate.fits(tokens, e - position)]
        for end in ends:
            cost = base + (end - position) * layer_ms
            row = reached[end]
            state = row.get(zone)
            if state is None:
                row[zone] = _Reached(
                    cost, zone, candidate, position, end, before
                )
            elif cost < state.cost:
                state.cost = cost
                state.candidate = candidate
                state.start = position
                state.before = before


def _cheapest(states: Row, zone: str) -> tuple[_Reached, float]:
    """Returns the way that is best to go on from in a zone, and the charge."""
    before = min(
        states.values(),
        key=lambda state: state.cost + _crossing_ms(state.zone, zone),
    )
    return before, _crossing_ms(before.zone, zone)


def _crossing_ms(zone: str, other: str) -> float:
    return CROSSING_MS if zone not in ("", other) else 0.0


def _trace(state: _Reached) -> FoundPath:
    cost = state.cost
    parts: list[FoundPart] = []
    current: _Reached | None = state
    while current is not None and current.candidate is not None:
        parts.append(FoundPart(current.candidate, current.start, current.end))
        current = current.before
    return FoundPath(tuple(reversed(parts)), cost)
