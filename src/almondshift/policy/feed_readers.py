"""Which nodes read the store's tables for the others.

Hundreds of nodes that each follow two tables poll the store for changes several
times a second, and most often while it is unavailable and all retry. The
capacity of the store, which is paid for, is spent on queries that nearly all
have the same result.

So in a large group a few nodes, the readers, follow the store, and the others
query them. A reader's reply states the age of its data, so that a node notices
when its reader has lost the store, and queries another reader or the store.

In groups of up to ``FEW_NODES`` nodes each follows the store: its calls are few
in any case, and a hop through a reader is avoided. A reader makes the same
calls in any zone, so that the number of readers depends on the number of nodes
and not of zones. Readers are spread over as many zones as possible. Each node
prefers two of them, one of which remains when the other restarts or is refused
by the store.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

FEW_NODES = 16
"""Maximum size of a group in which all nodes follow the store; two calls per
node in 2.5 s are 13 a second."""

MIN_READERS = 3
"""Minimum number of readers. If a store refuses a third of the nodes, one of
three readers still works in 26 of 27 outages, and stand-ins serve in the
rest."""

NODES_PER_READER = 40
"""Nodes per reader; each of them sends at most two queries a second, for two
tables."""

READER_WAIT_S = 1.8
"""Duration of a reader's long poll for changes at the store, in seconds. A
silent loss of the store is noticed after this time."""

ASKED_WAIT_S = 1.0
"""Duration of another node's long poll at a reader, in seconds. A reader that
lost power is noticed after this time."""

MAX_AGE_S = 2.4
"""Maximum age of a reader's data, in seconds; longer than its long poll plus
the pause between two polls."""

AWAY_S = 2.0
"""Time for which a reader that reports the loss of the store is avoided, in
seconds."""

SILENT_S = 5.0
"""Time for which a reader that does not reply is avoided, in seconds. Each
query to it costs a whole time-out, and peers count as silent only after some
seconds."""

PROBES_PER_S = 20.0
"""Calls per second that all nodes together make to a store that seems
unavailable to them and to the readers; the readers' own calls come on top."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupNode:
    """A serving node of the group."""

    name: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Readers:
    """The nodes that read the store for a group.

    Attributes:
        chosen: The nodes that follow the store.
        stand_ins: Up to as many others, queried when none of ``chosen`` can
            reply. They then read the store themselves, like any node without
            a reader.
    """

    chosen: tuple[GroupNode, ...]
    stand_ins: tuple[GroupNode, ...] = ()


def chosen_readers(nodes: Iterable[GroupNode]) -> Readers:
    """Returns the readers of a group; all nodes if it is small.

    Nodes that see the same group choose the same readers.
    """
    known = sorted(nodes, key=lambda node: node.name)
    if len(known) <= FEW_NODES:
        return Readers(tuple(known))
    count = max(MIN_READERS, math.ceil(len(known) / NODES_PER_READER))
    counts: dict[str, int] = {}
    ranked = []
    for node in known:
        rank = counts[node.zone] = counts.get(node.zone, 0) + 1
        ranked.append((rank, node.name, node))
    ranked.sort()
    first = tuple(node for _, _, node in ranked[: 2 * count])
    return Readers(first[:count], first[count:])


def own_order(name: str, readers: Sequence[GroupNode]) -> list[str]:
    """Returns readers in the order in which a node prefers them.

    Each node has its own order (rendezvous hashing), so that all readers get
    about the same number of queries, and the nodes of a reader that leaves are
    distributed over all others.
    """
    return sorted((r.name for r in readers), key=lambda r: _weight(name, r))


def probe_pause_s(nodes: int) -> float:
    """Returns the mean interval of a node's calls to an unavailable store."""
    return max(1, nodes) / PROBES_PER_S


def _weight(name: str, reader: str) -> bytes:
    return hashlib.blake2b(f"{name}/{reader}".encode(), digest_size=8).digest()
