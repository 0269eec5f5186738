"""How far a node that takes leave has come, and what it may still take."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.ports import clocks


class NodeDrain:
    """The times of a node's stop.

    Attributes:
        began_at: When the stop was asked for; None before.
        refuses_at: From when on new requests are refused.
        ends_at: When what has not ended is cut.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.began_at: float | None = None
        self.refuses_at = math.inf
        self.ends_at = math.inf

    def begin(self, hold_s: float, seconds: float) -> None:
        """Begins the stop.

        Args:
            hold_s: For so long new requests are taken.
            seconds: What has not ended after them is cut.
        """
        self.began_at = self.clock.monotonic()
        self.refuses_at = self.began_at + hold_s
        self.ends_at = self.began_at + seconds

    @property
    def is_begun(self) -> bool:
        """Whether the node takes leave."""
        return self.began_at is not None

    def refuses_new(self) -> bool:
        """Returns whether new requests are refused.

        By the time at which a request comes: a flag that a timer sets is
        late by as long as the loop is busy, and what is taken meanwhile has
        the least time of all.
        """
        return self.clock.monotonic() >= self.refuses_at

    def since_s(self) -> float:
        """Returns seconds since the stop was asked for; 0 before."""
        if self.began_at is None:
            return 0.0
        return self.clock.monotonic() - self.began_at

    def left_s(self) -> float:
        """Returns seconds until requests are cut; infinite before a stop."""
        return self.ends_at - self.clock.monotonic()
