"""Selection of an endpoint of a plain service.

A plain service runs on a few small servers behind several nodes, and one of
them may be slower or busier than the others. Round robin queues requests behind
the busy one.

The least loaded of a few random endpoints is chosen, as for engines (see
``pools``). A plain service doesn't report its capacity, so the limit on
requests in flight is 64, which any small server can handle, divided between the
nodes by ``shares``. Requests beyond it wait in the node's fair queue, where
they can be refused.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from almondshift.policy import ejection
from almondshift.policy import pools
from almondshift.policy import shares

if TYPE_CHECKING:
    import random

    from almondshift.policy import topology as topologies

MAX_IN_FLIGHT = 64.0


class PlainChooser:
    """Tracks requests in flight on plain endpoints and chooses among them."""

    def __init__(
        self,
        rng: random.Random,
        topology: topologies.Topology,
        health: ejection.Ejection,
    ) -> None:
        self.rng = rng
        self.topology = topology
        self.health = health
        self.known_peers = 0
        self.own: collections.Counter[str] = collections.Counter()
        self.peers: dict[str, dict[str, int]] = {}

    def choose(
        self, service: str, avoid: frozenset[str] = frozenset()
    ) -> str | None:
        """Returns an endpoint with spare capacity, or None."""
        names = [
            name
            for name in self.topology.plain.get(service, {})
            if name not in avoid and self._has_capacity(name, service)
        ]
        if not names:
            return None
        sampled = self.rng.sample(names, min(len(names), pools.SAMPLE_SIZE))
        return min(sampled, key=self._load)

    def started(self, name: str) -> None:
        """Records that a request was sent to an endpoint."""
        self.own[name] += 1

    def ended(self, name: str) -> None:
        """Records that a request on an endpoint ended."""
        self.own[name] -= 1
        if self.own[name] <= 0:
            del self.own[name]

    def set_peer_in_flight(
        self, node: str, before: dict[str, int], now: dict[str, int]
    ) -> None:
        """Replaces a peer's previous in-flight counts with the current ones."""
        for names in self.topology.plain.values():
            for name in names.keys() & before.keys():
                self.peers.get(name, {}).pop(node, None)
            for name in names.keys() & now.keys():
                self.peers.setdefault(name, {})[node] = now[name]

    def _load(self, name: str) -> float:
        load = self.own[name] + sum(self.peers.get(name, {}).values())
        return (load + 1) * self.health.slowness(name)

    def _has_capacity(self, name: str, service: str) -> bool:
        self.health.set_group(name, ("plain", service))
        state = self.health.state(name)
        if state is ejection.State.EJECTED:
            return False
        own = self.own[name]
        if state is ejection.State.TRIAL:
            return own < ejection.MAX_TRIAL_REQUESTS
        peer_counts = self.peers.get(name, {})
        allowed = shares.next_share(
            MAX_IN_FLIGHT,
            own,
            own + sum(peer_counts.values()),
            1 + len(peer_counts),
            1 + self.known_peers,
        )
        return own < max(1.0, allowed)
