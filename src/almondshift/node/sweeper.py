"""Deletes expired claims while this node holds the control lease."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from almondshift.coordination import claim_sweep
    from almondshift.node import reconciler
    from almondshift.ports import clocks

SWEEP_INTERVAL_S = 30.0

logger = logging.getLogger(__name__)


class Sweeper:
    """Periodically deletes a bounded batch of expired claims."""

    def __init__(
        self,
        sweep: claim_sweep.ClaimSweep,
        guard: reconciler.OrderGuard,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.sweep = sweep
        self.guard = guard
        self.clock = clock
        self.rng = rng
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts sweeping."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops sweeping."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await self.clock.sleep(
                SWEEP_INTERVAL_S * self.rng.uniform(0.8, 1.2)
            )
            if self.guard.fencing() is None:
                continue
            swept = await self.sweep.sweep()
            if swept.is_error():
                logger.info("failed to sweep expired claims: %s", swept.error)


def create_sweeper(
    sweep: claim_sweep.ClaimSweep,
    guard: reconciler.OrderGuard,
    clock: clocks.Clock,
    rng: random.Random,
) -> Sweeper:
    """Builds a sweeper without starting it."""
    return Sweeper(sweep, guard, clock, rng)
