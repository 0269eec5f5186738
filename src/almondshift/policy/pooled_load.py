"""Estimate of all nodes' load on an engine from this node's own requests.

With many nodes each has only a few requests. If a node assumes that the others
have the same requests on each engine as itself, then with 76 nodes one own
request on an engine of 192 slots counts as 76, and three make the engine look
full. The node would refuse requests, or avoid whole chains, while most memory
is free.

So own requests are pooled over all engines before they are extrapolated:
callers choose nodes at random, so that a node's total is a fair sample, and
other nodes spread their requests over the engines that hold a layer. With seven
own requests the error is some 40%, spread over all engines; counted engine by
engine it is over 100%.

In a small group each node has enough requests on each engine to see which are
full, and counts engine by engine.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from almondshift.policy import engine_tracker

MANY_NODES = 16
"""Number of nodes above which a node pools its requests."""


def query_interval_factor(nodes: int) -> float:
    """Returns by which factor a node extends its intervals between queries.

    Each node queries engines on its own. Without this factor a hundred nodes
    would query an engine a hundred times as often as one does, and queries
    would be much of their work.
    """
    return max(1.0, nodes / MANY_NODES)


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """An engine that takes work, and its layers.

    Attributes:
        start: First layer that it holds.
        end: The layer after the last.
        speed: Its speed relative to the published step time.
    """

    instance: str
    start: int
    end: int
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineShare:
    """An engine's share of all requests if they spread by speed.

    Attributes:
        running: Share of all requests that use it.
        first: Share of all requests whose first engine it is.
    """

    running: float
    first: float


NO_SHARE = EngineShare(0.0, 0.0)


def engine_shares(
    holdings: Iterable[Holding], layers: int
) -> dict[str, EngineShare]:
    """Returns the shares of a model's engines, by instance.

    Nodes choose fast engines until their load makes slower ones as good, so
    that requests spread roughly in proportion to speed. With even shares, five
    chains of which two serve most requests would each seem to have a fifth,
    and the two would be filled beyond their memory.
    """
    known = list(holdings)
    speeds = [0.0] * layers
    for holding in known:
        for layer in range(holding.start, min(holding.end, layers)):
            speeds[layer] += holding.speed
    # With prefix sums, the time per holding doesn't depend on its length.
    totals = [0.0]
    for speed in speeds:
        totals.append(totals[-1] + (1.0 / speed if speed else 0.0))
    shares = {}
    for holding in known:
        end = min(holding.end, layers)
        held = end - holding.start
        if held <= 0:
            continue
        running = holding.speed * (totals[end] - totals[holding.start])
        running /= held
        first = holding.speed / speeds[0] if holding.start == 0 else 0.0
        shares[holding.instance] = EngineShare(running, first)
    return shares


def fleet_total(
    own_here: float, own_total: float, share: float, nodes: int
) -> float:
    """Returns the estimated load of all nodes on an engine, in any unit.

    Args:
        own_here: This node's load on the engine.
        own_total: This node's load on all engines.
        share: The engine's share of all load.
        nodes: All nodes, this one included.
    """
    if nodes <= MANY_NODES:
        return own_here * nodes
    return own_here + own_total * share * (nodes - 1)


AVERAGING_S = 5.0
"""Time constant of the mean number of requests, in seconds; about the duration
of a request."""


class MeanRequests:
    """The moving average of a node's number of requests.

    In a large group a node has about three requests at a time, plus or minus
    two, so that its current number says little about the others'.

    Attributes:
        mean: The average.
        at: When it was last updated; monotonic seconds.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self.at = -math.inf

    def note(self, requests: float, now: float) -> None:
        """Updates the average with the node's current number of requests."""
        kept = math.exp(-max(0.0, now - self.at) / AVERAGING_S)
        self.mean += (1.0 - kept) * (requests - self.mean)
        self.at = now


class FleetLoad:
    """Estimated load of all nodes on a service's engines.

    Attributes:
        own_tokens: Memory of this node's requests on all engines, in tokens.
        own_requests: This node's requests.
        mean_requests: Their moving average, updated.
    """

    def __init__(
        self,
        tracker: engine_tracker.EngineTracker,
        shares: Mapping[str, EngineShare],
        layers: int,
        nodes: int,
        mean_requests: MeanRequests,
        now: float,
    ) -> None:
        self.tracker = tracker
        self.shares = shares
        self.layers = layers
        self.nodes = nodes
        self.now = now
        states = [tracker.states[i] for i in shares if i in tracker.states]
        self.own_tokens = sum(s.layer_tokens for s in states) / layers
        self.own_requests = sum(s.first_running for s in states)
        self.mean_requests = mean_requests
        mean_requests.note(self.own_requests, now)

    def own_share(self, instance: str, room: float) -> float:
        """Returns an engine's memory use if all nodes had the same requests.

        This is too coarse to tell whether an engine is full, but it directs a
        node's next request to engines on which it has none. By pooled load
        alone, equal engines look the same and all nodes would choose the
        cheapest.
        """
        state = self.tracker.states.get(instance)
        return state.layer_tokens * self.nodes / room if state else 0.0

    def own_running(self, instance: str) -> float:
        """Returns an engine's requests if all nodes had as many as this one."""
        state = self.tracker.states.get(instance)
        return state.running * self.nodes if state else 0.0

    def running(self, instance: str) -> float:
        """Returns an engine's requests, estimated from this node's mean."""
        state = self.tracker.states.get(instance)
        here = state.running if state else 0
        share = self._share(instance).running
        return fleet_total(here, self.mean_requests.mean, share, self.nodes)

    def first_requests(self, instance: str) -> float:
        """Returns the requests whose first engine this is."""
        here = self.own_first(instance)
        share = self._share(instance).first
        return fleet_total(here, self.own_requests, share, self.nodes)

    def first_requests_if_all_nodes_add_one(self, instance: str) -> float:
        """Returns ``first_requests`` once each node has sent one more request.

        Nodes that start together, or learn of a loss together, choose at the
        same moment and don't see each other's choices yet. A node that counts
        only the requests it has sent would consider the last slots of the
        fastest engine free, as would all the others.
        """
        if self.nodes <= MANY_NODES:
            return self.first_requests(instance)
        here = self.own_first(instance)
        share = self._share(instance).first
        return fleet_total(here + 1, self.own_requests + 1, share, self.nodes)

    def own_first(self, instance: str) -> int:
        """Returns this node's requests whose first engine this is."""
        state = self.tracker.states.get(instance)
        return state.first_running if state else 0

    def used(self, instance: str, layer_count: int) -> float:
        """Returns the estimated memory in use, in tokens times layers.

        Args:
            instance: The engine.
            layer_count: Number of layers that it holds.
        """
        state = self.tracker.states.get(instance)
        here = state.layer_tokens if state else 0.0
        share = self._share(instance).running * layer_count
        estimate = fleet_total(here, self.own_tokens, share, self.nodes)
        counted_nodes = self.nodes if self.nodes <= MANY_NODES else 1
        return self.tracker.used(instance, estimate, counted_nodes, self.now)

    def _share(self, instance: str) -> EngineShare:
        return self.shares.get(instance, NO_SHARE)
