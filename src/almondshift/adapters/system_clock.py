"""The clock of the running system."""

from __future__ import annotations

import asyncio
import time

from almondshift.ports import clocks


class SystemClock(clocks.Clock):
    """Time of this machine; sleeps on the running asyncio loop."""

    def monotonic(self) -> float:
        """Returns seconds that never go back."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits without blocking the loop."""
        await asyncio.sleep(seconds)


def create_system_clock() -> SystemClock:
    """Creates the clock of the running system."""
    return SystemClock()
