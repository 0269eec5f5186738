"""Limit on the engine sessions that long requests may hold.

Long requests run among short ones. A draft of a thousand tokens holds its
session fifty times as long as a response of twenty. Without a bound, long
requests accumulate until they hold all sessions, and short ones wait for one of
them to end.

While short requests arrive, long ones may hold half of the sessions that a node
uses on an engine. A session of a short request is released within one short run
time, so the other half is soon free again. If no short request has arrived for
ten seconds, a tenth of the sessions is still reserved, because the first short
request after a quiet time should not wait either.

A request counts as long from 512 tokens. That is about eight times the mean
length without drafts at the specified load (1.1 M tokens per second for 3,000
requests per second).
"""

from __future__ import annotations

LONG_TOKENS = 512
LONG_SHARE_WITH_SHORT = 0.5
LONG_SHARE_ALONE = 0.9
SHORT_RECENT_S = 10.0


class LongJobs:
    """Limits the sessions held by long requests.

    Attributes:
        long_tokens: Minimum cost in tokens of a long request.
    """

    def __init__(self, long_tokens: int = LONG_TOKENS) -> None:
        self.long_tokens = long_tokens
        self._last_short_at = float("-inf")

    def is_long(self, cost: float) -> bool:
        """Returns whether a request of this cost is long."""
        return cost >= self.long_tokens

    def record_short(self, at: float) -> None:
        """Records the arrival of a short request."""
        self._last_short_at = at

    def slots(self, at: float, allowed: float) -> float:
        """Returns how many allowed sessions long requests may hold."""
        recent = at - self._last_short_at < SHORT_RECENT_S
        share = LONG_SHARE_WITH_SHORT if recent else LONG_SHARE_ALONE
        return max(1.0, allowed * share)
