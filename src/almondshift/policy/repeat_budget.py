"""Repeats as a share of requests, over all nodes and a sliding window.

Load pattern: an overload or a fault in which many requests fail at once. If
each is sent again, the repeats take what would have served new ones, and the
service stays overloaded after the fault has ended.
Grounds: operators bound the repeats of a service in each window to a share of
its requests and a fixed allowance. Nodes don't count together: each keeps to
its own share, with the allowance divided by the nodes, so that the sum keeps
the bound whatever the others do.
"""

from __future__ import annotations

import collections
import dataclasses

KEPT_SHARE = 0.8
"""Share of the bound that is used; requests spread unevenly over nodes."""


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
    """Counts a service's requests and repeats at this node."""

    def __init__(self, limits: RepeatLimits) -> None:
        self.limits = limits
        self.requests: dict[str, collections.deque[float]] = {}
        self.repeats: dict[str, collections.deque[float]] = {}

    def note_request(self, service: str, now: float) -> None:
        """Counts a request of a caller."""
        kept = self.requests.setdefault(service, collections.deque())
        kept.append(now)
        self._expire(kept, now)

    def spend(self, service: str, now: float, nodes: int) -> bool:
        """Takes a repeat from the budget; returns whether it may be sent.

        Args:
            service: Where it would be sent.
            now: Monotonic seconds.
            nodes: Nodes that share the allowance, this one included.
        """
        if not self.has_room(service, now, nodes):
            return False
        self.repeats[service].append(now)
        return True

    def has_room(self, service: str, now: float, nodes: int) -> bool:
        """Returns whether a repeat could be sent now; takes nothing."""
        requests = self.requests.setdefault(service, collections.deque())
        repeats = self.repeats.setdefault(service, collections.deque())
        self._expire(requests, now)
        self._expire(repeats, now)
        bound = len(requests) * self.limits.ratio
        bound += self.limits.allowance / max(1, nodes)
        return len(repeats) + 1 <= bound * KEPT_SHARE

    def _expire(self, kept: collections.deque[float], now: float) -> None:
        while kept and kept[0] <= now - self.limits.window_s:
            kept.popleft()
