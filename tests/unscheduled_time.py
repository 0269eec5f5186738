"""Measures for how long the process of a test was not scheduled."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TICK_S = 0.005
"""Interval between the measurements, in seconds; a shorter delay is not
counted, as timers are that inexact."""


class UnscheduledTime:
    """Adds up delays of the loop in which its thread used no processor time.

    Computation of the program delays the loop too, but is not counted.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.counted_s = 0.0
        self.due_at = 0.0
        self.used_s = 0.0
        self.start_tick()

    def start_tick(self) -> None:
        """Starts a measurement."""
        self.due_at = self.loop.time() + TICK_S
        self.used_s = time.thread_time()

    def delay_s(self) -> float:
        """Returns the delay of the present measurement, in seconds."""
        used_s = time.thread_time() - self.used_s
        delay_s = self.loop.time() - self.due_at - used_s
        return delay_s if delay_s > TICK_S else 0.0

    def total_s(self) -> float:
        """Returns the time that was counted so far, in seconds."""
        return self.counted_s + self.delay_s()

    async def measure(self) -> None:
        """Measures until it is cancelled."""
        while True:
            self.start_tick()
            await asyncio.sleep(TICK_S)
            self.counted_s += self.delay_s()


@contextlib.asynccontextmanager
async def measured() -> AsyncIterator[UnscheduledTime]:
    """Measures the time in which the process is not scheduled."""
    unscheduled = UnscheduledTime()
    measuring = asyncio.create_task(unscheduled.measure())
    try:
        yield unscheduled
    finally:
        measuring.cancel()
