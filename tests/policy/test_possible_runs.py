"""Which attempts count against the limit of a route."""

from __future__ import annotations

import dataclasses
import math

import pytest

from almondshift.policy import engine_tracker
from almondshift.policy import pooled_load
from almondshift.policy import possible_runs

UNREACHABLE = engine_tracker.Suspicion.UNREACHABLE


@dataclasses.dataclass(frozen=True)
class Case:
    """What a node has seen of an engine, at monotonic seconds.

    Attributes:
        suspected: Times and reasons of suspicions.
        unanswered: Times at which queries timed out.
        answered_at: When it responded again; None if it did not.
        is_forgotten: Whether its registry entry is gone.
        count: Attempts there that count, of one.
    """

    suspected: tuple[tuple[float, engine_tracker.Suspicion], ...] = ()
    unanswered: tuple[float, ...] = ()
    answered_at: float | None = None
    is_forgotten: bool = False
    count: int = 1


CASES = {
    "sound": Case(),
    "silent": Case(((0.0, UNREACHABLE),), (0.5, 1.0)),
    "silent for too long": Case(((0.0, UNREACHABLE),), (0.5, 1.6), count=0),
    "back after a pause": Case(((0.0, UNREACHABLE),), (0.5, 1.0), 1.2),
    "back after too long a pause": Case(((0.0, UNREACHABLE),), (0.5, 1.6), 2.5),
    "not queried for long": Case(((0.0, UNREACHABLE),), ()),
    "suspected again": Case(
        ((0.0, UNREACHABLE), (1.0, UNREACHABLE)), (0.5, 1.6), count=0
    ),
    "replaced": Case(((0.0, engine_tracker.Suspicion.GONE),), count=0),
    "stalled": Case(((0.0, engine_tracker.Suspicion.STALLED),), (0.5, 1.6)),
    "draining": Case(((0.0, engine_tracker.Suspicion.DRAINING),), (0.5, 1.6)),
    "entry gone": Case(is_forgotten=True),
    "silent, entry gone": Case(
        ((0.0, UNREACHABLE),), (0.5,), is_forgotten=True, count=0
    ),
    "replaced, entry gone": Case(
        ((0.0, engine_tracker.Suspicion.GONE),), is_forgotten=True, count=0
    ),
}


def track(case: Case) -> engine_tracker.EngineTracker:
    """Returns what a node has recorded of the engine."""
    tracker = engine_tracker.EngineTracker()
    for at, reason in case.suspected:
        tracker.suspect("e1", reason, at)
    for at in case.unanswered:
        tracker.note_silent("e1", at)
    if case.answered_at is not None:
        tracker.clear_suspicion("e1")
    if case.is_forgotten:
        tracker.forget("e1")
    return tracker


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_an_attempt_counts_unless_its_engine_has_ended(case: Case) -> None:
    """Guards against pauses that cost attempts which no limit counts."""
    tracker = track(case)
    runs = possible_runs.PossibleRuns(0)
    runs.add("e1", 0.0)
    assert runs.count(tracker.seems_ended) == case.count


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_silence_of_any_length_proves_no_end(case: Case) -> None:
    """Guards against engines that go on after a silence of seconds."""
    tracker = track(case)
    runs = possible_runs.PossibleRuns(0)
    runs.add("e1", 0.0)
    is_replaced = any(
        reason is engine_tracker.Suspicion.GONE for _, reason in case.suspected
    )
    assert runs.count(tracker.is_known_ended) == int(not is_replaced)


def test_attempts_at_one_engine_count_once() -> None:
    runs = possible_runs.PossibleRuns(0)
    for ended_at in (0.0, 1.0):
        runs.add("e1", ended_at)
    assert runs.count(lambda instance: False) == 1


def test_attempts_at_unknown_endpoints_always_count() -> None:
    runs = possible_runs.PossibleRuns(1)
    runs.add_settled()
    runs.add("e1", 0.0)
    assert runs.count(lambda instance: True) == 2
    runs.remove("e1")
    runs.remove("e2")
    assert runs.count(lambda instance: False) == 2


@pytest.mark.parametrize(
    ("ended_at", "cut", "expected"),
    [
        (0.9, (1.0, 2.0), 1),
        (1.0, (1.0, 2.0), 0),
        (2.0, (1.0, 2.0), 0),
        (2.1, (1.0, 2.0), 1),
        (9.0, (1.0, math.inf), 0),
    ],
)
def test_attempts_that_end_during_a_cut_do_not_count(
    ended_at: float, cut: tuple[float, float], expected: int
) -> None:
    runs = possible_runs.PossibleRuns(0)
    runs.add("e1", ended_at)
    runs.remove_within(*cut)
    assert runs.count(lambda instance: False) == expected


def test_only_so_many_ended_engines_are_remembered() -> None:
    tracker = engine_tracker.EngineTracker()
    for number in range(engine_tracker.MAX_ENDED + 1):
        tracker.note_ended(f"e{number}", engine_tracker.End.PORT_CLOSED)
    assert len(tracker.ended) == engine_tracker.MAX_ENDED
    assert not tracker.seems_ended("e0")


@pytest.mark.parametrize(
    ("nodes", "most_queries"), [(2, 10), (9, 10), (76, 3), (195, 2)]
)
def test_nodes_together_query_a_silent_engine_only_so_often(
    nodes: int, most_queries: int
) -> None:
    """Guards against queries of hundreds of nodes that an engine returns to.

    All nodes learn of its silence at once. Each must also find in time that the
    engine has ended.
    """
    tracker = engine_tracker.EngineTracker()
    tracker.query_factor = pooled_load.query_interval_factor(nodes)
    tracker.suspect("e1", UNREACHABLE, 0.0)
    queries = 0
    for tick in range(1, 20):
        now = 0.1 * tick
        if tracker.seems_ended("e1") or "e1" not in tracker.due_for_query(now):
            continue
        queries += 1
        gap_s = tracker.query_gap_s("e1", now)
        tracker.state("e1").suspect_until = now + gap_s
        tracker.note_silent("e1", now + 0.3)
    assert tracker.seems_ended("e1")
    assert tracker.state("e1").silent_until < 1.65
    assert queries <= most_queries


@pytest.mark.parametrize(
    ("earlier_runs", "max_attempts", "is_last_peer", "expected"),
    [
        (0, 1, False, 1),
        (0, 2, False, 1),
        (0, 3, False, 1),
        (1, 2, False, 1),
        (0, 1, True, 1),
        (0, 2, True, 2),
        (0, 3, True, 3),
        (1, 3, True, 2),
        (2, 2, True, 1),
    ],
)
def test_a_peer_leaves_runs_to_other_peers(
    earlier_runs: int, max_attempts: int, is_last_peer: bool, expected: int
) -> None:
    """Guards against a lost peer that costs all attempts of a route."""
    granted = possible_runs.granted_runs(
        earlier_runs, max_attempts, is_last_peer
    )
    assert granted == expected
