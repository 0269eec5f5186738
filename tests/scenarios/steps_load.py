"""Steps for callers that send requests continuously."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.scenarios import steady

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.scenarios import control as controls


@pytest.fixture
def loads() -> list[steady.SteadyLoad]:
    """Returns the loads of a scenario, usually one."""
    return []


@when("callers of the other nodes begin")
def load_nodes(
    control: controls.Control, loads: list[steady.SteadyLoad]
) -> None:
    """Starts callers that avoid the nodes frozen by the scenario."""
    turns = itertools.count()

    async def choose_address() -> str:
        awake = [
            process
            for name, process in control.system.nodes.items()
            if name not in control.frozen
        ]
        return awake[next(turns) % len(awake)].address

    _start(control, loads, choose_address)


@given("callers that follow the list of entries")
def load_entries(
    control: controls.Control, loads: list[steady.SteadyLoad]
) -> None:
    turns = itertools.count()

    async def choose_address() -> str:
        caller = await control.system.caller()
        found = await caller.entries()
        return found[next(turns) % len(found)]

    _start(control, loads, choose_address)


@when(parsers.parse("callers that hold the addresses of {names} begin"))
def load_fixed(
    control: controls.Control, loads: list[steady.SteadyLoad], names: str
) -> None:
    """Starts callers that keep using these addresses despite refusals."""
    turns = itertools.count()
    addresses = [
        control.system.nodes[name].address
        for name in control.parse_nodes(names)
    ]

    async def choose_address() -> str:
        return addresses[next(turns) % len(addresses)]

    _start(control, loads, choose_address)


def _start(
    control: controls.Control,
    loads: list[steady.SteadyLoad],
    choose_address: Callable[[], Awaitable[str]],
) -> None:
    async def begin() -> None:
        caller = await control.system.caller()
        loads.append(steady.SteadyLoad(caller, choose_address))
        await loads[-1].start()

    control.world.run(begin())


@when(parsers.parse("the callers have received {count:d} more answers"))
@then(parsers.parse("the callers have received {count:d} more answers"))
def more_answers(
    control: controls.Control, loads: list[steady.SteadyLoad], count: int
) -> None:
    result = loads[-1].result
    wanted = result.succeeded + count

    async def received() -> bool:
        return result.succeeded >= wanted or bool(result.failures)

    control.world.run(
        control.system.wait_for(received, f"{count} more answers")
    )
    assert not result.failures, "\n".join(result.failures)


@then("no request failed")
def none_failed(
    control: controls.Control, loads: list[steady.SteadyLoad]
) -> None:
    result = control.world.run(loads[-1].stop())
    assert result.succeeded > 0
    assert not result.failures, "\n".join(result.failures)
