"""In-memory record of the attempts that this process has made."""

from __future__ import annotations

import collections
import enum


class ClaimantAnswer(enum.StrEnum):
    """A claimant's reply to a query about one of its attempts.

    ``ABANDONED`` means that the attempt was not dispatched and never will be.
    ``UNKNOWN`` is also used if the claimant can't be reached.
    """

    RUNNING = "running"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"


class Attempts:
    """Attempts of this process; the oldest abandoned ones are evicted.

    After a restart or an eviction the reply is ``UNKNOWN``: the process no
    longer knows whether the attempt was dispatched, and a second run can't be
    undone.
    """

    def __init__(self, max_abandoned: int) -> None:
        self.max_abandoned = max_abandoned
        self.live: set[str] = set()
        self.abandoned: collections.OrderedDict[str, None]
        self.abandoned = collections.OrderedDict()

    def begin(self, attempt: str) -> None:
        """Records an attempt that may be dispatched from now on."""
        self.live.add(attempt)

    def abandon(self, attempt: str) -> None:
        """Records that an attempt was not and will not be dispatched."""
        self.live.discard(attempt)
        self.abandoned[attempt] = None
        while len(self.abandoned) > self.max_abandoned:
            self.abandoned.popitem(last=False)

    def end(self, attempt: str) -> None:
        """Removes an attempt whose result is stored or was dropped."""
        self.live.discard(attempt)

    def answer(self, attempt: str) -> ClaimantAnswer:
        """Returns the reply to a peer's query about an attempt."""
        if attempt in self.live:
            return ClaimantAnswer.RUNNING
        if attempt in self.abandoned:
            return ClaimantAnswer.ABANDONED
        return ClaimantAnswer.UNKNOWN
