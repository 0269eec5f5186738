"""Which nodes read the store's tables for the others.

Load pattern: hundreds of nodes that each follow two tables ask the store for
changes some times a second each, most of all while it is away and all try
again. At 76 nodes these calls cost 0.08 of a calm day's worth, 6,344 in a
minute, and more on days with outages.

So in a large group a few nodes of each zone follow the store, and the others
ask them. What a reader knows carries its age, so that a node notices within
a second and a half that its reader has lost the store, and asks another
reader or the store itself.

Grounds: up to ``FEW_NODES`` each follows the store, which spares a hop where
calls are few. Two readers a zone leave one when the other is restarted; that
all of eight are turned away by a store that serves the rest is unlikely (a
third are, at the most).
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

FEW_NODES = 16
"""Nodes that all follow the store: two calls each in 2.5 s are 13 a second."""

PER_ZONE = 2

READER_WAIT_S = 1.0
"""How long a reader's question for changes stays open at the store. A reader
that lost the store without a word is noticed after one such time."""

MAX_AGE_S = 1.6
"""Older news of a reader is not relied on: above its question's time and its
pause between two, and below the two seconds that a change may take."""

BAD_S = 2.0
"""A reader that failed is passed over for so long; peers count as silent
after three seconds."""

PROBES_PER_S = 20.0
"""Calls a second that all nodes together make to a store that seems away to
its readers and to them, beside the readers' own."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupNode:
    """A node that serves."""

    name: str
    zone: str


def chosen_readers(nodes: Iterable[GroupNode]) -> tuple[GroupNode, ...]:
    """Returns the nodes that follow the store; all of a small group.

    Nodes that see the same group choose the same readers.
    """
    known = sorted(nodes, key=lambda node: node.name)
    if len(known) <= FEW_NODES:
        return tuple(known)
    taken: dict[str, int] = {}
    chosen = []
    for node in known:
        count = taken.get(node.zone, 0)
        if count < PER_ZONE:
            taken[node.zone] = count + 1
            chosen.append(node)
    return tuple(chosen)


def probe_pause_s(nodes: int) -> float:
    """Returns the mean pause between a node's calls to an absent store."""
    return max(1, nodes) / PROBES_PER_S
