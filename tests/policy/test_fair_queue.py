from __future__ import annotations

import collections

import pytest

from almondshift.model import fleet
from almondshift.policy import fair_queue

NORMAL = fleet.Priority.NORMAL


def _entry(
    account: str,
    cost: float = 10.0,
    priority: fleet.Priority = NORMAL,
    *,
    long: bool = False,
) -> fair_queue.Entry[str]:
    return fair_queue.Entry(account, account, priority, cost, long)


def _drain(
    queue: fair_queue.FairQueue[str], cost: float
) -> collections.Counter[str]:
    """Dequeues entries up to a total cost; returns the cost by account."""
    served: collections.Counter[str] = collections.Counter()
    while sum(served.values()) < cost:
        entry = queue.peek()
        if entry is None:
            break
        queue.dequeue(entry)
        served[entry.account] += int(entry.cost)
    return served


@pytest.mark.parametrize(
    ("accounts", "shares"),
    [
        # (entries, cost of each, weight) by account -> cost served of 600
        ({"a": (100, 10, 1.0), "b": (100, 10, 1.0)}, {"a": 300, "b": 300}),
        ({"a": (100, 10, 2.0), "b": (100, 10, 1.0)}, {"a": 400, "b": 200}),
        ({"a": (100, 50, 1.0), "b": (100, 10, 1.0)}, {"a": 300, "b": 300}),
        ({"a": (100, 10, 1.0), "b": (10, 10, 1.0)}, {"a": 500, "b": 100}),
    ],
)
def test_work_is_shared_by_weight_and_cost(
    accounts: dict[str, tuple[int, float, float]], shares: dict[str, int]
) -> None:
    queue: fair_queue.FairQueue[str] = fair_queue.FairQueue()
    for name, (count, cost, weight) in accounts.items():
        for _ in range(count):
            queue.push(_entry(name, cost), weight)
    served = _drain(queue, 600)
    for name, share in shares.items():
        assert served[name] == pytest.approx(share, abs=60)


def test_a_new_account_does_not_wait_for_a_hot_one() -> None:
    queue: fair_queue.FairQueue[str] = fair_queue.FairQueue()
    for _ in range(100):
        queue.push(_entry("hot"), 1.0)
    _drain(queue, 300)
    queue.push(_entry("new"), 1.0)
    assert _drain(queue, 30)["new"] == 10


def test_an_idle_account_accumulates_no_credit() -> None:
    queue: fair_queue.FairQueue[str] = fair_queue.FairQueue()
    for _ in range(100):
        queue.push(_entry("a"), 1.0)
    _drain(queue, 500)
    for _ in range(100):
        queue.push(_entry("b"), 1.0)
    served = _drain(queue, 200)
    assert served["a"] == pytest.approx(served["b"], abs=20)


def test_critical_requests_are_next_and_bulk_is_not_starved() -> None:
    queue: fair_queue.FairQueue[str] = fair_queue.FairQueue()
    for _ in range(50):
        queue.push(_entry("draft", priority=fleet.Priority.BULK), 1.0)
    _drain(queue, 100)
    for _ in range(1000):
        queue.push(_entry("urgent", priority=fleet.Priority.CRITICAL), 1.0)
    first = queue.peek()
    assert first is not None and first.account == "urgent"
    served = _drain(queue, 1700)
    assert served["draft"] == pytest.approx(100, abs=20)


def test_short_requests_bypass_a_blocked_long_request() -> None:
    queue: fair_queue.FairQueue[str] = fair_queue.FairQueue()
    queue.push(_entry("a", 900.0, long=True), 1.0)
    queue.push(_entry("a"), 1.0)
    entry = queue.peek(allow_long=False)
    assert entry is not None and not entry.long
    queue.dequeue(entry)
    assert queue.peek(allow_long=False) is None
    assert queue.peek() is not None


def test_withdrawn_entries_are_not_served_or_counted() -> None:
    queue: fair_queue.FairQueue[str] = fair_queue.FairQueue()
    entries = [_entry("a"), _entry("b"), _entry("a")]
    for entry in entries:
        queue.push(entry, 1.0)
    queue.withdraw(entries[0])
    queue.withdraw(entries[0])
    assert len(queue) == 2
    assert queue.cost == pytest.approx(20.0)
    assert sum(_drain(queue, 100).values()) == 20
    assert queue.peek() is None


def test_predicted_cost_ahead_is_less_for_a_light_account() -> None:
    queue: fair_queue.FairQueue[str] = fair_queue.FairQueue()
    for _ in range(100):
        queue.push(_entry("hot"), 1.0)
    assert queue.cost_ahead("light", NORMAL, 1.0) <= 20.0
    assert queue.cost_ahead("hot", NORMAL, 1.0) == pytest.approx(1000.0)
