"""How long a call may take before its endpoint counts as lost.

Load pattern: an endpoint freezes (its process is stopped, or packets vanish)
while others answer in milliseconds. With one fixed limit either every freeze
costs seconds of waiting, or a slow accelerator is taken for a dead one and
its work is replayed elsewhere, which adds load when there is most of it.

Grounds: the limit follows the retransmission timer of TCP (RFC 6298): smoothed
time plus four deviations, with a floor that covers scheduling pauses of a busy
host and a ceiling that keeps recovery within a second where it can.
"""

from __future__ import annotations

import dataclasses

ALPHA = 0.125
BETA = 0.25
DEVIATIONS = 4.0
FLOOR_S = 0.4
CEILING_S = 5.0
FIRST_S = 2.0
QUEUE_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class _Estimate:
    smoothed_s: float
    deviation_s: float


class StepTimeouts:
    """Limits by endpoint, learned from the calls that were answered."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def observe(self, endpoint: str, seconds: float) -> None:
        """Takes the time of an answered call."""
        known = self._estimates.get(endpoint)
        if known is None:
            self._estimates[endpoint] = _Estimate(seconds, seconds / 2)
            return
        error = abs(seconds - known.smoothed_s)
        known.deviation_s += BETA * (error - known.deviation_s)
        known.smoothed_s += ALPHA * (seconds - known.smoothed_s)

    def forget(self, endpoint: str) -> None:
        """Drops what was learned of an endpoint that is gone."""
        self._estimates.pop(endpoint, None)

    def limit_s(self, endpoint: str) -> float:
        """Returns seconds for one call.

        Calls carry a bounded number of tokens, so their times are alike; the
        factor covers a call that waits behind those of other nodes.
        """
        known = self._estimates.get(endpoint)
        if known is None:
            return FIRST_S
        limit = known.smoothed_s * QUEUE_FACTOR
        limit += DEVIATIONS * known.deviation_s
        return min(max(limit, FLOOR_S), CEILING_S)


def create_step_timeouts() -> StepTimeouts:
    """Builds an empty table."""
    return StepTimeouts()
