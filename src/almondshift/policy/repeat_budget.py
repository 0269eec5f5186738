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


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetState:
    """State of a service's budget when it denied a repeat.

    Attributes:
        denials: Denied repeats since the last state that was returned.
        requests: Requests in the window.
        repeats: Repeats in the window.
        limit: Number of repeats that the node may send in the window.
        nodes: Nodes that share the allowance; 0 if not known.
        age_s: Seconds since the node's start.
    """

    denials: int
    requests: int
    repeats: int
    limit: float
    nodes: int
    age_s: float


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
        self.denials: collections.Counter[str] = collections.Counter()
        self.next_state_at: dict[str, float] = {}

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
        repeats = self.repeats.setdefault(service, collections.deque())
        self._expire(repeats, now)
        return len(repeats) + 1 <= self.allowed_repeats(service, now)

    def allowed_repeats(self, service: str, now: float) -> float:
        """Returns how many repeats this node may send in the window."""
        requests = self.requests.setdefault(service, collections.deque())
        self._expire(requests, now)
        limit = len(requests) * self.limits.ratio * USED_SHARE
        if self.nodes:
            is_fresh = now - self.started_at < self.limits.window_s
            share = FIRST_WINDOW_SHARE if is_fresh else USED_SHARE
            limit += self.limits.allowance / self.nodes * share
        return limit

    def denied(self, service: str, now: float) -> BudgetState | None:
        """Counts a denied repeat; returns the state once in each window."""
        self.denials[service] += 1
        if now < self.next_state_at.get(service, now):
            return None
        self.next_state_at[service] = now + self.limits.window_s
        return BudgetState(
            denials=self.denials.pop(service),
            requests=len(self.requests[service]),
            repeats=len(self.repeats[service]),
            limit=self.allowed_repeats(service, now),
            nodes=self.nodes,
            age_s=now - self.started_at,
        )

    def _expire(self, times: collections.deque[float], now: float) -> None:
        while times and times[0] <= now - self.limits.window_s:
            times.popleft()
