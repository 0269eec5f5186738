"""Repeated work as a bounded share of fresh work.

Load pattern: an overload or a fault that makes stages fail. If every failed
stage is replayed without end, repeats grow with the failures and take the
capacity that would have served them: the fault ends and the overload stays.
Grounds: the first repeat of each request is free, because losing an
endpoint or a whole availability zone must not cost a caller its work, and
it can at most double the work of the requests that were in flight. Further
repeats draw on a tenth of the fresh cost, a figure under which the load
stays below 1.1 of what was asked. The floor lets a quiet node repeat, the
ceiling of a minute's worth keeps quiet hours from saving up for a storm.
"""

from __future__ import annotations

import math

SHARE = 0.1
FLOOR = 512.0
MEMORY_S = 60.0
FREE_REPEATS = 1
MAX_REPEATS = 8
"""Repeats of one request; a request that fails more often is at fault."""


class RetryBudget:
    """Decides whether work may be repeated; costs are in tokens."""

    def __init__(self, share: float = SHARE) -> None:
        self.share = share
        self._credit = FLOOR
        self._at = 0.0

    def earn(self, at: float, cost: float) -> None:
        """Notes fresh work."""
        kept = math.exp(-max(0.0, at - self._at) / MEMORY_S)
        self._credit = self._credit * kept + FLOOR * (1.0 - kept)
        self._credit += cost * self.share
        self._at = at

    def spend(self, repeats: int, cost: float) -> bool:
        """Takes a repeat from the budget.

        Args:
            repeats: How often this request was repeated before.
            cost: What the repeat costs.

        Returns:
            Whether it may be repeated.
        """
        if repeats < FREE_REPEATS:
            return True
        if repeats >= MAX_REPEATS or self._credit < cost:
            return False
        self._credit -= cost
        return True
