"""Requests that peers run on several engines for a node that is cut off."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform import standin_system as system
from tests.platform import test_requests_for_peers as for_peers
from tests.platform import test_silent_engines as silent
from tests.platform import test_whole_system as whole

REQUESTS = 12
GAP_S = 0.4
"""Longer than failed connections count as a sign of a lost link."""


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_engines_that_a_peer_used_count(max_attempts: int) -> None:
    """Guards against a node that counts one run for all of its peer's.

    Engines break streams off, so that each peer uses all attempts of the
    route and gives up. Nobody may start with a new count.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=4, zones="abc") as running:
            await silent.prepare(running, max_attempts)
            await for_peers.cut_off(running, [0])
            for engine in running.engines.values():
                engine.cut_after = 3
            for number in range(REQUESTS):
                await whole.chat(running, f"r{number}")
                await asyncio.sleep(GAP_S)
            found = silent.engines_by_request(running)
            over = [
                f"r{n}"
                for n in range(REQUESTS)
                if len(found[f"r{n}"]) > max_attempts
            ]
            assert over == []

    asyncio.run(scenario())
