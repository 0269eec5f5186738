"""Early refusal of requests that could not be answered in time.

Load pattern: sustained overload. If every request is let in, the queue
grows until each one is answered after its deadline: the engines are busy
and nobody gets an answer. Grounds: a request is let in if the wait that the
fair queue and the drain rate predict, with the time of its own run, ends
before its deadline; else it is refused on arrival, when its caller can still
do something about it. It may use half of the slack between its run and its
deadline for waiting, because both figures are estimates and an admitted
request that misses its deadline has cost an engine its work for nothing.

The cap by priority keeps the queue short where a person waits: two seconds
of queue is more than the completions of one second vary by, so that the
engines stay full, and members who wait longer give up. Drafts may wait for
half of their slack, whatever it is. The time that was allowed for waiting
is also when a request that still waits is refused, so none is kept until
near its deadline.
"""

from __future__ import annotations

import math

from almondshift.model import fleet

SLACK_SHARE = 0.5
MARGIN = 0.75
"""Part of the allowed wait that a prediction may reach. In the bench at four
times the load, predictions were off by half a second; without a margin 40 in
100 admitted requests were refused only after their whole wait."""
WAIT_CAP_S = {
    fleet.Priority.CRITICAL: 4.0,
    fleet.Priority.NORMAL: 2.0,
    fleet.Priority.BULK: math.inf,
}


def allowed_wait_s(
    priority: fleet.Priority, remaining_s: float, run_s: float
) -> float:
    """Returns how long a request may wait; negative if it can't be met.

    Args:
        priority: Its priority.
        remaining_s: Time until its deadline.
        run_s: Time that it is expected to run.
    """
    slack = remaining_s - run_s
    if slack <= 0.0:
        return -1.0
    return min(WAIT_CAP_S[priority], slack * SLACK_SHARE)


def may_wait(predicted_s: float, allowed_s: float) -> bool:
    """Returns whether a request that would wait this long is let in."""
    return allowed_s > 0.0 and predicted_s <= allowed_s * MARGIN


def predicted_wait_s(cost_ahead: float, drain: float) -> float:
    """Returns the wait behind ``cost_ahead`` at ``drain`` cost a second."""
    if cost_ahead <= 0.0:
        return 0.0
    return cost_ahead / drain if drain > 0.0 else math.inf
