"""How many requests may leave engines of which only silence is known."""

from __future__ import annotations

import pytest

from almondshift.policy import unproven_runs

SILENT = frozenset({"e1", "e2"})


def taken_of(limit: unproven_runs.UnprovenRuns) -> int:
    """Takes as many requests as there is room for; returns their number."""
    count = 0
    while limit.has_room():
        limit.take(SILENT)
        count += 1
    return count


def create_limit(
    nodes: int, position: int = 0, ended: frozenset[str] = frozenset()
) -> unproven_runs.UnprovenRuns:
    return unproven_runs.UnprovenRuns(
        lambda: nodes, lambda: position, ended.__contains__
    )


@pytest.mark.parametrize(
    ("nodes", "expected"),
    [(1, [3]), (2, [2, 1]), (3, [1, 1, 1]), (4, [0] * 4), (75, [0] * 75)],
)
def test_nodes_share_the_requests_over_the_limit(
    nodes: int, expected: list[int]
) -> None:
    """Guards against shares that add up to more than operators tolerate."""
    taken = [taken_of(create_limit(nodes, n)) for n in range(nodes)]
    assert taken == expected


def test_a_node_that_does_not_know_how_many_share_takes_none() -> None:
    assert not create_limit(0).has_room()


@pytest.mark.parametrize(
    ("ended", "is_returned"),
    [(frozenset(), False), (frozenset({"e1"}), False), (SILENT, True)],
    ids=["all may continue", "one may continue", "all have ended"],
)
def test_a_request_that_left_ended_engines_returns_its_share(
    ended: frozenset[str], is_returned: bool
) -> None:
    limit = create_limit(3, ended=ended)
    limit.take(SILENT)
    assert limit.has_room() is is_returned
