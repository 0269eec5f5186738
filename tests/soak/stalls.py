"""Short stalls of all links, drawn from a seed.

Callers, the store and engines are reached through proxies in the harness, so a
blocked harness delays all links at once, as a busy switch or hypervisor does.
The stalls are too short to count as disturbances: all guarantees apply.
"""

from __future__ import annotations

import asyncio
import random
import time

from tests.soak import system as soak_system

MIN_STALL_S = 0.05
MAX_STALL_S = 0.9 * soak_system.MIN_RECORDED_PAUSE_S


class Stalls:
    """Blocks the harness at random moments.

    Attributes:
        rate: Mean number of stalls per second.
        begun: Monotonic start and length of each stall, in seconds.
    """

    def __init__(self, seed: int, rate: float) -> None:
        self.rng = random.Random(seed)
        self.rate = rate
        self.begun: list[tuple[float, float]] = []

    async def run(self) -> None:
        """Blocks the event loop again and again until it is cancelled."""
        while self.rate > 0.0:
            await asyncio.sleep(self.rng.expovariate(self.rate))
            seconds = self.rng.uniform(MIN_STALL_S, MAX_STALL_S)
            self.begun.append((time.monotonic(), seconds))
            time.sleep(seconds)
