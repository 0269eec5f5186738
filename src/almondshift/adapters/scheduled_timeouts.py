"""Time-outs that count only the time in which this process was scheduled.

If a process is not scheduled for a while, a response may have arrived in the
meantime. ``asyncio.timeout`` expires before it is read, as if the endpoint had
not responded, and the endpoint counts as unreachable for this process's delay.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import types

SLICE_S = 0.05
"""Longest time between two timers, in seconds, unless there would be more than
``MAX_SLICES``."""

MAX_SLICES = 10
"""Maximum number of timers of a time-out that is not extended, as polls of the
store last for seconds."""

MAX_LATE_S = 0.04
"""Delay of a timer, in seconds, beyond which this process was not scheduled.
The rest of the delay does not count, and data that arrived may not have been
read."""


class ScheduledTimeout:
    """A context manager that raises ``TimeoutError``.

    Attributes:
        slice_s: Longest time between two timers, in seconds.
        left_s: Seconds that have not been counted yet.
        may_extend: Whether the time-out may be extended if its last timer is
            late. It is extended once, so that it ends on a busy machine too.
    """

    def __init__(self, seconds: float) -> None:
        self.slice_s = max(SLICE_S, seconds / MAX_SLICES)
        self.left_s = seconds
        self.may_extend = True
        self.timeout = asyncio.timeout(None)
        self.timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        await self.timeout.__aenter__()
        self.start_slice(self.left_s)

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        if self.timer is not None:
            self.timer.cancel()
        await self.timeout.__aexit__(exc_type, exc, traceback)

    def start_slice(self, seconds: float) -> None:
        """Starts the timer of the next part of the time-out."""
        loop = asyncio.get_running_loop()
        seconds = min(seconds, self.slice_s)
        due_at = loop.time() + seconds
        self.timer = loop.call_at(due_at, self.end_slice, seconds, due_at)

    def end_slice(self, seconds: float, due_at: float) -> None:
        """Starts the next part, or expires."""
        now = asyncio.get_running_loop().time()
        late_s = now - due_at
        self.left_s -= seconds + min(late_s, MAX_LATE_S)
        if self.left_s > 0:
            self.start_slice(self.left_s)
        elif self.may_extend and late_s > MAX_LATE_S:
            self.may_extend = False
            self.start_slice(SLICE_S)
        else:
            self.timeout.reschedule(now)


def create_scheduled_timeout(seconds: float) -> ScheduledTimeout:
    """Creates a time-out; it starts when its context is entered."""
    return ScheduledTimeout(seconds)
