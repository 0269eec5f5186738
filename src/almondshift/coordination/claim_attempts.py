"""What a claimant remembers of its own attempts."""

from __future__ import annotations

import collections
import enum


class ClaimantAnswer(enum.StrEnum):
    """A claimant's answer about one of its attempts.

    ``ABANDONED`` means that it was not dispatched and never will be.
    ``UNKNOWN`` also stands for a claimant that can't be reached.
    """

    RUNNING = "running"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"


class Attempts:
    """Attempts of this process; forgets old abandoned ones.

    A process that restarted, or forgot, answers ``UNKNOWN``: it can't tell
    whether the attempt was dispatched, and a second run can't be undone.
    """

    def __init__(self, remembered: int) -> None:
        self.remembered = remembered
        self.live: set[str] = set()
        self.abandoned: collections.OrderedDict[str, None]
        self.abandoned = collections.OrderedDict()

    def begin(self, attempt: str) -> None:
        """Notes an attempt that may be dispatched from now on."""
        self.live.add(attempt)

    def abandon(self, attempt: str) -> None:
        """Notes that an attempt was not and will not be dispatched."""
        self.live.discard(attempt)
        self.abandoned[attempt] = None
        while len(self.abandoned) > self.remembered:
            self.abandoned.popitem(last=False)

    def end(self, attempt: str) -> None:
        """Forgets an attempt whose result is stored."""
        self.live.discard(attempt)

    def answer(self, attempt: str) -> ClaimantAnswer:
        """Answers a peer about an attempt."""
        if attempt in self.live:
            return ClaimantAnswer.RUNNING
        if attempt in self.abandoned:
            return ClaimantAnswer.ABANDONED
        return ClaimantAnswer.UNKNOWN
