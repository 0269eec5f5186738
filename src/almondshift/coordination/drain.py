"""The graceful stop of a node, as a state machine on the clock.

A caller that asked which address to use keeps the answer for a while. So a
node that stops is first left out of that answer and goes on accepting until
every such answer is old; only then it refuses, saying that nothing was run
and where to go; then it waits for what is in flight. If it refused at once,
callers would meet errors on an address that they were given a second ago.
What most likely can't end before the node does is refused at once all the
same: an error now costs its caller less than a part of an answer later.

Work that is longer than the grace time is handed to a hook, which gives the
caller a final error; a stream that just breaks looks like an answer to come.
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
    GiveFinalError = Callable[[str, errors.AlmondshiftError], None]


class DrainState(enum.StrEnum):
    """How far the stop of a node has come."""

    SERVING = "serving"
    ANNOUNCED = "announced"
    REFUSING = "refusing"
    CLOSED = "closed"


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSettings:
    """Times of a graceful stop.

    Attributes:
        hold_s: How long a caller may keep the answer of /v1/entries.
        margin_s: Added to it for the way of the announcement to the peers.
        grace_s: Time from the announcement until what still runs is given
            up; counted from there, since the platform counts from there.
        announce_s: Longest wait for the announcement.
        final_error_s: Time for final errors to reach callers.
        poll_s: How often to look whether all has ended.
    """

    hold_s: float = 5.0
    margin_s: float = 2.0
    grace_s: float = 120.0
    announce_s: float = 2.0
    final_error_s: float = 1.0
    poll_s: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class DrainReport:
    """How a stop ended.

    Attributes:
        seconds: From the announcement to the end.
        finished: Requests that ended in that time.
        refused: Requests refused.
        cut: Ids of requests that were given a final error.
    """

    seconds: float
    finished: int
    refused: int
    cut: tuple[str, ...]


class Drain:
    """Which requests a node takes, and when it may close.

    Attributes:
        state: How far the stop has come.
        in_flight: Requests that run, by id, with the time they began.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        settings: DrainSettings,
        announce: Announce,
        give_final_error: GiveFinalError,
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.announce = announce
        self.give_final_error = give_final_error
        self.state = DrainState.SERVING
        self.in_flight: dict[str, float] = {}
        self.announced_at = 0.0
        self.told_at = 0.0
        self.finished = 0
        self.refused = 0

    @property
    def is_listed(self) -> bool:
        """Whether /v1/entries may name this node."""
        return self.state is DrainState.SERVING

    def begin(
        self,
        request_id: str,
        expected_s: float = 0.0,
        deadline: float = math.inf,
    ) -> expression.Result[None, errors.NodeLeaving]:
        """Takes a request, or refuses it before anything is run.

        Args:
            request_id: The request.
            expected_s: Seconds that it will most likely take; 0.0 while
                that is not known.
            deadline: Monotonic time at which it ends in any case.

        Returns:
            ``NodeLeaving`` with ``not_run`` once callers can know better,
            and before that for what can't end before the node does.
        """
        if self.state in (DrainState.REFUSING, DrainState.CLOSED):
            return self.refuse("This node is shutting down.")
        now = self.clock.monotonic()
        if self.is_too_late(min(now + expected_s, deadline)):
            return self.refuse("This node closes before the request ends.")
        self.in_flight[request_id] = now
        return expression.Ok(None)

    def is_too_late(self, end: float) -> bool:
        """Returns whether what ends then would be cut.

        The hold time says how long callers may come, not that there is time
        for what they bring. Without this look, a caller got a part of its
        answer and an error that left open what had run. It is enough, as
        what is taken ends by itself or by its deadline, as far as the
        estimate is right; the rest gets the final error.
        """
        return self.state is not DrainState.SERVING and end > self.gives_up_at()

    def refuse(
        self, detail: str
    ) -> expression.Result[None, errors.NodeLeaving]:
        """Refuses a request; nothing was run."""
        self.refused += 1
        return expression.Error(errors.NodeLeaving(detail))

    def end(self, request_id: str) -> None:
        """Notes that a request ended, in whatever way."""
        if self.in_flight.pop(request_id, None) is None:
            return
        if self.state is not DrainState.SERVING:
            self.finished += 1

    async def run(self) -> DrainReport:
        """Stops the node gracefully; returns when it may close.

        The caller closes the listeners afterwards.
        """
        self.announced_at = self.clock.monotonic()
        self.state = DrainState.ANNOUNCED
        await self.announce_in_time()
        self.told_at = self.clock.monotonic()
        await self.wait_until(self.refuses_at(), until_idle=False)
        self.state = DrainState.REFUSING
        await self.wait_until(self.gives_up_at(), until_idle=True)
        cut = tuple(sorted(self.in_flight))
        await self.cut(cut)
        self.state = DrainState.CLOSED
        return DrainReport(
            seconds=self.clock.monotonic() - self.announced_at,
            finished=self.finished,
            refused=self.refused,
            cut=cut,
        )

    def refuses_at(self) -> float:
        """Returns when no caller can hold this node's address any more.

        Counted from when the peers were told: until then they went on
        naming this node to callers.
        """
        held_s = self.settings.hold_s + self.settings.margin_s
        return min(self.told_at + held_s, self.gives_up_at())

    def gives_up_at(self) -> float:
        """Returns when what still runs is given up."""
        return self.announced_at + self.settings.grace_s

    async def announce_in_time(self) -> None:
        """Tells peers; one that does not answer must not hold the stop."""
        telling = asyncio.ensure_future(self.announce())
        waiting = asyncio.ensure_future(
            self.clock.sleep(self.settings.announce_s)
        )
        await asyncio.wait(
            {telling, waiting}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (telling, waiting):
            task.cancel()
        await asyncio.gather(telling, waiting, return_exceptions=True)

    async def wait_until(self, at: float, *, until_idle: bool) -> None:
        """Waits for a time, or with ``until_idle`` for the last request."""
        while (left := at - self.clock.monotonic()) > 0:
            if until_idle and not self.in_flight:
                return
            await self.clock.sleep(min(left, self.settings.poll_s))

    async def cut(self, request_ids: tuple[str, ...]) -> None:
        """Has a final error given to what is longer than the grace time."""
        for request_id in request_ids:
            self.give_final_error(request_id, cut_error())
        if not request_ids:
            return
        at = self.clock.monotonic() + self.settings.final_error_s
        await self.wait_until(at, until_idle=True)

    def status(self) -> Mapping[str, object]:
        """Returns the state for operators, as a JSON object."""
        return {"state": self.state.value, "in_flight": len(self.in_flight)}


def cut_error() -> errors.NodeLeaving:
    """Returns the error of a request that the grace time cut off."""
    return errors.NodeLeaving(
        "The node closed before the request ended.",
        remedy=(
            "Send the request again through another address, if it may be "
            "repeated; operators: raise the grace time."
        ),
        execution=errors.Execution.UNKNOWN,
    )


def create_drain(
    clock: clocks.Clock,
    settings: DrainSettings,
    announce: Announce,
    give_final_error: GiveFinalError,
) -> Drain:
    """Creates the drain of a serving node.

    Args:
        clock: Source of time.
        settings: Times.
        announce: Tells peers that this node is leaving.
        give_final_error: Called with the id of each request that is still
            running at the end of the grace time, and the error to give.
    """
    return Drain(clock, settings, announce, give_final_error)
