"""Steps that all scenarios of the control path share."""

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

STOP_S = 30.0


@pytest.fixture
def control(world: worlds.World) -> Iterator[controls.Control]:
    """Yields what steps share; closes its proxies after."""
    shared = controls.Control(world)
    yield shared
    shared.close()


@given(parsers.parse("a system of {nodes:d} nodes behind proxies"))
def start_proxied(control: controls.Control, nodes: int) -> None:
    control.start(nodes)


@given("the platform refuses everything")
@when("the platform refuses everything")
def platform_refuses(control: controls.Control) -> None:
    control.platform(down="refuse")


@given("the platform hangs")
@when("the platform hangs")
def platform_hangs(control: controls.Control) -> None:
    control.platform(down="hang")


@when("the platform answers again")
def platform_answers(control: controls.Control) -> None:
    control.platform()


@when("the answer to every write is lost")
def writes_lose_answers(control: controls.Control) -> None:
    control.platform(lose_share=1.0)


@when(parsers.parse("the platform is {state}"))
def platform_state(control: controls.Control, state: str) -> None:
    switches = {"up": {}, "down": {"down": "refuse"}, "hung": {"down": "hang"}}
    control.platform(**switches[state])


@when(parsers.parse("node {node} joins"))
def join(control: controls.Control, node: str) -> None:
    control.add_node(node)


@when(parsers.parse("node {node} is stopped gracefully"))
def stop(control: controls.Control, node: str) -> None:
    process = control.system.nodes[node]
    process.signal(signal.SIGTERM)

    async def ended() -> bool:
        return not process.is_running()

    control.world.run(control.system.wait_for(ended, f"{node} ended", STOP_S))
    control.forget_node(node)
