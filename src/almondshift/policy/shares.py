"""A node's share of a limit that holds over all nodes.

Load pattern: several nodes use one limit (an engine's sessions, an
account's tokens a second) and each sees the others late. If each took all
that looks free, a burst would overshoot by the number of nodes; if each
kept to an equal part, a node that gets all of the traffic would leave most
of the limit unused. Grounds: what looks free is divided by the number of
sharers, so that one round of reports can't overshoot; past the limit each
node shrinks in proportion, so that the sum is the limit again after one
round of reports; an equal part is always kept, so that a newcomer isn't
shut out by nodes that came first. When a limit is nearly used up, parts move
a quarter of the way towards equal ones with each report; otherwise the parts
that chance gave at the start of an overload would stay for as long as it
lasts, and with them what each node's callers get.
"""

from __future__ import annotations

NEARLY = 0.9
STEP = 0.25


def next_share(
    limit: float, own: float, total: float, sharers: int, known: int
) -> float:
    """Returns how much of a limit this node may use until the next report.

    Args:
        limit: The limit over all nodes.
        own: What this node used when ``total`` was true.
        total: What all nodes together used.
        sharers: Nodes that use the limit now, this one counted.
        known: All nodes that might use it, this one counted.
    """
    equal = limit / max(1, known)
    active = max(1, sharers)
    if total <= limit:
        share = own + (limit - total) / active
    else:
        share = own * limit / total
    if total >= limit * NEARLY:
        share += STEP * (limit / active - share)
    return max(equal, share)
