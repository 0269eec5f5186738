"""How far a node that takes leave has come, and what time it has left."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.ports import clocks


class NodeDrain:
    """The time of a node's stop.

    Attributes:
        began_at: When the stop was asked for; None before.
        ends_at: When what has not ended is cut.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.began_at: float | None = None
        self.ends_at = math.inf

    def begin(self, seconds: float) -> None:
        """Begins the stop; what has not ended after ``seconds`` is cut."""
        self.began_at = self.clock.monotonic()
        self.ends_at = self.began_at + seconds

    def since_s(self) -> float:
        """Returns seconds since the stop was asked for; 0 before."""
        if self.began_at is None:
            return 0.0
        return self.clock.monotonic() - self.began_at

    def left_s(self) -> float:
        """Returns seconds until requests are cut; infinite before a stop."""
        return self.ends_at - self.clock.monotonic()
