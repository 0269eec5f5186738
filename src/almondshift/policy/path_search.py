"""Shortest-path search: which engines run which layers of a request.

Engines of mixed speed hold overlapping ranges of layers; some fail, and some
run out of memory. A fixed chain is lost with any of its engines, while a search
over ranges uses any engines that still hold the layers. Without a penalty for
each change of zone, paths scatter over the links between zones, which all
requests share, and streams pause while the tokens of others are transferred.

The published cost of a step is divided evenly by layer, so that a part of a
range costs its share. A hop costs the wait for the next engine's batch; half a
millisecond is about half of the shortest published step.
"""

from __future__ import annotations

import bisect
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

HOP_MS = 0.5
"""Time that each further engine adds to a step."""

ZONE_CHANGE_MS = 20.0
"""Penalty for each change of zone: its latency of under a millisecond, and the
use of a link that all requests share."""

PREFILL_MS = 25.0
"""Penalty for an engine that has to prefill a moved request: more than that for
a change of zone, so that a move replaces few engines beside the lost ones."""

MAX_PARTS = 32
"""Maximum length of a path; engines refuse longer ones."""

FULL_SHARE = 0.95
"""Share of an engine's memory up to which requests are admitted. The rest
covers requests that other nodes admit at the same time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An engine that may take part in paths.

    Attributes:
        start: First layer that it holds.
        end: The layer after the last.
        layer_ms: Time of a step for one layer, at its present load.
        room: Memory for requests, in tokens times layers.
        used: Estimated part of it that is in use.
        may_be_first: Whether it may be the first engine of a path.
        entry_ms: Cost added once for a path that uses it.
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
        """Returns whether there is memory for a request on some layers."""
        return self.used + tokens * layers <= self.room * FULL_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class FoundPart:
    """A range of layers that an engine runs."""

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
class _PartialPath:
    """The cheapest path found so far over the layers before ``end``.

    Attributes:
        zone: Zone of its last engine; empty for the empty path.
        candidate: Its last engine; None for the empty path.
        start: First layer of the last part.
        parent: The path up to ``start``.
    """

    cost: float
    zone: str
    candidate: Candidate | None
    start: int
    end: int
    parent: _PartialPath | None


BestByZone = dict[str, _PartialPath]
"""The cheapest partial paths to one layer, by the zone of the last engine."""


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
        first_zone: Zone of the first engine; empty for any.
        first: First part of the path; None for any.
        kept: Engines that hold the request's memory already; any other one
            has to prefill all its tokens. Used only with ``first``.
    """
    usable = list(candidates)
    if first is not None:
        usable = [
            c
            if c.instance in kept
            else dataclasses.replace(c, entry_ms=c.entry_ms + PREFILL_MS)
            for c in usable
        ]
    found = _search(usable, layers, tokens, first_zone, first, split=True)
    if found is not None and _is_valid(found):
        return found
    # A path that leaves an engine in the middle of its range may use it again
    # later, which engines refuse. With whole ranges that cannot happen.
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
    """Extends the cheapest partial paths layer by layer.

    Most time is spent in the innermost loop, which runs for each engine, each
    layer at which it can be entered and each at which it can be left. Loop
    invariants are computed outside it, and a partial path that is improved on
    is overwritten in place: nothing refers to it yet, since partial paths are
    extended in the order of their ends. That halves the CPU time of a choice
    in a large fleet.
    """
    split_points = sorted({layers, *(c.start for c in candidates)})
    if first is None:
        begin = _PartialPath(0.0, "", None, 0, 0, None)
    else:
        candidate = first.candidate
        begin = _PartialPath(
            0.0, candidate.zone, candidate, first.start, first.end, None
        )
        split_points = sorted({first.end, *split_points})
    boundaries = sorted(
        {begin.end, *split_points, *(c.end for c in candidates)}
    )
    reached: dict[int, BestByZone] = {boundary: {} for boundary in boundaries}
    reached[begin.end][begin.zone] = begin
    by_boundary = _candidates_by_boundary(candidates, boundaries)
    for position in boundaries:
        if position >= layers:
            break
        states = reached[position]
        if not states:
            continue
        usable = by_boundary[position]
        if first is not None:
            address = first.candidate.address
            usable = [c for c in usable if c.address != address]
        elif position == 0:
            usable = [
                c
                for c in usable
                if c.may_be_first and (not first_zone or c.zone == first_zone)
            ]
        later = (
            split_points[bisect.bisect_right(split_points, position) :]
            if split
            else []
        )
        _extend(states, usable, position, later, tokens, reached)
    ends = reached[layers]
    if not ends:
        return None
    return _to_found_path(min(ends.values(), key=lambda state: state.cost))


def _candidates_by_boundary(
    candidates: list[Candidate], boundaries: list[int]
) -> dict[int, list[Candidate]]:
    """Returns the engines that hold the layer after each boundary."""
    found: dict[int, list[Candidate]] = {
        boundary: [] for boundary in boundaries
    }
    for candidate in candidates:
        begin = bisect.bisect_left(boundaries, candidate.start)
        end = bisect.bisect_left(boundaries, candidate.end)
        for boundary in boundaries[begin:end]:
            found[boundary].append(candidate)
    return found


def _extend(
    states: BestByZone,
    candidates: list[Candidate],
    position: int,
    split_points: list[int],
    tokens: float,
    reached: dict[int, BestByZone],
) -> None:
    """Extends the partial paths that end at a position by each engine.

    Args:
        states: The partial paths.
        candidates: Engines that hold the layer at the position.
        position: Layer before which the partial paths end.
        split_points: Later layers at which an engine may be left, in order.
        tokens: Memory that the request needs, in tokens.
        reached: Partial paths by their end; updated with cheaper ones.
    """
    best: dict[str, tuple[_PartialPath, float]] = {}
    for candidate in candidates:
        zone = candidate.zone
        known = best.get(zone)
        if known is None:
            known = best[zone] = _cheapest(states, zone)
        parent, zone_change_ms = known
        base = parent.cost + HOP_MS + candidate.entry_ms + zone_change_ms
        layer_ms = candidate.layer_ms
        last = bisect.bisect_left(split_points, candidate.end)
        ends = [candidate.end, *split_points[:last]]
        if not candidate.fits(tokens, candidate.end - position):
            ends = [e for e in ends if candidate.fits(tokens, e - position)]
        for end in ends:
            cost = base + (end - position) * layer_ms
            row = reached[end]
            state = row.get(zone)
            if state is None:
                row[zone] = _PartialPath(
                    cost, zone, candidate, position, end, parent
                )
            elif cost < state.cost:
                state.cost = cost
                state.candidate = candidate
                state.start = position
                state.parent = parent


def _cheapest(states: BestByZone, zone: str) -> tuple[_PartialPath, float]:
    """Returns the cheapest partial path to extend in a zone and its penalty."""
    parent = min(
        states.values(),
        key=lambda state: state.cost + _zone_change_ms(state.zone, zone),
    )
    return parent, _zone_change_ms(parent.zone, zone)


def _zone_change_ms(zone: str, other: str) -> float:
    return ZONE_CHANGE_MS if zone not in ("", other) else 0.0


def _to_found_path(state: _PartialPath) -> FoundPath:
    cost = state.cost
    parts: list[FoundPart] = []
    current: _PartialPath | None = state
    while current is not None and current.candidate is not None:
        parts.append(FoundPart(current.candidate, current.start, current.end))
        current = current.parent
    return FoundPath(tuple(reversed(parts)), cost)
