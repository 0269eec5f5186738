"""The facts that one node holds, and which of them are still to be sent.

Each fact expires by its time to live on the local monotonic clock. An expired
or withdrawn fact leaves a tombstone with its version for a while, so that
only a newer version is accepted. Without it, a node that was frozen or
partitioned would bring the old fact back, and an endpoint replaced long ago
would count as leaving again.

After a node learns a fact, it forwards it a bounded number of times (its
*sends*), which spreads the fact in about log n rounds. Facts that are missed
are found by comparing digests in rotation (anti-entropy).
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from almondshift.coordination import digest_rotation
from almondshift.coordination import send_queue
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

MAX_TTL_S = 86_400.0
TOMBSTONE_S = 600.0

MAX_VERSION = 2**63

HEARTBEAT_BITS = 20
"""Low bits of a version, which count heartbeats with the same value."""

MAX_GENERATION = (MAX_VERSION >> HEARTBEAT_BITS) - 1


def generation(version: int) -> int:
    """Returns the part of a version that changes with the value."""
    return version >> HEARTBEAT_BITS


def first_version_of(generation_number: int) -> int:
    """Returns the first version of a generation."""
    return generation_number << HEARTBEAT_BITS


@dataclasses.dataclass(slots=True)
class Entry:
    """A held fact, or the tombstone of one.

    Attributes:
        value: Empty once withdrawn or expired.
        expires_at: Monotonic time until which the fact is valid.
        purge_at: Monotonic time until which its version is kept.
        updated_at: Monotonic time at which its version last increased.
        accepted_at: Monotonic time at which its value was accepted.
        is_sent: Whether this node has sent it.
    """

    kind: peers.FactKind
    key: str
    version: int
    origin: str
    value: bytes
    expires_at: float
    purge_at: float
    updated_at: float
    accepted_at: float
    is_sent: bool = False

    @property
    def order(self) -> tuple[int, str]:
        """Sort key by which the newer of two facts wins."""
        return (self.version, self.origin)

    def fact(self, now: float) -> peers.Fact:
        """Returns the fact to send at ``now``."""
        return peers.Fact(
            kind=self.kind,
            key=self.key,
            version=self.version,
            origin=self.origin,
            ttl_s=self.expires_at - now,
            value=self.value,
        )

    def digest(self) -> peers.FactDigest:
        """Returns the digest of the fact."""
        return peers.FactDigest(self.kind, self.key, self.version, self.origin)


class FactStore:
    """The newest version of each fact, by kind and key.

    Attributes:
        entries: All entries, including tombstones.
        by_kind: The same entries, by kind and key.
        pending_facts: Entries to send.
        pending_heartbeats: Nodes whose heartbeat is to be sent.
        rotation: Entries whose digests are offered.
    """

    def __init__(self) -> None:
        self.entries: dict[send_queue.FactId, Entry] = {}
        self.by_kind: dict[peers.FactKind, dict[str, Entry]] = {
            kind: {} for kind in peers.FactKind
        }
        self.pending_facts = send_queue.PendingFacts()
        self.pending_heartbeats = send_queue.SendQueue()
        self.rotation = digest_rotation.DigestRotation()

    def get(self, kind: peers.FactKind, key: str) -> Entry | None:
        """Returns the entry, which may be a tombstone."""
        return self.entries.get((kind, key))

    def live(self, kind: peers.FactKind, now: float) -> Iterator[Entry]:
        """Yields the entries of a kind that are valid now."""
        for entry in self.by_kind[kind].values():
            if entry.value and now < entry.expires_at:
                yield entry

    def accept(self, fact: peers.Fact, now: float, sends: int) -> bool:
        """Accepts a fact if it is newer than the one held.

        A fact of the same version is not accepted again: its time to live
        counts from the first receipt, so that no version is kept alive by
        circulating it.

        Args:
            fact: The fact; without a value it is a withdrawal.
            now: Monotonic time in seconds.
            sends: How many times to forward it.

        Returns:
            Whether it was accepted.
        """
        if not is_valid(fact):
            return False
        identity = (fact.kind, fact.key)
        held = self.entries.get(identity)
        if held is not None and held.order >= (fact.version, fact.origin):
            return False
        expires_at = now + min(fact.ttl_s, MAX_TTL_S)
        if held is None:
            self.rotation.add(identity)
        is_refresh = self.is_refresh(fact, now)
        entry = Entry(
            kind=fact.kind,
            key=fact.key,
            version=fact.version,
            origin=fact.origin,
            value=fact.value,
            expires_at=expires_at,
            purge_at=expires_at + TOMBSTONE_S,
            updated_at=now,
            accepted_at=now,
        )
        self.entries[identity] = entry
        self.by_kind[fact.kind][fact.key] = entry
        self.pending_heartbeats.discard(identity)
        if is_refresh:
            self.pending_facts.add_refresh(identity, sends)
            return True
        self.pending_facts.add(identity, sends)
        priority = self.pending_facts.priority_of(identity)
        if priority is send_queue.Priority.NOTICE:
            self.rotation.note_accepted(identity, now)
        return True

    def is_refresh(self, fact: peers.Fact, now: float) -> bool:
        """Returns whether a fact only extends the one held."""
        held = self.entries.get((fact.kind, fact.key))
        return (
            held is not None
            and fact.kind in send_queue.URGENT_KINDS
            and bool(fact.value)
            and held.value == fact.value
            and now < held.expires_at
        )

    def apply_heartbeat(
        self, digest: peers.FactDigest, now: float, ttl_s: float, sends: int
    ) -> bool:
        """Applies a heartbeat: a newer version of the same value.

        Returns:
            True if the digest needs no more handling; False if the fact
            itself may have to be requested.
        """
        entry = self.entries.get((digest.kind, digest.key))
        if entry is None:
            return False
        if entry.order >= (digest.version, digest.origin):
            return True
        is_same = generation(entry.version) == generation(digest.version)
        is_live = bool(entry.value) and now < entry.expires_at
        if not (is_same and is_live and entry.origin == digest.origin):
            return False
        entry.version = digest.version
        entry.expires_at = now + ttl_s
        entry.purge_at = entry.expires_at + TOMBSTONE_S
        entry.updated_at = now
        identity = (digest.kind, digest.key)
        if identity not in self.pending_facts:
            self.pending_heartbeats.add(identity, sends)
        return True

    def is_missing(self, digest: peers.FactDigest) -> bool:
        """Returns whether the digest is newer than the fact held."""
        entry = self.entries.get((digest.kind, digest.key))
        if entry is None:
            return True
        return entry.order < (digest.version, digest.origin)

    def expire(self, now: float) -> list[Entry]:
        """Expires facts and purges tombstones; returns the expired facts."""
        expired = []
        purged = []
        for identity, entry in self.entries.items():
            if now >= entry.purge_at:
                purged.append(identity)
            if entry.value and now >= entry.expires_at:
                entry.value = b""
                expired.append(entry)
        for identity in purged:
            self.purge(identity)
        for entry in expired:
            self.pending_facts.discard((entry.kind, entry.key))
            self.pending_heartbeats.discard((entry.kind, entry.key))
        return expired

    def expire_entry(
        self, entry: Entry, version: int, origin: str, now: float
    ) -> None:
        """Expires a fact because a newer version of it has expired."""
        entry.version = version
        entry.origin = origin
        entry.value = b""
        entry.expires_at = now
        entry.purge_at = now + TOMBSTONE_S
        self.pending_facts.discard((entry.kind, entry.key))
        self.pending_heartbeats.discard((entry.kind, entry.key))

    def purge(self, identity: send_queue.FactId) -> None:
        """Removes an entry or a tombstone."""
        del self.entries[identity]
        del self.by_kind[identity[0]][identity[1]]
        self.pending_facts.discard(identity)
        self.pending_heartbeats.discard(identity)

    def record_sends(self, identities: Iterable[send_queue.FactId]) -> None:
        """Counts one send of each."""
        for identity in identities:
            self.pending_facts.record_send(identity)
            self.pending_heartbeats.record_send(identity)

    def next_in_rotation(self, count: int, now: float) -> list[Entry]:
        """Returns up to ``count`` live entries, each in turn."""
        found = self.rotation.take(
            count,
            now,
            self.entries.__contains__,
            lambda identity: self.is_live(identity, now),
        )
        return [self.entries[identity] for identity in found]

    def is_live(self, identity: send_queue.FactId, now: float) -> bool:
        """Returns whether a fact is held and valid now."""
        entry = self.entries.get(identity)
        return entry is not None and now < entry.expires_at


def is_valid(fact: peers.Fact) -> bool:
    """Returns whether the version and time to live are in range."""
    has_time = math.isfinite(fact.ttl_s) and fact.ttl_s > 0
    return has_time and 0 < fact.version < MAX_VERSION
