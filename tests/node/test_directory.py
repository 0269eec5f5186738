from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING
from unittest import mock

import expression
import pytest

from almondshift.coordination import leaving
from almondshift.model import chains
from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.model import steps
from almondshift.node import coalescer
from almondshift.node import crash_guard
from almondshift.node import directory
from almondshift.node import router_driver
from almondshift.node import stage_calls
from almondshift.policy import actions
from almondshift.policy import events
from almondshift.policy import router
from almondshift.policy import step_timeouts
from almondshift.ports import engines
from almondshift.ports import vm_lists
from tests import asynchronous
from tests.fakes import clocks
from tests.policy import fleets

if TYPE_CHECKING:
    from almondshift import errors

WHOLE = layers.LayerRange(0, fleets.LAYERS)
CHAIN = chains.Chain("m", 1, "", (chains.Stage("e", WHOLE),))
STEP = steps.StepItem("r1", "s1", 0, 0, WHOLE, "m", 1, "", 0, (7,))
LISTED = endpoints.Vm(
    "e",
    "127.0.0.1:1",
    "za",
    endpoints.EndpointKind.ENGINE,
    "",
    endpoints.VmState.LIVE,
)
REPORT_S = 1.0
"""Longer than the pause between two reports of an engine."""


class FakeList(vm_lists.VmList):
    """Shows one engine in a state; None for a list without it."""

    def __init__(self) -> None:
        self.state: endpoints.VmState | None = endpoints.VmState.LIVE

    async def list(
        self,
    ) -> expression.Result[list[endpoints.Vm], errors.StoreUnavailable]:
        if self.state is None:
            return expression.Ok([])
        return expression.Ok([dataclasses.replace(LISTED, state=self.state)])


class Rig:
    """A directory of one engine, with the router that it tells."""

    def __init__(self) -> None:
        self.clock = clocks.VirtualClock()
        self.list = FakeList()
        self.engine = mock.create_autospec(engines.Engine, instance=True)
        self.engine.cache_events.return_value = expression.Ok([])
        self.run_as("i1")
        factory = mock.create_autospec(engines.EngineFactory, instance=True)
        factory.build.return_value = self.engine
        self.publish = mock.Mock()
        self.router = router.create_router(
            random.Random(1), "n1", router.RouterSettings(zone="za")
        )
        self.driver = router_driver.create_router_driver(
            self.router, self.clock
        )
        self.directory = directory.Directory(
            self.list,
            factory,
            self.driver,
            step_timeouts.create_step_timeouts(),
            leaving.create_leaving_endpoints(self.clock, self.publish),
            self.clock,
            random.Random(1),
            directory.DirectorySettings(),
        )
        guard = mock.create_autospec(crash_guard.CrashGuard, instance=True)
        guard.admit_retry.return_value = expression.Ok(None)
        self.calls = stage_calls.NodeStageCalls(
            self.directory, self.driver, guard
        )

    def run_as(self, instance: str) -> None:
        """Has the engine answer as an instance that holds all layers."""
        described = fleets.seen("e").description
        assert described is not None
        self.engine.describe.return_value = expression.Ok(
            dataclasses.replace(described, instance=instance)
        )
        held = fleets.reported("e", (0, fleets.LAYERS), instance=instance)
        self.engine.load.return_value = expression.Ok(held.report)

    async def start(self) -> None:
        config = fleets.make_fleet()
        self.driver.notify(events.FleetChanged(self.clock.now, config))
        await self.show(endpoints.VmState.LIVE)

    async def show(self, state: endpoints.VmState | None) -> None:
        """Has the list show a state once, and the engine report."""
        self.list.state = state
        await self.directory.refresh()
        await self.clock.advance(REPORT_S)

    def move(self) -> events.StageFailed:
        """Returns the wish to move a stage off the engine, as it leaves."""
        reason = events.FailureReason.LEAVING
        return events.StageFailed(self.clock.now, "r1", CHAIN, 0, reason, 9)

    async def move_stage_away(self) -> None:
        """Moves a running stage off the engine, as it is leaving."""
        decided = actions.Replace("r1", 0, CHAIN.stages)
        with mock.patch.object(self.driver, "decide", return_value=decided):
            await self.calls.replace(self.move())

    async def answer_step(self, status: steps.StepStatus) -> None:
        calls = mock.create_autospec(coalescer.Coalescer, instance=True)
        calls.submit.return_value = expression.Ok(STEP.answer(status))
        self.directory.endpoints["e"].step_coalescer = calls
        await self.calls.step("e", STEP)


