"""Who the peers are, by the facts about nodes and what calls to them showed.

A node's fact lives as long as its heartbeat comes. One whose heartbeat stops
is suspect, then dropped; how long that takes grows with the number of nodes,
since each beats less often then.
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

LONGEST_HOLD_S = 600.0
"""A fact that says more was written by another release, or by mistake."""

MAX_REMEMBERED = 500
"""Addresses of dropped nodes that are kept, to find them again."""


class PeerTable:
    """What one node believes of the others.

    Attributes:
        failures: Calls failed in a row, by name.
        failed_at: When the last of them failed, by name.
        direct: When a peer last spoke to this node itself, by name.
        remembered: Addresses of dropped nodes, by name.
        parsed: Values of nodes' facts with their generation, by name.
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
        self.failed_at: dict[str, float] = {}
        self.direct: dict[str, float] = {}
        self.remembered: dict[str, str] = {}
        self.parsed: dict[str, tuple[int, peer_types.NodeValue | None]] = {}

    def size(self) -> int:
        """Returns the number of nodes known, this one included."""
        return max(1, len(self.parsed))

    def beat_s(self) -> float:
        """Returns the time between heartbeats at the present size."""
        return max(
            self.settings.interval_s, self.size() / self.settings.beats_per_s
        )

    def suspect_after_s(self) -> float:
        """Returns the silence after which a node is suspect."""
        beats = self.settings.silent_beats * self.beat_s()
        return beats + self.settings.spread_s

    def dropped_after_s(self) -> float:
        """Returns the silence after which a node is dropped."""
        beats = self.settings.dropped_beats * self.beat_s()
        return beats + self.settings.spread_s

    def holds_s(self, entry: fact_store.Entry) -> float:
        """Returns for how long a node's fact holds after each heartbeat."""
        return self.stated_hold_s(
            self.node_value(entry) if entry.value else None
        )

    def stated_hold_s(self, value: peer_types.NodeValue | None) -> float:
        """Returns the same by the value of the fact, if it makes sense."""
        if value is None or not 0.0 < value.holds_s <= LONGEST_HOLD_S:
            return self.dropped_after_s()
        return value.holds_s

    def peers(self) -> list[peer_types.PeerInfo]:
        """Returns all peers but this node, by name."""
        now = self.clock.monotonic()
        suspect_s = self.suspect_after_s()
        found = []
        for entry in self.store.live(peer_port.FactKind.NODE, now):
            value = self.node_value(entry)
            if value is None or entry.key == self.name:
                continue
            found.append(self.info(entry, value, now, suspect_s))
        found.sort(key=operator.attrgetter("name"))
        return found

    def info(
        self,
        entry: fact_store.Entry,
        value: peer_types.NodeValue,
        now: float,
        suspect_s: float,
    ) -> peer_types.PeerInfo:
        """Returns what is believed of one peer.

        Its silence counts from its last heartbeat, which its time to live
        tells, and not from when this node learnt of it: a node that starts
        after another died would give out the dead one's address for as long
        as it takes to call a peer silent.

        Args:
            entry: Its fact, which holds now.
            value: The value of that.
            now: Monotonic seconds.
            suspect_s: Silence after which a peer is suspect.
        """
        beat_at = entry.expires_at - self.stated_hold_s(value)
        heard_at = min(entry.heard_at, beat_at)
        heard_at = max(heard_at, self.direct.get(entry.key, -math.inf))
        return peer_types.PeerInfo(
            name=entry.key,
            peer_address=value.peer,
            entry_address=value.entry,
            zone=value.zone,
            state=self.state(entry.key, value, now - heard_at, now, suspect_s),
            heard_s=now - heard_at,
        )

    def state(
        self,
        name: str,
        value: peer_types.NodeValue,
        silent_s: float,
        now: float,
        suspect_s: float,
    ) -> peer_types.PeerState:
        """Returns the state of a peer that was silent for a time.

        Failed calls count until the peer is heard of again, by whatever way:
        in a large group it calls this node itself once in a minute, and a
        node that lives would stay suspect for so long.
        """
        if value.leaving:
            return peer_types.PeerState.LEAVING
        if self.failures.get(name, 0) >= self.settings.failed_calls:
            since_s = now - self.failed_at.get(name, -math.inf)
            if silent_s >= since_s:
                return peer_types.PeerState.SUSPECT
        if silent_s > suspect_s:
            return peer_types.PeerState.SUSPECT
        return peer_types.PeerState.ALIVE

    def node_value(
        self, entry: fact_store.Entry
    ) -> peer_types.NodeValue | None:
        """Returns the value of a node's fact, None if it makes no sense."""
        number = fact_store.generation(entry.version)
        known = self.parsed.get(entry.key)
        if known is not None and known[0] == number:
            return known[1]
        try:
            value = msgspec.json.decode(entry.value, type=peer_types.NodeValue)
        except msgspec.DecodeError:
            value = None
        self.parsed[entry.key] = (number, value)
        return value

    def heard_from(self, name: str, now: float) -> None:
        """Notes that a peer spoke to this node itself."""
        self.direct[name] = now
        self.failures.pop(name, None)
        self.failed_at.pop(name, None)

    def address_of(self, peer_name: str) -> str | None:
        """Returns the peer address of a node that is known."""
        entry = self.store.get(peer_port.FactKind.NODE, peer_name)
        if entry is None or not entry.value:
            return None
        value = self.node_value(entry)
        return None if value is None else value.peer

    def note_failure(self, name: str) -> None:
        """Counts a failed call to a peer."""
        self.failures[name] = self.failures.get(name, 0) + 1
        self.failed_at[name] = self.clock.monotonic()

    def is_suspect(self, name: str) -> bool:
        """Returns whether a peer is suspect, or not known."""
        now = self.clock.monotonic()
        entry = self.store.get(peer_port.FactKind.NODE, name)
        if entry is None or not entry.value or now >= entry.expires_at:
            return True
        value = self.node_value(entry)
        if value is None:
            return True
        state = self.info(entry, value, now, self.suspect_after_s()).state
        return state is peer_types.PeerState.SUSPECT

    def name_at(self, address: str) -> str:
        """Returns the name of the peer at an address, ``""`` if unknown."""
        now = self.clock.monotonic()
        for entry in self.store.live(peer_port.FactKind.NODE, now):
            value = self.node_value(entry)
            if value is not None and value.peer == address:
                return entry.key
        return ""

    def addresses(self, now: float) -> list[str]:
        """Returns the peer addresses of all peers, in no order."""
        found = []
        for entry in self.store.live(peer_port.FactKind.NODE, now):
            value = self.node_value(entry)
            if value is not None and entry.key != self.name:
                found.append(value.peer)
        return found

    def remember(self, name: str) -> None:
        """Keeps the address of a dropped node, to find it again.

        Without it two halves that lost each other for an hour would each
        drop the other and, with the platform away, never meet again.
        """
        known = self.parsed.pop(name, None)
        self.failures.pop(name, None)
        self.failed_at.pop(name, None)
        self.direct.pop(name, None)
        if known is not None and known[1] is not None:
            self.remembered[name] = known[1].peer
        while len(self.remembered) > MAX_REMEMBERED:
            del self.remembered[next(iter(self.remembered))]
