"""Retry budget: limits repeats of requests over all nodes and a sliding window.

In an overload or a fault, many requests may fail at once. If each is sent
again, the repeats take the capacity for new requests, and the service stays
overloaded after the fault has ended.

Operators limit the repeats of a service in each window to a share of its
requests plus a fixed allowance. Nodes don't coordinate: each limits itself to
its own share, with the allowance divided by the number of nodes, so that the
sum stays within the limit whatever the others do. A node that has just started
knows neither how many nodes share the allowance nor what it spent in the window
before its restart: if all nodes lost power at once and each assumed that it is
alone, they would spend it many times over.
"""

from __future__ import annotations

import collections
import dataclasses

USED_SHARE = 0.8
"""Share of the limit that nodes use; the rest allows for requests that are
spread unevenly over nodes."""

FIRST_WINDOW_SHARE = 1.0 - USED_SHARE
"""Share of the allowance in a node's first window: the node may have spent the
rest before a restart. The ratio is applied as in later windows, since it
concerns only requests counted since the start."""

MAX_NODES_MEMORY_S = 60.0
"""Time for which the largest known number of nodes divides the allowance, in
seconds, so that nodes which lost contact with each other still share it."""


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatLimits:
    """The operators' limits.

    Attributes:
        ratio: Repeats per request.
        window_s: Length of the window.
        allowance: Repeats of all nodes in a window in addition to the ratio.
    """

    ratio: float
    window_s: float
    allowance: float


class RepeatBudget:
    """Counts a service's requests and repeats at this node.

    Attributes:
        nodes: Nodes that share the allowance, this one included; 0 until it is
            known, and the allowance is not used until then.
    """

    def __init__(self, limits: RepeatLimits, now: float) -> None:
        self.limits = limits
        self.started_at = now
        self.nodes = 0
        self.nodes_at = now
        self.requests: dict[str, collections.deque[float]] = {}
        self.repeats: dict[str, collections.deque[float]] = {}

    def note_nodes(self, nodes: int, now: float) -> None:
        """Records how many nodes share the allowance."""
        is_old = now - self.nodes_at > MAX_NODES_MEMORY_S
        if nodes >= self.nodes or is_old:
            self.nodes, self.nodes_at = nodes, now

    def note_request(self, service: str, now: float) -> None:
        """Counts a caller's request."""
        times = self.requests.setdefault(service, collections.deque())
        times.append(now)
        self._expire(times, now)

    def spend(self, service: str, now: float) -> bool:
        """Spends a repeat of the budget; returns whether it may be sent."""
        if not self.has_room(service, now):
            return False
        self.repeats[service].append(now)
        return True

    def has_room(self, service: str, now: float) -> bool:
        """Returns whether a repeat could be sent now; spends nothing."""
        requests = self.requests.setdefault(service, collections.deque())
        repeats = self.repeats.setdefault(service, collections.deque())
        self._expire(requests, now)
        self._expire(repeats, now)
        bound = len(requests) * self.limits.ratio * USED_SHARE
        if self.nodes:
            is_fresh = now - self.started_at < self.limits.window_s
            share = FIRST_WINDOW_SHARE if is_fresh else USED_SHARE
            bound += self.limits.allowance / self.nodes * share
        return len(repeats) + 1 <= bound

    def _expire(self, times: collections.deque[float], now: float) -> None:
        while times and times[0] <= now - self.limits.window_s:
            times.popleft()
