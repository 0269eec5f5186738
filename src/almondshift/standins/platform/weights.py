"""Weights of layers, served at a limited rate."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.ports import clocks


class WeightsRateLimiter:
    """Rate limiter for weights; a layer takes ``1 / layers_per_s`` seconds."""

    def __init__(
        self, clock: clocks.Clock, layers_per_s: float, max_wait_s: float
    ) -> None:
        self.clock = clock
        self.layers_per_s = layers_per_s
        self.max_wait_s = max_wait_s
        self.busy_until = 0.0

    def wait_s(self) -> float:
        """Returns how long a new request would wait, in seconds."""
        return max(0.0, self.busy_until - self.clock.monotonic())

    def is_full(self) -> bool:
        """Returns whether a new request should be refused."""
        return self.wait_s() > self.max_wait_s

    async def acquire(self) -> None:
        """Waits until one layer may be sent."""
        wait = self.wait_s()
        self.busy_until = (
            self.clock.monotonic() + wait + 1.0 / self.layers_per_s
        )
        if wait > 0.0:
            await self.clock.sleep(wait)


def layer_weights(model: str, version: int, layer: int, size: int) -> bytes:
    """Returns ``size`` bytes derived from model, version and layer."""
    seed = f"{model}/{version}/{layer}".encode()
    digest = hashlib.sha256(seed).digest()
    repeats = -(-size // len(digest))
    return (digest * repeats)[:size]
