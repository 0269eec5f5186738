from __future__ import annotations

from almondshift.policy import ejection


def _group(count: int) -> ejection.Ejection:
    health = ejection.Ejection()
    for i in range(count):
        health.set_group(f"e{i}", "same")
    return health


def _record_calls(
    health: ejection.Ejection,
    count: int,
    slow: set[int],
    start: float = 0.0,
    rounds: int = 30,
) -> None:
    for step in range(rounds):
        for i in range(count):
            seconds = 0.1 if i in slow else 0.01
            health.record_call(f"e{i}", start + step * 0.04, seconds, 0.01)


def _ejected(health: ejection.Ejection, count: int) -> list[int]:
    return [
        i
        for i in range(count)
        if health.state(f"e{i}") is not ejection.State.ACTIVE
    ]


def test_only_the_slow_endpoint_of_a_group_is_ejected() -> None:
    health = _group(5)
    _record_calls(health, 5, {2})
    assert _ejected(health, 5) == [2]


def test_endpoints_that_are_all_slow_stay() -> None:
    health = _group(5)
    _record_calls(health, 5, {0, 1, 2, 3, 4})
    assert _ejected(health, 5) == []


def test_queueing_is_not_taken_for_slowness() -> None:
    """A busy engine is not taken for a slow one.

    Nine in ten calls to it wait for ten times their run time, and one in ten
    does not wait; the rest of its group is idle. It keeps receiving work.
    """
    health = _group(5)
    for step in range(100):
        at = step * 0.04
        for i in range(5):
            busy = i == 2 and step % 10 != 0
            health.record_call(f"e{i}", at, 0.1 if busy else 0.01, 0.01)
    assert _ejected(health, 5) == []


def test_no_more_than_the_cap_are_ejected() -> None:
    health = _group(10)
    _record_calls(health, 10, {0, 1, 2, 3})
    assert len(_ejected(health, 10)) == 2


def test_the_only_endpoint_of_a_group_is_kept() -> None:
    health = _group(1)
    _record_calls(health, 1, {0})
    assert _ejected(health, 1) == []


def test_other_accelerators_are_not_compared() -> None:
    health = _group(4)
    health.set_group("old", "other")
    for step in range(40):
        health.record_call("old", step * 0.04, 0.1, 0.01)
        health.record_call("e0", step * 0.04, 0.01, 0.01)
    assert health.state("old") is ejection.State.ACTIVE


def test_reinstatement_needs_a_probe_and_a_trial() -> None:
    health = _group(5)
    _record_calls(health, 5, {2})
    assert health.probes_due(0.5) == []
    assert health.probes_due(3.0) == ["e2"]
    health.record_probe("e2", 3.1, ok=False, ratio=1.0)
    assert health.probes_due(3.2) == []
    assert health.probes_due(8.0) == ["e2"]
    health.record_probe("e2", 8.1, ok=True, ratio=1.0)
    assert health.state("e2") is ejection.State.TRIAL
    _record_calls(health, 5, set(), start=8.2, rounds=15)
    assert health.state("e2") is ejection.State.ACTIVE


def test_a_slow_trial_ejects_the_endpoint_again() -> None:
    health = _group(5)
    _record_calls(health, 5, {2})
    health.probes_due(3.0)
    health.record_probe("e2", 3.1, ok=True, ratio=1.0)
    _record_calls(health, 5, {2}, start=3.2, rounds=15)
    assert health.state("e2") is ejection.State.EJECTED


def test_a_lost_zone_is_ejected_regardless_of_the_cap() -> None:
    """Requests are not sent to endpoints that are known to be gone.

    A third of a group can't be reached. Each of these endpoints is ejected
    after one failed connection, although the cap for slow ones is a fifth.
    """
    health = _group(9)
    for i in (0, 1, 2):
        health.record_failure(f"e{i}", 1.0, unreachable=True)
    assert _ejected(health, 9) == [0, 1, 2]


def _eject_repeatedly(
    health: ejection.Ejection, name: str, times: int, at: float
) -> None:
    """Ejects an endpoint; each probe but the last is answered at once."""
    for index in range(times):
        health.record_failure(name, at + index, unreachable=True)
        if index + 1 < times:
            assert name in health.probes_due(at + index + 1)
            health.record_probe(name, at + index + 1, ok=True, ratio=1.0)


def test_an_endpoint_is_probed_once_at_a_time() -> None:
    """An endpoint gets one probe, however often it was ejected before.

    Each probe left behind by an earlier ejection doubled the delay when all
    were answered slowly, so that the endpoint stayed out for 30 s.
    """
    health = _group(5)
    _eject_repeatedly(health, "e2", 6, 1.0)
    probes = [
        (at, name)
        for at in range(7, 14)
        for name in health.probes_due(float(at))
    ]
    assert probes == [(7, "e2"), (13, "e2")]


def test_slow_probes_double_the_delay_one_at_a_time() -> None:
    """The repeat of an answered probe is not sent besides the next probe."""
    health = _group(5)
    health.record_failure("e2", 0.0, unreachable=True)
    sent = []
    for step in range(1, 320):
        at = step / 10
        for name in health.probes_due(at):
            sent.append(at)
            health.record_probe(name, at, ok=True, ratio=10.0)
    assert sent == [1.0, 3.0, 7.0, 15.0, 31.0]


def test_the_last_endpoint_of_a_group_needs_no_fast_probe() -> None:
    """A group does not stay empty because its endpoints answer slowly.

    Both replicas of a range were cut off and reachable again, but answered
    their probes slowly on a busy machine; new requests were refused.
    """
    health = _group(2)
    for name in ("e0", "e1"):
        health.record_failure(name, 0.0, unreachable=True)
    assert health.probes_due(1.0) == ["e0", "e1"]
    health.record_probe("e0", 1.1, ok=True, ratio=10.0)
    health.record_probe("e1", 1.1, ok=True, ratio=10.0)
    assert health.state("e0") is ejection.State.TRIAL
    assert health.state("e1") is ejection.State.EJECTED


def test_the_last_endpoint_of_a_group_stays_after_a_slow_trial() -> None:
    """A slow endpoint is not ejected while no other can take its work."""
    health = _group(2)
    _record_calls(health, 2, set())
    health.record_failure("e1", 2.0, unreachable=True)
    assert health.probes_due(3.0) == ["e1"]
    health.record_probe("e1", 3.0, ok=True, ratio=1.0)
    health.record_failure("e0", 3.1, unreachable=True)
    for step in range(40):
        health.record_call("e1", 3.2 + step * 0.125, 0.1, 0.01)
    assert health.state("e1") is ejection.State.ACTIVE
