"""What callers get while all engines are full."""

from __future__ import annotations

import asyncio

import pytest

from almondshift.policy import engine_book
from almondshift.relay import runs
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

AT_ONCE_S = 0.5


@pytest.mark.parametrize("zones", ["a", "ab", "abc"])
def test_a_request_that_all_engines_refused_is_called_not_run(
    zones: str,
) -> None:
    """A caller gets 502, which promises nothing, though nothing has run.

    The engines of one zone after another refuse a stream for want of memory.
    A caller that is told so comes back when it is asked to; after 502 it does
    not, and its request is lost.
    """

    async def scenario() -> None:
        async with system.running_system(zones=zones) as running:
            for engine in running.engines.values():
                engine.is_full = True
            loop = asyncio.get_running_loop()
            started = loop.time()
            status, fields, _ = await whole.chat(running, "r1")
            assert status == 503
            assert float(fields["retry-after"]) >= runs.RETRY_FLOOR_S
            assert loop.time() - started < AT_ONCE_S
            assert whole.times_run(running, "r1") == 0
            for engine in running.engines.values():
                engine.is_full = False
            await asyncio.sleep(float(fields["retry-after"]))
            assert (await whole.chat(running, "r2"))[0] == 200

    asyncio.run(scenario())


def test_a_stream_that_broke_off_before_is_never_called_not_run() -> None:
    """A caller that is told "not run" could have its request run twice.

    The engine of one zone closes before the first event, when it may have
    run; those of the other zones refuse before that or after.
    """

    async def scenario() -> None:
        async with system.running_system(zones="abc") as running:
            for engine in running.engines.values():
                engine.cut_after = 0
                engine.is_full = not engine.instance.startswith("a")
            for number in range(5):
                request_id = f"r{number}"
                answer = await whole.chat(running, request_id)
                ran = whole.times_run(running, request_id)
                assert answer[0] == (502 if ran else 503)
                await asyncio.sleep(engine_book.FULL_S)
            assert any(engine.ran for engine in running.engines.values())

    asyncio.run(scenario())
