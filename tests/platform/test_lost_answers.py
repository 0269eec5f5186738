"""Endpoints that send no response or events, while they report as healthy."""

from __future__ import annotations

import asyncio

from almondshift.policy import repeat_budget
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

OBJECTIVE_S = 0.5
"""The latency objective of the stand-in system's streaming route."""

NEVER_S = 30.0


async def warm_up(running: system.StandinSystem) -> None:
    """Gives the node samples of the time to the first event."""
    for number in range(6):
        assert (await whole.chat(running, f"w{number}"))[0] == 200


def silence_busiest_engine(running: system.StandinSystem) -> None:
    busiest = max(running.engines.values(), key=lambda e: len(e.ran))
    busiest.first_event_delay_s = NEVER_S


def test_a_stream_whose_response_is_lost_still_meets_its_objective() -> None:
    """Guards against a caller that leaves after two seconds without events."""

    async def scenario() -> None:
        async with system.running_system(zones="ab") as running:
            await warm_up(running)
            silence_busiest_engine(running)
            for number in range(4):
                started = asyncio.get_running_loop().time()
                status, _, body = await whole.chat(running, f"r{number}")
                took_s = asyncio.get_running_loop().time() - started
                assert (status, whole.tokens(body)) == (200, whole.WHOLE)
                assert took_s < 2 * OBJECTIVE_S
                assert whole.times_run(running, f"r{number}") <= 2

    asyncio.run(scenario())


def test_a_stream_that_may_not_be_repeated_keeps_its_engine() -> None:
    """Otherwise a queue of half a second at an engine ends in a refusal."""

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            await warm_up(running)
            budget = running.nodes[0].node.shared.budget
            budget.limits = repeat_budget.RepeatLimits(0.0, 10.0, 0.0)
            for engine in running.engines.values():
                engine.first_event_delay_s = 2 * OBJECTIVE_S
            status, _, body = await whole.chat(running, "r1")
            assert (status, whole.tokens(body)) == (200, whole.WHOLE)
            assert whole.times_run(running, "r1") == 1

    asyncio.run(scenario())


def test_a_stream_is_repeated_only_once_without_events() -> None:
    """Operators limit how many engines may run one request."""

    async def scenario() -> None:
        async with system.running_system(zones="ab") as running:
            await warm_up(running)
            for engine in running.engines.values():
                engine.first_event_delay_s = NEVER_S
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await running.until(lambda: whole.times_run(running, "r1") == 2)
            await asyncio.sleep(2 * OBJECTIVE_S)
            assert whole.times_run(running, "r1") == 2
            tracker = running.nodes[0].node.shared.tracker
            assert not any(tracker.is_suspect(name) for name in running.engines)
            stream.cancel()

    asyncio.run(scenario())


def test_a_request_that_could_not_leave_a_slow_endpoint_counts_once() -> None:
    """Guards against an attempt that counts when it is late and when it ends.

    The nodes' retry budget allows no second attempt when the endpoint is late,
    but does when the endpoint breaks the connection.
    """

    async def scenario() -> None:
        async with system.running_system(zones="ab") as running:
            budget = running.nodes[0].node.shared.budget
            limits = budget.limits
            budget.limits = repeat_budget.RepeatLimits(0.0, 10.0, 0.0)
            plain = [e for e in running.engines.values() if not e.kind]
            for engine in plain:
                engine.response_delay_s = 3 * OBJECTIVE_S
                engine.resets = True
            sent = asyncio.create_task(
                system.send(
                    running.nodes[0].settings.entry.address,
                    system.request("/look/x", "l1"),
                    b"x",
                )
            )
            await running.until(lambda: whole.times_run(running, "l1") == 1)
            for engine in plain:
                engine.resets = "l1" in engine.ran
            await asyncio.sleep(2.5 * OBJECTIVE_S)
            budget.limits = limits
            status, _, _ = await sent
            assert status == 200
            assert whole.times_run(running, "l1") == 2

    asyncio.run(scenario())
