from __future__ import annotations

import dataclasses

import prometheus_client
import pytest

from almondshift.adapters import metrics
from almondshift.model import fleet
from tests import samples


def _metrics() -> metrics.Metrics:
    created = metrics.create_metrics(prometheus_client.CollectorRegistry())
    created.use(samples.sample_fleet())
    return created


@pytest.mark.parametrize(
    ("given", "label"),
    [
        (("advice", "members-app", "ok"), ("advice", "members-app", "ok")),
        (("x", "members-app", "overloaded"),
         ("other", "members-app", "overloaded")),
        (("advice", "x", "deadline_exceeded"),
         ("advice", "other", "deadline_exceeded")),
        (("advice", "members-app", "x"), ("advice", "members-app", "other")),
    ],
)  # fmt: skip
def test_labels_are_bounded(
    given: tuple[str, str, str], label: tuple[str, str, str]
) -> None:
    created = _metrics()
    created.request_ended(*given)
    service, account, kind = label
    value = created.registry.get_sample_value(
        "almondshift_requests_total",
        {"service": service, "account": account, "kind": kind},
    )
    assert value == 1


def test_labels_of_removed_names_are_removed() -> None:
    """Otherwise 1,900 changes per day would fill memory with stale labels."""
    created = _metrics()
    created.request_ended("drafts", "members-app", "ok")
    created.first_token("drafts", 0.1)
    created.request_ended("advice", "members-app", "ok")
    sample = samples.sample_fleet()
    services = {"advice": sample.services["advice"]}
    created.use(dataclasses.replace(sample, services=services))
    text = created.expose()
    assert b'service="drafts"' not in text
    assert b'service="advice"' in text


def test_label_limits() -> None:
    created = _metrics()
    accounts = {
        f"a{i}": fleet.Account(f"a{i}", "", weight=i)
        for i in range(metrics.MAX_ACCOUNT_LABELS * 2)
    }
    created.use(dataclasses.replace(samples.sample_fleet(), accounts=accounts))
    assert len(created.accounts) == metrics.MAX_ACCOUNT_LABELS
    assert "a127" in created.accounts
    for i in range(metrics.MAX_ACCELERATOR_LABELS * 2):
        created.engine_called(f"kind-{i}", 3)
    text = created.expose().decode()
    assert 'almondshift_engine_items_total{accelerator="other"} 48.0' in text


def test_every_metric_is_exposed() -> None:
    created = _metrics()
    created.between_tokens("advice", 0.06)
    created.request_refused("overloaded", 0.02)
    created.recovered(0.5)
    created.store_failed("store_unavailable")
    created.config_version.set(7)
    text = created.expose().decode()
    for line in (
        'between_tokens_seconds_bucket{le="0.063",service="advice"} 1.0',
        'almondshift_refusal_seconds_bucket{kind="overloaded",le="0.05"} 1.0',
        "almondshift_recovery_seconds_count 1.0",
        'almondshift_store_errors_total{kind="store_unavailable"} 1.0',
        "almondshift_config_version 7.0",
    ):
        assert line in text
