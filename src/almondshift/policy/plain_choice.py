"""Choice of an endpoint of a plain service.

Load pattern: a few small servers behind several nodes, one of them slower or
busier. Taking turns queues behind the busy one. Grounds: the less busy of
few random ones, as for engines (``pools``). A plain service says nothing of
its capacity, so the bound on requests in flight is a figure that any small
server stands, 64, divided by ``shares`` between the nodes; what exceeds it
waits here, in the fair queue, where it can be refused.
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

IN_FLIGHT = 64.0


class PlainChooser:
    """Keeps what is in flight on plain endpoints and chooses one."""

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
        """Returns an endpoint with room, or None."""
        names = [
            name
            for name in self.topology.plain.get(service, {})
            if name not in avoid and self._has_room(name, service)
        ]
        if not names:
            return None
        drawn = self.rng.sample(names, min(len(names), pools.DRAWN))
        return min(drawn, key=self._busy)

    def started(self, name: str) -> None:
        """Notes a request sent to an endpoint."""
        self.own[name] += 1

    def ended(self, name: str) -> None:
        """Notes that it ended."""
        self.own[name] -= 1
        if self.own[name] <= 0:
            del self.own[name]

    def peer_in_flight(
        self, node: str, before: dict[str, int], now: dict[str, int]
    ) -> None:
        """Takes what a peer has in flight in place of what it had."""
        for names in self.topology.plain.values():
            for name in names.keys() & before.keys():
                self.peers.get(name, {}).pop(node, None)
            for name in names.keys() & now.keys():
                self.peers.setdefault(name, {})[node] = now[name]

    def _busy(self, name: str) -> float:
        load = self.own[name] + sum(self.peers.get(name, {}).values())
        return (load + 1) * self.health.slowness(name)

    def _has_room(self, name: str, service: str) -> bool:
        self.health.place(name, ("plain", service))
        state = self.health.state(name)
        if state is ejection.State.OUT:
            return False
        own = self.own[name]
        if state is ejection.State.TRIAL:
            return own < ejection.TRIAL_REQUESTS
        users = self.peers.get(name, {})
        allowed = shares.next_share(
            IN_FLIGHT,
            own,
            own + sum(users.values()),
            1 + len(users),
            1 + self.known_peers,
        )
        return own < max(1.0, allowed)
