"""How many nodes share the engines, also before a node has met the others.

Load pattern: all nodes of a group start at once, after a loss of power or an
outage of the platform, and all callers that were turned away come back within
the same second. A node takes the others for like it to judge how full engines
are. One that has met nobody yet takes itself for the only one: engines look
empty, all nodes send everything to the same few, and these refuse what others
had room for.

Grounds: each node that starts writes a row to the store and then reads all
rows, within some ms. Rows of nodes that are gone stay for minutes, so that
rows alone would count too many for good; peers alone count too few until all
have met. Rows are counted only while that takes.
"""

from __future__ import annotations

MEETING_S = 6.0
"""Nodes that start together have met by then, also in a large group."""


class GroupSize:
    """Counts the nodes of a group.

    Attributes:
        started_at: Monotonic seconds of this node's start.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at

    def nodes(self, serving: int, written: int, now: float) -> int:
        """Returns how many nodes share the engines, this one included.

        Args:
            serving: Peers that are known to live and to stay.
            written: Nodes that have a row in the store, this one included.
            now: Monotonic seconds.
        """
        met = 1 + serving
        if now - self.started_at < MEETING_S:
            return max(met, written)
        return met
