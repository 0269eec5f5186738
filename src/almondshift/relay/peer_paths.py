"""Chooses the peers that serve requests for a node without endpoints.

A node that has lost its links to all endpoints, or to most of a service, still
gets requests: callers keep its address for seconds, and all nodes of a zone may
have lost theirs. So it passes them to peers that reach endpoints. A peer serves
such a request like its own, but never passes it on to a third node.

Isolated nodes tell all peers, so that nobody passes requests to them. A peer
that did not respond is left out for a while. One that refused a request for
lack of room is not, since it may accept the next one, as it does from its own
callers.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

from almondshift.ports import peers

if TYPE_CHECKING:
    import random

    from almondshift.coordination import peer_types
    from almondshift.policy import endpoint_choice
    from almondshift.policy import engine_tracker
    from almondshift.policy import isolation
    from almondshift.ports import clocks
    from almondshift.ports import peer_entries
    from almondshift.relay import catalogue
    from almondshift.relay import group as relay_group

FACT_PREFIX = "isolated/"
"""Prefix of the keys of facts about isolated nodes. They share the kind of
facts about lost engines: nodes of earlier releases ignore unknown keys of that
kind, while they reject messages with an unknown kind."""

FACT_TTL_S = 12.0
REPUBLISH_S = 2.0
"""Interval between publications of an isolated node, in seconds."""

FAILED_S = 1.0
"""Time for which a peer that did not respond is left out, in seconds."""

SERVED_TTL_S = 2.0
"""Time for which it is remembered that a peer served a request, in seconds."""

LOST_SHARE = 0.5
"""Share of a service's endpoints that this node can't reach from which its
requests may be passed to peers."""

LOST_SHARE_TTL_S = 0.1
"""Time for which that share is cached, in seconds; counting takes long in a
large fleet."""


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedShare:
    lost: float
    until: float
    failure_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStates:
    """Numbers of peers by what they can do for a service.

    Attributes:
        isolated: Peers that announced that they are isolated from it.
        left_out: Others that lately failed to serve a request.
        others: All others.
    """

    isolated: int
    left_out: int
    others: int


class PeerPaths:
    """Peers that may serve requests, and the requests passed to them.

    Attributes:
        group: The other nodes; None before this node has joined them.
        in_flight: Requests of this node that a peer serves, by its name.
        failed_until: Monotonic time until which a peer is left out.
        isolated_until: Monotonic time until which a peer counts as isolated,
            by service and the peer's name.
        served_at: Monotonic time at which a peer last served a request of this
            node, by service and the peer's name.
        announced: Services that this node announced to be isolated from, with
            the monotonic time of the next announcement.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        registry: catalogue.Catalogue,
        tracker: engine_tracker.EngineTracker,
        endpoints: endpoint_choice.EndpointChooser,
        links: isolation.ServiceLinks,
        entries: peer_entries.PeerEntries,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.catalogue = registry
        self.tracker = tracker
        self.endpoints = endpoints
        self.links = links
        self.entries = entries
        self.group: relay_group.Group | None = None
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.failed_until: dict[str, float] = {}
        self.isolated_until: dict[str, float] = {}
        self.served_at: dict[str, float] = {}
        self.announced: dict[str, float] = {}
        self.cached_shares: dict[str, _CachedShare] = {}

    def join(self, node_group: relay_group.Group) -> None:
        """Starts to exchange with peers which nodes are isolated."""
        self.group = node_group
        node_group.subscribe_facts(peers.FactKind.ENGINE_LOST, self.handle_fact)

    def handle_fact(self, key: str, fact: peers.Fact | None) -> None:
        """Handles a peer's fact that it is isolated from a service."""
        name = key.removeprefix(FACT_PREFIX)
        if name == key:
            return
        if fact is None:
            self.isolated_until.pop(name, None)
        else:
            self.isolated_until[name] = self.clock.monotonic() + fact.ttl_s

    def announce(self) -> None:
        """Tells peers for which services they should not count on this node.

        These are services of which it reaches too few endpoints itself. Called
        periodically, and after a change.
        """
        if self.group is None:
            return
        now = self.clock.monotonic()
        kind = peers.FactKind.ENGINE_LOST
        for service in self.links.by_service:
            key = FACT_PREFIX + peer_key(service, self.group.name)
            if not self.lacks_endpoints(service):
                if self.announced.pop(service, None) is not None:
                    self.group.withdraw_fact(kind, key)
            elif now >= self.announced.get(service, 0.0):
                self.announced[service] = now + REPUBLISH_S
                self.group.publish_fact(kind, key, b'"isolated"', FACT_TTL_S)

    def is_isolated(self, service: str, peer: str) -> bool:
        """Returns whether a peer announced that it is isolated."""
        until = self.isolated_until.get(peer_key(service, peer))
        return until is not None and until > self.clock.monotonic()

    def isolated_nodes(self, service: str) -> int:
        """Returns how many nodes, this one included, reach no endpoint."""
        own = int(self.links.is_isolated(service))
        if self.group is None or not self.isolated_until:
            return own
        return own + sum(
            self.is_isolated(service, peer.name)
            for peer in self.group.serving()
        )

    def lacks_endpoints(self, service: str) -> bool:
        """Returns whether peers may reach more endpoints of a service."""
        if self.links.is_isolated(service):
            return True
        return self.recent_lost_share(service) >= LOST_SHARE

    def recent_lost_share(self, service: str) -> float:
        """Returns ``lost_share`` as of a moment ago."""
        now = self.clock.monotonic()
        cached = self.cached_shares.get(service)
        failure_count = self.links.of(service).failure_count
        if (
            cached is None
            or cached.until <= now
            or cached.failure_count != failure_count
        ):
            lost = self.lost_share(service, now)
            cached = _CachedShare(lost, now + LOST_SHARE_TTL_S, failure_count)
            self.cached_shares[service] = cached
        return cached.lost

    def is_cut_off(self, service: str) -> bool:
        """Returns whether a peer probably reaches a service that this can't.

        Then the service's endpoints are not dead, only out of reach.
        """
        now = asyncio.get_running_loop().time()
        seems_lost = self.links.of(service).is_link_suspect(now)
        if not seems_lost and not self.lacks_endpoints(service):
            return False
        return self.choose(service, frozenset()) is not None

    def lost_share(self, service: str, now: float) -> float:
        """Returns the share of a service's endpoints that seem unreachable."""
        known = [e for e in self.catalogue.of_service(service) if not e.leaving]
        if not known:
            return 0.0
        lost = sum(
            self.tracker.is_suspect(e.instance)
            or self.endpoints.is_unreachable(e.instance, now)
            for e in known
        )
        return lost / len(known)

    def choose(
        self, service: str, tried: frozenset[str]
    ) -> peer_types.PeerInfo | None:
        """Returns a peer that probably reaches a service, or None.

        The less busy one of two random peers, by this node's own requests.
        """
        if self.group is None:
            return None
        now = self.clock.monotonic()
        usable = [
            peer
            for peer in self.group.advertised()
            if peer.name not in tried
            and not self.is_isolated(service, peer.name)
            and self.failed_until.get(peer.name, 0.0) <= now
        ]
        if not usable:
            return None
        sample = self.rng.sample(usable, min(2, len(usable)))
        return min(sample, key=lambda peer: self.in_flight[peer.name])

    def states(self, service: str) -> PeerStates:
        """Returns how many peers could serve a service's requests."""
        known = self.group.advertised() if self.group is not None else []
        now = self.clock.monotonic()
        isolated = sum(self.is_isolated(service, peer.name) for peer in known)
        left_out = sum(
            not self.is_isolated(service, peer.name)
            and self.failed_until.get(peer.name, 0.0) > now
            for peer in known
        )
        return PeerStates(isolated, left_out, len(known) - isolated - left_out)

    def note_failed(self, peer: str) -> None:
        """Leaves out a peer that did not respond, or not as it should."""
        self.failed_until[peer] = self.clock.monotonic() + FAILED_S

    def note_unreached(self, service: str, peer: str) -> None:
        """Leaves out a peer that said that it can't serve a service now."""
        key = peer_key(service, peer)
        until = self.clock.monotonic() + FAILED_S
        self.isolated_until[key] = max(
            until, self.isolated_until.get(key, until)
        )

    def note_served(self, service: str, peer: str) -> None:
        """Records that a peer served a request to a service."""
        now = self.clock.monotonic()
        self.served_at = {
            key: at
            for key, at in self.served_at.items()
            if now - at < SERVED_TTL_S
        }
        self.served_at[peer_key(service, peer)] = now

    def served_s(self, service: str, peer: str) -> float | None:
        """Returns the seconds since a peer served a request; None for never."""
        served_at = self.served_at.get(peer_key(service, peer))
        if served_at is None:
            return None
        return round(self.clock.monotonic() - served_at, 3)

    def started(self, peer: str) -> None:
        """Records that a request was passed to a peer."""
        self.in_flight[peer] += 1

    def ended(self, peer: str) -> None:
        """Records that a request passed to a peer ended."""
        self.in_flight[peer] -= 1
        if self.in_flight[peer] <= 0:
            del self.in_flight[peer]


def peer_key(service: str, peer: str) -> str:
    """Returns the key of facts about a peer and a service."""
    return f"{service}/{peer}"