@asynchronous.run
async def test_the_lists_word_ends_with_the_list() -> None:
    """The VM list calls an engine leaving, and later live again.

    An engine that was replaced under its name looks so while the lagging
    list still shows the one before it. Meanwhile a running request is moved
    off it. Callers then had the engine's layers from fewer engines for five
    minutes: the node took the move for the engine's own word, which outlives
    the list's, and told its peers.
    """
    rig = Rig()
    await rig.start()
    await rig.show(endpoints.VmState.LEAVING)
    assert rig.directory.is_leaving("e")
    await rig.move_stage_away()
    await rig.show(endpoints.VmState.LIVE)
    assert not rig.directory.is_leaving("e")
    assert rig.router.service_ready("chat")
    assert not rig.publish.called
    await rig.directory.close()


@pytest.mark.parametrize(
    ("status", "is_leaving"),
    [
        (steps.StepStatus.LEAVING, True),
        (steps.StepStatus.OK, False),
        (steps.StepStatus.BUSY, False),
    ],
)
@asynchronous.run
async def test_an_engines_own_word_stands_against_the_list(
    status: steps.StepStatus, is_leaving: bool
) -> None:
    """An engine refuses a step, as it leaves; the list still calls it live.

    New requests must not go there from then on, and peers are told, since
    the list shows it only seconds later.
    """
    rig = Rig()
    await rig.start()
    await rig.answer_step(status)
    if status is steps.StepStatus.LEAVING:
        await rig.move_stage_away()
    await rig.show(endpoints.VmState.LIVE)
    assert rig.directory.is_leaving("e") is is_leaving
    assert rig.router.service_ready("chat") is not is_leaving
    assert rig.publish.called is is_leaving
    await rig.directory.close()


@pytest.mark.parametrize(
    "shown",
    [
        (endpoints.VmState.LEAVING, None, endpoints.VmState.LIVE),
        (endpoints.VmState.LEAVING, "i2"),
        (endpoints.VmState.LEAVING, "i2", endpoints.VmState.LIVE),
        (
            endpoints.VmState.LEAVING,
            "i2",
            endpoints.VmState.LEAVING,
            endpoints.VmState.LIVE,
        ),
        (endpoints.VmState.LEAVING, "i2", None, endpoints.VmState.LIVE),
        (endpoints.VmState.LEAVING, "i2", None, None, endpoints.VmState.LIVE),
        ("i2", endpoints.VmState.LEAVING, None, endpoints.VmState.LIVE),
    ],
)
@asynchronous.run
async def test_the_router_takes_up_an_engine_that_came_back(
    shown: tuple[endpoints.VmState | str | None, ...],
) -> None:
    """An engine comes back under its name while the list is behind.

    The list shows the former one leaving, perhaps a gap, then the new one.
    Callers were refused for want of a whole chain, without end, though the
    node knew that the engine stays: it went on telling its router the
    state that the list had last shown before the gap.
    """
    rig = Rig()
    await rig.start()
    for state in shown:
        if isinstance(state, endpoints.VmState | None):
            await rig.show(state)
        else:
            rig.run_as(state)
            await rig.clock.advance(REPORT_S)
    assert not rig.directory.is_leaving("e")
    assert rig.router.service_ready("chat")
    await rig.directory.close()


@asynchronous.run
async def test_a_move_decided_late_keeps_no_engine_out_of_use() -> None:
    """A stage is to be moved off an engine as the list takes its word back.

    The move waits for leave to go on, and the router hears of it after it
    was told that the engine stays. It took the move for news of the engine
    and passed it over without end, and callers were refused.
    """
    rig = Rig()
    await rig.start()
    await rig.show(endpoints.VmState.LEAVING)
    await rig.show(endpoints.VmState.LIVE)
    await rig.calls.replace(rig.move())
    await rig.show(endpoints.VmState.LIVE)
    assert not rig.directory.is_leaving("e")
    assert rig.router.service_ready("chat")
    await rig.directory.close()


@asynchronous.run
async def test_an_endpoint_first_seen_as_leaving_gets_no_work() -> None:
    """A node starts and reads a list that calls an engine leaving.

    No request may go there, also before the engine has said so itself.
    """
    rig = Rig()
    await rig.show(endpoints.VmState.LEAVING)
    rig.driver.notify(events.FleetChanged(rig.clock.now, fleets.make_fleet()))
    assert rig.directory.is_leaving("e")
    assert not rig.router.service_ready("chat")
    await rig.directory.close()
