"""Steps about VMs that are stopped gracefully."""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import systems

if TYPE_CHECKING:
    from tests.scenarios import control as controls
    from tests.scenarios import steady

SLOW_ENGINE = 10.0
CLEAN_EXIT = 0


@given("engines that are slow")
def slow_engines(control: controls.Control) -> None:
    for name in control.system.engines:
        control.world.run(control.system.control(name, slow_factor=SLOW_ENGINE))


@then(parsers.parse("{node} lists {other} no more while that still serves"))
def not_listed(
    control: controls.Control,
    loads: list[steady.SteadyLoad],
    node: str,
    other: str,
) -> None:
    gone = control.system.nodes[other].address
    tally = loads[-1].tally

    async def left_out() -> bool:
        found = await control.system.get_json(
            control.system.nodes[node].address, "/v1/entries"
        )
        listed = [entry["address"] for entry in found.get("entries", [])]
        return bool(listed) and gone not in listed

    control.world.run(
        control.system.wait_for(left_out, f"{node} lists {other} no more")
    )
    assert not tally.refusals, tally
    assert not tally.unreachable, tally


@then(
    parsers.parse("the callers hear from {node} that it leaves and where to go")
)
def told_where(
    control: controls.Control, loads: list[steady.SteadyLoad], node: str
) -> None:
    tally = loads[-1].tally
    others = [
        process.address
        for name, process in control.system.nodes.items()
        if name != node
    ]

    async def told() -> bool:
        return bool(tally.refusals) or bool(tally.failures)

    control.world.run(control.system.wait_for(told, f"{node} refuses"))
    assert not tally.failures, "\n".join(tally.failures)
    for problem in tally.refusals:
        assert problem["kind"] == "node_leaving", problem
        written = json.dumps(problem)
        assert any(address in written for address in others), problem


@then(parsers.parse("{process} has ended by itself"))
def has_ended(control: controls.Control, process: str) -> None:
    popen = control.system.runner.processes[process].popen

    async def ended() -> bool:
        return popen.poll() is not None

    control.world.run(control.system.wait_for(ended, f"{process} ended"))
    assert popen.returncode == CLEAN_EXIT


@when(parsers.parse("{new} takes the place of {old}"))
def replace_engine(control: controls.Control, new: str, old: str) -> None:
    """Starts the new engine, then tells the old one to leave."""
    shape = next(s for s in systems.ENGINES if s.name == old)
    control.world.run(
        control.system.start_engine(dataclasses.replace(shape, name=new))
    )
    leaving = control.system.engines.pop(old)
    leaving.terminate()

    async def replaced() -> bool:
        report = await control.system.get_json(
            control.system.engines[new].address, "/v1/load"
        )
        holdings = report.get("holdings", [])
        return not leaving.is_running() and any(h["ready"] for h in holdings)

    control.world.run(
        control.system.wait_for(replaced, f"{new} in place of {old}")
    )
