"""Streams on engines that leave."""

from __future__ import annotations

import asyncio
import types
from typing import Any

import pytest

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
        lambda instance, must: moved.append(must)
    )
    moves.leave_in_time()
    assert moved == [moves_at_any_cost]
