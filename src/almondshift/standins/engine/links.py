"""Emulation of network link delays."""

from __future__ import annotations

import asyncio


class Link:
    """One direction of a link; transfers share its bandwidth in FIFO order.

    Args:
        latency_s: One-way latency, the same for every transfer.
        bytes_per_s: Bandwidth; 0 for unlimited.
    """

    def __init__(self, latency_s: float, bytes_per_s: float) -> None:
        self.latency_s = latency_s
        self.bytes_per_s = bytes_per_s
        self.busy_until = 0.0

    async def transfer(self, size: int) -> None:
        """Waits until ``size`` bytes would have arrived."""
        now = asyncio.get_running_loop().time()
        arrival = now + self.latency_s
        if self.bytes_per_s > 0:
            self.busy_until = (
                max(self.busy_until, now) + size / self.bytes_per_s
            )
            arrival = self.busy_until + self.latency_s
        if arrival > now:
            await asyncio.sleep(arrival - now)
