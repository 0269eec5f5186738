"""A node's share of a limit that applies across all nodes.

Several nodes share one limit (an engine's sessions, an account's tokens per
second), and each sees the usage of the others with a delay. If each took all
apparently free capacity, a burst would overshoot by the number of nodes. If
each were confined to an equal share, a node that gets all of the traffic would
leave most of the limit unused.

Apparently free capacity is divided by the number of nodes that use the limit,
so that one round of reports can't overshoot. Above the limit, each node shrinks
in proportion, so that the sum is back at the limit after one round of reports.
An equal share is always granted, so that earlier nodes can't shut out a new
one.

While a limit is nearly used up, shares move a quarter of the way towards equal
ones with each report. Otherwise the shares that nodes happen to have at the
start of an overload would persist until its end, and the callers of some nodes
would be served worse than those of others.
"""

from __future__ import annotations

NEARLY_FULL = 0.9
EQUALISING_STEP = 0.25


def next_share(
    limit: float, own: float, total: float, sharers: int, known_nodes: int
) -> float:
    """Returns how much of a limit this node may use until the next report.

    Args:
        limit: The limit across all nodes.
        own: Usage of this node at the time of ``total``.
        total: Usage of all nodes together.
        sharers: Number of nodes that use the limit now, including this one.
        known_nodes: Number of nodes that might use it, including this one.
    """
    equal_share = limit / max(1, known_nodes)
    active = max(1, sharers)
    if total <= limit:
        share = own + (limit - total) / active
    else:
        share = own * limit / total
    if total >= limit * NEARLY_FULL:
        share += EQUALISING_STEP * (limit / active - share)
    return max(equal_share, share)
