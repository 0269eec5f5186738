"""Limits the requests that leave engines of which only silence is known.

A process that is stopped, traced or swapped is as silent as one whose VM has
lost power, and then runs what it was sent. If silence were an end, each request
whose engines all fall silent for seconds would run on more engines than its
route allows.

Operators tolerate a few such requests in the whole system. The nodes of a small
group share them without coordination; those of a larger one take none. A
request that left engines which turn out to have ended is returned to the share.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_REQUESTS = 3
"""Number of requests, of all nodes together, that may run on more engines than
their routes allow."""


class UnprovenRuns:
    """Counts this node's requests that left engines for their silence.

    Attributes:
        nodes: Returns how many nodes share the limit; 0 if not known.
        position: Returns how many nodes have a name before this node's.
        is_known_ended: Returns whether there is proof that an engine has ended.
        granted: The silent engines of each request that may have run on too
            many.
    """

    def __init__(
        self,
        nodes: Callable[[], int],
        position: Callable[[], int],
        is_known_ended: Callable[[str], bool],
    ) -> None:
        self.nodes = nodes
        self.position = position
        self.is_known_ended = is_known_ended
        self.granted: list[frozenset[str]] = []

    def has_room(self) -> bool:
        """Returns whether another request may leave its silent engines."""
        share = self.share()
        if not share:
            return False
        self.granted = [
            engines
            for engines in self.granted
            if not all(map(self.is_known_ended, engines))
        ]
        return len(self.granted) < share

    def share(self) -> int:
        """Returns this node's share of the limit; 0 in larger groups."""
        nodes = self.nodes()
        if not 0 < nodes <= MAX_REQUESTS:
            return 0
        share, rest = divmod(MAX_REQUESTS, nodes)
        return share + int(self.position() < rest)

    def take(self, engines: frozenset[str]) -> None:
        """Records that a request leaves silent engines."""
        self.granted.append(engines)
