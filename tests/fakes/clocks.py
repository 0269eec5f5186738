"""A clock that tests control."""

from __future__ import annotations

import asyncio
import heapq
import itertools

from almondshift.ports import clocks


async def settle(turns: int = 50) -> None:
    """Lets every task run until it waits for an external event."""
    for _ in range(turns):
        await asyncio.sleep(0)


class VirtualClock(clocks.Clock):
    """A clock that moves only when advanced, which ends the sleeps passed."""

    def __init__(self, start: float = 1000.0) -> None:
        self.now = start
        self.order = itertools.count()
        self.sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 1_700_000_000.0 + self.now

    async def sleep(self, seconds: float) -> None:
        future: asyncio.Future[None]
        future = asyncio.get_running_loop().create_future()
        sleeper = (self.now + seconds, next(self.order), future)
        heapq.heappush(self.sleepers, sleeper)
        await future

    async def advance(self, seconds: float) -> None:
        """Advances the time, waking sleepers in order as it passes them."""
        await settle()
        until = self.now + seconds
        while self.sleepers and self.sleepers[0][0] <= until:
            at, _, future = heapq.heappop(self.sleepers)
            self.now = max(self.now, at)
            if not future.done():
                future.set_result(None)
            await settle()
        self.now = until
        await settle()
