"""Publishes, merges and withdraws facts, and notifies subscribers."""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from almondshift.coordination import facts as fact_store
from almondshift.coordination import send_queue
from almondshift.ports import peers as peer_port

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from almondshift.coordination import peer_table
    from almondshift.ports import clocks

    Callback = Callable[[str, peer_port.Fact | None], None]

WITHDRAWAL_TTL_S = 60.0
"""Time to live of a withdrawal; longer than it takes to reach all nodes."""

REPAIRED_SENDS = 3
"""How many times each node forwards a fact that some may miss for a while."""

logger = logging.getLogger(__name__)


class SharedFacts:
    """The facts that one node holds, with their subscribers.

    Attributes:
        store: The facts.
        wake: Set by a fact that justifies an extra round.
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
        """Publishes a fact; it expires after ``ttl_s`` unless republished.

        Args:
            kind: What the fact is about.
            key: Unique within its kind.
            value: JSON text, not empty.
            ttl_s: Seconds for which the fact is valid.

        Raises:
            ValueError: If the value is empty or too long to be exchanged;
                publish a reference instead and let peers ask for the rest.
        """
        if not 0 < len(value) <= self.max_value_bytes:
            raise ValueError(
                f"value of {len(value)} bytes for {kind} {key}, must be 1 to "
                f"{self.max_value_bytes}"
            )
        self.store_own_fact(kind, key, value, ttl_s)

    def withdraw(self, kind: peer_port.FactKind, key: str) -> None:
        """Withdraws a fact on all nodes."""
        if self.store.get(kind, key) is not None:
            self.store_own_fact(kind, key, b"", WITHDRAWAL_TTL_S)

    def store_own_fact(
        self, kind: peer_port.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        """Stores an own fact with a version above all known ones."""
        fact = peer_port.Fact(
            kind=kind,
            key=key,
            version=self.next_version(kind, key),
            origin=self.table.name,
            ttl_s=ttl_s,
            value=value,
        )
        self.merge(fact, self.clock.monotonic())

    def next_version(self, kind: peer_port.FactKind, key: str) -> int:
        """Returns a version above the held one and those before a restart.

        A restarted node has no state. Its versions start from the wall clock,
        so that they exceed those from before the restart. If the clock went
        back, the node learns the old version and uses a higher one.
        """
        wall_ms = int(self.clock.wall() * 1000)
        held = self.store.get(kind, key)
        if held is None:
            return fact_store.first_version_of(wall_ms)
        following = fact_store.generation(held.version) + 1
        return fact_store.first_version_of(max(wall_ms, following))

    def facts(self, kind: peer_port.FactKind) -> Mapping[str, peer_port.Fact]:
        """Returns the facts of a kind that are valid now, by key."""
        now = self.clock.monotonic()
        return {e.key: e.fact(now) for e in self.store.live(kind, now)}

    def subscribe(self, kind: peer_port.FactKind, callback: Callback) -> None:
        """Registers a callback for changes, called with key and fact.

        The fact is None if it was withdrawn or has expired. Heartbeats are
        not reported.
        """
        self.callbacks.setdefault(kind, []).append(callback)

    def notify_subscribers(
        self, kind: peer_port.FactKind, key: str, fact: peer_port.Fact | None
    ) -> None:
        """Notifies the subscribers of a change.

        A subscriber that fails on one fact must not abort the exchange that
        delivered it: all other facts from that peer would be lost too,
        including leaving endpoints and configuration.
        """
        for callback in self.callbacks.get(kind, ()):
            try:
                callback(key, fact)
            except Exception:
                logger.exception("fact subscriber failed for %s %s", kind, key)

    def merge(self, fact: peer_port.Fact, now: float) -> bool:
        """Merges a fact if it is newer; returns whether it was."""
        is_refresh = self.store.is_refresh(fact, now)
        sends = REPAIRED_SENDS if is_refresh else self.send_limit(fact.kind)
        if not self.store.accept(fact, now, sends):
            return False
        if not is_refresh and self.is_urgent(fact):
            self.wake.set()
        self.notify_subscribers(
            fact.kind, fact.key, fact if fact.value else None
        )
        return True

    def is_urgent(self, fact: peer_port.Fact) -> bool:
        """Returns whether a fact justifies an extra round.

        A leaving node does: callers and peers still use its address.
        """
        if fact.kind is not peer_port.FactKind.NODE:
            return fact.kind in send_queue.URGENT_KINDS
        if not fact.value:
            self.table.parsed_values.pop(fact.key, None)
            return True
        entry = self.store.entries[(fact.kind, fact.key)]
        value = self.table.node_value(entry)
        return value is not None and value.leaving

    def send_limit(self, kind: peer_port.FactKind) -> int:
        """Returns how many times each node forwards a fact.

        If each node that learns an urgent fact sends it log2 n + 2 times,
        fewer than one node in n misses it; digests repair those. Other kinds
        are sent less often: a node that misses a fact about a node learns of
        it from that node's next heartbeat, and loads are republished
        regularly.
        """
        if kind not in send_queue.URGENT_KINDS:
            return REPAIRED_SENDS
        return math.ceil(math.log2(self.table.size() + 1)) + 2

    def has_urgent_facts(self) -> bool:
        """Returns whether urgent facts are still to be sent.

        With only one extra round by each node that learns of a fact, a fifth
        of the nodes miss it until their next regular round.
        """
        return self.store.pending_facts.has_urgent()

    def expire(self, now: float) -> None:
        """Expires facts and notifies the subscribers."""
        for entry in self.store.expire(now):
            if entry.kind is peer_port.FactKind.NODE:
                self.table.keep_dropped_address(entry.key)
            self.notify_subscribers(entry.kind, entry.key, None)
