"""What callers get while all engines are full."""

from __future__ import annotations

import asyncio

import pytest

from almondshift.policy import engine_book
from almondshift.policy import repeat_budget
from almondshift.relay import runs
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

AT_ONCE_S = 0.5

NO_ROOM_S = 1.0
"""Longer than four sends take that are refused, and less than the two seconds
after which callers leave a silent stream."""

BROKEN_AT = 12
EVENT_GAP_S = 0.02


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


async def begin_stream(
    running: system.StandinSystem,
) -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
    """Begins a stream of 20 events that will be cut after some of them."""
    for engine in running.engines.values():
        engine.gap_s, engine.cut_after = EVENT_GAP_S, BROKEN_AT
    stream = asyncio.create_task(whole.chat(running, "r1"))
    await running.until(lambda: whole.times_run(running, "r1") == 1)
    return stream


@pytest.mark.parametrize("zones", ["ab", "abc"])
def test_a_begun_stream_outlasts_engines_that_are_full_for_a_moment(
    zones: str,
) -> None:
    """A caller's stream is broken off though room comes a moment later.

    Its engine breaks off; the engines of one zone after another refuse for
    want of memory. Refusals run nothing, yet with four sends in all, within
    some ms of the break, the stream was given up.
    """

    async def scenario() -> None:
        async with system.running_system(zones=zones) as running:
            stream = await begin_stream(running)
            for engine in running.engines.values():
                engine.is_full = True
            await asyncio.sleep(BROKEN_AT * EVENT_GAP_S + NO_ROOM_S)
            for engine in running.engines.values():
                engine.is_full = False
            status, _, body = await stream
            assert status == 200
            assert whole.tokens(body) == whole.WHOLE
            assert whole.times_run(running, "r1") == 2

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("empty_s", "status"), [(0.0, 200), (NO_ROOM_S, 200), (4.0, 0)]
)
def test_a_begun_stream_waits_for_the_budget_of_repeats(
    empty_s: float, status: int
) -> None:
    """A caller's stream is broken off on a node that has just started.

    Refusals of new requests have used up the node's small budget when the
    engine of a begun stream breaks off. New requests add to the budget, and
    the stream goes on, unless that takes longer than its caller waits.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            shared = running.nodes[0].node.shared
            stream = await begin_stream(running)
            limits = shared.budget.limits
            shared.budget.limits = repeat_budget.RepeatLimits(0.0, 10.0, 0.0)
            await asyncio.sleep(BROKEN_AT * EVENT_GAP_S + empty_s)
            shared.budget.limits = limits
            answer = await stream
            assert answer[0] == status
            assert whole.tokens(answer[2]) == (whole.WHOLE if status else [])
            assert whole.times_run(running, "r1") == (2 if status else 1)

    asyncio.run(scenario())
