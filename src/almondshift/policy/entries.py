"""Answers to callers who ask which node addresses to use.

Load pattern: no balancer stands in front; callers keep an answer for a while
and connect themselves. If every caller got the same list, the first address
would take all load; if every account were spread over all nodes, one hot
account would fill them all.

Grounds: shuffle sharding. Rendezvous hashing gives each account its own few
nodes, so with 8 nodes and shards of 4 two accounts share all of their nodes
in one pair of 70, and a node that joins or leaves moves only the accounts it
serves. The shard takes turns over availability zones, so that a lost zone
leaves addresses that work, and grows with the account's weight so that a
large account isn't held to four nodes. Within the shard each answer is
shuffled, which spreads an account's callers evenly.

Leaving and stale nodes are left out while others remain, overloaded ones go
last. Answers hold for five seconds, so that a node that stops has been left
alone by its callers well before its grace time ends; two when something is
leaving or overloaded. The jitter of a fifth keeps callers from asking
together.
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
OVERLOADED = 0.9
HOLD_S = 5.0
UNSTEADY_HOLD_S = 2.0
JITTER = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class EntryNode:
    """A node as the answering node knows it.

    Attributes:
        address: ``host:port`` where callers connect.
        age_s: Seconds since it was last heard from.
        load: Its own word on how full it is, 1.0 when it refuses.
    """

    name: str
    address: str
    zone: str
    leaving: bool
    age_s: float
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Addresses in the order to try them, and how long they hold."""

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
        nodes: All nodes known, the answering one among them.
        account: Name of the client account, ``""`` if unknown.
        account_share: Its weight by the sum of all weights.
        rng: Source of random choices.
    """
    known = list(nodes)
    fresh = [n for n in known if not n.leaving and n.age_s <= STALE_S]
    stale = [n for n in known if not n.leaving and n.age_s > STALE_S]
    usable = fresh or stale or known
    size = _shard_size(len(usable), account_share)
    shard = _over_zones(sorted(usable, key=lambda n: _rank(account, n)), size)
    ordered = _ordered(shard, rng)
    unsteady = any(n.leaving or n.load >= OVERLOADED for n in known)
    hold = UNSTEADY_HOLD_S if unsteady else HOLD_S
    return Entries(
        tuple(node.address for node in ordered),
        hold * rng.uniform(1.0 - JITTER, 1.0 + JITTER),
    )


def _shard_size(count: int, share: float) -> int:
    wanted = math.ceil(count * share * SHARD_HEADROOM)
    return min(count, max(MIN_SHARD, wanted))


def _rank(account: str, node: EntryNode) -> int:
    return int(xxhash.xxh64_intdigest(f"{account}\0{node.name}".encode()))


def _over_zones(ranked: list[EntryNode], size: int) -> list[EntryNode]:
    """Takes the best of each zone in turn until ``size`` are taken."""
    lines: dict[str, list[EntryNode]] = {}
    for node in ranked:
        lines.setdefault(node.zone, []).append(node)
    taken: list[EntryNode] = []
    depth = 0
    while len(taken) < size:
        layer = [line[depth] for line in lines.values() if depth < len(line)]
        taken += layer[: size - len(taken)]
        depth += 1
    return taken


def _ordered(shard: list[EntryNode], rng: random.Random) -> list[EntryNode]:
    """Shuffles, puts overloaded ones last and neighbours in other zones."""
    shuffled = rng.sample(shard, len(shard))
    ready = [node for node in shuffled if node.load < OVERLOADED]
    full = [node for node in shuffled if node.load >= OVERLOADED]
    return _alternating(ready) + _alternating(full)


def _alternating(nodes: list[EntryNode]) -> list[EntryNode]:
    """Puts the first of each zone before the second of any."""
    seen: dict[str, int] = {}
    turns: list[tuple[int, int, EntryNode]] = []
    for node in nodes:
        turn = seen.get(node.zone, 0)
        seen[node.zone] = turn + 1
        turns.append((turn, len(turns), node))
    return [node for _, _, node in sorted(turns, key=lambda t: t[:2])]
