"""Metrics and log events of relayed requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import prometheus_client

from almondshift import log_events

if TYPE_CHECKING:
    from almondshift.policy import buffer_budget

SECONDS_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
"""Histogram bounds; they include common objectives (0.1 to 0.5 s) and time
limits."""

logger = logging.getLogger(__name__)


class RelayObserver:
    """Records metrics and log events of requests."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.registry = registry
        self.ended = prometheus_client.Counter(
            "almondshift_relayed",
            "Relayed requests ended, by outcome.",
            ["kind"],
            registry=registry,
        )
        self.attempts = prometheus_client.Counter(
            "almondshift_relay_attempts",
            "Requests sent to endpoints, by what came of it.",
            ["outcome"],
            registry=registry,
        )
        self.not_run = prometheus_client.Counter(
            "almondshift_relay_not_run",
            "Sends that did not run the request, by evidence.",
            ["evidence"],
            registry=registry,
        )
        self.moves = prometheus_client.Counter(
            "almondshift_relay_moves",
            "Running requests moved to other engines, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.first_seconds = prometheus_client.Histogram(
            "almondshift_relay_first_seconds",
            "From arrival to the answer's first byte.",
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.silence_seconds = prometheus_client.Histogram(
            "almondshift_relay_silence_seconds",
            "Pauses of streams that were noticed, until they went on.",
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )

        self.endpoint_calls = prometheus_client.Counter(
            "almondshift_relay_endpoint_calls",
            "Calls to endpoints, by purpose.",
            ["purpose"],
            registry=registry,
        )
        self.invalid_limits = prometheus_client.Counter(
            "almondshift_relay_invalid_limits",
            "Responses that named an unusable rate limit.",
            registry=registry,
        )

        self.permits = prometheus_client.Counter(
            "almondshift_relay_permits",
            "Permits for rate-limited endpoints, by outcome.",
            ["outcome"],
            registry=registry,
        )

        self.repeats = prometheus_client.Counter(
            "almondshift_relay_repeats",
            "Sends beyond a request's first arrival, by what covers them.",
            ["covered_by"],
            registry=registry,
        )

        self.unproven_runs = prometheus_client.Counter(
            "almondshift_relay_unproven_runs",
            "Sends to one more engine because silent ones seem to have ended.",
            registry=registry,
        )

        self.uncounted_runs = prometheus_client.Counter(
            "almondshift_relay_uncounted_runs",
            "Sends to one more engine because earlier ones don't count.",
            registry=registry,
        )

        self.via_peers = prometheus_client.Counter(
            "almondshift_relay_via_peers",
            "Requests passed to peers, by outcome.",
            ["outcome"],
            registry=registry,
        )
        self.isolated = prometheus_client.Gauge(
            "almondshift_relay_isolated",
            "Services of which this node reaches no endpoint.",
            registry=registry,
        )

        self.link_checks = prometheus_client.Counter(
            "almondshift_relay_link_checks",
            "Rounds of queries that check the links to endpoints, by outcome.",
            ["outcome"],
            registry=registry,
        )

        self.buffered_bytes = prometheus_client.Gauge(
            "almondshift_relay_buffered_bytes",
            "Bytes of messages in transfer that this node holds.",
            registry=registry,
        )
        self.buffers_given_up = prometheus_client.Counter(
            "almondshift_relay_buffers_given_up",
            "Messages ended at the limit of buffered bytes, by kind.",
            ["kind"],
            registry=registry,
        )
        self.loop_delay_seconds = prometheus_client.Histogram(
            "almondshift_relay_loop_delay_seconds",
            "Delays of the event loop by more than 0.04 s.",
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )

    def buffer_given_up(self, given_up: buffer_budget.GivenUpBuffer) -> None:
        """Records a message that was ended at the limit of buffered bytes."""
        self.buffers_given_up.labels(given_up.kind).inc()
        self.emit(
            log_events.BufferGivenUp(
                kind=given_up.kind,
                size=given_up.size,
                held_bytes=given_up.held_bytes,
                limit_bytes=given_up.limit_bytes,
            )
        )

    def emit(self, event: log_events.Event) -> None:
        """Logs an event."""
        log_events.emit(logger, event)

    def expose(self) -> bytes:
        """Returns the metrics in Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


def create_relay_observer() -> RelayObserver:
    """Creates an observer with its own metrics registry."""
    return RelayObserver(prometheus_client.CollectorRegistry())
