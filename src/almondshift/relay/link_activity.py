"""Tells whether this node has been receiving data from engines all along.

If this process is not scheduled, or its network stalls, for a tenth of a
second, queries to all engines time out at once although every engine is alive.
When the stall ends, the data of streams and the responses to queries arrive in
any order. Data that has just arrived therefore doesn't show that an engine had
the time to respond: the node must have received data without a gap since the
query was sent.
"""

from __future__ import annotations

import math

MAX_GAP_S = 0.04
"""Time without data from any engine after which the link may have stalled, in
seconds."""


class LinkActivity:
    """Data received from any engine.

    Attributes:
        last_at: Loop time of the last data.
        resumed_at: Loop time of the first data after the last gap.
    """

    def __init__(self) -> None:
        self.last_at = -math.inf
        self.resumed_at = math.inf

    def note(self, now: float) -> None:
        """Records received data."""
        if now - self.last_at > MAX_GAP_S:
            self.resumed_at = now
        self.last_at = now

    def is_active(self, now: float) -> bool:
        """Returns whether data was received lately."""
        return now - self.last_at <= MAX_GAP_S

    def is_active_since(self, start: float, now: float) -> bool:
        """Returns whether data was received without a gap since ``start``.

        Data from before ``start`` bridges the time until the first one after.
        """
        return self.is_active(now) and self.resumed_at <= start
