"""How many requests a node may have on an engine.

Load pattern: many requests at once through several nodes that see an
engine's load late. Without a bound, what exceeds a full batch waits inside
the engine, where it can be neither reordered by account nor refused, and
every request's time between tokens grows with it; with a bound that each
node applies to the whole engine, eight nodes overshoot eightfold within the
lag of one report.

Grounds: by Little's law an engine with full batches of ``max_batch`` needs
``rate * cycle`` requests on it, where the cycle is the time of one token
round the whole chain: with fewer, its batches are not full and throughput
is lost, with more, they queue. A fifth more covers the variation of batches.
Where the chain is faster than the objective between tokens, requests up to
six tenths of it are let in: batching then raises throughput, and what is
left covers prompts that come between and the other nodes' late sight. Nine
tenths of the sessions that the engine's memory holds are the most, so that
lag doesn't turn into refusals by the engine.

A node counts what it sent itself exactly and the others by the engine's
report, taken at the time when the report was true; ``shares`` divides what
is free.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from almondshift.policy import shares

if TYPE_CHECKING:
    from almondshift.model import endpoints

VARIATION = 1.2
OBJECTIVE_SHARE = 0.6
MEMORY_SHARE = 0.9
HISTORY_S = 10.0
FEW_SHARERS = 8


class EngineLoad:
    """What is on one engine, as this node knows it.

    Attributes:
        own: Requests of this node on it.
        own_long: Those of them that are long.
        pending_prompt: Own prompt tokens sent and not answered yet.
        allowed: Requests that this node may have on it.
        others: Requests of other nodes on it.
        limit: Requests of all nodes that it should have at most.
        queued: Items queued in it at the last report.
        peers: Peers that say they have requests on it.
    """

    def __init__(self) -> None:
        self.own = 0
        self.own_long = 0
        self.pending_prompt = 0
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
        """Requests of all nodes on it, by the limit."""
        return (self.own + self.others) / self.limit

    def change(self, at: float, by: int) -> None:
        """Notes that requests of this node started or ended."""
        self.own += by
        self._changes.append((at, by))
        while self._changes[0][0] < at - HISTORY_S:
            self._changes.popleft()

    def own_at(self, at: float) -> int:
        """Returns how many of this node's requests were on it then."""
        later = 0
        for when, by in reversed(self._changes):
            if when <= at:
                break
            later += by
        return self.own - later

    def reported(
        self,
        report: endpoints.LoadReport,
        true_at: float,
        active: int,
        known: int,
    ) -> None:
        """Takes a report.

        Args:
            report: The report.
            true_at: When it was true.
            active: Peers that have requests in flight anywhere.
            known: Peers known.
        """
        own_then = self.own_at(true_at)
        total = float(max(report.sessions, own_then))
        self.others = total - own_then
        self.queued = report.queued_items
        sharers = 1 + max(len(self.peers), min(active, FEW_SHARERS))
        self.allowed = shares.next_share(
            self.limit, own_then, total, sharers, 1 + known
        )


def limit_for(
    description: endpoints.EndpointDescription,
    layer_count: int,
    cycle_s: float,
    objective_s: float,
) -> float:
    """Returns how many requests should be on an engine at most.

    Args:
        description: What the engine says of itself.
        layer_count: Layers that each request runs on it.
        cycle_s: Time of one token round a chain with full batches.
        objective_s: Time between tokens that was promised.
    """
    per_token = description.per_layer_token_s * layer_count
    batch_s = description.fixed_s + per_token * description.max_batch
    rate = description.max_batch / batch_s
    round_s = max(cycle_s * VARIATION, objective_s * OBJECTIVE_SHARE)
    needed = max(description.max_batch, rate * round_s)
    memory = max(1.0, description.max_sessions * MEMORY_SHARE)
    return float(min(math.ceil(needed), memory))
