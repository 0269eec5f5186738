"""Exchange messages: filled within a number of bytes.

Sizes are estimates of the flat form; deflated messages are smaller, so that
a budget in estimated bytes keeps the real ones below it.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from almondshift.coordination import facts as fact_store

DIGEST_BYTES = 16
FACT_BYTES = 30
MESSAGE_BYTES = 64
"""Bytes beside texts and values; above what bench/exchange measured."""

MAX_DIGESTS = 100
"""Most rotated digests in any message; bytes bound them too."""


class ByteBudget:
    """A token bucket of bytes; bounds what a node sends a second."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.left = burst
        self.at = now

    def allowance(self, most: int, now: float) -> int:
        """Returns how many bytes the next message may have."""
        self.left = min(self.burst, self.left + self.rate * (now - self.at))
        self.at = now
        return max(0, min(most, int(self.left)))

    def spend(self, count: int) -> None:
        """Takes bytes that were sent."""
        self.left -= count


@dataclasses.dataclass(slots=True)
class Draft:
    """A message being filled within a number of bytes."""

    left: int
    used: int = 0
    digests: list[peer_port.FactDigest] = dataclasses.field(
        default_factory=list
    )
    facts: list[peer_port.Fact] = dataclasses.field(default_factory=list)
    wants: list[peer_port.FactDigest] = dataclasses.field(default_factory=list)
    named: set[fact_store.FactId] = dataclasses.field(default_factory=set)

    def take_bytes(self, size: int) -> None:
        """Counts bytes as used."""
        self.left -= size
        self.used += size

    def add_fact(self, fact: peer_port.Fact) -> bool:
        """Adds a fact if it fits; returns whether there was room."""
        identity = (fact.kind, fact.key)
        if identity in self.named:
            return True
        size = fact_bytes(fact)
        if size > self.left:
            return False
        self.take_bytes(size)
        self.named.add(identity)
        self.facts.append(fact)
        return True

    def add_digest(self, digest: peer_port.FactDigest) -> bool:
        """Adds a digest if it fits; returns whether there was room."""
        identity = (digest.kind, digest.key)
        if identity in self.named:
            return True
        size = digest_bytes(digest)
        if size > self.left:
            return False
        self.take_bytes(size)
        self.named.add(identity)
        self.digests.append(digest)
        return True

    def add_want(self, digest: peer_port.FactDigest) -> bool:
        """Asks for a fact if that fits."""
        size = digest_bytes(digest)
        if size > self.left:
            return False
        self.take_bytes(size)
        self.wants.append(digest)
        return True


def aged(message: peer_port.Exchange, seconds: float) -> peer_port.Exchange:
    """Takes the time on the way from the facts' times to live."""
    aged_facts = tuple(
        dataclasses.replace(fact, ttl_s=fact.ttl_s - seconds)
        for fact in message.facts
    )
    return dataclasses.replace(message, facts=aged_facts)


def fact_bytes(fact: peer_port.Fact) -> int:
    """Returns about how many bytes a fact takes on the wire."""
    origin = "" if fact.origin == fact.key else fact.origin
    return FACT_BYTES + len(fact.key) + len(origin) + len(fact.value)


def digest_bytes(digest: peer_port.FactDigest) -> int:
    """Returns about how many bytes a digest takes on the wire."""
    origin = "" if digest.origin == digest.key else digest.origin
    return DIGEST_BYTES + len(digest.key) + len(origin)


def knows_more(
    entry: fact_store.Entry, digest: peer_port.FactDigest, now: float
) -> bool:
    """Returns whether a held version is newer than a digest's, or ended."""
    order = (digest.version, digest.origin)
    has_ended = now >= entry.expires_at
    return entry.order > order or (has_ended and entry.order == order)


def digest_of(fact: peer_port.Fact) -> peer_port.FactDigest:
    """Returns the digest of a fact."""
    return peer_port.FactDigest(fact.kind, fact.key, fact.version, fact.origin)
