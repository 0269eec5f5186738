"""Admission control: refuses requests that can't be answered in time.

If every request were admitted under sustained overload, the queue would grow
until all requests are answered after their deadline: the engines would be busy,
but callers would get no useful responses.

A request is admitted if it is expected to finish before its deadline, given the
wait predicted from the fair queue and the drain rate and its own run time.
Otherwise it is refused on arrival, when its caller can still react. A request
may spend half of the slack between its run time and its deadline on waiting,
because both figures are estimates and an admitted request that misses its
deadline has used an engine for nothing.

``MAX_WAIT_S`` keeps the queue short for interactive requests. Completions vary
within a second, so that two seconds of queued work keep the engines busy;
callers who wait longer give up. Bulk requests (drafts) may wait for half of
their slack, however long. A request that is still waiting when its allowed wait
ends is refused, so none is kept until close to its deadline.
"""

from __future__ import annotations

import math

from almondshift.model import fleet

SLACK_SHARE = 0.5
PREDICTION_MARGIN = 0.75
"""Share of the allowed wait that a prediction may reach. In a benchmark at four
times the load, predictions were off by half a second; without a margin, 40 in
100 admitted requests were refused only after their entire wait."""
MAX_WAIT_S = {
    fleet.Priority.CRITICAL: 4.0,
    fleet.Priority.NORMAL: 2.0,
    fleet.Priority.BULK: math.inf,
}


def allowed_wait_s(
    priority: fleet.Priority, remaining_s: float, run_s: float
) -> float:
    """Returns the allowed wait; negative if the deadline can't be met.

    Args:
        priority: Priority of the request.
        remaining_s: Time until its deadline.
        run_s: Its expected run time.
    """
    slack = remaining_s - run_s
    if slack <= 0.0:
        return -1.0
    return min(MAX_WAIT_S[priority], slack * SLACK_SHARE)


def may_wait(predicted_s: float, allowed_s: float) -> bool:
    """Returns whether a request with this predicted wait is admitted."""
    return allowed_s > 0.0 and predicted_s <= allowed_s * PREDICTION_MARGIN


def predicted_wait_s(cost_ahead: float, drain_rate: float) -> float:
    """Returns the time in which the cost ahead is served.

    Args:
        cost_ahead: Cost that is served before the request.
        drain_rate: Cost served per second.
    """
    if cost_ahead <= 0.0:
        return 0.0
    return cost_ahead / drain_rate if drain_rate > 0.0 else math.inf
