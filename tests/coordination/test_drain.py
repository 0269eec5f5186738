from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from almondshift import errors
from almondshift.coordination import drain
from tests.coordination import network

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

SETTINGS = drain.DrainSettings(
    hold_s=5.0, margin_s=1.0, grace_s=30.0, announce_s=2.0, final_error_s=1.0
)


class Stopping:
    """A node that is being stopped on a clock of its own."""

    def __init__(
        self, announce: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        self.clock = network.ManualClock()
        self.announcements = 0
        self.final: list[tuple[str, errors.AlmondshiftError]] = []
        self.drain = drain.create_drain(
            self.clock, SETTINGS, announce or self.announce, self.give_error
        )
        self.task: asyncio.Task[drain.DrainReport] | None = None

    async def announce(self) -> None:
        self.announcements += 1

    def give_error(
        self, request_id: str, error: errors.AlmondshiftError
    ) -> None:
        self.final.append((request_id, error))
        self.drain.end(request_id)

    async def stop(self, seconds: float) -> None:
        """Begins the stop and lets time pass."""
        self.task = asyncio.ensure_future(self.drain.run())
        await self.clock.advance(seconds)

    async def report(self) -> drain.DrainReport:
        assert self.task is not None
        return await self.task


@pytest.mark.parametrize(
    ("after_s", "listed", "accepts", "state"),
    [
        (0.0, False, True, drain.DrainState.ANNOUNCED),
        (5.9, False, True, drain.DrainState.ANNOUNCED),
        (6.1, False, False, drain.DrainState.REFUSING),
        (29.0, False, False, drain.DrainState.REFUSING),
        (31.5, False, False, drain.DrainState.CLOSED),
    ],
)
def test_stop_with_a_long_request(
    after_s: float, listed: bool, accepts: bool, state: drain.DrainState
) -> None:
    """A caller with an address it was just given must still be served.

    The node leaves the entries at once, accepts while callers may hold its
    address, then refuses with not_run. A long request keeps it open.
    """

    async def scenario() -> None:
        node = Stopping()
        assert node.drain.is_listed
        assert node.drain.begin("long").is_ok()
        await node.stop(after_s)
        assert node.announcements == 1
        assert node.drain.is_listed is listed
        assert node.drain.state is state
        result = node.drain.begin("late")
        assert result.is_ok() is accepts
        if not accepts:
            assert result.error.execution is errors.Execution.NOT_RUN
            assert "/v1/entries" in result.error.remedy

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("ends_s", "closed_s"), [(0.0, 6.0), (3.0, 6.0), (10.0, 10.0)]
)
def test_node_closes_once_the_last_request_ended(
    ends_s: float, closed_s: float
) -> None:
    async def scenario() -> None:
        node = Stopping()
        node.drain.begin("one")
        await node.stop(ends_s)
        node.drain.end("one")
        await node.clock.advance(20.0)
        report = await node.report()
        assert report.seconds == pytest.approx(closed_s, abs=0.2)
        assert report.finished == 1
        assert report.aborted == ()

    asyncio.run(scenario())


def test_request_longer_than_the_grace_gets_a_final_error() -> None:
    """A stream must not just break: its caller would wait for the rest.

    At the end of the grace time the hook gives it an error that says so;
    whether it ran is unknown, and the report names it.
    """

    async def scenario() -> None:
        node = Stopping()
        node.drain.begin("stream")
        await node.stop(40.0)
        report = await node.report()
        assert report.aborted == ("stream",)
        [(request_id, error)] = node.final
        assert request_id == "stream"
        assert error.execution is errors.Execution.UNKNOWN

    asyncio.run(scenario())


async def hang() -> None:
    await asyncio.Event().wait()


async def fail() -> None:
    raise ConnectionError("no peers")


@pytest.mark.parametrize(("announce", "closed_s"), [(hang, 8.0), (fail, 6.0)])
def test_announcement_that_fails_does_not_hold_the_stop(
    announce: Callable[[], Awaitable[None]], closed_s: float
) -> None:
    async def scenario() -> None:
        node = Stopping(announce)
        await node.stop(12.0)
        report = await node.report()
        assert report.seconds == pytest.approx(closed_s, abs=0.2)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("stopped_s", "expected_s", "deadline_s", "accepts"),
    [
        (None, 60.0, 60.0, True),
        (1.0, 0.0, 60.0, True),
        (1.0, 28.5, 60.0, True),
        (1.0, 29.5, 60.0, False),
        (1.0, 29.5, 28.5, True),
        (5.0, 24.5, 60.0, True),
        (5.0, 25.5, 60.0, False),
        (5.0, 25.5, 24.5, True),
    ],
)
def test_what_can_not_end_before_the_node_is_not_taken(
    stopped_s: float | None,
    expected_s: float,
    deadline_s: float,
    accepts: bool,
) -> None:
    """A caller comes to a node that stops, with a request that takes long.

    It came in time to be taken, ran until the end of the grace time and was
    cut there: its caller got a part of the answer and an error that leaves
    open whether it may be sent again. Told at once that nothing was run, it
    has the whole answer from another node. A request whose own deadline
    comes first is not cut by the node, and is taken.
    """

    async def scenario() -> None:
        node = Stopping()
        if stopped_s is not None:
            await node.stop(stopped_s)
        deadline = node.clock.monotonic() + deadline_s
        result = node.drain.begin("late", expected_s, deadline)
        assert result.is_ok() is accepts
        if not accepts:
            assert result.error.execution is errors.Execution.NOT_RUN
            assert "/v1/entries" in result.error.remedy
            assert not node.drain.in_flight

    asyncio.run(scenario())


def test_request_accepted_after_the_announcement_is_finished() -> None:
    async def scenario() -> None:
        node = Stopping()
        await node.stop(5.0)
        assert node.drain.begin("late").is_ok()
        await node.clock.advance(10.0)
        assert node.drain.state is drain.DrainState.REFUSING
        node.drain.end("late")
        await node.clock.advance(1.0)
        assert (await node.report()).finished == 1

    asyncio.run(scenario())
