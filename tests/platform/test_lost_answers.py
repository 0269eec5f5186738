"""Engines that run streams and send nothing, while their reports are good."""

from __future__ import annotations

import asyncio

from almondshift.policy import repeat_budget
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

ON_TIME_S = 0.5
"""The objective of the stand-in's route for streams."""

NEVER_S = 30.0


async def warm_up(running: system.StandinSystem) -> None:
    """Lets the node learn how long first events take."""
    for number in range(6):
        assert (await whole.chat(running, f"w{number}"))[0] == 200


def mute_busiest(running: system.StandinSystem) -> None:
    busiest = max(running.engines.values(), key=lambda e: len(e.ran))
    busiest.first_s = NEVER_S


def test_a_stream_whose_answer_is_lost_is_on_time_all_the_same() -> None:
    """A caller waits in silence until it leaves after two seconds."""

    async def scenario() -> None:
        async with system.running_system(zones="ab") as running:
            await warm_up(running)
            mute_busiest(running)
            for number in range(4):
                started = asyncio.get_running_loop().time()
                status, _, body = await whole.chat(running, f"r{number}")
                took_s = asyncio.get_running_loop().time() - started
                assert (status, whole.tokens(body)) == (200, whole.WHOLE)
                assert took_s < 2 * ON_TIME_S
                assert whole.times_run(running, f"r{number}") <= 2

    asyncio.run(scenario())


def test_a_stream_that_may_not_be_repeated_stays() -> None:
    """A caller would be refused for a queue that takes half a second."""

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            await warm_up(running)
            budget = running.nodes[0].node.shared.budget
            budget.limits = repeat_budget.RepeatLimits(0.0, 10.0, 0.0)
            for engine in running.engines.values():
                engine.first_s = 2 * ON_TIME_S
            status, _, body = await whole.chat(running, "r1")
            assert (status, whole.tokens(body)) == (200, whole.WHOLE)
            assert whole.times_run(running, "r1") == 1

    asyncio.run(scenario())


def test_a_second_silent_run_is_the_last() -> None:
    """Operators bound the engines that one request may be run by."""

    async def scenario() -> None:
        async with system.running_system(zones="ab") as running:
            await warm_up(running)
            for engine in running.engines.values():
                engine.first_s = NEVER_S
            answer = asyncio.create_task(whole.chat(running, "r1"))
            await running.until(lambda: whole.times_run(running, "r1") == 2)
            await asyncio.sleep(2 * ON_TIME_S)
            assert whole.times_run(running, "r1") == 2
            book = running.nodes[0].node.shared.book
            assert not any(book.is_suspect(name) for name in running.engines)
            answer.cancel()

    asyncio.run(scenario())
