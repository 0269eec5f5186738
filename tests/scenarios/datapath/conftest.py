"""Steps for data-path scenarios, which share a running system."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import processes
from tests.faults import systems
from tests.scenarios.datapath import bad_requests
from tests.scenarios.datapath import faults
from tests.scenarios.datapath import paths

if TYPE_CHECKING:
    from collections.abc import Iterator
    import pathlib

ANSWER_TOKENS = 30
PROMPT_TOKENS = 100
LONG_PROMPT_TOKENS = 320
FIRST_TOKENS = 6


@pytest.fixture(scope="module")
def shared(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[tuple[paths.PathSystem, asyncio.AbstractEventLoop]]:
    """Yields a system shared by the scenarios of a module."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    folder = tmp_path_factory.mktemp("path")
    with processes.running(folder) as runner:
        system = loop.run_until_complete(_create(runner, folder))
        try:
            yield system, loop
        finally:
            loop.run_until_complete(system.close())
            loop.close()


async def _create(
    runner: processes.ProcessRunner, folder: pathlib.Path
) -> paths.PathSystem:
    return paths.PathSystem(runner, folder)


@pytest.fixture
def world(
    shared: tuple[paths.PathSystem, asyncio.AbstractEventLoop],
) -> Iterator[paths.PathWorld]:
    """Yields a scenario's world; then ends its faults and requests."""
    system, loop = shared
    world = paths.PathWorld(system, loop)
    yield world
    world.end()
    if system.nodes:
        world.run(system.heal())


@given("two engines for each of three stages, behind proxies")
def start_chain(world: paths.PathWorld) -> None:
    if not world.system.nodes:
        shapes = paths.engines(6, token_us=800.0)
        text = systems.fleet_text(bad_requests.EXTRA_SERVICES)
        world.run(world.system.start(nodes=1, engines=shapes, text=text))


@when(parsers.parse("{name} asks for an answer"))
def ask(world: paths.PathWorld, name: str) -> None:
    world.record_stages()
    world.ask(name, ANSWER_TOKENS, PROMPT_TOKENS)


@when(parsers.parse("{name} asks for an answer to a long prompt"))
def ask_long(world: paths.PathWorld, name: str) -> None:
    world.ask(name, ANSWER_TOKENS, LONG_PROMPT_TOKENS)


@when(parsers.parse("the {stage} stage of {name} is in {phase}"))
def wait_phase(
    world: paths.PathWorld, stage: str, name: str, phase: str
) -> None:
    if phase != "decode":
        world.hold_stage(stage)
    elif "places" in world.notes:
        world.hold_stage_at(name, stage, FIRST_TOKENS)
    else:
        world.wait_tokens(name, FIRST_TOKENS)
    world.notes["phase"] = phase
    world.wait_stage(name, stage)
    if "held_at" in world.notes:
        world.wait_held_step(name, stage)


@when(parsers.parse("the engine of {name}'s {stage} stage is {fault}"))
def break_engine(
    world: paths.PathWorld, name: str, stage: str, fault: str
) -> None:
    engine = world.wait_stage(name, stage)
    faults.inject(world, engine, fault)
    world.release_stages(but=engine if fault in faults.MUTING else "")


@when(parsers.parse("{name} has received {count:d} more tokens"))
def more_tokens(world: paths.PathWorld, name: str, count: int) -> None:
    world.wait_tokens(name, len(world.requests[name].tokens) + count)


@then(parsers.parse("every layer ran once and in order for {name}"))
def every_layer_once(world: paths.PathWorld, name: str) -> None:
    world.check_ledgers(name)


@when("all engines run again")
def run_again(world: paths.PathWorld) -> None:
    world.run(world.system.heal())


@then(parsers.parse("another session took over {name}'s {stage} stage"))
def took_over(world: paths.PathWorld, name: str, stage: str) -> None:
    assert len(world.sessions_of(name, stage)) > 1


@when(parsers.parse("the {stage} stage of {name} has run {count:d} positions"))
def has_run(world: paths.PathWorld, stage: str, name: str, count: int) -> None:
    world.wait_positions(name, stage, count)
