from __future__ import annotations

import random

import pytest

from almondshift.policy import retry_after
from almondshift.policy import retry_budget


def test_the_first_retry_is_free() -> None:
    budget = retry_budget.RetryBudget()
    assert all(budget.spend(0, 1e6) for _ in range(100))


def test_further_retries_are_a_share_of_new_work() -> None:
    budget = retry_budget.RetryBudget()
    retried = 0.0
    for step in range(1000):
        budget.earn(step * 0.01, 100.0)
        if budget.spend(1, 100.0):
            retried += 100.0
    assert retried <= 0.1 * 100_000 + retry_budget.MIN_CREDIT


def test_a_request_that_always_fails_is_not_retried_forever() -> None:
    budget = retry_budget.RetryBudget()
    for step in range(1000):
        budget.earn(step * 0.01, 100.0)
    assert not budget.spend(retry_budget.MAX_RETRIES, 1.0)


def test_a_quiet_time_accumulates_little_credit() -> None:
    budget = retry_budget.RetryBudget()
    for step in range(1000):
        budget.earn(float(step), 100.0)
    spent = 0
    while budget.spend(1, 100.0):
        spent += 100
    assert spent < 60 * 10 + 2 * retry_budget.MIN_CREDIT


def test_retry_after_follows_the_drain_rate() -> None:
    times = retry_after.RetryAfter(random.Random(1))
    after = [times.after_refusal(0.0, 10.0, 100.0, 200.0) for _ in range(100)]
    assert after[0] < 1.0
    assert sum(after[50:]) > sum(after[:50])


def test_retry_after_is_jittered_and_bounded() -> None:
    times = retry_after.RetryAfter(random.Random(1))
    after = [times.jittered(4.0) for _ in range(200)]
    assert max(after) > 1.5 * min(after)
    assert times.jittered(1e9) <= retry_after.MAX_DELAY_S
    assert times.jittered(0.0) >= retry_after.MIN_DELAY_S


@pytest.mark.parametrize("drain", [0.0, 1e-9])
def test_retry_after_without_a_drain_rate(drain: float) -> None:
    times = retry_after.RetryAfter(random.Random(1))
    after = times.after_refusal(0.0, 10.0, 100.0, drain)
    assert retry_after.MIN_DELAY_S <= after <= retry_after.MAX_DELAY_S
