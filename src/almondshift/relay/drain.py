"""State of a node's graceful shutdown."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.ports import clocks


class NodeDrain:
    """Times of a node's shutdown, in monotonic seconds.

    Attributes:
        began_at: When shutdown was requested; None before.
        refuses_at: When the node starts to refuse new requests; at the latest
            when it cuts unfinished ones.
        ends_at: When unfinished requests are cut.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.began_at: float | None = None
        self.refuses_at = math.inf
        self.ends_at = math.inf

    def begin(self, hold_s: float, cut_after_s: float) -> None:
        """Begins the shutdown, and sets the times of its later steps.

        Args:
            hold_s: Time for which new requests are still accepted.
            cut_after_s: Time after which unfinished requests are cut.
        """
        self.began_at = self.clock.monotonic()
        self.ends_at = self.began_at + cut_after_s
        self.refuses_at = min(self.began_at + hold_s, self.ends_at)

    @property
    def is_begun(self) -> bool:
        """Whether the node is shutting down."""
        return self.began_at is not None

    def refuses_new(self) -> bool:
        """Returns whether new requests are refused.

        Compares with the clock when a request arrives. A timer that sets a
        flag would fire late if the event loop is busy, and the requests that
        are accepted until then would have the least time to finish.
        """
        return self.clock.monotonic() >= self.refuses_at

    def since_s(self) -> float:
        """Returns seconds since shutdown was requested; 0 before."""
        if self.began_at is None:
            return 0.0
        return self.clock.monotonic() - self.began_at

    def left_s(self) -> float:
        """Returns seconds until requests are cut; infinite before shutdown."""
        return self.ends_at - self.clock.monotonic()
