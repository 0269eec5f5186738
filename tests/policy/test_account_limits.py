from __future__ import annotations

import pytest

from almondshift.policy import account_limits

LIMIT = 100.0
COST = 10.0


def _measure_rate(nodes: int, busy: int, seconds: int) -> float:
    """Returns the tokens per second that an account gets on all nodes.

    Each busy node is offered far more than the limit. Nodes learn the usage
    of each other with a delay of a second.
    """
    limits = [account_limits.AccountLimits() for _ in range(nodes)]
    used = 0.0
    for step in range(seconds * 20):
        at = step / 20
        if step % 20 == 0:
            usage_by_account = [
                account_limit.usage_by_account(at) for account_limit in limits
            ]
            for i, account_limit in enumerate(limits):
                for j, usage in enumerate(usage_by_account):
                    if i != j:
                        account_limit.set_peer_usage(f"n{j}", usage)
        for account_limit in limits[:busy]:
            for _ in range(2):
                if account_limit.charge("a", LIMIT, COST, at) == 0.0:
                    used += COST if at >= seconds / 2 else 0.0
    return used / (seconds / 2)


@pytest.mark.parametrize(("nodes", "busy"), [(1, 1), (4, 1), (4, 4), (8, 2)])
def test_limit_holds_over_all_nodes(nodes: int, busy: int) -> None:
    """An account gets its limit, however its requests are distributed.

    An account floods some of the nodes. Each node only sees its own usage and
    learns of the rest with a delay. The admitted total is about the limit,
    neither a multiple by the number of nodes nor a fraction of it.
    """
    rate = _measure_rate(nodes, busy, 40)
    assert 0.7 * LIMIT <= rate <= 1.3 * LIMIT


def test_wait_lasts_until_the_debt_is_paid() -> None:
    limits = account_limits.AccountLimits()
    assert limits.charge("a", LIMIT, 500.0, 0.0) == 0.0
    wait = limits.charge("a", LIMIT, COST, 0.0)
    assert 2.0 < wait < 5.0
    assert limits.charge("a", LIMIT, COST, wait + 1.5) == 0.0


def test_without_a_limit_nothing_waits() -> None:
    limits = account_limits.AccountLimits()
    for _ in range(100):
        assert limits.charge("a", 0.0, 1e6, 0.0) == 0.0


def test_unused_tokens_are_refunded() -> None:
    limits = account_limits.AccountLimits()
    limits.charge("a", LIMIT, 1000.0, 0.0)
    limits.refund("a", 1000.0)
    assert limits.charge("a", LIMIT, COST, 0.0) == 0.0
