"""Repeats of all nodes together, while endpoints refuse and reset requests."""

from __future__ import annotations

import asyncio
import random

import pytest

from almondshift.adapters import relay_settings
from tests.platform import repeat_counts
from tests.platform import standin_engines
from tests.platform import standin_system as system

LIMITS = relay_settings.RepeatsSection(ratio=0.2, window_s=4.0, allowance=8.0)
NODES = 6
PLAIN_ENDPOINTS = 6
REQUESTS_PER_S = 150.0
NONE = standin_engines.RequestFault.NONE
REFUSE = standin_engines.RequestFault.REFUSE
RESET = standin_engines.RequestFault.RESET


def let_endpoints_fail(
    running: system.StandinSystem,
    faults: tuple[standin_engines.RequestFault, ...],
    rng: random.Random,
) -> None:
    """Makes every engine draw one of the faults for each request."""
    for engine in running.engines.values():
        engine.draw_fault = lambda: rng.choice(faults)


@pytest.mark.parametrize(
    "faults",
    [(REFUSE, RESET), (NONE, NONE, REFUSE, RESET), (REFUSE,), (RESET,)],
    ids=["both", "half", "refuse", "reset"],
)
def test_repeats_stay_within_the_budget_of_all_nodes(
    faults: tuple[standin_engines.RequestFault, ...],
) -> None:
    """Guards against sends to a peer that no node's retry budget covers."""

    async def scenario() -> None:
        async with system.running_system(NODES, repeats=LIMITS) as running:
            for index in range(PLAIN_ENDPOINTS - 2):
                await running.add_engine(
                    f"px{index}", system.PLAIN_SERVICE, "ab"[index % 2]
                )
            await running.wait_for_peers()
            rng = random.Random(1)
            counts = repeat_counts.RepeatCounts(running, rng)
            await counts.send_for(2.0, REQUESTS_PER_S)
            let_endpoints_fail(running, faults, rng)
            await counts.send_for(10.0, REQUESTS_PER_S)
            for service in (system.PLAIN_SERVICE, system.MODEL_SERVICE):
                window = counts.worst_window(service)
                assert window.is_within_limit, (service, window)

    asyncio.run(scenario())
