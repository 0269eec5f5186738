"""Engines whose responses say that they are shutting down."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform import standin_system as system
from tests.platform import test_resting_engines

DRAIN_S = 2.0
"""Time after which an engine that announced its end gets no request."""

SECONDS = 7.0


@pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/look/x"])
def test_an_engine_that_says_it_leaves_gets_no_new_requests(path: str) -> None:
    """Guards against requests to leaving engines that are registered as ready.

    Callers are served by the others.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            engine = await test_resting_engines.find_used_engine(running, path)
            engine.says_leaving = True
            address = running.nodes[0].settings.entry.address
            answers = await test_resting_engines.send_steadily(
                address, path, SECONDS
            )
            late = [
                at
                for at in engine.arrivals
                if at - engine.arrivals[0] > DRAIN_S
            ]
            assert not late
            assert {status for status, _ in answers} == {200}

    asyncio.run(scenario())
