from __future__ import annotations

import pytest

from almondshift.policy import burn

WHOLE = burn.Objective.WHOLE


def _snapshot(
    shares: dict[float, tuple[int, int]], target: float = 0.99
) -> burn.Snapshot:
    windows = tuple(
        burn.Window(seconds, 60.0, (
            burn.Count("s", "a", WHOLE, "", good),
            burn.Count("s", "a", WHOLE, "overloaded", bad),
        ))
        for seconds, (good, bad) in shares.items()
    )  # fmt: skip
    points = (burn.Point(10.0, "s", WHOLE, *shares[300.0]),)
    targets = (burn.Target("s", WHOLE, target),)
    return burn.Snapshot(windows, points, 1800.0, targets)


def _all(good: int, bad: int) -> dict[float, tuple[int, int]]:
    return {seconds: (good, bad) for seconds in burn.WINDOWS_S}


@pytest.mark.parametrize(
    ("good", "bad", "target", "expected"),
    [
        (0, 0, 0.99, 0.0),
        (100, 0, 0.99, 0.0),
        (99, 1, 0.99, 1.0),
        (50, 50, 0.95, 10.0),
        (0, 5, 0.99, 100.0),
        (1, 1, 1.0, 0.0),
    ],
)
def test_burn_rate(good: int, bad: int, target: float, expected: float) -> None:
    assert burn.burn_rate(good, bad, target) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("shares", "alarm"),
    [
        (_all(999, 1), burn.Alarm.NONE),
        (_all(80, 20), burn.Alarm.FAST),
        (_all(98, 2), burn.Alarm.SLOW),
        # A spike that has passed, and one that has only just begun.
        (_all(999, 1) | {3600.0: (80, 20)}, burn.Alarm.NONE),
        (_all(999, 1) | {300.0: (80, 20)}, burn.Alarm.NONE),
        (_all(0, 0), burn.Alarm.NONE),
    ],
)
def test_alarms(
    shares: dict[float, tuple[int, int]], alarm: burn.Alarm
) -> None:
    (result,) = burn.compute([_snapshot(shares)])
    assert result.alarm is alarm


def test_nodes_are_merged_by_events_not_by_rates() -> None:
    """A small node with only failures must not outweigh a healthy one."""
    large = _snapshot(_all(990, 0), target=0.9)
    small = _snapshot(_all(0, 10))
    (result,) = burn.compute([large, small])
    assert result.target == 0.99
    assert result.rates[0].burn == pytest.approx(1.0)
    assert result.budget_left == pytest.approx(0.0)
    (cause,) = result.contributions
    assert (cause.account, cause.cause, cause.bad) == ("a", "overloaded", 10)
    (point,) = burn.compute_series([large, small])
    assert point.burn == pytest.approx(1.0)
    assert burn.compute([]) == []
