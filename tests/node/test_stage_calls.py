from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import expression
import pytest

from almondshift import errors
from almondshift.node import stage_calls
from tests import asynchronous

LOST = expression.Error(errors.EndpointOutcomeUnknown("lost"))
DONE = expression.Ok(None)
ALL = 1 + len(stage_calls.CANCEL_REPEAT_DELAYS_S)


@pytest.mark.parametrize(
    ("outcomes", "may_reopen", "is_replaced", "cancels"),
    [
        ([DONE], False, False, 1),
        ([LOST, LOST, DONE], False, False, 3),
        ([LOST] * ALL, False, False, ALL),
        ([DONE] * ALL, True, False, ALL),
        ([LOST], False, True, 1),
    ],
    ids=["done", "lost twice", "always lost", "unanswered step", "replaced"],
)
@asynchronous.run
async def test_a_session_is_cancelled_until_the_engine_surely_drops_it(
    outcomes: list[Any], may_reopen: bool, is_replaced: bool, cancels: int
) -> None:
    """Guards against sessions that keep an engine from another version.

    A step that timed out may open its session after the first cancel.
    """
    engine, directory, driver = mock.Mock(), mock.Mock(), mock.Mock()
    engine.cancel = mock.AsyncMock(side_effect=outcomes)
    driver.clock.sleep = mock.AsyncMock()
    later = mock.Mock() if is_replaced else engine
    directory.engine.side_effect = [engine, *[later] * ALL]
    calls = stage_calls.NodeStageCalls(directory, driver, mock.Mock())
    calls.cancel_session("e", "session", may_reopen=may_reopen)
    await asyncio.sleep(0.01)
    assert engine.cancel.await_count == cancels
