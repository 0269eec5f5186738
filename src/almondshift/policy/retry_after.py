"""When a refused caller is told to come back.

Load pattern: an overload that ends. If all who were refused come back after
the same fixed time, they arrive as one burst and are refused again; if they
come back too soon, they keep the overload alive. Grounds: the work that is
waiting and that was lately refused takes ``cost / drain rate`` to serve, so
that is how long the spread of their return must be; the factor of a half to
one and a half spreads them evenly over it. The floor covers a drain rate
that is not known yet, the ceiling keeps callers from waiting long after the
end of an overload: within ten seconds at the most, all have come back.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

FLOOR_S = 0.25
CEILING_S = 10.0
MEMORY_S = 5.0
"""Time constant with which refused work is forgotten."""


class RetryAfter:
    """Gives times to come back, from the drain rate.

    Attributes:
        refused: Cost refused lately, forgotten exponentially.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.refused = 0.0
        self._at = 0.0

    def after_refusal(
        self, at: float, cost: float, waiting: float, drain: float
    ) -> float:
        """Notes a refusal and returns its Retry-After in seconds.

        Args:
            at: Now.
            cost: Cost of the refused request.
            waiting: Cost of what waits before it.
            drain: Cost served a second; 0 if unknown.
        """
        self.refused *= math.exp(-(at - self._at) / MEMORY_S)
        self.refused += cost
        self._at = at
        if drain <= 0.0:
            return self.jittered(1.0)
        return self.jittered((waiting + self.refused) / drain)

    def jittered(self, seconds: float) -> float:
        """Returns a time within bounds, spread by a half each way."""
        bounded = min(max(seconds, FLOOR_S), CEILING_S / 1.5)
        return max(FLOOR_S, bounded * self.rng.uniform(0.5, 1.5))
