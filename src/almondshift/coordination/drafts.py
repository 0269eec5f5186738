"""Builds exchange messages within a byte limit.

Sizes are estimates of the uncompressed encoding. Compressed messages are
smaller, so a budget in estimated bytes also bounds the bytes really sent.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from almondshift.coordination import facts as fact_store
    from almondshift.coordination import send_queue

DIGEST_OVERHEAD_BYTES = 16
FACT_OVERHEAD_BYTES = 30
MESSAGE_OVERHEAD_BYTES = 64
"""Encoding overhead of a digest, a fact and a message, without keys, origins
and values; set higher than bench/exchange measured."""

MAX_DIGESTS = 100
"""Maximum rotated digests in a message; the byte limit applies as well."""


class ByteBudget:
    """A token bucket of bytes that limits what a node sends per second."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.available = burst
        self.updated_at = now

    def allowance(self, max_bytes: int, now: float) -> int:
        """Returns the size limit of the next message in bytes."""
        self.available = min(
            self.burst, self.available + self.rate * (now - self.updated_at)
        )
        self.updated_at = now
        return max(0, min(max_bytes, int(self.available)))

    def spend(self, count: int) -> None:
        """Deducts bytes that were sent."""
        self.available -= count


@dataclasses.dataclass(slots=True)
class Draft:
    """A message under construction, with a byte limit.

    Attributes:
        remaining: Bytes that may still be added.
        used: Bytes added so far.
        included: Facts not to add: already in the message, or just received
            from the peer.
        is_limited: Whether pending facts were left out for want of room.
    """

    remaining: int
    used: int = 0
    digests: list[peer_port.FactDigest] = dataclasses.field(
        default_factory=list
    )
    facts: list[peer_port.Fact] = dataclasses.field(default_factory=list)
    wants: list[peer_port.FactDigest] = dataclasses.field(default_factory=list)
    included: set[send_queue.FactId] = dataclasses.field(default_factory=set)
    is_limited: bool = False

    def consume(self, size: int) -> None:
        """Counts bytes as used."""
        self.remaining -= size
        self.used += size

    def add_fact(self, fact: peer_port.Fact) -> bool:
        """Adds a fact if it fits; returns False if there is no room."""
        identity = (fact.kind, fact.key)
        if identity in self.included:
            return True
        size = estimate_fact_bytes(fact)
        if size > self.remaining:
            return False
        self.consume(size)
        self.included.add(identity)
        self.facts.append(fact)
        return True

    def add_digest(self, digest: peer_port.FactDigest) -> bool:
        """Adds a digest if it fits; returns False if there is no room."""
        identity = (digest.kind, digest.key)
        if identity in self.included:
            return True
        size = estimate_digest_bytes(digest)
        if size > self.remaining:
            return False
        self.consume(size)
        self.included.add(identity)
        self.digests.append(digest)
        return True

    def add_want(self, digest: peer_port.FactDigest) -> bool:
        """Adds a request for a fact; returns False if there is no room."""
        size = estimate_digest_bytes(digest)
        if size > self.remaining:
            return False
        self.consume(size)
        self.wants.append(digest)
        return True


def deduct_transit_time(
    message: peer_port.Exchange, seconds: float
) -> peer_port.Exchange:
    """Returns the message with facts' times to live reduced by the delay."""
    aged_facts = tuple(
        dataclasses.replace(fact, ttl_s=fact.ttl_s - seconds)
        for fact in message.facts
    )
    return dataclasses.replace(message, facts=aged_facts)


def estimate_fact_bytes(fact: peer_port.Fact) -> int:
    """Returns the estimated size of a fact on the wire, in bytes."""
    origin = "" if fact.origin == fact.key else fact.origin
    return FACT_OVERHEAD_BYTES + len(fact.key) + len(origin) + len(fact.value)


def estimate_digest_bytes(digest: peer_port.FactDigest) -> int:
    """Returns the estimated size of a digest on the wire, in bytes."""
    origin = "" if digest.origin == digest.key else digest.origin
    return DIGEST_OVERHEAD_BYTES + len(digest.key) + len(origin)


def supersedes(
    entry: fact_store.Entry, digest: peer_port.FactDigest, now: float
) -> bool:
    """Returns whether an entry is newer than a digest, or equal but expired."""
    order = (digest.version, digest.origin)
    has_expired = now >= entry.expires_at
    return entry.order > order or (has_expired and entry.order == order)


def digest_of(fact: peer_port.Fact) -> peer_port.FactDigest:
    """Returns the digest of a fact."""
    return peer_port.FactDigest(fact.kind, fact.key, fact.version, fact.origin)
