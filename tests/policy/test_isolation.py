"""When a node considers itself cut off from all endpoints."""

from __future__ import annotations

import pytest

from almondshift.policy import isolation

NOW = 100.0


@pytest.mark.parametrize(
    ("failed", "waiting_s", "silent_s", "checked_s", "expected"),
    [
        (0, None, 9.0, 9.0, False),
        (0, 0.3, 0.3, 9.0, True),
        (0, 0.3, 0.3, 0.5, False),
        (0, 0.3, 0.1, 9.0, False),
        (0, 0.1, 0.3, 9.0, False),
        (2, None, 0.0, 9.0, False),
        (3, None, 0.0, 9.0, True),
        (3, None, 0.0, 0.5, False),
    ],
    ids=[
        "idle",
        "all silent",
        "all silent, checked lately",
        "another endpoint sends data",
        "just sent",
        "two endpoints fail",
        "three endpoints fail",
        "three endpoints fail, checked lately",
    ],
)
def test_a_check_starts_if_the_link_seems_to_fail(
    failed: int,
    waiting_s: float | None,
    silent_s: float,
    checked_s: float,
    expected: bool,
) -> None:
    state = isolation.Isolation()
    state.last_response_at = NOW - silent_s
    state.checked_at = NOW - checked_s
    for index in range(failed):
        state.note_failure(f"e{index}", NOW - 0.1)
    waiting_since = None if waiting_s is None else NOW - waiting_s
    assert state.needs_check(waiting_since, NOW) == expected


def test_failures_of_one_endpoint_do_not_count_as_several() -> None:
    """Guards against a node that leaves its link for one crashing engine."""
    state = isolation.Isolation()
    for index in range(10):
        state.note_failure("e", NOW - 0.01 * index)
    assert not state.is_link_suspect(NOW)


def test_old_failures_do_not_count() -> None:
    state = isolation.Isolation()
    for index in range(5):
        state.note_failure(f"e{index}", NOW - 1.0)
    assert not state.is_link_suspect(NOW)


def test_two_rounds_without_a_response_isolate_and_one_response_restores() -> (
    None
):
    """Guards against a short stall that is taken for a lost link."""
    state = isolation.Isolation()
    assert not state.end_round(NOW, NOW + 0.1)
    assert not state.is_isolated
    assert state.needs_check(None, NOW + 0.1)
    assert state.end_round(NOW + 0.1, NOW + 0.2)
    assert state.is_isolated
    assert not state.end_round(NOW + 0.4, NOW + 0.5)
    state.note_response(NOW + 0.71)
    assert state.end_round(NOW + 0.7, NOW + 0.72)
    assert not state.is_isolated


def test_a_response_between_rounds_starts_over() -> None:
    state = isolation.Isolation()
    state.end_round(NOW, NOW + 0.1)
    state.note_response(NOW + 0.15)
    state.end_round(NOW + 0.12, NOW + 0.2)
    state.end_round(NOW + 0.2, NOW + 0.3)
    assert not state.is_isolated
