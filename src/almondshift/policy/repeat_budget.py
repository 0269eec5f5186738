"""Repeats as a share of requests, over all nodes and a sliding window.

Load pattern: an overload or a fault in which many requests fail at once. If
each is sent again, the repeats take what would have served new ones, and the
service stays overloaded after the fault has ended.
Grounds: operators bound the repeats of a service in each window to a share of
its requests and a fixed allowance. Nodes don't count together: each keeps to
its own share, with the allowance divided by the nodes, so that the sum keeps
the bound whatever the others do. A node that has just started knows neither
how many share the allowance nor what its former life spent in the window:
where all nodes lose power at once and each takes itself for the only one, they
spend it many times over.
"""

from __future__ import annotations

import collections
import dataclasses

KEPT_SHARE = 0.8
"""Share of the bound that is used; requests spread unevenly over nodes."""

FRESH_SHARE = 1.0 - KEPT_SHARE
"""Share of the allowance in a node's first window: its former life may have
used the rest. Of the ratio it uses as much as later, since it counts only its
own requests."""

NODES_MEMORY_S = 60.0
"""The largest group that was seen in so long shares the allowance: nodes that
lost sight of each other go on to share it."""


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatLimits:
    """The operators' bound.

    Attributes:
        ratio: Repeats for each request.
        window_s: Length of the window.
        allowance: Repeats in a window beyond the ratio, over all nodes.
    """

    ratio: float
    window_s: float
    allowance: float


class RepeatBudget:
    """Counts a service's requests and repeats at this node.

    Attributes:
        nodes: Nodes that share the allowance, this one included; 0 until it
            is known, when there is none.
    """

    def __init__(self, limits: RepeatLimits, now: float) -> None:
        self.limits = limits
        self.started_at = now
        self.nodes = 0
        self.nodes_at = now
        self.requests: dict[str, collections.deque[float]] = {}
        self.repeats: dict[str, collections.deque[float]] = {}

    def note_nodes(self, nodes: int, now: float) -> None:
        """Notes how many nodes share the allowance."""
        is_old = now - self.nodes_at > NODES_MEMORY_S
        if nodes >= self.nodes or is_old:
            self.nodes, self.nodes_at = nodes, now

    def note_request(self, service: str, now: float) -> None:
        """Counts a request of a caller."""
        kept = self.requests.setdefault(service, collections.deque())
        kept.append(now)
        self._expire(kept, now)

    def spend(self, service: str, now: float) -> bool:
        """Takes a repeat from the budget; returns whether it may be sent."""
        if not self.has_room(service, now):
            return False
        self.repeats[service].append(now)
        return True

    def has_room(self, service: str, now: float) -> bool:
        """Returns whether a repeat could be sent now; takes nothing."""
        requests = self.requests.setdefault(service, collections.deque())
        repeats = self.repeats.setdefault(service, collections.deque())
        self._expire(requests, now)
        self._expire(repeats, now)
        bound = len(requests) * self.limits.ratio * KEPT_SHARE
        if self.nodes:
            is_fresh = now - self.started_at < self.limits.window_s
            share = FRESH_SHARE if is_fresh else KEPT_SHARE
            bound += self.limits.allowance / self.nodes * share
        return len(repeats) + 1 <= bound

    def _expire(self, kept: collections.deque[float], now: float) -> None:
        while kept and kept[0] <= now - self.limits.window_s:
            kept.popleft()
