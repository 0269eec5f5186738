"""What a node states, takes and withdraws, and who is told of changes."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from almondshift.coordination import facts as fact_store
from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from almondshift.coordination import peer_table
    from almondshift.ports import clocks

    Callback = Callable[[str, peer_port.Fact | None], None]

WITHDRAWN_S = 60.0
"""How long a withdrawal is told; longer than a round reaches everyone."""

logger = logging.getLogger(__name__)


class SharedFacts:
    """The facts that one node holds, with its subscribers.

    Attributes:
        store: The facts.
        wake: Set by a fact that is worth an extra round.
    """

    def __init__(
        self,
        store: fact_store.FactStore,
        table: peer_table.PeerTable,
        clock: clocks.Clock,
        max_value_bytes: int,
    ) -> None:
        self.store = store
        self.table = table
        self.clock = clock
        self.max_value_bytes = max_value_bytes
        self.wake = asyncio.Event()
        self.callbacks: dict[peer_port.FactKind, list[Callback]] = {}

    def publish(
        self, kind: peer_port.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        """States a fact; it ends after ``ttl_s`` unless stated again.

        Args:
            kind: What it is about.
            key: Unique in its kind.
            value: JSON text, not empty.
            ttl_s: Seconds for which it holds.

        Raises:
            ValueError: If the value is empty or too long to be exchanged;
                publish a reference and answer a question with the rest.
        """
        if not 0 < len(value) <= self.max_value_bytes:
            raise ValueError(f"a value of {len(value)} bytes for {kind} {key}")
        self.state(kind, key, value, ttl_s)

    def withdraw(self, kind: peer_port.FactKind, key: str) -> None:
        """Takes a fact back everywhere."""
        if self.store.get(kind, key) is not None:
            self.state(kind, key, b"", WITHDRAWN_S)

    def state(
        self, kind: peer_port.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        """Takes an own fact with a version over all that are known."""
        fact = peer_port.Fact(
            kind=kind,
            key=key,
            version=self.next_version(kind, key),
            origin=self.table.name,
            ttl_s=ttl_s,
            value=value,
        )
        self.take(fact, self.clock.monotonic())

    def next_version(self, kind: peer_port.FactKind, key: str) -> int:
        """Returns a version over the held one and over former lives.

        A restarted node remembers nothing. Its versions start from the
        wall clock, so that they stand over those of its former life; with
        a clock that went back, it learns the old version and goes over it.
        """
        started = int(self.clock.wall() * 1000)
        held = self.store.get(kind, key)
        if held is None:
            return fact_store.version_of(started)
        following = fact_store.generation(held.version) + 1
        return fact_store.version_of(max(started, following))

    def facts(self, kind: peer_port.FactKind) -> Mapping[str, peer_port.Fact]:
        """Returns the facts of a kind that hold now, by key."""
        now = self.clock.monotonic()
        return {e.key: e.fact(now) for e in self.store.live(kind, now)}

    def subscribe(self, kind: peer_port.FactKind, callback: Callback) -> None:
        """Calls back with key and fact on each change.

        The fact is None when it ended, by withdrawal or by time.
        Heartbeats are no changes.
        """
        self.callbacks.setdefault(kind, []).append(callback)

    def tell(
        self, kind: peer_port.FactKind, key: str, fact: peer_port.Fact | None
    ) -> None:
        """Tells the subscribers of a change.

        A subscriber that fails on one fact must not end the exchange that
        brought it: with it would end all news from that peer, leaving and
        configuration included.
        """
        for callback in self.callbacks.get(kind, ()):
            try:
                callback(key, fact)
            except Exception:
                logger.exception("a subscriber failed on %s %s", kind, key)

    def take(self, fact: peer_port.Fact, now: float) -> bool:
        """Takes a fact if it is news; returns whether it was."""
        if not self.store.accept(fact, now, self.sends(fact.kind)):
            return False
        if self.is_urgent(fact):
            self.wake.set()
        self.tell(fact.kind, fact.key, fact if fact.value else None)
        return True

    def is_urgent(self, fact: peer_port.Fact) -> bool:
        """Returns whether a fact is worth an extra round.

        A node that goes is: callers and peers still use its address.
        """
        if fact.kind is not peer_port.FactKind.NODE:
            return fact.kind in fact_store.URGENT_KINDS
        if not fact.value:
            self.table.parsed.pop(fact.key, None)
            return True
        entry = self.store.entries[(fact.kind, fact.key)]
        value = self.table.node_value(entry)
        return value is not None and value.leaving

    def sends(self, kind: peer_port.FactKind) -> int:
        """Returns how often a fact is told on by each node.

        With log2 n + 2 sends by each who learns it, the share of nodes
        that miss it is below one in n; digests find those. Other kinds are
        told less often: a node that misses a fact about a node learns of it
        by the next heartbeat, and loads are stated anew.
        """
        if kind not in fact_store.URGENT_KINDS:
            return 3
        return math.ceil(math.log2(self.table.size() + 1)) + 2

    def has_urgent_facts(self) -> bool:
        """Returns whether urgent facts are still to be told.

        With one extra round by each node that learns of a fact, a fifth of
        the nodes miss it until their next regular round.
        """
        return any(k in fact_store.URGENT_KINDS for k, _ in self.store.hot)

    def expire(self, now: float) -> None:
        """Ends facts whose time is over and tells the subscribers."""
        for entry in self.store.expire(now):
            if entry.kind is peer_port.FactKind.NODE:
                self.table.remember(entry.key)
            self.tell(entry.kind, entry.key, None)
