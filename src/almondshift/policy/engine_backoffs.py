"""Times for which engines have asked this node for no requests.

A backoff belongs to one start of an engine, and outlives its registry entry: an
entry expires during an outage of the store, and the same start publishes it
again.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_BACKOFF_S = 300.0
"""Maximum time for which an engine's wish for no requests is kept, in seconds.
A longer one may be a mistake that would cost the engine for good."""

MAX_BACKOFFS = 1_024
"""Maximum number of backoffs that are kept."""


class EngineBackoffs:
    """Keeps the backoffs of engines.

    Attributes:
        ends: Monotonic time of each backoff's end, by instance; the one that
            was noted last is the last.
    """

    def __init__(self) -> None:
        self.ends: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def note(self, instance: str, backoff_s: float, now: float) -> bool:
        """Records a backoff, and returns whether it ends later than before.

        A later and shorter wish does not end an earlier one.
        """
        ends_at = now + min(backoff_s, MAX_BACKOFF_S)
        if ends_at <= self.ends.get(instance, now):
            return False
        self.ends[instance] = ends_at
        self.ends.move_to_end(instance)
        if len(self.ends) > MAX_BACKOFFS:
            self.remove_ended(now)
        while len(self.ends) > MAX_BACKOFFS:
            self.ends.popitem(last=False)
        return True

    def remove_ended(self, now: float) -> None:
        """Drops the backoffs that have ended."""
        for instance in [i for i in self.ends if not self.is_active(i, now)]:
            del self.ends[instance]

    def is_active(self, instance: str, now: float) -> bool:
        """Returns whether an engine has asked for no requests until later."""
        return self.ends.get(instance, now) > now

    def shortest_s(self, instances: Iterable[str], now: float) -> float:
        """Returns when the first of several backoffs ends, in seconds from now.

        0 if none of these engines has one.
        """
        return min(
            (
                self.ends[instance] - now
                for instance in instances
                if self.is_active(instance, now)
            ),
            default=0.0,
        )
