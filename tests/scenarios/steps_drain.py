"""Steps for VMs that are stopped gracefully."""

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

SLOW_FACTOR = 10.0
EXIT_SUCCESS = 0


@given("engines that are slow")
def slow_engines(control: controls.Control) -> None:
    for name in control.system.engines:
        control.world.run(control.system.control(name, slow_factor=SLOW_FACTOR))


@then(
    parsers.parse(
        "{node} no longer lists {other} while the latter still serves"
    )
)
def not_listed(
    control: controls.Control,
    loads: list[steady.SteadyLoad],
    node: str,
    other: str,
) -> None:
    address = control.system.nodes[other].address
    result = loads[-1].result

    async def unlisted() -> bool:
        found = await control.system.get_json(
            control.system.nodes[node].address, "/v1/entries"
        )
        listed = [entry["address"] for entry in found.get("entries", [])]
        return bool(listed) and address not in listed

    control.world.run(
        control.system.wait_for(unlisted, f"{node} no longer lists {other}")
    )
    assert not result.refusals, result
    assert not result.unreachable, result


@then(
    parsers.parse(
        "the callers are told by {node} that it is leaving and where to go"
    )
)
def told_other_nodes(
    control: controls.Control, loads: list[steady.SteadyLoad], node: str
) -> None:
    result = loads[-1].result
    others = [
        process.address
        for name, process in control.system.nodes.items()
        if name != node
    ]

    async def refused() -> bool:
        return bool(result.refusals) or bool(result.failures)

    control.world.run(control.system.wait_for(refused, f"{node} refuses"))
    assert not result.failures, "\n".join(result.failures)
    for problem in result.refusals:
        assert problem["kind"] == "node_leaving", problem
        written = json.dumps(problem)
        assert any(address in written for address in others), problem


@then(parsers.parse("{process} has exited by itself"))
def has_exited(control: controls.Control, process: str) -> None:
    popen = control.system.runner.processes[process].popen

    async def exited() -> bool:
        return popen.poll() is not None

    control.world.run(control.system.wait_for(exited, f"{process} exited"))
    assert popen.returncode == EXIT_SUCCESS


@when(parsers.parse("{new} replaces {old}"))
def replace_engine(control: controls.Control, new: str, old: str) -> None:
    """Starts the new engine, then stops the old one gracefully."""
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
