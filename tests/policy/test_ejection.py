from __future__ import annotations

from almondshift.policy import ejection


def _group(count: int) -> ejection.Ejection:
    health = ejection.Ejection()
    for i in range(count):
        health.place(f"e{i}", "same")
    return health


def _call(
    health: ejection.Ejection,
    count: int,
    slow: set[int],
    start: float = 0.0,
    rounds: int = 30,
) -> None:
    for step in range(rounds):
        for i in range(count):
            seconds = 0.1 if i in slow else 0.01
            health.timed(f"e{i}", start + step * 0.04, seconds, 0.01)


def _out(health: ejection.Ejection, count: int) -> list[int]:
    return [
        i
        for i in range(count)
        if health.state(f"e{i}") is not ejection.State.IN
    ]


def test_a_slow_endpoint_is_ejected_and_its_like_are_not() -> None:
    health = _group(5)
    _call(health, 5, {2})
    assert _out(health, 5) == [2]


def test_endpoints_that_are_all_slow_stay() -> None:
    health = _group(5)
    _call(health, 5, {0, 1, 2, 3, 4})
    assert _out(health, 5) == []


def test_waiting_behind_others_is_not_slowness() -> None:
    """A busy engine is not taken for a slow one.

    Most calls to it wait for ten times as long as they run, one in ten
    does not wait; its like are idle. It keeps getting work.
    """
    health = _group(5)
    for step in range(100):
        at = step * 0.04
        for i in range(5):
            busy = i == 2 and step % 10 != 0
            health.timed(f"e{i}", at, 0.1 if busy else 0.01, 0.01)
    assert _out(health, 5) == []


def test_no_more_than_the_cap_are_ejected() -> None:
    health = _group(10)
    _call(health, 10, {0, 1, 2, 3})
    assert len(_out(health, 10)) == 2


def test_one_of_two_is_kept() -> None:
    health = _group(1)
    _call(health, 1, {0})
    assert _out(health, 1) == []


def test_other_accelerators_are_not_compared() -> None:
    health = _group(4)
    health.place("old", "other")
    for step in range(40):
        health.timed("old", step * 0.04, 0.1, 0.01)
        health.timed("e0", step * 0.04, 0.01, 0.01)
    assert health.state("old") is ejection.State.IN


def test_return_goes_through_a_probe_and_a_trial() -> None:
    health = _group(5)
    _call(health, 5, {2})
    assert health.probes_due(0.5) == []
    assert health.probes_due(3.0) == ["e2"]
    health.probed("e2", 3.1, ok=False, ratio=1.0)
    assert health.probes_due(3.2) == []
    assert health.probes_due(8.0) == ["e2"]
    health.probed("e2", 8.1, ok=True, ratio=1.0)
    assert health.state("e2") is ejection.State.TRIAL
    _call(health, 5, set(), start=8.2, rounds=15)
    assert health.state("e2") is ejection.State.IN


def test_a_trial_that_is_slow_again_ends_it() -> None:
    health = _group(5)
    _call(health, 5, {2})
    health.probes_due(3.0)
    health.probed("e2", 3.1, ok=True, ratio=1.0)
    _call(health, 5, {2}, start=3.2, rounds=15)
    assert health.state("e2") is ejection.State.OUT


def test_a_lost_zone_is_ejected_whatever_the_cap() -> None:
    """Callers are not sent to endpoints that are known to be gone.

    A third of a group can't be reached. Each is out after one call that
    could not connect, though the cap for slow ones is a fifth.
    """
    health = _group(9)
    for i in (0, 1, 2):
        health.failed(f"e{i}", 1.0, certain=True)
    assert _out(health, 9) == [0, 1, 2]
