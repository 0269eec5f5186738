"""Which part of all requests each path should get, and a node's part in it.

Load pattern: hundreds of nodes have a few requests each at a time, fewer than
there are paths. If each takes the best path it has no request on, the best one
gets a request of every node: with 200 nodes that is twice what its first engine
has places for, and callers wait there while slower paths stand nearly empty.

So the requests of all nodes are estimated from the own ones and shared out:
each path gets as many as make it as dear as the others, and none more than it
has room for. A node draws a path by how far its own requests fall short of its
part of that, so that even a few requests of many nodes add up to the shares.

Grounds: what one node has at a moment says little, so demand is its mean over
some seconds, or what it has now if that is more.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

ROUNDS = 30
"""Halvings until the common price is known to a billionth."""


@dataclasses.dataclass(frozen=True, slots=True)
class PathOffer:
    """A path as it may be chosen.

    Attributes:
        cost: Of an empty path; any unit.
        capacity: Requests that it has room for, of all nodes.
        own: This node's requests on it.
    """

    cost: float
    capacity: float
    own: int


def shares(
    offers: Sequence[PathOffer], demand: float, load_weight: float
) -> list[float]:
    """Returns how many requests each path should have, of all nodes.

    A path costs ``cost * (1 + load_weight * requests / capacity)``; those that
    get any cost the same, but for full ones.

    Args:
        offers: The paths, each with some capacity.
        demand: Requests of all nodes together.
        load_weight: How much a full path costs over an empty one.
    """
    total = sum(offer.capacity for offer in offers)
    if demand >= total:
        return [offer.capacity * demand / total for offer in offers]
    low = min(offer.cost for offer in offers)
    high = max(offer.cost for offer in offers) * (1.0 + load_weight)
    for _ in range(ROUNDS):
        price = (low + high) / 2
        if sum(_taken(offer, price, load_weight) for offer in offers) < demand:
            low = price
        else:
            high = price
    taken = [_taken(offer, high, load_weight) for offer in offers]
    return [share * demand / sum(taken) for share in taken]


def drawn(
    offers: Sequence[PathOffer],
    wanted: Sequence[float],
    nodes: int,
    rng: random.Random,
) -> int:
    """Returns the index of the path that a node's next request takes.

    Args:
        offers: The paths.
        wanted: Their requests of all nodes, as ``shares`` returns them.
        nodes: Nodes, this one included.
        rng: Source of the choice.
    """
    missing = [
        max(0.0, total / nodes - offer.own)
        for offer, total in zip(offers, wanted, strict=True)
    ]
    if sum(missing) <= 0.0:
        missing = list(wanted)
    return rng.choices(range(len(offers)), missing)[0]


def _taken(offer: PathOffer, price: float, load_weight: float) -> float:
    """Returns the requests with which a path costs a price."""
    load = (price / offer.cost - 1.0) / load_weight
    return offer.capacity * min(1.0, max(0.0, load))
