from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.faults import processes
from tests.faults import systems
from tests.scenarios import worlds

if TYPE_CHECKING:
    from collections.abc import Iterator
    import pathlib


@pytest.fixture
def world(tmp_path: pathlib.Path) -> Iterator[worlds.World]:
    """Yields a system that is not started yet; stops its processes later."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    with processes.running(tmp_path) as runner:
        system = loop.run_until_complete(_create(runner, tmp_path))
        try:
            yield worlds.World(system, loop)
            check_logs(runner)
        finally:
            _end(loop, system)


def check_logs(runner: processes.ProcessRunner) -> None:
    """Fails if a process logged a traceback, even if no caller noticed."""
    for process in runner.processes.values():
        assert "Traceback" not in process.log_file.read_text(), process.log()


async def _create(
    runner: processes.ProcessRunner, folder: pathlib.Path
) -> systems.RealSystem:
    return systems.RealSystem(runner, folder)


def _end(loop: asyncio.AbstractEventLoop, system: systems.RealSystem) -> None:
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(system.close())
    loop.run_until_complete(asyncio.sleep(0.01))
    loop.close()


@given(parsers.parse("a system of {nodes:d} nodes"))
def start_system(world: worlds.World, nodes: int) -> None:
    world.run(world.system.start(nodes=nodes))


@when(parsers.parse("{name} asks {node} for {count:d} tokens"))
def ask(world: worlds.World, name: str, node: str, count: int) -> None:
    world.send(name, count, node=node)


@when(parsers.parse("{name} has received {count:d} tokens"))
def received(world: worlds.World, name: str, count: int) -> None:
    world.wait_tokens(name, count)


@when(parsers.parse("{process} is killed"))
def kill(world: worlds.World, process: str) -> None:
    world.system.runner.processes[process].kill()


@when(parsers.parse("{process} is frozen"))
def freeze(world: worlds.World, process: str) -> None:
    world.system.runner.processes[process].freeze()


@when(parsers.parse("{process} is thawed"))
def thaw(world: worlds.World, process: str) -> None:
    world.system.runner.processes[process].thaw()


@then(parsers.parse("{name} has the right answer"))
def right_answer(world: worlds.World, name: str) -> None:
    world.check_answer(name)


@then(
    parsers.parse("{name} waited less than {seconds:d} seconds for any token")
)
def short_gaps(world: worlds.World, name: str, seconds: int) -> None:
    """Fails if a recovery hung; the limit far exceeds a normal recovery."""
    arrivals = world.answer(name).arrivals
    longest = max(b - a for a, b in itertools.pairwise(arrivals))
    assert longest < seconds
