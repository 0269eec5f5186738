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


def fail(state: isolation.Isolation, count: int, at: float) -> None:
    """Fails connections to several endpoints, 0.01 s apart."""
    for index in range(count):
        state.note_failure(f"e{index}", at + 0.01 * index)


@pytest.mark.parametrize(
    ("failed", "failed_at", "responds", "expected"),
    [
        (3, NOW - 0.1, False, True),
        (3, NOW - 0.1, True, False),
        (2, NOW - 0.1, False, False),
        (0, NOW, False, False),
        (3, NOW - 9.0, False, False),
        (3, NOW + 0.5, False, True),
    ],
    ids=[
        "three fail, none responds",
        "three fail, one responds",
        "two fail",
        "all are silent",
        "three failed earlier",
        "three fail after the rounds",
    ],
)
def test_links_are_cut_if_connections_fail_and_no_endpoint_responds(
    failed: int, failed_at: float, responds: bool, expected: bool
) -> None:
    """Guards against endpoints that reset connections and continue."""
    state = isolation.Isolation()
    if failed_at <= NOW:
        fail(state, failed, failed_at)
    for start in (NOW, NOW + 0.2):
        if responds:
            state.note_response(start + 0.01)
        state.end_round(start, start + 0.1)
    if failed_at > NOW:
        fail(state, failed, failed_at)
    assert state.is_cut_off == expected


def test_a_cut_lasts_from_the_first_failure_to_the_next_response() -> None:
    state = isolation.Isolation()
    fail(state, 4, NOW)
    state.end_round(NOW + 0.1, NOW + 0.2)
    state.end_round(NOW + 0.2, NOW + 0.3)
    assert state.latest_cut == isolation.Cut(NOW)
    state.note_response(NOW + 5.0)
    state.end_round(NOW + 4.9, NOW + 5.1)
    assert state.latest_cut == isolation.Cut(NOW, NOW + 5.1)
    assert not state.is_cut_off


def test_a_round_that_began_before_a_check_was_wanted_does_not_decide() -> None:
    """Guards against a response from just before the links were lost."""
    state = isolation.Isolation()
    state.note_response(NOW + 0.01)
    state.want_check(NOW + 0.05)
    state.end_round(NOW, NOW + 0.1)
    assert state.is_undecided(NOW + 0.05)
    assert state.needs_check(None, NOW + 0.1)
    state.note_response(NOW + 0.15)
    state.end_round(NOW + 0.1, NOW + 0.2)
    assert not state.is_undecided(NOW + 0.05)
    assert state.is_undecided(NOW + 0.15)


@pytest.mark.parametrize(
    ("response_s", "waiting_s", "expected"),
    [(9.0, 1.3, False), (1.3, 9.0, False), (9.0, 1.5, True), (1.5, 9.0, True)],
)
def test_only_the_time_in_which_requests_waited_is_silence(
    response_s: float, waiting_s: float, expected: bool
) -> None:
    """Guards against a node that takes endpoints without work for silent."""
    state = isolation.Isolation()
    state.note_response(NOW - response_s)
    for start in (NOW - 0.3, NOW - 0.15):
        state.begin_round(NOW - waiting_s, start)
        state.end_round(start, start + 0.1)
    assert state.is_isolated_for(1.4, NOW) == expected


@pytest.mark.parametrize(
    ("rounds", "response_at", "expected"),
    [(2, None, True), (1, None, False), (2, NOW + 0.3, False)],
    ids=["isolated", "not isolated", "an endpoint responded since"],
)
def test_links_are_cut_if_no_connection_is_made(
    rounds: int, response_at: float | None, expected: bool
) -> None:
    """Guards against endpoints that are silent and accept connections."""
    state = isolation.Isolation()
    for start in (NOW, NOW + 0.1)[:rounds]:
        state.end_round(start, start + 0.1)
    if response_at is not None:
        state.note_response(response_at)
    state.note_no_connection(NOW + 0.1, NOW + 0.6)
    assert state.is_cut_off is expected
    if expected:
        assert state.cuts[-1].began_at == NOW + 0.1


def test_a_check_of_connections_does_not_put_off_the_start_of_a_cut() -> None:
    """Guards against runs that count though they ended as links were lost."""
    state = isolation.Isolation()
    fail(state, 3, NOW)
    state.end_round(NOW + 0.05, NOW + 0.1)
    state.note_no_connection(NOW + 0.1, NOW + 0.11)
    state.end_round(NOW + 0.1, NOW + 0.2)
    assert state.cuts[-1].began_at == NOW
