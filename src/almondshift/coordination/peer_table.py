"""The known peers and their state, from node facts and the outcome of calls.

A node's fact is valid as long as its heartbeats arrive. A node whose
heartbeats stop becomes suspect and is later dropped. How long that takes grows
with the number of nodes, since each then sends heartbeats less often.
"""

from __future__ import annotations

import math
import operator
from typing import TYPE_CHECKING

import msgspec

from almondshift.coordination import facts as fact_store
from almondshift.coordination import peer_types
from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from almondshift.ports import clocks

MAX_NODE_TTL_S = 600.0
"""A fact with a longer time to live comes from another release or an error."""

MAX_DROPPED_ADDRESSES = 500
"""Maximum addresses of dropped nodes kept in order to reconnect to them."""


class PeerTable:
    """One node's view of its peers.

    Attributes:
        failures: Consecutive failed calls, by name.
        last_failure_at: When the last of them failed, by name.
        last_contact_at: When a peer last communicated with this node
            directly, by name.
        dropped_addresses: Addresses of dropped nodes, by name.
        parsed_values: Values of node facts with their generation, by name.
    """

    def __init__(
        self,
        store: fact_store.FactStore,
        clock: clocks.Clock,
        name: str,
        settings: peer_types.MembershipSettings,
    ) -> None:
        self.store = store
        self.clock = clock
        self.name = name
        self.settings = settings
        self.failures: dict[str, int] = {}
        self.last_failure_at: dict[str, float] = {}
        self.last_contact_at: dict[str, float] = {}
        self.dropped_addresses: dict[str, str] = {}
        self.parsed_values: dict[
            str, tuple[int, peer_types.NodeValue | None]
        ] = {}

    def size(self) -> int:
        """Returns the number of known nodes, including this one."""
        return max(1, len(self.parsed_values))

    def heartbeat_interval_s(self) -> float:
        """Returns the time between heartbeats at the current group size."""
        return max(
            self.settings.interval_s,
            self.size() / self.settings.heartbeats_per_s,
        )

    def suspect_after_s(self) -> float:
        """Returns the silence after which a node is suspect."""
        missed_s = (
            self.settings.suspect_after_heartbeats * self.heartbeat_interval_s()
        )
        return missed_s + self.settings.propagation_s

    def dropped_after_s(self) -> float:
        """Returns the silence after which a node is dropped."""
        missed_s = (
            self.settings.drop_after_heartbeats * self.heartbeat_interval_s()
        )
        return missed_s + self.settings.propagation_s

    def heartbeat_ttl_s(self, entry: fact_store.Entry) -> float:
        """Returns how long a node's fact is valid after each heartbeat."""
        return self.published_ttl_s(
            self.node_value(entry) if entry.value else None
        )

    def published_ttl_s(self, value: peer_types.NodeValue | None) -> float:
        """Returns that time from the fact's value, or a default if invalid."""
        if value is None or not 0.0 < value.holds_s <= MAX_NODE_TTL_S:
            return self.dropped_after_s()
        return value.holds_s

    def peers(self) -> list[peer_types.PeerInfo]:
        """Returns all peers except this node, sorted by name."""
        now = self.clock.monotonic()
        suspect_s = self.suspect_after_s()
        found = []
        for entry in self.store.live(peer_port.FactKind.NODE, now):
            value = self.node_value(entry)
            if value is None or entry.key == self.name:
                continue
            found.append(self.peer_info(entry, value, now, suspect_s))
        found.sort(key=operator.attrgetter("name"))
        return found

    def overdue(self) -> list[str]:
        """Returns live peers that will be suspect soon, the latest first.

        Each is found in a round before it is suspect.
        """
        limit_s = (
            self.suspect_after_s()
            - self.settings.propagation_s
            - self.settings.interval_s / 2
        )
        found = [
            (peer.silence_s, peer.name)
            for peer in self.peers()
            if peer.state is peer_types.PeerState.ALIVE
            and peer.silence_s > limit_s
        ]
        return [name for _, name in sorted(found, reverse=True)]

    def peer_info(
        self,
        entry: fact_store.Entry,
        value: peer_types.NodeValue,
        now: float,
        suspect_s: float,
    ) -> peer_types.PeerInfo:
        """Returns this node's view of one peer.

        Its silence counts from its last heartbeat, computed from the fact's
        time to live, and not from when this node learned of it. Otherwise a
        node that starts after another died would give out the dead node's
        address until the full silence threshold had passed again.

        Args:
            entry: The peer's fact, which is valid now.
            value: The fact's value.
            now: Monotonic seconds.
            suspect_s: Silence after which a peer is suspect.
        """
        last_heartbeat_at = entry.expires_at - self.published_ttl_s(value)
        heard_at = min(entry.updated_at, last_heartbeat_at)
        heard_at = max(heard_at, self.last_contact_at.get(entry.key, -math.inf))
        return peer_types.PeerInfo(
            name=entry.key,
            peer_address=value.peer,
            entry_address=value.entry,
            zone=value.zone,
            state=self.peer_state(
                entry.key, value, now - heard_at, now, suspect_s
            ),
            silence_s=now - heard_at,
        )

    def peer_state(
        self,
        name: str,
        value: peer_types.NodeValue,
        silent_s: float,
        now: float,
        suspect_s: float,
    ) -> peer_types.PeerState:
        """Returns the state of a peer that has been silent for some time.

        Failed calls count until any sign of life from the peer, direct or
        through others: in a large group a peer calls this node only about
        once a minute, and a live node would stay suspect for that long.
        """
        if value.leaving:
            return peer_types.PeerState.LEAVING
        if self.failures.get(name, 0) >= self.settings.failed_calls:
            since_s = now - self.last_failure_at.get(name, -math.inf)
            if silent_s >= since_s:
                return peer_types.PeerState.SUSPECT
        if silent_s > suspect_s:
            return peer_types.PeerState.SUSPECT
        return peer_types.PeerState.ALIVE

    def node_value(
        self, entry: fact_store.Entry
    ) -> peer_types.NodeValue | None:
        """Returns the value of a node's fact; None if it can't be parsed."""
        number = fact_store.generation(entry.version)
        known = self.parsed_values.get(entry.key)
        if known is not None and known[0] == number:
            return known[1]
        try:
            value = msgspec.json.decode(entry.value, type=peer_types.NodeValue)
        except msgspec.DecodeError:
            value = None
        self.parsed_values[entry.key] = (number, value)
        return value

    def record_contact(self, name: str, now: float) -> None:
        """Records direct communication with a peer."""
        self.last_contact_at[name] = now
        self.failures.pop(name, None)
        self.last_failure_at.pop(name, None)

    def address_of(self, peer_name: str) -> str | None:
        """Returns the peer address of a node; None if it is not known."""
        entry = self.store.get(peer_port.FactKind.NODE, peer_name)
        if entry is None or not entry.value:
            return None
        value = self.node_value(entry)
        return None if value is None else value.peer

    def record_failure(self, name: str) -> None:
        """Records a failed call to a peer."""
        self.failures[name] = self.failures.get(name, 0) + 1
        self.last_failure_at[name] = self.clock.monotonic()

    def is_suspect(self, name: str) -> bool:
        """Returns whether a peer is suspect or not known."""
        now = self.clock.monotonic()
        entry = self.store.get(peer_port.FactKind.NODE, name)
        if entry is None or not entry.value or now >= entry.expires_at:
            return True
        value = self.node_value(entry)
        if value is None:
            return True
        state = self.peer_info(entry, value, now, self.suspect_after_s()).state
        return state is peer_types.PeerState.SUSPECT

    def name_of_address(self, address: str) -> str:
        """Returns the name of the peer at an address, ``""`` if unknown."""
        now = self.clock.monotonic()
        for entry in self.store.live(peer_port.FactKind.NODE, now):
            value = self.node_value(entry)
            if value is not None and value.peer == address:
                return entry.key
        return ""

    def addresses(self, now: float) -> list[str]:
        """Returns the peer addresses of all peers, in no particular order."""
        found = []
        for entry in self.store.live(peer_port.FactKind.NODE, now):
            value = self.node_value(entry)
            if value is not None and entry.key != self.name:
                found.append(value.peer)
        return found

    def keep_dropped_address(self, name: str) -> None:
        """Keeps the address of a dropped node in order to reconnect to it.

        Without it, the two sides of a network partition of an hour would
        drop each other and, with the platform down, never rejoin.
        """
        known = self.parsed_values.pop(name, None)
        self.failures.pop(name, None)
        self.last_failure_at.pop(name, None)
        self.last_contact_at.pop(name, None)
        if known is not None and known[1] is not None:
            self.dropped_addresses[name] = known[1].peer
        while len(self.dropped_addresses) > MAX_DROPPED_ADDRESSES:
            del self.dropped_addresses[next(iter(self.dropped_addresses))]
