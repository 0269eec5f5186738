"""Steps shared by all control-path scenarios."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import when

from tests.scenarios import control as controls

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios import worlds

STOP_TIMEOUT_S = 30.0


@pytest.fixture
def control(world: worlds.World) -> Iterator[controls.Control]:
    """Yields the steps' shared state; closes its proxies afterwards."""
    shared = controls.Control(world)
    yield shared
    shared.close()


@given(parsers.parse("a system of {nodes:d} nodes behind proxies"))
def start_proxied(control: controls.Control, nodes: int) -> None:
    control.start(nodes)


@given("the platform rejects all requests")
@when("the platform rejects all requests")
def platform_refuses(control: controls.Control) -> None:
    control.set_platform_faults(down="refuse")


@given("the platform hangs")
@when("the platform hangs")
def platform_hangs(control: controls.Control) -> None:
    control.set_platform_faults(down="hang")


@when("the platform answers again")
def platform_answers(control: controls.Control) -> None:
    control.set_platform_faults()


@when("the answer to every write is lost")
def writes_lose_answers(control: controls.Control) -> None:
    control.set_platform_faults(lose_share=1.0)


@when(parsers.parse("the platform is {state}"))
def platform_state(control: controls.Control, state: str) -> None:
    switches = {"up": {}, "down": {"down": "refuse"}, "hung": {"down": "hang"}}
    control.set_platform_faults(**switches[state])


@when(parsers.parse("node {node} joins"))
def join(control: controls.Control, node: str) -> None:
    control.add_node(node)


@when(parsers.parse("node {node} is stopped gracefully"))
def stop(control: controls.Control, node: str) -> None:
    process = control.system.nodes[node]
    process.signal(signal.SIGTERM)

    async def exited() -> bool:
        return not process.is_running()

    control.world.run(
        control.system.wait_for(exited, f"{node} exited", STOP_TIMEOUT_S)
    )
    control.remove_node(node)
