"""The paths that begin in each zone, from which a request's path is chosen.

Engines of a zone fill up, die or become slow while other engines of the zone,
or of other zones, hold the same layers. With one path per zone those would stay
idle; all paths would be too many to compare for each request.

So a zone has its best path and further ones that share no engine with it or
with each other. The best path uses slow engines where there is no other, and
engines of other zones where its own don't hold all layers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.policy import engine_tracker
from almondshift.policy import path_search

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_DISJOINT_PATHS = 4
"""Maximum number of paths in a zone beside the best; a zone of 33 engines holds
five chains."""


def find_paths(
    candidates: Sequence[path_search.Candidate],
    preferred: Sequence[path_search.Candidate],
    layers: int,
    tokens: float,
) -> list[path_search.FoundPath]:
    """Returns the paths of all zones.

    Args:
        candidates: Engines that may take work.
        preferred: Those of them that are not to be avoided.
        layers: Layers of the model.
        tokens: Memory that a request needs, in tokens.
    """
    paths: list[path_search.FoundPath] = []
    for zone in sorted({c.zone for c in candidates}):
        best = _zone_path(preferred, zone, layers, tokens)
        if best is None:
            best = _zone_path(candidates, zone, layers, tokens)
            if best is not None:
                cost_ms = best.cost_ms * engine_tracker.SLOW_PACE
                best = path_search.FoundPath(best.parts, cost_ms)
        if best is None:
            continue
        paths.append(best)
        paths += _disjoint_paths(best, preferred, zone, layers, tokens)
    return paths


def _zone_path(
    candidates: Sequence[path_search.Candidate],
    zone: str,
    layers: int,
    tokens: float,
) -> path_search.FoundPath | None:
    """Returns a path within a zone, or else one that only begins there."""
    within = [c for c in candidates if c.zone == zone]
    path = path_search.find_path(within, layers, tokens)
    if path is not None:
        return path
    return path_search.find_path(candidates, layers, tokens, first_zone=zone)


def _disjoint_paths(
    best: path_search.FoundPath,
    candidates: Sequence[path_search.Candidate],
    zone: str,
    layers: int,
    tokens: float,
) -> list[path_search.FoundPath]:
    """Returns paths in the same zone that share no engine with each other.

    Without them, second copies of a zone's layers would stay idle, and requests
    would be refused once the engines of the best path are full.
    """
    remaining = [c for c in candidates if c.zone == zone]
    others: list[path_search.FoundPath] = []
    last: path_search.FoundPath | None = best
    while last is not None and len(others) < MAX_DISJOINT_PATHS:
        used = {part.candidate.instance for part in last.parts}
        remaining = [c for c in remaining if c.instance not in used]
        last = path_search.find_path(remaining, layers, tokens)
        if last is not None:
            others.append(last)
    return others
