"""Steps about callers that send requests all the time."""

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
    """The loads of a scenario; one as a rule."""
    return []


@when("callers of the other nodes begin")
def load_nodes(
    control: controls.Control, loads: list[steady.SteadyLoad]
) -> None:
    """Starts callers that avoid nodes which the scenario has frozen."""
    turns = itertools.count()

    async def choose() -> str:
        awake = [
            process
            for name, process in control.system.nodes.items()
            if name not in control.frozen
        ]
        return awake[next(turns) % len(awake)].address

    _start(control, loads, choose)


@given("callers that follow the list of entries")
def load_entries(
    control: controls.Control, loads: list[steady.SteadyLoad]
) -> None:
    turns = itertools.count()

    async def choose() -> str:
        caller = await control.system.caller()
        found = await caller.entries()
        return found[next(turns) % len(found)]

    _start(control, loads, choose)


@when(parsers.parse("callers that hold the addresses of {names} begin"))
def load_fixed(
    control: controls.Control, loads: list[steady.SteadyLoad], names: str
) -> None:
    """Starts callers that go on with their addresses, whatever they hear."""
    turns = itertools.count()
    addresses = [
        control.system.nodes[name].address for name in control.nodes_of(names)
    ]

    async def choose() -> str:
        return addresses[next(turns) % len(addresses)]

    _start(control, loads, choose)


def _start(
    control: controls.Control,
    loads: list[steady.SteadyLoad],
    choose: Callable[[], Awaitable[str]],
) -> None:
    async def begin() -> None:
        caller = await control.system.caller()
        loads.append(steady.SteadyLoad(caller, choose))
        await loads[-1].start()

    control.world.run(begin())


@when(parsers.parse("the callers have had {count:d} more answers"))
@then(parsers.parse("the callers have had {count:d} more answers"))
def more_answers(
    control: controls.Control, loads: list[steady.SteadyLoad], count: int
) -> None:
    tally = loads[-1].tally
    wanted = tally.whole + count

    async def come() -> bool:
        return tally.whole >= wanted or bool(tally.failures)

    control.world.run(control.system.wait_for(come, f"{count} more answers"))
    assert not tally.failures, "\n".join(tally.failures)


@then("no request failed")
def none_failed(
    control: controls.Control, loads: list[steady.SteadyLoad]
) -> None:
    tally = control.world.run(loads[-1].stop())
    assert tally.whole > 0
    assert not tally.failures, "\n".join(tally.failures)
