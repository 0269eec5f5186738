"""Times for which engines ask for no requests."""

from __future__ import annotations

import pytest

from almondshift.policy import engine_backoffs
from almondshift.policy import engine_tracker


@pytest.mark.parametrize(
    ("backoffs", "ends_at"),
    [
        pytest.param([(0.0, 3.0)], 3.0, id="once"),
        pytest.param([(0.0, 3.0), (1.0, 0.5)], 3.0, id="a shorter one later"),
        pytest.param([(0.0, 3.0), (1.0, 4.0)], 5.0, id="a longer one later"),
        pytest.param(
            [(0.0, 1e9)], engine_backoffs.MAX_BACKOFF_S, id="a mistaken one"
        ),
    ],
)
def test_a_backoff_ends_with_the_last_request_for_it(
    backoffs: list[tuple[float, float]], ends_at: float
) -> None:
    """Guards against backoffs that are cut short, or that never end."""
    tracker = engine_tracker.EngineTracker()
    for now, backoff_s in backoffs:
        tracker.note_backoff("e", backoff_s, now)
    assert tracker.is_in_backoff("e", ends_at - 0.01)
    assert not tracker.is_in_backoff("e", ends_at)


def test_an_engine_that_started_again_has_no_backoff() -> None:
    """Guards against the backoff of one start that binds the next."""
    tracker = engine_tracker.EngineTracker()
    tracker.note_backoff("e@1", 3.0, 0.0)
    assert not tracker.is_in_backoff("e@2", 1.0)


def test_a_backoff_outlives_the_registry_entry() -> None:
    """Guards against requests to an engine whose entry expired and returned."""
    tracker = engine_tracker.EngineTracker()
    tracker.note_backoff("e@1", 3.0, 0.0)
    tracker.forget("e@1")
    assert tracker.is_in_backoff("e@1", 2.9)
    assert not tracker.is_in_backoff("e@1", 3.0)


def test_backoffs_are_bounded() -> None:
    """Guards against memory that fills up with starts of engines."""
    backoffs = engine_backoffs.EngineBackoffs()
    for number in range(engine_backoffs.MAX_BACKOFFS):
        backoffs.note(f"e@{number}", 1.0, 0.0)
    backoffs.note("last@1", 1.0, 0.5)
    assert len(backoffs.ends) == engine_backoffs.MAX_BACKOFFS
    assert backoffs.is_active("last@1", 0.6)
    for number in range(engine_backoffs.MAX_BACKOFFS):
        backoffs.note(f"f@{number}", 1.0, 2.0)
    assert "last@1" not in backoffs.ends


def test_the_shortest_of_several_backoffs_is_told() -> None:
    tracker = engine_tracker.EngineTracker()
    tracker.note_backoff("a", 3.0, 0.0)
    tracker.note_backoff("b", 2.0, 0.0)
    assert tracker.shortest_backoff_s(["a", "b", "c"], 0.5) == 1.5
    assert tracker.shortest_backoff_s(["c"], 0.5) == 0.0
