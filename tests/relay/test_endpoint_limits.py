"""What a node knows of the rate limits that endpoints name."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import Any
from unittest import mock

import pytest

from almondshift import log_events
from almondshift.model import rate_limits
from almondshift.policy import engine_tracker
from almondshift.policy import isolation
from almondshift.relay import endpoint_calls
from almondshift.relay import endpoint_limits
from almondshift.relay import observer
from tests import asynchronous
from tests.coordination import network

ANSWER = rate_limits.LimitNotice(
    purpose=rate_limits.CallPurpose.REQUEST,
    address="1.2.3.4:5",
    instance="e1",
    sent_at=0.0,
    per_s=None,
    is_genuine=True,
)


class FakeCatalogue:
    def __init__(self) -> None:
        self.engines: dict[str, Any] = {}

    def by_address(self, address: str) -> Any:
        del address
        return None


def create_limits() -> tuple[
    endpoint_limits.EndpointLimits, list[log_events.Event]
]:
    registry: Any = FakeCatalogue()
    seen: list[log_events.Event] = []
    recorder = observer.create_relay_observer()
    recorder.emit = seen.append  # type: ignore[method-assign]
    limits = endpoint_limits.create_endpoint_limits(
        network.ManualClock(), random.Random(1), registry, recorder
    )
    return limits, seen


def answer(**changes: Any) -> rate_limits.LimitNotice:
    """Returns a notice of a request sent now."""
    sent_at = asyncio.get_running_loop().time()
    return dataclasses.replace(ANSWER, **{"sent_at": sent_at, **changes})


@asynchronous.run
async def test_changes_of_a_limit_are_logged_once() -> None:
    limits, seen = create_limits()
    for per_s in (2.0, 2.0, 3.0, 3.0):
        limits.on_limit(answer(per_s=per_s))
    assert seen == [
        log_events.EndpointLimitChanged("e1", 2.0, None, "request"),
        log_events.EndpointLimitChanged("e1", 3.0, 2.0, "request"),
    ]


@pytest.mark.parametrize(
    ("changes", "is_ended"),
    [
        ({}, True),
        ({"sent_at": 0.0}, False),
        ({"is_genuine": False}, False),
        ({"invalid": "'x'"}, False),
        ({"instance": "e2"}, False),
    ],
    ids=["later", "sent before", "not genuine", "bad value", "other instance"],
)
@asynchronous.run
async def test_only_a_later_answer_without_a_limit_ends_it(
    changes: dict[str, Any], is_ended: bool
) -> None:
    """Guards against a limit that is dropped while it is in force."""
    limits, _ = create_limits()
    limits.on_limit(answer(per_s=2.0))
    await asyncio.sleep(0.001)
    limits.on_limit(answer(**changes))
    assert ("e1" not in limits.known) == is_ended


@asynchronous.run
async def test_invalid_limits_are_counted_and_logged_at_a_bounded_rate() -> (
    None
):
    limits, seen = create_limits()
    for _ in range(5):
        limits.on_limit(answer(invalid="'-1'"))
    assert seen == [log_events.EndpointLimitInvalid("1.2.3.4:5", "'-1'")]
    exposed = limits.observer.expose().decode()
    assert "almondshift_relay_invalid_limits_total 5.0" in exposed


@asynchronous.run
async def test_calls_are_counted_by_purpose() -> None:
    limits, _ = create_limits()
    calls = endpoint_calls.EndpointCalls(
        limits,
        limits.catalogue,
        engine_tracker.EngineTracker(),
        mock.Mock(),
        isolation.ServiceLinks(),
        limits.observer,
        limits.clock,
    )
    for purpose in rate_limits.CallPurpose:
        calls.on_call(purpose, "1.2.3.4:5")
    exposed = limits.observer.expose().decode()
    for purpose in rate_limits.CallPurpose:
        name = f'almondshift_relay_endpoint_calls_total{{purpose="{purpose}"}}'
        assert f"{name} 1.0" in exposed
