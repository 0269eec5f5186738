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


class DrainingNode:
    """A node that is drained, with a manual clock."""

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
        """Starts the drain and advances the clock."""
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
def test_drain_with_a_long_request(
    after_s: float, listed: bool, accepts: bool, state: drain.DrainState
) -> None:
    """A caller that was just given the node's address must still be served.

    The node is removed from the list at once, accepts requests while callers
    may have its address cached, and then refuses them with not_run. A long
    request keeps it open.
    """

    async def scenario() -> None:
        node = DrainingNode()
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
def test_node_closes_after_the_last_request(
    ends_s: float, closed_s: float
) -> None:
    async def scenario() -> None:
        node = DrainingNode()
        node.drain.begin("one")
        await node.stop(ends_s)
        node.drain.end("one")
        await node.clock.advance(20.0)
        report = await node.report()
        assert report.seconds == pytest.approx(closed_s, abs=0.2)
        assert report.finished == 1
        assert report.aborted == ()

    asyncio.run(scenario())


def test_request_that_outlasts_the_grace_time_gets_a_final_error() -> None:
    """A stream must not just break off: its caller would wait for the rest.

    At the end of the grace time the hook sends it an error with an unknown
    outcome, and the report lists the request.
    """

    async def scenario() -> None:
        node = DrainingNode()
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
def test_failed_announcement_does_not_delay_the_drain(
    announce: Callable[[], Awaitable[None]], closed_s: float
) -> None:
    async def scenario() -> None:
        node = DrainingNode(announce)
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
def test_request_that_outlasts_the_node_is_refused(
    stopped_s: float | None,
    expected_s: float,
    deadline_s: float,
    accepts: bool,
) -> None:
    """A long request that arrives during the drain must not be aborted later.

    It used to be accepted, ran until the end of the grace time and was
    aborted: its caller got a partial response and an error that leaves open
    whether it may be retried. If it is refused at once with not_run, the
    caller gets the complete response from another node. A request whose own
    deadline is earlier is not aborted by the node and is accepted.
    """

    async def scenario() -> None:
        node = DrainingNode()
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
        node = DrainingNode()
        await node.stop(5.0)
        assert node.drain.begin("late").is_ok()
        await node.clock.advance(10.0)
        assert node.drain.state is drain.DrainState.REFUSING
        node.drain.end("late")
        await node.clock.advance(1.0)
        assert (await node.report()).finished == 1

    asyncio.run(scenario())
