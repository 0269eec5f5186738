"""Weights of layers, handed out at a limited rate."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.ports import clocks


class WeightsQueue:
    """Turns for weights; each layer takes ``1 / per_s`` seconds."""

    def __init__(
        self, clock: clocks.Clock, per_s: float, longest_wait_s: float
    ) -> None:
        self.clock = clock
        self.per_s = per_s
        self.longest_wait_s = longest_wait_s
        self.free_at = 0.0

    def wait_s(self) -> float:
        """Returns how long a new request would wait for its turn."""
        return max(0.0, self.free_at - self.clock.monotonic())

    def is_full(self) -> bool:
        """Returns whether a new request should be refused."""
        return self.wait_s() > self.longest_wait_s

    async def take_turn(self) -> None:
        """Waits until one layer may be handed out."""
        wait = self.wait_s()
        self.free_at = self.clock.monotonic() + wait + 1.0 / self.per_s
        if wait > 0.0:
            await self.clock.sleep(wait)


def layer_weights(model: str, version: int, layer: int, size: int) -> bytes:
    """Returns ``size`` bytes that depend on model, version and layer."""
    seed = f"{model}/{version}/{layer}".encode()
    digest = hashlib.sha256(seed).digest()
    repeats = -(-size // len(digest))
    return (digest * repeats)[:size]
