"""The clock of the running system."""

from __future__ import annotations

import asyncio
import time

from almondshift.ports import clocks


class SystemClock(clocks.Clock):
    """Time of this machine; sleeps on the running asyncio loop."""

    def monotonic(self) -> float:
        """Returns seconds that never go back and count while suspended.

        On a machine that is suspended the plain monotonic clock stands
        still: a lease holder would wake with a grant that others have
        long taken over, and give orders beside them.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Returns seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits without blocking the loop."""
        await asyncio.sleep(seconds)


def create_system_clock() -> SystemClock:
    """Creates the clock of the running system."""
    return SystemClock()
