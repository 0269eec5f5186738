"""Which nodes read the store's tables for the others.

Load pattern: hundreds of nodes that each follow two tables ask the store for
changes some times a second each, most of all while it is away and all try
again. What the store can do, and is paid for, goes into questions that nearly
all have the same answer.

So in a large group a few nodes follow the store, and the others ask them. What
a reader knows carries its age, so that a node notices when its reader has lost
the store, and asks another reader or the store itself.

Grounds: up to ``FEW_NODES`` each follows the store, which spares a hop where
calls are few. A reader costs the same calls whatever its zone, so their number
follows the nodes that ask them and not the zones. They stand in as many zones
as there are; each node has two of its own among them, one of which is left
when the other is restarted or turned away by the store.
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
"""Nodes that all follow the store: two calls each in 2.5 s are 13 a second."""

FEWEST_READERS = 3
"""A store that turns away a third of the nodes leaves one of three in 26 of 27
outages, and stand-ins in the rest."""

NODES_PER_READER = 40
"""Each of them asks twice a second at the most, for two tables."""

READER_WAIT_S = 1.8
"""How long a reader's question for changes stays open at the store. A reader
that lost the store without a word is noticed after one such time."""

ASKED_WAIT_S = 1.0
"""How long another node's question stays open at a reader. One that lost power
is noticed after one such time."""

MAX_AGE_S = 2.4
"""Older news of a reader is not relied on: above its question's time and its
pause between two."""

AWAY_S = 2.0
"""A reader that says that it lost the store is passed over for so long."""

SILENT_S = 5.0
"""The same for one that says nothing: each question to it costs the time that
it has for an answer, and peers count as silent only after some seconds."""

PROBES_PER_S = 20.0
"""Calls a second that all nodes together make to a store that seems away to
its readers and to them, beside the readers' own."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupNode:
    """A node that serves."""

    name: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Readers:
    """Who reads the store for a group.

    Attributes:
        chosen: The nodes that follow the store.
        stand_ins: As many others, asked where none of those can help. They
            read the store themselves then, like any node without a reader.
    """

    chosen: tuple[GroupNode, ...]
    stand_ins: tuple[GroupNode, ...] = ()


def chosen_readers(nodes: Iterable[GroupNode]) -> Readers:
    """Returns who follows the store; all nodes of a small group.

    Nodes that see the same group choose the same readers.
    """
    known = sorted(nodes, key=lambda node: node.name)
    if len(known) <= FEW_NODES:
        return Readers(tuple(known))
    count = max(FEWEST_READERS, math.ceil(len(known) / NODES_PER_READER))
    places: dict[str, int] = {}
    ranked = []
    for node in known:
        place = places[node.zone] = places.get(node.zone, 0) + 1
        ranked.append((place, node.name, node))
    ranked.sort()
    first = tuple(node for _, _, node in ranked[: 2 * count])
    return Readers(first[:count], first[count:])


def own_order(name: str, readers: Sequence[GroupNode]) -> list[str]:
    """Returns readers in the order in which a node prefers them.

    Each node has an order of its own, so that all readers get about as many
    questions, and a reader that goes leaves its nodes to all the others.
    """
    return sorted((r.name for r in readers), key=lambda r: _weight(name, r))


def probe_pause_s(nodes: int) -> float:
    """Returns the mean pause between a node's calls to an absent store."""
    return max(1, nodes) / PROBES_PER_S


def _weight(name: str, reader: str) -> bytes:
    return hashlib.blake2b(f"{name}/{reader}".encode(), digest_size=8).digest()
