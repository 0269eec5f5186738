from __future__ import annotations

import pytest

from almondshift.policy import repeat_budget

LIMITS = repeat_budget.RepeatLimits(ratio=0.2, window_s=10.0, allowance=198.0)


@pytest.mark.parametrize("nodes", [1, 7, 9, 70])
def test_repeats_of_all_nodes_stay_within_the_limit(nodes: int) -> None:
    """All endpoints fail at once and each request is to be sent again.

    Nodes count independently, and the sum over all nodes in any window stays
    within the operators' limit.
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


def test_services_have_separate_budgets() -> None:
    budget = repeat_budget.RepeatBudget(
        repeat_budget.RepeatLimits(0.0, 10.0, 2.0), -10.0
    )
    budget.note_nodes(1, -10.0)
    assert budget.spend("a", 0.0)
    assert not budget.spend("a", 0.1)
    assert budget.spend("b", 0.1)
    assert budget.spend("a", 10.1)


@pytest.mark.parametrize("nodes", [7, 76])
def test_repeats_stay_within_the_limit_when_all_nodes_restart(
    nodes: int,
) -> None:
    """All nodes lose power while repeats are at their limit.

    They restart at once without their earlier counts, and don't know of each
    other for a second. Repeats before and after the restart together stay
    within the limit.
    """

    def create_budgets(now: float) -> list[repeat_budget.RepeatBudget]:
        return [repeat_budget.RepeatBudget(LIMITS, now) for _ in range(nodes)]

    budgets = create_budgets(-20.0)
    for budget in budgets:
        budget.note_nodes(nodes, -20.0)
    repeats: list[float] = []
    for number in range(4000):
        now = number * 0.01
        if number == 1500:
            budgets = create_budgets(now)
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


@pytest.mark.parametrize("nodes", [9, 75])
@pytest.mark.parametrize("every_s", [0.5, 1.0, 2.0])
def test_repeats_stay_within_the_limit_while_nodes_restart_again_and_again(
    nodes: int, every_s: float
) -> None:
    """Guards against a part of the allowance that each start grants anew.

    All nodes end and start again, several times in a window, while each
    request is to be sent again.
    """
    budgets = [repeat_budget.RepeatBudget(LIMITS, -20.0) for _ in range(nodes)]
    repeats: list[float] = []
    for number in range(4000):
        now = number * 0.01
        is_start = now >= 15.0 and number % round(every_s * 100) == 0
        if is_start and now < 25.0:
            budgets = [
                repeat_budget.RepeatBudget(LIMITS, now) for _ in range(nodes)
            ]
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


def test_partial_group_does_not_use_the_whole_allowance() -> None:
    """Nodes lose contact with others, which still spend their share."""
    budget = repeat_budget.RepeatBudget(LIMITS, -20.0)
    budget.note_nodes(10, 0.0)
    budget.note_nodes(5, 30.0)
    assert budget.nodes == 10
    budget.note_nodes(5, 61.0)
    assert budget.nodes == 5
