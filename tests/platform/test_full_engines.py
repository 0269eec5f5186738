"""Responses to callers while all engines are full."""

from __future__ import annotations

import asyncio

import pytest

from almondshift.policy import engine_tracker
from almondshift.policy import repeat_budget
from almondshift.relay import runs
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

MAX_REFUSAL_TIME_S = 0.5

SHORTAGE_S = 1.0
"""Longer than four refused attempts take, and less than the two seconds after
which callers abandon a silent stream."""

CUT_AFTER_EVENTS = 12
EVENT_GAP_S = 0.02


@pytest.mark.parametrize("zones", ["a", "ab", "abc"])
def test_a_request_that_all_engines_refused_is_reported_as_not_run(
    zones: str,
) -> None:
    """Guards against status 502 (outcome unknown) although nothing has run.

    The engines of one zone after another refuse a stream for lack of memory.
    A caller repeats a request after 503 with Retry-After, but not after 502,
    so that the request would be lost.
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
            assert loop.time() - started < MAX_REFUSAL_TIME_S
            assert whole.times_run(running, "r1") == 0
            for engine in running.engines.values():
                engine.is_full = False
            await asyncio.sleep(float(fields["retry-after"]))
            assert (await whole.chat(running, "r2"))[0] == 200

    asyncio.run(scenario())


def test_a_stream_that_was_interrupted_is_never_reported_as_not_run() -> None:
    """Guards against a caller whose request runs twice after "not run".

    The engine of one zone closes the connection before the first event, when
    the request may have run; the other zones' engines refuse it before or
    after that.
    """

    async def scenario() -> None:
        async with system.running_system(zones="abc") as running:
            for engine in running.engines.values():
                engine.cut_after = 0
                engine.is_full = not engine.instance.startswith("a")
            for number in range(5):
                request_id = f"r{number}"
                response = await whole.chat(running, request_id)
                ran = whole.times_run(running, request_id)
                assert response[0] == (502 if ran else 503)
                await asyncio.sleep(engine_tracker.FULL_S)
            assert any(engine.ran for engine in running.engines.values())

    asyncio.run(scenario())


async def start_stream(
    running: system.StandinSystem,
) -> asyncio.Task[tuple[int, dict[str, str], bytes]]:
    """Starts a stream of 20 events that is cut after 12 of them."""
    for engine in running.engines.values():
        engine.gap_s, engine.cut_after = EVENT_GAP_S, CUT_AFTER_EVENTS
    stream = asyncio.create_task(whole.chat(running, "r1"))
    await running.until(lambda: whole.times_run(running, "r1") == 1)
    return stream


@pytest.mark.parametrize("zones", ["ab", "abc"])
def test_a_started_stream_survives_engines_that_are_briefly_full(
    zones: str,
) -> None:
    """Guards against giving up a stream although memory becomes free soon.

    Its engine closes the connection, and the engines of one zone after another
    refuse it for lack of memory. Refusals run nothing, so they must not use up
    the four attempts of a stream within a few ms.
    """

    async def scenario() -> None:
        async with system.running_system(zones=zones) as running:
            stream = await start_stream(running)
            for engine in running.engines.values():
                engine.is_full = True
            await asyncio.sleep(CUT_AFTER_EVENTS * EVENT_GAP_S + SHORTAGE_S)
            for engine in running.engines.values():
                engine.is_full = False
            status, _, body = await stream
            assert status == 200
            assert whole.tokens(body) == whole.WHOLE
            assert whole.times_run(running, "r1") == 2

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("budget_empty_s", "status"), [(0.0, 200), (SHORTAGE_S, 200), (4.0, 0)]
)
def test_a_started_stream_waits_for_the_retry_budget(
    budget_empty_s: float, status: int
) -> None:
    """Guards against interrupted streams on a node that has just started.

    Refusals of new requests have used up the node's small retry budget when
    the engine of a started stream closes the connection. New requests refill
    the budget and the stream resumes, unless that takes longer than its
    caller waits.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            shared = running.nodes[0].node.shared
            stream = await start_stream(running)
            limits = shared.budget.limits
            shared.budget.limits = repeat_budget.RepeatLimits(0.0, 10.0, 0.0)
            await asyncio.sleep(CUT_AFTER_EVENTS * EVENT_GAP_S + budget_empty_s)
            shared.budget.limits = limits
            response = await stream
            assert response[0] == status
            assert whole.tokens(response[2]) == (whole.WHOLE if status else [])
            assert whole.times_run(running, "r1") == (2 if status else 1)

    asyncio.run(scenario())
