"""Adaptive timeouts of calls to endpoints.

An endpoint freezes (its process is stopped, or packets are lost) while others
answer in milliseconds. With one fixed timeout, either every freeze costs
seconds of waiting, or a slow accelerator is taken for a dead one and its work
is replayed elsewhere, which adds load when it is highest.

The timeout follows the retransmission timer of TCP (RFC 6298): the smoothed
time plus four deviations. Its minimum covers scheduling pauses on a busy host,
and its maximum keeps recovery within a second where it can.
"""

from __future__ import annotations

import dataclasses

ALPHA = 0.125
BETA = 0.25
DEVIATION_FACTOR = 4.0
MIN_TIMEOUT_S = 0.4
MAX_TIMEOUT_S = 5.0
INITIAL_TIMEOUT_S = 2.0
QUEUE_FACTOR = 2.0


@dataclasses.dataclass(slots=True)
class _Estimate:
    smoothed_s: float
    deviation_s: float


class StepTimeouts:
    """Timeouts by endpoint, learned from answered calls."""

    def __init__(self) -> None:
        self._estimates: dict[str, _Estimate] = {}

    def observe(self, endpoint: str, seconds: float) -> None:
        """Records the time of an answered call."""
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            self._estimates[endpoint] = _Estimate(seconds, seconds / 2)
            return
        error = abs(seconds - estimate.smoothed_s)
        estimate.deviation_s += BETA * (error - estimate.deviation_s)
        estimate.smoothed_s += ALPHA * (seconds - estimate.smoothed_s)

    def forget(self, endpoint: str) -> None:
        """Discards the estimate of an endpoint that is gone."""
        self._estimates.pop(endpoint, None)

    def limit_s(self, endpoint: str) -> float:
        """Returns the timeout of a call in seconds.

        Calls carry a bounded number of tokens, so their times are similar. The
        queue factor covers a call that waits behind those of other nodes.
        """
        estimate = self._estimates.get(endpoint)
        if estimate is None:
            return INITIAL_TIMEOUT_S
        limit = estimate.smoothed_s * QUEUE_FACTOR
        limit += DEVIATION_FACTOR * estimate.deviation_s
        return min(max(limit, MIN_TIMEOUT_S), MAX_TIMEOUT_S)


def create_step_timeouts() -> StepTimeouts:
    """Creates timeouts without any observed calls."""
    return StepTimeouts()
