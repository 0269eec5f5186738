"""Retry budget: limits retried work to a share of new work.

An overload or a fault makes stages fail. If every failed stage is replayed
without a limit, retries grow with the failures and take the capacity that they
need themselves: the fault ends, but the overload stays.

The first retry of each request is free, because losing an endpoint or an entire
availability zone must not cost a caller its work, and it at most doubles the
work of the requests that were in flight. Further retries use a budget of a
tenth of the new cost, which keeps the load below 1.1 times the requested load.
The minimum credit lets a quiet node retry. The credit decays over a minute, so
that quiet hours don't accumulate credit for a retry storm.

Replays of long prompts can exhaust the credit of a quiet node although engines
are idle. ``recovery`` therefore still replaces stages without credit, but only
with spare capacity.
"""

from __future__ import annotations

import math

RETRY_SHARE = 0.1
MIN_CREDIT = 512.0
TIME_CONSTANT_S = 60.0
FREE_RETRIES = 1
MAX_RETRIES = 8
"""Retries of one request; one that fails more often is itself at fault."""


class RetryBudget:
    """Decides whether work may be retried; costs are in tokens.

    Attributes:
        share: Credit per token of new work.
        credit: Tokens that may be retried now.
    """

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self.share = share
        self.credit = MIN_CREDIT
        self._at = 0.0

    def earn(self, at: float, cost: float) -> None:
        """Adds credit for new work."""
        retained = math.exp(-max(0.0, at - self._at) / TIME_CONSTANT_S)
        self.credit = self.credit * retained + MIN_CREDIT * (1.0 - retained)
        self.credit += cost * self.share
        self._at = at

    def spend(self, retries: int, cost: float) -> bool:
        """Withdraws a retry from the budget.

        Args:
            retries: Number of previous retries of the request.
            cost: Cost of the retry.

        Returns:
            Whether the retry is allowed.
        """
        if retries < FREE_RETRIES:
            return True
        if retries >= MAX_RETRIES or self.credit < cost:
            return False
        self.credit -= cost
        return True
