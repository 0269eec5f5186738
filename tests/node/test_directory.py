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
"""Longer than the interval between two load reports of an engine."""


class FakeList(vm_lists.VmList):
    """Lists one engine in ``state``, or none if it is None."""

    def __init__(self) -> None:
        self.state: endpoints.VmState | None = endpoints.VmState.LIVE

    async def list(
        self,
    ) -> expression.Result[list[endpoints.Vm], errors.StoreUnavailable]:
        if self.state is None:
            return expression.Ok([])
        return expression.Ok([dataclasses.replace(LISTED, state=self.state)])


class Rig:
    """A directory of one engine, with the router that it notifies."""

    def __init__(self) -> None:
        self.clock = clocks.VirtualClock()
        self.list = FakeList()
        self.engine = mock.create_autospec(engines.Engine, instance=True)
        self.engine.cache_events.return_value = expression.Ok([])
        self.answer_as_instance("i1")
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

    def answer_as_instance(self, instance: str) -> None:
        """Makes the engine respond as an instance that holds all layers."""
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
        await self.show_state(endpoints.VmState.LIVE)

    async def show_state(self, state: endpoints.VmState | None) -> None:
        """Reads a list with a state and waits for a load report."""
        self.list.state = state
        await self.directory.refresh()
        await self.clock.advance(REPORT_S)

    def move_failure(self) -> events.StageFailed:
        """Returns a request to move a stage off the leaving engine."""
        reason = events.FailureReason.LEAVING
        return events.StageFailed(self.clock.now, "r1", CHAIN, 0, reason, 9)

    async def move_stage_away(self) -> None:
        """Moves a running stage off the leaving engine."""
        decided = actions.Replace("r1", 0, CHAIN.stages)
        with mock.patch.object(self.driver, "decide", return_value=decided):
            await self.calls.replace(self.move_failure())

    async def answer_step(self, status: steps.StepStatus) -> None:
        calls = mock.create_autospec(coalescer.Coalescer, instance=True)
        calls.submit.return_value = expression.Ok(STEP.answer(status))
        self.directory.endpoints["e"].step_coalescer = calls
        await self.calls.step("e", STEP)


@asynchronous.run
async def test_leaving_state_of_the_list_ends_with_the_list() -> None:
    """The VM list shows an engine as leaving, and later as live again.

    This happens when an engine was replaced under its name and the list
    still shows the former one. Meanwhile a running request is moved off the
    engine. The node used to count the move as the engine's own report of
    leaving, which outlives the list's, and announced it to its peers, so
    that the engine got no new work for five minutes.
    """
    rig = Rig()
    await rig.start()
    await rig.show_state(endpoints.VmState.LEAVING)
    assert rig.directory.is_leaving("e")
    await rig.move_stage_away()
    await rig.show_state(endpoints.VmState.LIVE)
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
async def test_an_engines_own_report_overrides_the_list(
    status: steps.StepStatus, is_leaving: bool
) -> None:
    """A leaving engine refuses a step; the list still shows it as live.

    From then on it must get no new requests, and peers are notified, since
    the list shows the change only seconds later.
    """
    rig = Rig()
    await rig.start()
    await rig.answer_step(status)
    if status is steps.StepStatus.LEAVING:
        await rig.move_stage_away()
    await rig.show_state(endpoints.VmState.LIVE)
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
async def test_router_uses_an_engine_that_came_back(
    shown: tuple[endpoints.VmState | str | None, ...],
) -> None:
    """An engine comes back under its name while the list is outdated.

    The list shows the former instance as leaving, then perhaps no engine
    (a gap), then the new instance. The node knew that the engine stays, but
    kept passing its router the last state in the list before the gap, so that
    callers were refused indefinitely for lack of a complete chain.
    """
    rig = Rig()
    await rig.start()
    for state in shown:
        if isinstance(state, endpoints.VmState | None):
            await rig.show_state(state)
        else:
            rig.answer_as_instance(state)
            await rig.clock.advance(REPORT_S)
    assert not rig.directory.is_leaving("e")
    assert rig.router.service_ready("chat")
    await rig.directory.close()


@pytest.mark.parametrize(
    ("watched", "plans", "failing_s", "unreachable"),
    [
        (True, False, 0.3, False),
        (True, False, 2.0, True),
        (False, False, 6.0, False),
        (False, True, 1.5, False),
        (False, True, 6.0, True),
    ],
)
@asynchronous.run
async def test_an_engine_that_fails_queries_becomes_unreachable(
    watched: bool, plans: bool, failing_s: float, unreachable: bool
) -> None:
    """Guards against plans that rely on an engine that was lost.

    A short failure, such as a restart, must not move layers. The planning
    node queries an engine itself once its peers' reports are overdue.
    """
    rig = Rig()
    await rig.start()
    rig.directory.watches = lambda _: watched
    rig.directory.plans_placement = lambda: plans
    reported = rig.engine.load.return_value
    rig.engine.load.return_value = expression.Error(directory.unreachable("e"))
    await rig.clock.advance(failing_s)
    assert rig.directory.is_unreachable("e") is unreachable
    rig.engine.load.return_value = reported
    await rig.clock.advance(REPORT_S)
    assert not rig.directory.is_unreachable("e")
    await rig.directory.close()


@asynchronous.run
async def test_a_peers_newer_report_shows_that_an_engine_is_reachable() -> None:
    """Guards against a cut link of one node that counts as a lost engine."""
    rig = Rig()
    await rig.start()
    reported = rig.engine.load.return_value.ok
    rig.engine.load.return_value = expression.Error(directory.unreachable("e"))
    await rig.clock.advance(2.0)
    held_s = dataclasses.replace(reported, age_s=3.0)
    rig.directory.take_peer_report(held_s)
    assert rig.directory.is_unreachable("e")
    rig.directory.take_peer_report(dataclasses.replace(reported, age_s=0.0))
    assert not rig.directory.is_unreachable("e")
    await rig.directory.close()


@asynchronous.run
async def test_late_move_does_not_exclude_an_engine() -> None:
    """A stage is moved off an engine that the list no longer shows as leaving.

    The move is delayed, so that the router receives it after the
    notification that the engine stays. The router used to mark the engine as
    leaving again and skip it for ever, and callers were refused.
    """
    rig = Rig()
    await rig.start()
    await rig.show_state(endpoints.VmState.LEAVING)
    await rig.show_state(endpoints.VmState.LIVE)
    await rig.calls.replace(rig.move_failure())
    await rig.show_state(endpoints.VmState.LIVE)
    assert not rig.directory.is_leaving("e")
    assert rig.router.service_ready("chat")
    await rig.directory.close()


@asynchronous.run
async def test_an_endpoint_first_seen_as_leaving_gets_no_work() -> None:
    """A starting node reads a list that shows an engine as leaving.

    The engine must get no request, even before it reports leaving itself.
    """
    rig = Rig()
    await rig.show_state(endpoints.VmState.LEAVING)
    rig.driver.notify(events.FleetChanged(rig.clock.now, fleets.make_fleet()))
    assert rig.directory.is_leaving("e")
    assert not rig.router.service_ready("chat")
    await rig.directory.close()
