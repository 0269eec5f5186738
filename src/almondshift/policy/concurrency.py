"""Limits on the number of requests that a node runs on an engine.

Many concurrent requests reach an engine through several nodes, which learn its
load with a delay. Without a bound, requests beyond a full batch wait inside the
engine, where they can't be reordered by account or refused, and the time
between tokens grows for every request. If each node allowed its own requests up
to the bound for the entire engine, eight nodes would overshoot eightfold within
the delay of one report.

By Little's law an engine with full batches of ``max_batch`` needs ``rate *
token_time`` concurrent requests, where the token time is that of one token
through the entire chain. With fewer, its batches are not full and throughput is
lost; with more, requests queue. An extra fifth covers the variation of batches.

If the chain is faster than the objective for the time between tokens, requests
are admitted up to six tenths of the objective: batching then raises throughput,
and the rest leaves room for interleaved prompts and for the delayed view of
other nodes. At most nine tenths of the sessions that the engine's memory holds
are used, so that delays don't lead to refusals by the engine.

A node counts its own requests exactly. Those of others are the requests in the
engine's report less its own at the time of the measurement. ``shares`` divides
the free capacity.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from almondshift.policy import engine_rates
from almondshift.policy import shares

if TYPE_CHECKING:
    from almondshift.model import endpoints

BATCH_VARIATION = 1.2
OBJECTIVE_SHARE = 0.6
MAX_SESSION_SHARE = 0.9
HISTORY_S = 10.0
MAX_ASSUMED_SHARERS = 8


class EngineLoad:
    """Load of one engine, as known to this node.

    Attributes:
        own: Number of this node's requests on the engine.
        own_long: Number of this node's long requests on it.
        pending_prompt_tokens: Prompt tokens that this node has sent to it and
            that are not processed yet.
        allowed: Number of requests that this node may have on it.
        others: Number of requests of other nodes on it.
        limit: Maximum number of requests of all nodes on it.
        queued: Items queued in it at the last report.
        peers: Peers that report requests on it.
    """

    def __init__(self) -> None:
        self.own = 0
        self.own_long = 0
        self.pending_prompt_tokens = 0
        self.allowed = 1.0
        self.others = 0.0
        self.limit = 1.0
        self.queued = 0
        self.peers: set[str] = set()
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    @property
    def utilisation(self) -> float:
        """Requests of all nodes on the engine, divided by its limit."""
        return (self.own + self.others) / self.limit

    def adjust_own(self, at: float, by: int) -> None:
        """Records that requests of this node started or ended."""
        self.own += by
        self._changes.append((at, by))
        while self._changes[0][0] < at - HISTORY_S:
            self._changes.popleft()

    def own_at(self, at: float) -> int:
        """Returns the number of own requests on the engine at a past time."""
        later = 0
        for changed_at, by in reversed(self._changes):
            if changed_at <= at:
                break
            later += by
        return self.own - later

    def apply_report(
        self,
        report: endpoints.LoadReport,
        measured_at: float,
        active_peers: int,
        known_peers: int,
    ) -> None:
        """Updates the load from a report.

        Args:
            report: Load report of the engine.
            measured_at: Time at which it was measured.
            active_peers: Number of peers that have requests in flight anywhere.
            known_peers: Number of known peers.
        """
        own_at_report = self.own_at(measured_at)
        total = float(max(report.sessions, own_at_report))
        self.others = total - own_at_report
        self.queued = report.queued_items
        sharers = 1 + max(
            len(self.peers), min(active_peers, MAX_ASSUMED_SHARERS)
        )
        self.allowed = shares.next_share(
            self.limit, own_at_report, total, sharers, 1 + known_peers
        )


def limit_for(
    description: endpoints.EndpointDescription,
    layer_count: int,
    token_time_s: float,
    objective_s: float,
) -> float:
    """Returns the maximum number of requests on an engine.

    Args:
        description: The engine's own description.
        layer_count: Number of layers that each request runs on it.
        token_time_s: Time of one token through a chain with full batches.
        objective_s: Objective for the time between tokens.
    """
    rate = engine_rates.tokens_per_s(description, layer_count)
    round_s = max(token_time_s * BATCH_VARIATION, objective_s * OBJECTIVE_SHARE)
    needed = max(description.max_batch, rate * round_s)
    memory = max(1.0, description.max_sessions * MAX_SESSION_SHARE)
    return float(min(math.ceil(needed), memory))
