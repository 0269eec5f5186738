from __future__ import annotations

import pytest

from almondshift.policy import shares


@pytest.mark.parametrize("nodes", [1, 2, 8, 50])
@pytest.mark.parametrize("start", [0.0, 1.0, 30.0])
def test_parts_sum_up_to_the_limit_after_some_reports(
    nodes: int, start: float
) -> None:
    limit = 100.0
    parts = [start] * nodes
    for _ in range(12):
        total = sum(parts)
        parts = [
            shares.next_share(limit, own, total, nodes, nodes) for own in parts
        ]
    assert sum(parts) == pytest.approx(limit, rel=0.1)


def test_unequal_parts_become_equal_when_all_is_used() -> None:
    parts = [80.0, 10.0, 10.0]
    for _ in range(20):
        total = sum(parts)
        parts = [shares.next_share(100.0, own, total, 3, 3) for own in parts]
    assert max(parts) < 1.1 * min(parts)


def test_one_busy_node_gets_nearly_all() -> None:
    busy = 0.0
    for _ in range(20):
        busy = shares.next_share(100.0, busy, busy, 1, 8)
    assert busy == pytest.approx(100.0)
