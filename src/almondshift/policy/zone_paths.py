"""The paths that begin in each zone, one of which a request may take.

Load pattern: engines of a zone fill up, die or turn slow while others of the
zone hold the same layers, or other zones do. One path a zone would leave them
idle; all paths would be too many to weigh for each request.

Grounds: a zone offers its best path and those that share no engine with it. It
is offered with slow engines where there is no other, and with engines of other
zones where its own don't hold all layers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.policy import engine_book
from almondshift.policy import path_search

if TYPE_CHECKING:
    from collections.abc import Sequence

MOST_APART = 4
"""Paths looked at in a zone beside the best; a zone of 33 engines holds five
chains."""


def found(
    candidates: Sequence[path_search.Candidate],
    quick: Sequence[path_search.Candidate],
    layers: int,
    tokens: float,
) -> list[path_search.FoundPath]:
    """Returns the paths of all zones.

    Args:
        candidates: Engines that may take work.
        quick: Those of them that are not to be passed over.
        layers: Layers of the model.
        tokens: Memory that a request needs, in tokens.
    """
    paths: list[path_search.FoundPath] = []
    for zone in sorted({c.zone for c in candidates}):
        best = _zone_path(quick, zone, layers, tokens)
        if best is None:
            best = _zone_path(candidates, zone, layers, tokens)
            if best is not None:
                cost_ms = best.cost_ms * engine_book.SLOW_PACE
                best = path_search.FoundPath(best.parts, cost_ms)
        if best is None:
            continue
        paths.append(best)
        paths += _apart_from(best, quick, zone, layers, tokens)
    return paths


def _zone_path(
    candidates: Sequence[path_search.Candidate],
    zone: str,
    layers: int,
    tokens: float,
) -> path_search.FoundPath | None:
    """Returns a path within a zone, or else one that begins there."""
    within = [c for c in candidates if c.zone == zone]
    path = path_search.find_path(within, layers, tokens)
    if path is not None:
        return path
    return path_search.find_path(candidates, layers, tokens, first_zone=zone)


def _apart_from(
    best: path_search.FoundPath,
    candidates: Sequence[path_search.Candidate],
    zone: str,
    layers: int,
    tokens: float,
) -> list[path_search.FoundPath]:
    """Returns paths in the same zone that share no engine with each other.

    Second copies of a zone's layers stand idle while the engines that carry
    its streams fill up; requests would be refused beside them.
    """
    rest = [c for c in candidates if c.zone == zone]
    others: list[path_search.FoundPath] = []
    last: path_search.FoundPath | None = best
    while last is not None and len(others) < MOST_APART:
        used = {part.candidate.instance for part in last.parts}
        rest = [c for c in rest if c.instance not in used]
        last = path_search.find_path(rest, layers, tokens)
        if last is not None:
            others.append(last)
    return others
