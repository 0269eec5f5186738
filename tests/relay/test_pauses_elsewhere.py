"""What a node takes a sound engine for that pauses, in other states."""

from __future__ import annotations

import asyncio

import pytest

from almondshift.policy import engine_tracker
from tests.platform import standin_system as system

PAUSES_S = (0.3, 0.9, 1.4)
QUERY_GAP_S = 0.25


def fall_silent(
    tracker: engine_tracker.EngineTracker, at: float, seconds: float
) -> None:
    """Has an engine leave all queries unanswered for a time."""
    tracker.suspect("e1", engine_tracker.Suspicion.UNREACHABLE, at)
    for number in range(1, int(seconds / QUERY_GAP_S) + 1):
        tracker.note_silent("e1", at + number * QUERY_GAP_S)


@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize(
    "reason",
    [engine_tracker.Suspicion.DRAINING, engine_tracker.Suspicion.STALLED],
)
def test_an_ejected_engine_that_pauses_has_not_ended(
    reason: engine_tracker.Suspicion, pause_s: float
) -> None:
    """Guards against a silence that is measured from an earlier suspicion.

    An engine drains, or has lost its link to another engine, for some seconds
    before it falls silent.
    """
    tracker = engine_tracker.EngineTracker()
    tracker.suspect("e1", reason, 0.0)
    fall_silent(tracker, 5.0, pause_s)
    assert not tracker.seems_ended("e1")
    assert tracker.may_be_paused("e1")
    gap_s = tracker.query_gap_s("e1", 5.0 + pause_s)
    assert gap_s == engine_tracker.SILENT_QUERY_GAP_S


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_an_engine_whose_entry_returns_counts_as_alive(pause_s: float) -> None:
    """Guards against an engine that counts as ended for as long as it lives.

    Its entry is missing for a moment while it pauses, as after an outage of the
    store. It continues, its entry returns, and it responds again.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            [process] = running.nodes
            engine, name = running.engines["a0"], "a0"
            engine.is_paused = True
            process.node.shared.lost_engines.suspect(
                name, engine_tracker.Suspicion.UNREACHABLE
            )
            running.store.remove("servers", name)
            await running.until(
                lambda: name not in process.node.catalogue.engines
            )
            await asyncio.sleep(pause_s)
            engine.is_paused = False
            engine.on_change()
            await running.until(lambda: name in process.node.catalogue.engines)
            queries = process.node.silence.queries
            assert await queries.report(name, engine.address) is not None
            assert not process.node.tracker.seems_ended(name)

    asyncio.run(scenario())
