"""Each path's share of all requests, and how a node follows the shares.

Hundreds of nodes have a few requests each at a time, fewer than there are
paths. If each node takes the best path on which it has no request yet, the best
path of all gets a request from every node. With 200 nodes that is twice the
slots of its first engine, and callers wait there while slower paths are nearly
empty.

So the total number of requests is estimated from this node's own, and is
distributed such that all paths in use cost the same and none gets more than it
has room for. A node draws a path at random, weighted by how far its own
requests on the path fall short of the path's share divided by the number of
nodes. In this way even a few requests of each of many nodes add up to the
shares.

A node's number of requests at one moment is a poor estimate, so demand is based
on its mean over some seconds, or on the current number if that is higher.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

BISECTION_STEPS = 30
"""Halvings of the interval in which the common cost is searched; they narrow it
to a billionth."""


@dataclasses.dataclass(frozen=True, slots=True)
class PathOption:
    """A path that may be chosen.

    Attributes:
        cost: Its cost when empty, in any unit.
        capacity: Requests of all nodes that it has room for.
        own: This node's requests on it.
    """

    cost: float
    capacity: float
    own: int


def shares(
    options: Sequence[PathOption], demand: float, load_weight: float
) -> list[float]:
    """Returns how many requests of all nodes each path should have.

    A path costs ``cost * (1 + load_weight * requests / capacity)``. All paths
    that get requests cost the same, except for full ones.

    Args:
        options: The paths, each with a capacity over 0.
        demand: Requests of all nodes together.
        load_weight: Relative increase of a path's cost from empty to full.
    """
    total = sum(option.capacity for option in options)
    if demand >= total:
        return [option.capacity * demand / total for option in options]
    low = min(option.cost for option in options)
    high = max(option.cost for option in options) * (1.0 + load_weight)
    for _ in range(BISECTION_STEPS):
        common_cost = (low + high) / 2
        if (
            sum(
                _requests_at(option, common_cost, load_weight)
                for option in options
            )
            < demand
        ):
            low = common_cost
        else:
            high = common_cost
    taken = [_requests_at(option, high, load_weight) for option in options]
    return [share * demand / sum(taken) for share in taken]


def draw_path(
    options: Sequence[PathOption],
    wanted: Sequence[float],
    nodes: int,
    rng: random.Random,
) -> int:
    """Draws the path of a node's next request and returns its index.

    Args:
        options: The paths.
        wanted: Requests of all nodes that each path should have, as returned
            by ``shares``.
        nodes: Number of nodes, this one included.
        rng: Source of randomness.
    """
    missing = [
        max(0.0, total / nodes - option.own)
        for option, total in zip(options, wanted, strict=True)
    ]
    if sum(missing) <= 0.0:
        missing = list(wanted)
    return rng.choices(range(len(options)), missing)[0]


def _requests_at(
    option: PathOption, common_cost: float, load_weight: float
) -> float:
    """Returns the number of requests at which a path costs this."""
    load = (common_cost / option.cost - 1.0) / load_weight
    return option.capacity * min(1.0, max(0.0, load))
