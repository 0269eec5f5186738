"""The facts that one node holds, and what of them is still to be told.

Each fact lives by its time to live on the local monotonic clock. An expired
or withdrawn fact leaves a tombstone with its version for a while. Without
it a node that was frozen, or cut off, would hand the old fact back after
thawing, and an endpoint long replaced would count as leaving again; with it
only a newer version of the fact is taken.

A fact is told a bounded number of times after it was learnt (its *sends*),
which spreads it in about log n rounds; what that misses is found by
comparing digests in rotation.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

URGENT_KINDS = frozenset(
    {
        peers.FactKind.LEAVING,
        peers.FactKind.CONFIG,
        peers.FactKind.QUARANTINE,
        peers.FactKind.ENGINE_LOST,
        peers.FactKind.NODE_SILENT,
    }
)
BULK_KINDS = frozenset({peers.FactKind.ENGINE_LOAD, peers.FactKind.ACCOUNT_USE})

MAX_TTL_S = 86_400.0
TOMBSTONE_S = 600.0
MAX_VERSION = 2**63

BEAT_BITS = 20
"""Low bits of a version that count heartbeats of the same value."""

MAX_GENERATION = (MAX_VERSION >> BEAT_BITS) - 1

FactId = tuple[peers.FactKind, str]


def generation(version: int) -> int:
    """Returns the part of a version that changes with the value."""
    return version >> BEAT_BITS


def version_of(generation_number: int) -> int:
    """Returns the first version of a generation."""
    return generation_number << BEAT_BITS


@dataclasses.dataclass(slots=True)
class Entry:
    """A held fact, or the tombstone of one.

    Attributes:
        value: Empty once withdrawn or expired.
        expires_at: Monotonic time until which the fact holds.
        forget_at: Monotonic time until which its version is remembered.
        heard_at: When its version last grew.
    """

    kind: peers.FactKind
    key: str
    version: int
    origin: str
    value: bytes
    expires_at: float
    forget_at: float
    heard_at: float

    @property
    def order(self) -> tuple[int, str]:
        """What decides which of two facts stands."""
        return (self.version, self.origin)

    def fact(self, now: float) -> peers.Fact:
        """Returns the fact as it is told at ``now``."""
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
    """Facts by kind and key, newest version each.

    Attributes:
        entries: All entries, tombstones too.
        by_kind: The same, by kind and key.
        hot: Entries still to be told, with the sends left, oldest first.
        beats: Nodes whose heartbeat is still to be told, likewise.
    """

    def __init__(self) -> None:
        self.entries: dict[FactId, Entry] = {}
        self.by_kind: dict[peers.FactKind, dict[str, Entry]] = {
            kind: {} for kind in peers.FactKind
        }
        self.hot: collections.OrderedDict[FactId, int] = (
            collections.OrderedDict()
        )
        self.beats: collections.OrderedDict[FactId, int] = (
            collections.OrderedDict()
        )
        self.rotation: collections.deque[FactId] = collections.deque()

    def get(self, kind: peers.FactKind, key: str) -> Entry | None:
        """Returns the entry, which may be a tombstone."""
        return self.entries.get((kind, key))

    def live(self, kind: peers.FactKind, now: float) -> Iterator[Entry]:
        """Yields entries of a kind that hold now."""
        for entry in self.by_kind[kind].values():
            if entry.value and now < entry.expires_at:
                yield entry

    def accept(self, fact: peers.Fact, now: float, sends: int) -> bool:
        """Takes a fact if it is newer than what is held.

        A fact of the same version is not taken again: its time to live
        counts from the first receipt, so that no version can be kept alive
        by passing it round.

        Args:
            fact: The fact; without a value it is a withdrawal.
            now: Monotonic time in seconds.
            sends: How often to tell it on.

        Returns:
            Whether it was taken.
        """
        if not is_sound(fact):
            return False
        identity = (fact.kind, fact.key)
        held = self.entries.get(identity)
        if held is not None and held.order >= (fact.version, fact.origin):
            return False
        expires_at = now + min(fact.ttl_s, MAX_TTL_S)
        if held is None:
            self.rotation.append(identity)
        entry = Entry(
            kind=fact.kind,
            key=fact.key,
            version=fact.version,
            origin=fact.origin,
            value=fact.value,
            expires_at=expires_at,
            forget_at=expires_at + TOMBSTONE_S,
            heard_at=now,
        )
        self.entries[identity] = entry
        self.by_kind[fact.kind][fact.key] = entry
        self.beats.pop(identity, None)
        self.hot[identity] = sends
        return True

    def beat(
        self, digest: peers.FactDigest, now: float, ttl_s: float, sends: int
    ) -> bool:
        """Takes a heartbeat: a newer version of the same value.

        Returns:
            Whether the digest is settled; if not, the fact itself is wanted.
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
        entry.forget_at = entry.expires_at + TOMBSTONE_S
        entry.heard_at = now
        identity = (digest.kind, digest.key)
        if identity not in self.hot:
            self.beats[identity] = sends
        return True

    def lacks(self, digest: peers.FactDigest) -> bool:
        """Returns whether the digest names something newer than held."""
        entry = self.entries.get((digest.kind, digest.key))
        if entry is None:
            return True
        return entry.order < (digest.version, digest.origin)

    def expire(self, now: float) -> list[Entry]:
        """Ends facts whose time is over; returns those that ended."""
        ended = []
        forgotten = []
        for identity, entry in self.entries.items():
            if now >= entry.forget_at:
                forgotten.append(identity)
            if entry.value and now >= entry.expires_at:
                entry.value = b""
                ended.append(entry)
        for identity in forgotten:
            self.forget(identity)
        for entry in ended:
            self.hot.pop((entry.kind, entry.key), None)
            self.beats.pop((entry.kind, entry.key), None)
        return ended

    def end(self, entry: Entry, version: int, origin: str, now: float) -> None:
        """Ends a fact because a newer version of it has ended."""
        entry.version = version
        entry.origin = origin
        entry.value = b""
        entry.expires_at = now
        entry.forget_at = now + TOMBSTONE_S
        self.hot.pop((entry.kind, entry.key), None)
        self.beats.pop((entry.kind, entry.key), None)

    def forget(self, identity: FactId) -> None:
        """Drops an entry and its tombstone."""
        del self.entries[identity]
        del self.by_kind[identity[0]][identity[1]]
        self.hot.pop(identity, None)
        self.beats.pop(identity, None)

    def told(self, identities: Iterable[FactId]) -> None:
        """Counts one send of each, and moves them behind the others."""
        for identity in identities:
            count_down(self.hot, identity)
            count_down(self.beats, identity)

    def next_in_rotation(self, count: int, now: float) -> list[Entry]:
        """Returns up to ``count`` entries; the next call goes on."""
        found: list[Entry] = []
        for _ in range(len(self.rotation)):
            if len(found) >= count:
                break
            identity = self.rotation.popleft()
            entry = self.entries.get(identity)
            if entry is None:
                continue
            self.rotation.append(identity)
            if now < entry.expires_at:
                found.append(entry)
        return found


def count_down(
    sends: collections.OrderedDict[FactId, int], identity: FactId
) -> None:
    """Takes one from the sends left; drops the entry at none."""
    left = sends.get(identity)
    if left is None:
        return
    if left <= 1:
        del sends[identity]
        return
    sends[identity] = left - 1
    sends.move_to_end(identity)


def is_sound(fact: peers.Fact) -> bool:
    """Returns whether the numbers of a fact make sense."""
    has_time = math.isfinite(fact.ttl_s) and fact.ttl_s > 0
    return has_time and 0 < fact.version < MAX_VERSION
