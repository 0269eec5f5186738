"""What callers are told of requests that no engine ran."""

from __future__ import annotations

import asyncio

from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole


def test_a_request_that_several_engines_refused_has_not_run() -> None:
    """A caller must hear that its request may be sent again at once.

    Engines behind the first ones die in both zones. The first engine of one
    zone refuses the request as not run, and so does that of the other zone.
    The node said that the request may have run, so that callers who may send
    it again only if it has not run gave it up.
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
