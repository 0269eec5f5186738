"""Estimate of the rate at which waiting work is served.

A burst may follow a quiet time, and engines may become slower under load. The
rate served in quiet times says nothing about the capacity, and a rate from the
engines' descriptions doesn't reflect slow engines.

While requests wait, the served rate equals the capacity. The measured rate is
therefore used, averaged over two seconds (about ten to forty completions on
thirty engines). In the first two seconds of a queue, the rate implied by the
requests in flight (the sum of cost by expected time) is used if it is higher.
It is weighted by six tenths, because estimates at dispatch don't include the
requests that follow.
"""

from __future__ import annotations

import math

TIME_CONSTANT_S = 2.0
IMPLIED_RATE_FACTOR = 0.6


class DrainRate:
    """Cost served per second.

    Attributes:
        in_flight_rate: Sum of the cost of each request in flight divided by
            its expected time.
    """

    def __init__(self) -> None:
        self.in_flight_rate = 0.0
        self._served = 0.0
        self._at = 0.0
        self._waiting_since: float | None = None

    def record_served(self, at: float, cost: float) -> None:
        """Records served work."""
        self._decay(at)
        self._served += cost

    def set_waiting(self, at: float, waiting: bool) -> None:
        """Records whether any requests are waiting."""
        if not waiting:
            self._waiting_since = None
        elif self._waiting_since is None:
            self._waiting_since = at

    def per_second(self, at: float) -> float:
        """Returns the rate; 0 if nothing was ever served or is running."""
        self._decay(at)
        measured = self._served / TIME_CONSTANT_S
        implied = max(measured, self.in_flight_rate * IMPLIED_RATE_FACTOR)
        if self._waiting_since is None:
            return implied
        measured_weight = min(1.0, (at - self._waiting_since) / TIME_CONSTANT_S)
        return measured_weight * measured + (1.0 - measured_weight) * implied

    def _decay(self, at: float) -> None:
        if at > self._at:
            self._served *= math.exp(-(at - self._at) / TIME_CONSTANT_S)
            self._at = at
