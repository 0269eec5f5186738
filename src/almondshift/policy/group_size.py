"""Counts the nodes that share the engines, even before peers are discovered.

All nodes of a group may start at once, after a power loss or an outage of the
platform, and all rejected callers come back within the same second. A node
extrapolates from its own requests how full engines are. One that has not found
any peer yet assumes that it is alone: engines look empty, all nodes send
everything to the same few, and these refuse requests for which others had room.

Each node that starts writes a row to the store and then reads all rows, within
milliseconds. Rows of nodes that are gone remain for minutes, so that rows alone
give too high a count; peers alone give too low a count until all are found. So
rows are used only during discovery.
"""

from __future__ import annotations

DISCOVERY_S = 6.0
"""Time within which nodes that start together find each other, in seconds, even
in a large group."""


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
            serving: Peers that are alive and not leaving.
            written: Nodes that have a row in the store, this one included.
            now: Monotonic seconds.
        """
        known = 1 + serving
        if now - self.started_at < DISCOVERY_S:
            return max(known, written)
        return known
