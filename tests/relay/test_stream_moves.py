"""Streams on engines that are leaving or seem dead."""

from __future__ import annotations

import asyncio
import types
from typing import Any

import pytest

from almondshift.model import relayed
from almondshift.relay import background
from almondshift.relay import stream_moves
from tests import asynchronous


@pytest.mark.parametrize(
    ("notice_s", "since_s", "may_leave_zone"),
    [
        (2.0, 1.5, False),
        (2.0, 1.7, True),
        (3.0, 1.7, False),
        (3.0, 2.7, True),
        (0.0, 0.1, True),
    ],
)
@asynchronous.run
async def test_streams_stay_in_their_zone_during_the_notice_period(
    notice_s: float, since_s: float, may_leave_zone: bool
) -> None:
    """Streams that move too early get event gaps on the links between zones."""
    shared: Any = types.SimpleNamespace(engine_notice_s=notice_s)
    moves = stream_moves.StreamMoves(shared, background.Background())
    moves.leaving["e"] = asyncio.get_running_loop().time() - since_s
    moved: list[bool] = []
    moves.move_from = (  # type: ignore[method-assign]
        lambda instance, is_forced: moved.append(is_forced)
    )
    moves.move_off_leaving()
    assert moved == [may_leave_zone]


class FakeAttempt:
    def __init__(self, active_at: float, first: str) -> None:
        self.sent_at = 0.0
        self.active_at = active_at
        self.first = relayed.PathPart(first, f"{first}:1", 0, 1)


class FakeRun:
    """A stream with regular events, the last one ``age_s`` ago.

    Args:
        pause_s: Interval between events.
        age_s: Time since the last event.
        first: Instance of the first engine.
    """

    def __init__(self, pause_s: float, age_s: float, first: str = "e") -> None:
        self.events_sent = 11
        self.first_at = 0.0
        self.progress_at = 10 * pause_s
        now = asyncio.get_running_loop().time()
        self.attempt = FakeAttempt(now - age_s, first)


@pytest.mark.parametrize(
    ("pauses_and_ages", "late_s", "is_streaming"),
    [
        ([], 0.0, False),
        ([(0.02, 0.03)], 0.0, True),
        ([(0.02, 0.12)], 0.0, False),
        ([(0.08, 0.12)], 0.0, True),
        ([(0.08, 0.30)], 0.0, False),
        # One stream waits for another engine of its path.
        ([(0.02, 0.50), (0.02, 0.03)], 0.0, True),
        # No stream had an event within the time of two unanswered queries.
        ([(0.02, 0.16), (0.08, 0.16)], 0.0, False),
        # This process was not scheduled, so events have not been read yet.
        ([(0.02, 0.22)], 0.2, True),
    ],
)
@asynchronous.run
async def test_an_engine_is_alive_while_its_streams_receive_events(
    pauses_and_ages: list[tuple[float, float]],
    late_s: float,
    is_streaming: bool,
) -> None:
    """Otherwise streams would leave an engine that closed its port to drain."""
    shared: Any = types.SimpleNamespace()
    moves = stream_moves.StreamMoves(shared, background.Background())
    runs: Any = [FakeRun(pause, age) for pause, age in pauses_and_ages]
    runs.append(FakeRun(0.02, 0.01, first="another"))
    moves.streams = lambda: runs  # type: ignore[method-assign]
    moves.late_s = late_s
    assert moves.is_streaming("e") is is_streaming
