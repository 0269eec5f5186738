"""Steps for outages of the platform and its return."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import systems

if TYPE_CHECKING:
    from tests.scenarios import control as controls

MEASURE_S = 3.0
WINDOW_S = 1.0
SAMPLE_INTERVAL_S = 0.05
USUAL_RATE = "usual rate"
SERVE_LIMIT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    at: float
    reads: int
    writes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Peak reads and writes within any second."""

    reads: int
    writes: int


async def _sample(control: controls.Control) -> Sample:
    assert control.system.platform is not None
    counts = await control.system.get_json(
        control.system.platform.address, "/v1/control"
    )
    now = asyncio.get_running_loop().time()
    return Sample(now, counts["reads"], counts["writes"])


async def _measure(control: controls.Control) -> Rate:
    samples = [await _sample(control)]
    while samples[-1].at < samples[0].at + MEASURE_S:
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        samples.append(await _sample(control))
    pairs = [
        (one, other)
        for one in samples
        for other in samples
        if 0.0 <= other.at - one.at <= WINDOW_S
    ]
    return Rate(
        max(other.reads - one.reads for one, other in pairs),
        max(other.writes - one.writes for one, other in pairs),
    )


@given("the usual rate of reads and writes")
def usual_rate(control: controls.Control) -> None:
    control.world.notes[USUAL_RATE] = control.world.run(_measure(control))


@then(
    parsers.parse("reads and writes stay below {factor:d} times the usual rate")
)
def bounded_rate(control: controls.Control, factor: int) -> None:
    usual: Rate = control.world.notes[USUAL_RATE]
    found = control.world.run(_measure(control))
    print(f"rates: usual {usual}, after the outage {found}")
    assert found.reads <= factor * usual.reads, (usual, found)
    assert found.writes <= factor * max(usual.writes, 1), (usual, found)


async def _holders(control: controls.Control) -> list[str]:
    found = []
    for node in control.system.nodes:
        status = await control.system.status(node)
        if not status or status["lease"]["holder"]:
            found.append(node)
    return found


@when("no node holds the lease any more")
def no_holder(control: controls.Control) -> None:
    async def none() -> bool:
        return not await _holders(control)

    control.world.run(control.system.wait_for(none, "no holder"))


@then("one node holds the lease")
def one_holder(control: controls.Control) -> None:
    async def one() -> bool:
        return len(await _holders(control)) == 1

    control.world.run(control.system.wait_for(one, "one holder"))


@when(parsers.parse("{process} is terminated"))
def terminate(control: controls.Control, process: str) -> None:
    control.system.runner.processes[process].terminate()


@then(parsers.parse("{node} answers a caller"))
def answers(control: controls.Control, node: str) -> None:
    prompt = [ord(letter) for letter in node]

    async def served() -> bool:
        caller = await control.system.caller()
        answer = await caller.complete(
            "chat", prompt, 5, address=control.system.nodes[node].address
        )
        return tuple(answer.tokens) == systems.expected(prompt, 5)

    control.world.run(
        control.system.wait_for(served, f"{node} serves", SERVE_LIMIT_S)
    )
