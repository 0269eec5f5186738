"""Long requests may not hold every slot of an engine.

Load pattern: long jobs among short ones. A draft of a thousand tokens holds
its session fifty times as long as a reply of twenty; without a bound, long
ones gather until they hold all sessions, and short ones wait for one of them
to end. Grounds: while short requests come in, long ones may hold half of the
sessions that a node uses of an engine; a session of a short request comes
free within one short request's time, so the other half turns over quickly.
When no short request has come for ten seconds, a tenth of the sessions is
still kept, since the first short one after a quiet time should not wait
either. A request counts as long from 512 tokens, about eight times the
letter's mean of 1.1 M tokens a second by 3,000 requests a second, less the
share of drafts in it.
"""

from __future__ import annotations

LONG_TOKENS = 512
SHARE_WITH_SHORT = 0.5
SHARE_ALONE = 0.9
SHORT_MEMORY_S = 10.0


class LongJobs:
    """Bounds the sessions of long requests.

    Attributes:
        long_tokens: Cost from which a request is long.
    """

    def __init__(self, long_tokens: int = LONG_TOKENS) -> None:
        self.long_tokens = long_tokens
        self._last_short = float("-inf")

    def is_long(self, cost: float) -> bool:
        """Returns whether a request of this cost is long."""
        return cost >= self.long_tokens

    def note_short(self, at: float) -> None:
        """Notes that a short request came in."""
        self._last_short = at

    def slots(self, at: float, allowed: float) -> float:
        """Returns how many of the allowed sessions long requests may hold."""
        recent = at - self._last_short < SHORT_MEMORY_S
        share = SHARE_WITH_SHORT if recent else SHARE_ALONE
        return max(1.0, allowed * share)
