"""Emulation of the delay of a network link."""

from __future__ import annotations

import asyncio


class Link:
    """One direction of a link; transfers follow one another.

    Args:
        latency_s: Time on the way, the same for every transfer.
        bytes_per_s: Bandwidth; 0 for no bound.
    """

    def __init__(self, latency_s: float, bytes_per_s: float) -> None:
        self.latency_s = latency_s
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0

    async def carry(self, size: int) -> None:
        """Waits for as long as ``size`` bytes take to arrive."""
        now = asyncio.get_running_loop().time()
        arrival = now + self.latency_s
        if self.bytes_per_s > 0:
            self.free_at = max(self.free_at, now) + size / self.bytes_per_s
            arrival = self.free_at + self.latency_s
        if arrival > now:
            await asyncio.sleep(arrival - now)
