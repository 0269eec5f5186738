"""Cache events, published with a delay and with gaps."""

from __future__ import annotations

import collections
import time
from typing import TYPE_CHECKING

from almondshift.model import endpoints

if TYPE_CHECKING:
    import random

MAX_EVENTS = 10_000


class CacheEventLog:
    """The latest events; a dropped event leaves a gap in the sequence.

    Args:
        delay_s: Delay until an event is published.
        loss_rate: Fraction of events that are never published, 0 to 1.
        rng: Random generator that selects the events to drop.
    """

    def __init__(
        self, delay_s: float, loss_rate: float, rng: random.Random
    ) -> None:
        self.delay_s = delay_s
        self.loss_rate = loss_rate
        self.rng = rng
        self.sequence = 0
        self.events: collections.deque[tuple[float, endpoints.CacheEvent]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    def add(self, prefix: int, added: bool) -> None:
        """Records a change of the cache."""
        self.sequence += 1
        if self.rng.random() < self.loss_rate:
            return
        event = endpoints.CacheEvent(self.sequence, prefix, added)
        self.events.append((time.monotonic(), event))

    def published(self, after: int) -> list[endpoints.CacheEvent]:
        """Returns published events with a sequence above ``after``."""
        cutoff = time.monotonic() - self.delay_s
        return [
            event
            for added_at, event in self.events
            if added_at <= cutoff and event.sequence > after
        ]
