"""Graceful drain of a node, as a state machine driven by the clock.

Callers cache the addresses from /v1/entries for a while. So a node that stops
is first removed from that list and keeps accepting requests until every cached
list has expired. Only then does it refuse requests, with an error that nothing
was run and where to retry, and waits for requests in flight. If it refused at
once, callers would get errors from an address that they were given a second
ago. A request that will most likely not finish before the node closes is
refused immediately in any case: an error now costs its caller less than a
partial response later.

Requests that outlast the grace time are passed to a hook, which sends the
caller a final error. If a stream just broke off, its caller would keep waiting
for the rest.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import math
from typing import TYPE_CHECKING

import expression

from almondshift import errors

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Mapping

    from almondshift.ports import clocks

    Announce = Callable[[], Awaitable[None]]
    SendFinalError = Callable[[str, errors.AlmondshiftError], None]


class DrainState(enum.StrEnum):
    """Phase of the drain of a node."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    REFUSING = "refusing"
    CLOSED = "closed"


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSettings:
    """Timing of a graceful drain.

    Attributes:
        hold_s: How long a caller may cache the response of /v1/entries.
        margin_s: Added to ``hold_s`` for the propagation of the announcement.
        grace_s: Time from the announcement until requests that still run are
            aborted; the platform's own grace period starts then too.
        announce_s: Longest wait for the announcement.
        final_error_s: Time for final errors to reach callers.
        poll_s: Interval at which to check whether all requests have ended.
    """

    hold_s: float = 5.0
    margin_s: float = 2.0
    grace_s: float = 120.0
    announce_s: float = 2.0
    final_error_s: float = 1.0
    poll_s: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReport:
    """Result of a drain.

    Attributes:
        seconds: Time from the announcement to the end.
        finished: Requests that ended in that time.
        refused: Requests refused.
        aborted: Ids of requests that were sent a final error.
    """

    seconds: float
    finished: int
    refused: int
    aborted: tuple[str, ...]


class Drain:
    """Decides which requests a node accepts and when it may close.

    Attributes:
        state: Phase of the drain.
        in_flight: Start times of running requests, by id.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        settings: DrainSettings,
        announce: Announce,
        send_final_error: SendFinalError,
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.announce = announce
        self.send_final_error = send_final_error
        self.state = DrainState.SERVING
        self.in_flight: dict[str, float] = {}
        self.announced_at = 0.0
        self.peers_notified_at = 0.0
        self.finished = 0
        self.refused = 0

    @property
    def is_listed(self) -> bool:
        """Whether /v1/entries may list this node."""
        return self.state is DrainState.SERVING

    def begin(
        self,
        request_id: str,
        expected_s: float = 0.0,
        deadline: float = math.inf,
    ) -> expression.Result[None, errors.NodeLeaving]:
        """Accepts a request, or refuses it before anything is run.

        Args:
            request_id: Id of the request.
            expected_s: Seconds that it will most likely take; 0.0 if not
                known.
            deadline: Monotonic time at which it ends in any case.

        Returns:
            ``NodeLeaving`` with ``not_run`` once no caller has this node's
            address cached any more, and before that if the request can't
            finish before the node closes.
        """
        if self.state in (DrainState.REFUSING, DrainState.CLOSED):
            return self.refuse("This node is shutting down.")
        now = self.clock.monotonic()
        if self.ends_after_grace(min(now + expected_s, deadline)):
            return self.refuse("This node closes before the request ends.")
        self.in_flight[request_id] = now
        return expression.Ok(None)

    def ends_after_grace(self, end: float) -> bool:
        """Returns whether a request that ends at this time would be aborted.

        The hold time bounds how long callers may arrive, not how long their
        requests take. Without this check, a caller got a partial response and
        an error that didn't say what had run. If the estimate is right, an
        accepted request ends by itself or by its deadline; otherwise it gets
        the final error.
        """
        return (
            self.state is not DrainState.SERVING and end > self.grace_ends_at()
        )

    def refuse(
        self, detail: str
    ) -> expression.Result[None, errors.NodeLeaving]:
        """Counts a refused request and returns its error; nothing was run."""
        self.refused += 1
        return expression.Error(errors.NodeLeaving(detail))

    def end(self, request_id: str) -> None:
        """Records that a request ended, successfully or not."""
        if self.in_flight.pop(request_id, None) is None:
            return
        if self.state is not DrainState.SERVING:
            self.finished += 1

    async def run(self) -> DrainReport:
        """Drains the node; returns when it may close.

        The caller closes the listeners afterwards.
        """
        self.announced_at = self.clock.monotonic()
        self.state = DrainState.ANNOUNCED
        await self.announce_with_timeout()
        self.peers_notified_at = self.clock.monotonic()
        await self.wait_until(self.refuses_at(), until_idle=False)
        self.state = DrainState.REFUSING
        await self.wait_until(self.grace_ends_at(), until_idle=True)
        aborted = tuple(sorted(self.in_flight))
        await self.abort(aborted)
        self.state = DrainState.CLOSED
        return DrainReport(
            seconds=self.clock.monotonic() - self.announced_at,
            finished=self.finished,
            refused=self.refused,
            aborted=aborted,
        )

    def refuses_at(self) -> float:
        """Returns when no caller can have this node's address cached.

        Counted from when the peers were notified: until then they still
        listed this node to callers.
        """
        held_s = self.settings.hold_s + self.settings.margin_s
        return min(self.peers_notified_at + held_s, self.grace_ends_at())

    def grace_ends_at(self) -> float:
        """Returns when requests that still run are aborted."""
        return self.announced_at + self.settings.grace_s

    async def announce_with_timeout(self) -> None:
        """Notifies peers; an unresponsive one must not delay the drain."""
        announcement = asyncio.ensure_future(self.announce())
        timer = asyncio.ensure_future(
            self.clock.sleep(self.settings.announce_s)
        )
        await asyncio.wait(
            {announcement, timer}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (announcement, timer):
            task.cancel()
        await asyncio.gather(announcement, timer, return_exceptions=True)

    async def wait_until(self, at: float, *, until_idle: bool) -> None:
        """Waits until a time, or with ``until_idle`` until no request runs."""
        while (left := at - self.clock.monotonic()) > 0:
            if until_idle and not self.in_flight:
                return
            await self.clock.sleep(min(left, self.settings.poll_s))

    async def abort(self, request_ids: tuple[str, ...]) -> None:
        """Sends a final error to the requests and waits for them to end."""
        for request_id in request_ids:
            self.send_final_error(request_id, grace_expired_error())
        if not request_ids:
            return
        at = self.clock.monotonic() + self.settings.final_error_s
        await self.wait_until(at, until_idle=True)

    def status(self) -> Mapping[str, object]:
        """Returns the state for operators, as a JSON object."""
        return {"state": self.state.value, "in_flight": len(self.in_flight)}


def grace_expired_error() -> errors.NodeLeaving:
    """Returns the error of a request that outlasted the grace time."""
    return errors.NodeLeaving(
        "The node closed before the request ended.",
        remedy=(
            "Retry through another address if the request may be repeated; "
            "operators: raise the grace time."
        ),
        execution=errors.Execution.UNKNOWN,
    )


def create_drain(
    clock: clocks.Clock,
    settings: DrainSettings,
    announce: Announce,
    send_final_error: SendFinalError,
) -> Drain:
    """Creates the drain of a serving node.

    Args:
        clock: Source of time.
        settings: Timing of the drain.
        announce: Notifies peers that this node is leaving.
        send_final_error: Called with the id of each request that is still
            running at the end of the grace time, and the error to send.
    """
    return Drain(clock, settings, announce, send_final_error)
