"""Log lines about a table's feed, bounded in number."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from almondshift import log_events

if TYPE_CHECKING:
    from almondshift.model import revisions
    from almondshift.ports import clocks

LOG_INTERVAL_S = 5.0
"""Minimum time between two lines of a kind about a table, in seconds."""

logger = logging.getLogger(__name__)


class LogLimit:
    """Limits how often an event is logged, and counts all of them.

    Attributes:
        count: Occurrences since the last line.
        next_at: Monotonic time from which the next line may be written.
    """

    def __init__(self) -> None:
        self.count = 0
        self.next_at = -1e9

    def take(self, now: float) -> int:
        """Returns how many occurrences to log now; 0 for none."""
        self.count += 1
        if now < self.next_at:
            return 0
        self.next_at = now + LOG_INTERVAL_S
        count, self.count = self.count, 0
        return count


class FeedLog:
    """Logs what keeps a table's copy from following the store."""

    def __init__(self, table: str, clock: clocks.Clock) -> None:
        self.table = table
        self.clock = clock
        self.dropped = LogLimit()
        self.refused = LogLimit()

    def history_gone(self, held: revisions.Revision) -> None:
        """Logs a poll that the store refused for want of history."""
        count = self.refused.take(self.clock.monotonic())
        if count:
            log_events.emit(
                logger,
                log_events.StoreHistoryGone(self.table, held.number, count),
            )

    def read_dropped(
        self, held: revisions.Revision, found: revisions.Revision
    ) -> None:
        """Logs a full read that is older than the copy."""
        count = self.dropped.take(self.clock.monotonic())
        if count:
            log_events.emit(
                logger,
                log_events.StoreReadDropped(self.table, *held, *found, count),
            )


def create_feed_log(table: str, clock: clocks.Clock) -> FeedLog:
    """Creates the log of a table."""
    return FeedLog(table, clock)
