"""Engines that name a limit of requests per second from all nodes together."""

from __future__ import annotations

import asyncio
import itertools

import pytest

from tests.platform import standin_engines
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

WINDOW_S = 4.0
FACTOR = 1.5
EXTRA = 5
"""A window of four seconds may have one and a half times the limit and five
requests more."""

SETTLE_S = 1.0
"""Time after a limit was first named in which nodes may still learn of it."""

LOAD_S = 7.0
CALLERS = 12


def most_in_window(times: list[float], since: float) -> int:
    """Returns the most arrivals in a window that begins after ``since``."""
    counted = [at for at in times if at >= since]
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in counted)
            for start in counted
        ),
        default=0,
    )


def first_engine(
    running: system.StandinSystem, zone: str
) -> standin_engines.StandinEngine:
    """Returns an engine of a zone with which paths begin."""
    return next(
        engine
        for name, engine in running.engines.items()
        if name.startswith(zone)
        and engine.layers is not None
        and engine.layers[0] == 0
    )


async def send_continuously(
    running: system.StandinSystem, caller: int, until: float
) -> list[int]:
    """Sends requests one after another; returns their statuses."""
    loop = asyncio.get_running_loop()
    statuses = []
    for number in itertools.count():
        if loop.time() >= until:
            return statuses
        node = (caller + number) % len(running.nodes)
        status, _, _ = await whole.chat(running, f"r{caller}-{number}", node)
        statuses.append(status)
        await asyncio.sleep(0.1)
    return statuses


@pytest.mark.parametrize("limit", [1.0, 4.0])
def test_nodes_together_keep_the_limit_that_an_engine_names(
    limit: float,
) -> None:
    """Guards against an engine in need that is sent requests as before.

    The first engine of one of two chains names a limit while several nodes
    send it requests. The other chain has room for the rest.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=3) as running:
            await running.wait_for_peers()
            limited = first_engine(running, "a")
            limited.limits = [str(limit)]
            loop = asyncio.get_running_loop()
            started = loop.time()
            results = await asyncio.gather(
                *(
                    send_continuously(running, caller, started + LOAD_S)
                    for caller in range(CALLERS)
                )
            )
            allowed = FACTOR * limit * WINDOW_S + EXTRA
            since = limited.arrivals[0] + SETTLE_S
            assert most_in_window(limited.arrivals, since) <= allowed
            assert most_in_window(limited.other_calls, since) <= allowed
            assert {s for statuses in results for s in statuses} == {200}

    asyncio.run(scenario())
