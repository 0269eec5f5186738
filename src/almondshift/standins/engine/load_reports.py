"""Load reports that lag behind the current load."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import endpoints

RECORDS_PER_LAG = 4


class LoadReporter:
    """Provides the newest report that is at least ``lag_s`` old.

    Args:
        lag_s: Minimum age of reports in seconds; 0 for the current load.
        measure: Returns the current load, with an age of 0.
    """

    def __init__(
        self, lag_s: float, measure: Callable[[], endpoints.LoadReport]
    ) -> None:
        self.lag_s = lag_s
        self.measure = measure
        self.records: collections.deque[tuple[float, endpoints.LoadReport]] = (
            collections.deque(maxlen=4 * RECORDS_PER_LAG)
        )
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts recording if reports lag."""
        if self.lag_s > 0:
            self._record()
            self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops recording."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self.lag_s / RECORDS_PER_LAG)
            self._record()

    def _record(self) -> None:
        self.records.append((time.monotonic(), self.measure()))

    def report(self) -> endpoints.LoadReport:
        """Returns the report; the oldest one if none has the minimum age."""
        if self.lag_s <= 0:
            return self.measure()
        now = time.monotonic()
        taken_at, chosen = self.records[0]
        for recorded_at, record in self.records:
            if now - recorded_at >= self.lag_s:
                taken_at, chosen = recorded_at, record
        return dataclasses.replace(chosen, age_s=now - taken_at)
