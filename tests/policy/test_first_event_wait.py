"""Streams whose first event is overdue."""

from __future__ import annotations

import pytest

from almondshift.policy import first_event_wait

OBJECTIVE_S = 0.6
SERVICE = "model"


def overdue_after(*seconds: float) -> float:
    """Returns the overdue time after these times to a first event."""
    wait = first_event_wait.create_first_event_wait()
    for each in seconds:
        wait.note(SERVICE, each)
    return wait.overdue_s(SERVICE, OBJECTIVE_S)


@pytest.mark.parametrize(
    ("times_s", "least_s", "most_s"),
    [
        ((), OBJECTIVE_S, 3 * OBJECTIVE_S),
        ((0.07,) * 20, 0.3, 0.3),
        ((0.07,) * 20 + (0.3,), 0.3, 0.6),
        ((0.07,) * 20 + (0.4,) * 20, 1.1, 1.2),
    ],
    ids=["no stream yet", "low load", "one lost answer", "burst"],
)
def test_overdue_time_follows_the_usual_time(
    times_s: tuple[float, ...], least_s: float, most_s: float
) -> None:
    assert least_s <= overdue_after(*times_s) <= most_s


def test_burst_does_not_run_all_streams_twice() -> None:
    """An overloaded fleet would get each request twice."""
    wait = first_event_wait.create_first_event_wait()
    for _ in range(20):
        wait.note(SERVICE, 0.07)
    repeated = 0
    for _ in range(40):
        wait_s = wait.overdue_s(SERVICE, OBJECTIVE_S)
        repeated += wait_s < 0.8
        wait.note(SERVICE, min(wait_s, 0.8))
    assert repeated <= 6


def test_services_are_tracked_separately() -> None:
    wait = first_event_wait.create_first_event_wait()
    wait.note("slow", 2.0)
    wait.note(SERVICE, 0.07)
    assert wait.overdue_s(SERVICE, OBJECTIVE_S) == OBJECTIVE_S / 2
