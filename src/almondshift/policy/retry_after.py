"""Retry-After times for refused callers.

If all callers that were refused during an overload retry after the same fixed
time, they arrive as one burst and are refused again. If they retry too soon,
they prolong the overload.

Serving the waiting and recently refused work takes ``cost / drain rate``, so
the retries must be spread over that time. A random factor between a half and
one and a half spreads them evenly. The minimum covers a drain rate that is not
known yet. The maximum keeps callers from waiting long after the end of an
overload: all retry within ten seconds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MIN_DELAY_S = 0.25
MAX_DELAY_S = 10.0
TIME_CONSTANT_S = 5.0
"""Time constant of the decay of refused work."""


class RetryAfter:
    """Computes Retry-After times from the drain rate.

    Attributes:
        refused_cost: Recently refused cost, with exponential decay.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.refused_cost = 0.0
        self._at = 0.0

    def after_refusal(
        self, at: float, cost: float, waiting: float, drain: float
    ) -> float:
        """Records a refusal and returns its Retry-After in seconds.

        Args:
            at: Current time.
            cost: Cost of the refused request.
            waiting: Cost of the work waiting ahead of it.
            drain: Cost served per second; 0 if unknown.
        """
        self.refused_cost *= math.exp(-(at - self._at) / TIME_CONSTANT_S)
        self.refused_cost += cost
        self._at = at
        if drain <= 0.0:
            return self.jittered(1.0)
        return self.jittered((waiting + self.refused_cost) / drain)

    def jittered(self, seconds: float) -> float:
        """Returns a bounded time, with a jitter of up to a half each way."""
        bounded = min(max(seconds, MIN_DELAY_S), MAX_DELAY_S / 1.5)
        return max(MIN_DELAY_S, bounded * self.rng.uniform(0.5, 1.5))
