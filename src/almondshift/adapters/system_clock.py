"""The clock of the running system."""

from __future__ import annotations

import asyncio
import time

from almondshift.ports import clocks


class SystemClock(clocks.Clock):
    """The machine's clock; sleeps on the running asyncio loop."""

    def monotonic(self) -> float:
        """Returns monotonic seconds that also advance during suspend.

        The plain monotonic clock stops while the machine is suspended: after
        resuming, a lease holder would consider its expired lease valid and
        send orders in parallel with the new holder.
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
