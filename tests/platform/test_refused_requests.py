"""Responses to requests that no engine ran."""

from __future__ import annotations

import asyncio

from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole


def test_a_request_that_several_engines_refused_is_reported_as_not_run() -> (
    None
):
    """Guards against reporting that the request may have run.

    All engines but the first of each zone are dead, so the first engines of
    both zones refuse the request as not run. Callers that may repeat a request
    only if it has not run would give it up.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.is_dead = engine.layers is not None and (
                    engine.layers[0] > 0
                )
            status, fields, _ = await whole.chat(running, "r1")
            assert whole.times_run(running, "r1") == 0
            assert status == 503
            assert 0 < float(fields["retry-after"]) < 2

    asyncio.run(scenario())
