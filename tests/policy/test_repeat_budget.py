from __future__ import annotations

import pytest

from almondshift.policy import repeat_budget

LIMITS = repeat_budget.RepeatLimits(ratio=0.2, window_s=10.0, allowance=198.0)


@pytest.mark.parametrize("nodes", [1, 7, 9, 70])
def test_repeats_of_all_nodes_keep_the_bound(nodes: int) -> None:
    """All endpoints fail at once and each request asks to be sent again.

    Each node counts alone. Whatever the others do, the sum over all nodes in
    any window stays below the operators' bound.
    """
    budgets = [repeat_budget.RepeatBudget(LIMITS, -20.0) for _ in range(nodes)]
    for budget in budgets:
        budget.note_nodes(nodes, -20.0)
    repeats: list[float] = []
    for number in range(4000):
        now = number * 0.01
        budget = budgets[number % nodes]
        budget.note_request("s", now)
        for _ in range(3):
            if budget.spend("s", now):
                repeats.append(now)
    for start in range(0, 30):
        within = sum(start <= at < start + 10 for at in repeats)
        assert within <= LIMITS.ratio * 1000 + LIMITS.allowance
        assert within > 0


def test_services_have_budgets_of_their_own() -> None:
    budget = repeat_budget.RepeatBudget(
        repeat_budget.RepeatLimits(0.0, 10.0, 2.0), -10.0
    )
    budget.note_nodes(1, -10.0)
    assert budget.spend("a", 0.0)
    assert not budget.spend("a", 0.1)
    assert budget.spend("b", 0.1)
    assert budget.spend("a", 10.1)


@pytest.mark.parametrize("nodes", [7, 76])
def test_nodes_that_all_start_again_keep_the_bound(nodes: int) -> None:
    """All nodes lose power while repeats are at their limit.

    They start at once and know nothing of their former lives, nor of each
    other for a second. Repeats of both lives together keep the bound.
    """

    def started(now: float) -> list[repeat_budget.RepeatBudget]:
        return [repeat_budget.RepeatBudget(LIMITS, now) for _ in range(nodes)]

    budgets = started(-20.0)
    for budget in budgets:
        budget.note_nodes(nodes, -20.0)
    repeats: list[float] = []
    for number in range(4000):
        now = number * 0.01
        if number == 1500:
            budgets = started(now)
        if number == 1600:
            for budget in budgets:
                budget.note_nodes(nodes, now)
        budget = budgets[number % nodes]
        budget.note_request("s", now)
        for _ in range(3):
            if budget.spend("s", now):
                repeats.append(now)
    for start in range(0, 30):
        within = sum(start <= at < start + 10 for at in repeats)
        assert within <= LIMITS.ratio * 1000 + LIMITS.allowance


def test_a_part_of_the_group_does_not_take_the_whole_allowance() -> None:
    """Nodes lose sight of half of the others, who spend their share too."""
    budget = repeat_budget.RepeatBudget(LIMITS, -20.0)
    budget.note_nodes(10, 0.0)
    budget.note_nodes(5, 30.0)
    assert budget.nodes == 10
    budget.note_nodes(5, 61.0)
    assert budget.nodes == 5
