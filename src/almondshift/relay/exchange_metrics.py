"""Metrics of the exchange of facts between nodes."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import prometheus_client

from almondshift.ports import exchange_observers
from almondshift.ports import peers

if TYPE_CHECKING:
    from almondshift.coordination import membership

WAIT_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
"""Histogram bounds in seconds."""


class ExchangeMetrics(exchange_observers.ExchangeObserver):
    """Counts the facts that this node exchanges with its peers."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.sent = prometheus_client.Counter(
            "almondshift_relay_facts_sent",
            "Facts sent to peers, by kind.",
            ["kind"],
            registry=registry,
        )
        self.repeated = prometheus_client.Counter(
            "almondshift_relay_facts_repeated",
            "Facts from peers that this node already held, by kind.",
            ["kind"],
            registry=registry,
        )
        self.wait_seconds = prometheus_client.Histogram(
            "almondshift_relay_fact_wait_seconds",
            "From when this node learned a fact until it first sent it.",
            ["kind"],
            buckets=WAIT_BUCKETS,
            registry=registry,
        )
        self.limited = prometheus_client.Counter(
            "almondshift_relay_exchange_limited",
            "Messages to peers that left out facts for want of room.",
            registry=registry,
        )
        self.pending = prometheus_client.Gauge(
            "almondshift_relay_facts_pending",
            "Facts that this node has still to send, by kind.",
            ["kind"],
            registry=registry,
        )

    def fact_sent(self, kind: peers.FactKind, waited_s: float | None) -> None:
        """Records that a fact was sent."""
        self.sent.labels(kind.value).inc()
        if waited_s is not None:
            self.wait_seconds.labels(kind.value).observe(waited_s)

    def fact_repeated(self, kind: peers.FactKind) -> None:
        """Records that a peer sent a fact that this node already held."""
        self.repeated.labels(kind.value).inc()

    def message_limited(self) -> None:
        """Records that facts were left out of a message for want of room."""
        self.limited.inc()

    def update_pending(self, members: membership.Membership) -> None:
        """Counts the facts that are still to be sent."""
        counts = collections.Counter(k for k, _ in members.store.pending_facts)
        for kind in peers.FactKind:
            self.pending.labels(kind.value).set(counts[kind])
