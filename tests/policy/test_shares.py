from __future__ import annotations

import pytest

from almondshift.policy import shares


@pytest.mark.parametrize("nodes", [1, 2, 8, 50])
@pytest.mark.parametrize("start", [0.0, 1.0, 30.0])
def test_node_shares_add_up_to_the_limit_after_some_reports(
    nodes: int, start: float
) -> None:
    limit = 100.0
    node_shares = [start] * nodes
    for _ in range(12):
        total = sum(node_shares)
        node_shares = [
            shares.next_share(limit, own, total, nodes, nodes)
            for own in node_shares
        ]
    assert sum(node_shares) == pytest.approx(limit, rel=0.1)


def test_unequal_shares_become_equal_at_the_limit() -> None:
    node_shares = [80.0, 10.0, 10.0]
    for _ in range(20):
        total = sum(node_shares)
        node_shares = [
            shares.next_share(100.0, own, total, 3, 3) for own in node_shares
        ]
    assert max(node_shares) < 1.1 * min(node_shares)


def test_one_busy_node_gets_nearly_the_entire_limit() -> None:
    busy = 0.0
    for _ in range(20):
        busy = shares.next_share(100.0, busy, busy, 1, 8)
    assert busy == pytest.approx(100.0)
