"""Selection of the node addresses that callers connect to.

There is no load balancer in front; callers cache the addresses in a response
for a while and connect to them directly. If every caller got the same list, the
first address would take all load. If every account were spread over all nodes,
one hot account would fill them all.

Addresses are chosen by shuffle sharding: rendezvous hashing assigns a few nodes
to each account. With 8 nodes and shards of 4, only one pair of accounts in 70
shares all its nodes, and a node that joins or leaves affects only the accounts
it serves. The shard alternates between availability zones, so that working
addresses remain when a zone is lost, and grows with the account's weight, so
that a large account isn't limited to four nodes. Each response is shuffled
within the shard, which spreads an account's callers evenly.

Leaving and stale nodes are omitted while others remain; overloaded ones come
last. Responses are valid for five seconds, so that callers have stopped using a
stopping node well before its grace period ends, and for two seconds while a
node is leaving or overloaded. A jitter of a fifth keeps callers from asking at
the same time.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

MIN_SHARD = 4
SHARD_HEADROOM = 2.0
STALE_S = 5.0
OVERLOADED_LOAD = 0.9
HOLD_S = 5.0
SHORT_HOLD_S = 2.0
HOLD_JITTER = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class EntryNode:
    """A node as known to the node that responds.

    Attributes:
        address: ``host:port`` that callers connect to.
        age_s: Seconds since it was last heard from.
        load: Its self-reported utilisation; 1.0 if it refuses requests.
    """

    name: str
    address: str
    zone: str
    leaving: bool
    age_s: float
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Addresses in the order to try them, and how long they are valid."""

    addresses: tuple[str, ...]
    hold_seconds: float


def entries_for(
    nodes: Iterable[EntryNode],
    account: str,
    account_share: float,
    rng: random.Random,
) -> Entries:
    """Returns the addresses for one account's caller.

    Args:
        nodes: All known nodes, including the one that responds.
        account: Name of the client account, or ``""`` if unknown.
        account_share: Its weight divided by the sum of all weights.
        rng: Source of random choices.
    """
    all_nodes = list(nodes)
    fresh = [n for n in all_nodes if not n.leaving and n.age_s <= STALE_S]
    stale = [n for n in all_nodes if not n.leaving and n.age_s > STALE_S]
    usable = fresh or stale or all_nodes
    size = _shard_size(len(usable), account_share)
    shard = _pick_across_zones(
        sorted(usable, key=lambda n: _rank(account, n)), size
    )
    ordered = _ordered(shard, rng)
    unstable = any(n.leaving or n.load >= OVERLOADED_LOAD for n in all_nodes)
    hold = SHORT_HOLD_S if unstable else HOLD_S
    return Entries(
        tuple(node.address for node in ordered),
        hold * rng.uniform(1.0 - HOLD_JITTER, 1.0 + HOLD_JITTER),
    )


def _shard_size(count: int, share: float) -> int:
    wanted = math.ceil(count * share * SHARD_HEADROOM)
    return min(count, max(MIN_SHARD, wanted))


def _rank(account: str, node: EntryNode) -> int:
    return int(xxhash.xxh64_intdigest(f"{account}\0{node.name}".encode()))


def _pick_across_zones(ranked: list[EntryNode], size: int) -> list[EntryNode]:
    """Takes the best nodes of the zones in rotation, up to ``size``."""
    by_zone: dict[str, list[EntryNode]] = {}
    for node in ranked:
        by_zone.setdefault(node.zone, []).append(node)
    taken: list[EntryNode] = []
    round_index = 0
    while len(taken) < size:
        round_nodes = [
            zone_nodes[round_index]
            for zone_nodes in by_zone.values()
            if round_index < len(zone_nodes)
        ]
        taken += round_nodes[: size - len(taken)]
        round_index += 1
    return taken


def _ordered(shard: list[EntryNode], rng: random.Random) -> list[EntryNode]:
    """Shuffles nodes, alternates their zones and puts overloaded ones last."""
    shuffled = rng.sample(shard, len(shard))
    ready = [node for node in shuffled if node.load < OVERLOADED_LOAD]
    full = [node for node in shuffled if node.load >= OVERLOADED_LOAD]
    return _interleave_zones(ready) + _interleave_zones(full)


def _interleave_zones(nodes: list[EntryNode]) -> list[EntryNode]:
    """Puts the first node of each zone before the second node of any."""
    seen: dict[str, int] = {}
    turns: list[tuple[int, int, EntryNode]] = []
    for node in nodes:
        turn = seen.get(node.zone, 0)
        seen[node.zone] = turn + 1
        turns.append((turn, len(turns), node))
    return [node for _, _, node in sorted(turns, key=lambda t: t[:2])]
