"""Prometheus metrics with bounded label cardinality."""

from __future__ import annotations

from typing import TYPE_CHECKING

import prometheus_client

from almondshift import errors

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import fleet

OTHER = "other"
"""Label of names beyond the limit or not in the configuration."""

OK = "ok"
ABANDONED = "abandoned"
MAX_ACCOUNT_LABELS = 64
MAX_ACCELERATOR_LABELS = 16

SECONDS_BUCKETS = (
    0.005, 0.01, 0.02, 0.04, 0.063, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0
)  # fmt: skip
"""The objectives of 0.063 s and 0.4 s are bucket boundaries, so that the share
within them needs no interpolation."""

REFUSAL_SECONDS_BUCKETS = (0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 2.0)
"""The target for refusals is 50 ms."""


def outcome_kinds() -> frozenset[str]:
    """Returns the values that the label ``kind`` may take."""
    kinds = {OK, ABANDONED, errors.AlmondshiftError.kind}
    todo = list(errors.AlmondshiftError.__subclasses__())
    while todo:
        error = todo.pop()
        kinds.add(error.kind)
        todo.extend(error.__subclasses__())
    return frozenset(kinds)


class Metrics:
    """The node's metrics; its methods keep the label values bounded."""

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.registry = registry
        self.kinds = outcome_kinds()
        self.services: frozenset[str] = frozenset()
        self.accounts: frozenset[str] = frozenset()
        self.accelerators: set[str] = set()
        self._create_request_metrics(registry)
        self._create_control_metrics(registry)

    def _create_request_metrics(
        self, registry: prometheus_client.CollectorRegistry
    ) -> None:
        self.requests = prometheus_client.Counter(
            "almondshift_requests",
            "Requests ended, by outcome kind.",
            ["service", "account", "kind"],
            registry=registry,
        )
        self.first_token_seconds = prometheus_client.Histogram(
            "almondshift_first_token_seconds",
            "From arrival to the first token.",
            ["service"],
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.between_tokens_seconds = prometheus_client.Histogram(
            "almondshift_between_tokens_seconds",
            "Between tokens of one answer.",
            ["service"],
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.in_flight = prometheus_client.Gauge(
            "almondshift_in_flight",
            "Requests dispatched and not ended.",
            registry=registry,
        )
        self.queued = prometheus_client.Gauge(
            "almondshift_queued",
            "Requests that wait to be dispatched.",
            registry=registry,
        )
        self.engine_calls = prometheus_client.Counter(
            "almondshift_engine_calls",
            "Calls to engines.",
            ["accelerator"],
            registry=registry,
        )
        self.engine_items = prometheus_client.Counter(
            "almondshift_engine_items",
            "Steps carried in calls to engines.",
            ["accelerator"],
            registry=registry,
        )
        self.recovery_seconds = prometheus_client.Histogram(
            "almondshift_recovery_seconds",
            "From a stage's failure to the next token.",
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self.refusal_seconds = prometheus_client.Histogram(
            "almondshift_refusal_seconds",
            "From arrival to the refusal.",
            ["kind"],
            buckets=REFUSAL_SECONDS_BUCKETS,
            registry=registry,
        )

    def _create_control_metrics(
        self, registry: prometheus_client.CollectorRegistry
    ) -> None:
        self.config_version = prometheus_client.Gauge(
            "almondshift_config_version",
            "The configuration's version in force here.",
            registry=registry,
        )
        self.lease_held = prometheus_client.Gauge(
            "almondshift_lease_held",
            "1 if this node holds the lease, else 0.",
            registry=registry,
        )
        self.peers = prometheus_client.Gauge(
            "almondshift_peers", "Peers heard from.", registry=registry
        )
        self.store_errors = prometheus_client.Counter(
            "almondshift_store_errors",
            "Errors of the platform's store.",
            ["kind"],
            registry=registry,
        )

    def use(self, config: fleet.Fleet) -> None:
        """Takes label names from a configuration; removes stale labels.

        The accounts with the largest weights get their own labels, up to
        ``MAX_ACCOUNT_LABELS``.
        """
        services = frozenset(config.services)
        ranked = sorted(
            config.accounts.values(), key=lambda a: (-a.weight, a.name)
        )
        accounts = frozenset(a.name for a in ranked[:MAX_ACCOUNT_LABELS])
        self._forget("service", self.services - services)
        self._forget("account", self.accounts - accounts)
        self.services = services
        self.accounts = accounts

    def request_ended(self, service: str, account: str, kind: str) -> None:
        """Counts a request; ``kind`` is an error's kind, OK or ABANDONED."""
        self.requests.labels(
            self._service(service), self._account(account), self._kind(kind)
        ).inc()

    def request_refused(self, kind: str, seconds: float) -> None:
        """Records how long it took to refuse a request."""
        self.refusal_seconds.labels(self._kind(kind)).observe(seconds)

    def first_token(self, service: str, seconds: float) -> None:
        """Records the time from arrival to the first token."""
        label = self._service(service)
        self.first_token_seconds.labels(label).observe(seconds)

    def between_tokens(self, service: str, seconds: float) -> None:
        """Records the time between two tokens."""
        label = self._service(service)
        self.between_tokens_seconds.labels(label).observe(seconds)

    def engine_called(self, accelerator: str, items: int) -> None:
        """Counts one call to an engine that carried ``items`` steps."""
        label = self._accelerator(accelerator)
        self.engine_calls.labels(label).inc()
        self.engine_items.labels(label).inc(items)

    def recovered(self, seconds: float) -> None:
        """Records a recovery."""
        self.recovery_seconds.observe(seconds)

    def store_failed(self, kind: str) -> None:
        """Counts an error of the platform's store."""
        self.store_errors.labels(self._kind(kind)).inc()

    def expose(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _service(self, name: str) -> str:
        return name if name in self.services else OTHER

    def _account(self, name: str) -> str:
        return name if name in self.accounts else OTHER

    def _kind(self, kind: str) -> str:
        return kind if kind in self.kinds else OTHER

    def _accelerator(self, name: str) -> str:
        if name in self.accelerators:
            return name
        if len(self.accelerators) >= MAX_ACCELERATOR_LABELS:
            return OTHER
        self.accelerators.add(name)
        return name

    def _forget(self, label: str, names: Iterable[str]) -> None:
        labelled = {
            "service": (
                self.requests,
                self.first_token_seconds,
                self.between_tokens_seconds,
            ),
            "account": (self.requests,),
        }[label]
        for name in names:
            for metric in labelled:
                metric.remove_by_labels({label: name})


def create_metrics(
    registry: prometheus_client.CollectorRegistry,
) -> Metrics:
    """Registers the metrics; allowed only once per registry."""
    return Metrics(registry)
