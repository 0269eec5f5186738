"""Faults of one plain endpoint, by their names in feature files."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.faults import backlogs
from tests.faults import proxy as proxies

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.scenarios.datapath import paths

SERVICE = "slip"
ENDPOINT = "slip1"
SLOW_DELAY_S = 2.0
CUT_DELAY_S = 0.2
HALF_REQUEST_BYTES = 150
HALF_ANSWER_BYTES = 30


async def inject(system: paths.PathSystem, fault: str) -> None:
    """Injects a fault that lasts until the system is healed."""
    await FAULTS[fault](system)


async def refuse(system: paths.PathSystem) -> None:
    await system.proxies[ENDPOINT].refuse()


async def fill_backlog(system: paths.PathSystem) -> None:
    proxy = system.proxies[ENDPOINT]
    await proxy.refuse()
    system.full_backlogs.append(backlogs.FullBacklog(proxy.port))


async def hold_requests(system: paths.PathSystem) -> None:
    system.proxies[ENDPOINT].blocked_directions.add(proxies.Direction.UP)


async def cut_requests_short(system: paths.PathSystem) -> None:
    system.proxies[ENDPOINT].request_limit = HALF_REQUEST_BYTES


async def cut_mid_request(system: paths.PathSystem) -> None:
    proxy = system.proxies[ENDPOINT]
    proxy.blocked_directions.add(proxies.Direction.UP)
    system.tasks.append(asyncio.create_task(_cut_next(proxy)))


async def _cut_next(proxy: proxies.FaultProxy) -> None:
    before = proxy.connections
    while proxy.connections == before:
        await asyncio.sleep(proxies.POLL_S)
    await asyncio.sleep(CUT_DELAY_S)
    proxy.cut()


async def hold_answers(system: paths.PathSystem) -> None:
    system.proxies[ENDPOINT].blocked_directions.add(proxies.Direction.DOWN)


async def cut_answers_short(system: paths.PathSystem) -> None:
    system.proxies[ENDPOINT].answer_limit = HALF_ANSWER_BYTES


async def close_after_run(system: paths.PathSystem) -> None:
    await system.control(ENDPOINT, swallow_answers=1)


async def slow_down(system: paths.PathSystem) -> None:
    await system.control(ENDPOINT, slow_s=SLOW_DELAY_S)


async def refuse_calls(system: paths.PathSystem) -> None:
    await system.control(ENDPOINT, refuse=True)


FAULTS: dict[str, Callable[[paths.PathSystem], Awaitable[None]]] = {
    "refuses connections": refuse,
    "accepts no connection": fill_backlog,
    "gets no request": hold_requests,
    "gets half the request": cut_requests_short,
    "is cut mid-request": cut_mid_request,
    "sends no answer": hold_answers,
    "sends half an answer": cut_answers_short,
    "closes after the run": close_after_run,
    "is slow": slow_down,
    "refuses the call": refuse_calls,
}
