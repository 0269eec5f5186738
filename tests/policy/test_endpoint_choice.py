from __future__ import annotations

import random

from almondshift.model import registered_engines
from almondshift.policy import endpoint_choice


def _endpoints(count: int = 3) -> list[registered_engines.RegisteredEngine]:
    return [
        registered_engines.RegisteredEngine(
            f"e{i}", "s", f"e{i}:1", "abc"[i], 6, False
        )
        for i in range(count)
    ]


def _bad_endpoint_share(slow_s: float, fails: bool) -> float:
    """Returns the share of 300 requests that the bad endpoint gets."""
    chooser = endpoint_choice.EndpointChooser(random.Random(3))
    hits = 0
    for number in range(300):
        now = number * 0.2
        chosen = chooser.choose(_endpoints(), "a", now)
        assert chosen is not None
        chooser.started(chosen.instance)
        is_bad = chosen.instance == "e0"
        hits += is_bad
        if is_bad and fails:
            chooser.failed(chosen.instance, now)
        else:
            chooser.answered(chosen.instance, slow_s if is_bad else 0.05, now)
    return hits / 300


def test_slow_endpoint_gets_few_requests() -> None:
    """With round-robin a third of callers would wait eight times as long."""
    assert _bad_endpoint_share(0.4, fails=False) < 0.12


def test_failing_endpoint_gets_few_requests() -> None:
    """One that fails at once but reports itself healthy looks fastest."""
    assert _bad_endpoint_share(0.05, fails=True) < 0.12


def test_equal_endpoints_share_requests_with_preference_for_own_zone() -> None:
    assert 0.34 < _bad_endpoint_share(0.05, fails=False) < 0.85


def test_unreachable_endpoint_is_avoided_for_a_while() -> None:
    chooser = endpoint_choice.EndpointChooser(random.Random(3))
    for endpoint in _endpoints():
        chooser.started(endpoint.instance)
    chooser.missed("e0", 0.0)
    for _ in range(20):
        chosen = chooser.choose(_endpoints(), "a", 0.5)
        assert chosen is not None and chosen.instance != "e0"
    assert chooser.choose(_endpoints(1), "a", 0.5) is not None
    assert chooser.choose([], "a", 0.5) is None
