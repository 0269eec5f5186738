"""Streams on engines that leave, or that seem dead."""

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
    ("notice_s", "since_s", "moves_at_any_cost"),
    [
        (2.0, 1.5, False),
        (2.0, 1.7, True),
        (3.0, 1.7, False),
        (3.0, 2.7, True),
        (0.0, 0.1, True),
    ],
)
@asynchronous.run
async def test_streams_stay_in_their_zone_while_the_notice_lasts(
    notice_s: float, since_s: float, moves_at_any_cost: bool
) -> None:
    """Moved too early, streams falter over links between zones."""
    shared: Any = types.SimpleNamespace(engine_notice_s=notice_s)
    moves = stream_moves.StreamMoves(shared, background.Background())
    moves.leaving["e"] = asyncio.get_running_loop().time() - since_s
    moved: list[bool] = []
    moves.move_from = (  # type: ignore[method-assign]
        lambda instance, is_forced: moved.append(is_forced)
    )
    moves.move_off_leaving()
    assert moved == [moves_at_any_cost]


class FakeAttempt:
    def __init__(self, active_at: float, first: str) -> None:
        self.sent_at = 0.0
        self.active_at = active_at
        self.first = relayed.PathPart(first, f"{first}:1", 0, 1)


class FakeRun:
    """A stream of an event in each pause, the last one some time ago."""

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
        # One waits for another engine of its path.
        ([(0.02, 0.50), (0.02, 0.03)], 0.0, True),
        # Two queries were not answered since the last event of any.
        ([(0.02, 0.16), (0.08, 0.16)], 0.0, False),
        # Nothing was read meanwhile.
        ([(0.02, 0.22)], 0.2, True),
    ],
)
@asynchronous.run
async def test_an_engine_lives_while_its_streams_keep_their_pauses(
    pauses_and_ages: list[tuple[float, float]],
    late_s: float,
    is_streaming: bool,
) -> None:
    """Streams would leave an engine that closed its port and serves them on."""
    shared: Any = types.SimpleNamespace()
    moves = stream_moves.StreamMoves(shared, background.Background())
    runs: Any = [FakeRun(pause, age) for pause, age in pauses_and_ages]
    runs.append(FakeRun(0.02, 0.01, first="another"))
    moves.streams = lambda: runs  # type: ignore[method-assign]
    moves.late_s = late_s
    assert moves.is_streaming("e") is is_streaming
