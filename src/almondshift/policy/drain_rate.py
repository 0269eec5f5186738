"""How fast waiting work is being served.

Load pattern: a burst after quiet, and engines that become slower under
load. The rate served in quiet times says nothing of what could be served,
and a rate from the engines' descriptions says nothing of slow ones. Grounds:
while requests wait, what is served is what can be served, so the measured
rate is taken, with a memory of two seconds (some ten to forty completions
on thirty engines); in the first two seconds of a queue the rate that the
requests in flight imply (the sum of cost by expected time) counts if it is
higher, at six tenths: what is expected at dispatch doesn't know of the
requests that follow it.
"""

from __future__ import annotations

import math

MEMORY_S = 2.0
IMPLIED_SHARE = 0.6


class DrainRate:
    """Cost served a second.

    Attributes:
        in_flight_rate: Sum over requests in flight of their cost by their
            expected time.
    """

    def __init__(self) -> None:
        self.in_flight_rate = 0.0
        self._served = 0.0
        self._at = 0.0
        self._busy_since: float | None = None

    def note_served(self, at: float, cost: float) -> None:
        """Notes that work was served."""
        self._decay(at)
        self._served += cost

    def note_waiting(self, at: float, waiting: bool) -> None:
        """Notes whether requests wait."""
        if not waiting:
            self._busy_since = None
        elif self._busy_since is None:
            self._busy_since = at

    def per_second(self, at: float) -> float:
        """Returns the rate, 0 if nothing was ever served or is running."""
        self._decay(at)
        measured = self._served / MEMORY_S
        implied = max(measured, self.in_flight_rate * IMPLIED_SHARE)
        if self._busy_since is None:
            return implied
        trust = min(1.0, (at - self._busy_since) / MEMORY_S)
        return trust * measured + (1.0 - trust) * implied

    def _decay(self, at: float) -> None:
        if at > self._at:
            self._served *= math.exp(-(at - self._at) / MEMORY_S)
            self._at = at
