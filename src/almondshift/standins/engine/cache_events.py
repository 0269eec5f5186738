"""Cache events, published late and with gaps."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

from almondshift.model import endpoints

if TYPE_CHECKING:
    import random

KEPT_EVENTS = 10_000


class CacheEventLog:
    """The last events; a lost one leaves a gap in the sequence.

    Args:
        delay_s: Age at which an event is published.
        loss: Share of events that are never published, 0 to 1.
        source: Decides which are lost.
    """

    def __init__(
        self, delay_s: float, loss: float, source: random.Random
    ) -> None:
        self.delay_s = delay_s
        self.loss = loss
        self.source = source
        self.sequence = 0
        self.events: collections.deque[tuple[float, endpoints.CacheEvent]] = (
            collections.deque(maxlen=KEPT_EVENTS)
        )

    def add(self, prefix: int, added: bool) -> None:
        """Takes a change of the cache."""
        self.sequence += 1
        if self.source.random() < self.loss:
            return
        event = endpoints.CacheEvent(self.sequence, prefix, added)
        self.events.append((time.monotonic(), event))

    def published(self, after: int) -> list[endpoints.CacheEvent]:
        """Returns published events with a sequence over ``after``."""
        newest = time.monotonic() - self.delay_s
        return [
            event
            for added_at, event in self.events
            if added_at <= newest and event.sequence > after
        ]
