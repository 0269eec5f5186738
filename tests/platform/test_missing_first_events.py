"""Engines whose callers disconnect before the first event."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole


@pytest.mark.parametrize(
    ("waited_s", "is_avoided"), [(1.7, True), (0.5, False)]
)
def test_a_caller_without_a_first_event_counts_against_the_first_engine(
    waited_s: float, is_avoided: bool
) -> None:
    """Guards against sending more callers to an overloaded chain of engines.

    A caller waits for a first event and closes the connection. If it waited
    as long as callers usually do, the first engine is marked, so that the next
    request goes to the other zone's chain.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            shared = running.nodes[0].node.shared
            for engine in running.engines.values():
                engine.first_event_delay_s = 30.0
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await running.until(lambda: whole.times_run(running, "r1") == 1)
            [run] = shared.running
            first = run.attempt.first.instance  # type: ignore[attr-defined]
            await asyncio.sleep(waited_s)
            stream.cancel()
            await running.until(lambda: not shared.running)
            now = shared.clock.monotonic()
            assert shared.tracker.lacks_first_events(first, now) is is_avoided

    asyncio.run(scenario())
