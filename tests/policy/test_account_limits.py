from __future__ import annotations

import pytest

from almondshift.policy import account_limits

LIMIT = 100.0
COST = 10.0


def _play(nodes: int, busy: int, seconds: int) -> float:
    """Returns the tokens a second that an account got over all nodes.

    Each busy node is offered far more than the limit; nodes hear of each
    other a second late.
    """
    limits = [account_limits.AccountLimits() for _ in range(nodes)]
    used = 0.0
    for step in range(seconds * 20):
        at = step / 20
        if step % 20 == 0:
            uses = [one.uses(at) for one in limits]
            for i, one in enumerate(limits):
                for j, use in enumerate(uses):
                    if i != j:
                        one.peer_used(f"n{j}", use)
        for one in limits[:busy]:
            for _ in range(2):
                if one.charge("a", LIMIT, COST, at) == 0.0:
                    used += COST if at >= seconds / 2 else 0.0
    return used / (seconds / 2)


@pytest.mark.parametrize(("nodes", "busy"), [(1, 1), (4, 1), (4, 4), (8, 2)])
def test_limit_holds_over_all_nodes(nodes: int, busy: int) -> None:
    """A caller gets its limit, however its requests are spread.

    An account floods some of the nodes; each node sees only its own part
    and hears of the rest late. In total about the limit is let through:
    neither a multiple by the number of nodes nor a fraction of it.
    """
    rate = _play(nodes, busy, 40)
    assert 0.7 * LIMIT <= rate <= 1.3 * LIMIT


def test_wait_is_the_time_until_the_debt_is_paid() -> None:
    limits = account_limits.AccountLimits()
    assert limits.charge("a", LIMIT, 500.0, 0.0) == 0.0
    wait = limits.charge("a", LIMIT, COST, 0.0)
    assert 2.0 < wait < 5.0
    assert limits.charge("a", LIMIT, COST, wait + 1.5) == 0.0


def test_without_a_limit_nothing_waits() -> None:
    limits = account_limits.AccountLimits()
    for _ in range(100):
        assert limits.charge("a", 0.0, 1e6, 0.0) == 0.0


def test_unused_tokens_are_given_back() -> None:
    limits = account_limits.AccountLimits()
    limits.charge("a", LIMIT, 1000.0, 0.0)
    limits.refund("a", 1000.0)
    assert limits.charge("a", LIMIT, COST, 0.0) == 0.0
