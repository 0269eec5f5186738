from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import proxy as proxies
from tests.scenarios.datapath import faults

if TYPE_CHECKING:
    from tests.scenarios.datapath import paths

scenarios("../features/link_cut.feature")

TOKENS_BETWEEN_CUTS = 2
MAX_LAST_STEP_S = 1.0


@when(
    parsers.parse("the links to {name}'s {stage} stage are cut {count:d} times")
)
def cut_repeatedly(
    world: paths.PathWorld, name: str, stage: str, count: int
) -> None:
    for _ in range(count):
        received = len(world.requests[name].tokens)
        world.wait_tokens(name, received + TOKENS_BETWEEN_CUTS)
        faults.cut_after_run(world, world.stage_of(name, stage))


@when(parsers.parse("the links are cut as {name}'s answer ends"))
def cut_at_end(world: paths.PathWorld, name: str) -> None:
    request = world.requests[name]
    world.hold_stage_at(name, "last", request.count - 1)
    world.run(asyncio.sleep(faults.IN_FLIGHT_S))
    for proxy in world.system.proxies.values():
        proxy.blocked_directions.add(proxies.Direction.UP)
    world.release_stages()
    # If the last step timed out while it was held, its replacement can't be
    # reached before the links are open again.
    world.run(asyncio.wait({request.task}, timeout=MAX_LAST_STEP_S))
    world.run(asyncio.sleep(faults.IN_FLIGHT_S))
    for proxy in world.system.proxies.values():
        proxy.cut()
        proxy.blocked_directions.clear()
    world.answer(name)


@then("no engine keeps a session")
def no_session(world: paths.PathWorld) -> None:
    async def is_empty() -> bool:
        reports = [await world.system.load(e) for e in world.system.engines]
        return not any(report["sessions"] for report in reports)

    world.run(world.system.wait_for(is_empty, "no sessions"))
