"""The sum of all nodes' requests to a rate-limited endpoint."""

from __future__ import annotations

import pytest

from tests import asynchronous
from tests.relay import simulated_limits

WINDOW_S = 4.0
TOLD_S = 3.0
"""Time after a limit was first named from which it must be kept."""

MIN_USED_SHARE = 0.8

LIMITS = (0.0, 1.0, 1.9, 3.7, 20.0)
SIZES = (1, 9, 76, 195)


def allowed(per_s: float) -> float:
    """Returns the most requests that a limit allows in a window."""
    return 1.5 * per_s * WINDOW_S + 5


@pytest.mark.parametrize("nodes", SIZES)
@pytest.mark.parametrize("per_s", LIMITS)
@asynchronous.run
async def test_the_sum_keeps_the_limit_and_uses_it(
    nodes: int, per_s: float
) -> None:
    """Guards against nodes that each keep the limit, while their sum doesn't.

    Three times the limit is demanded, at random nodes.
    """
    fleet = simulated_limits.Fleet(nodes, per_s)
    started = fleet.clock.now
    await fleet.run(40.0, demand_per_s=max(1.0, 3 * per_s))
    worst = fleet.most_in_window(started + TOLD_S, WINDOW_S)
    assert worst <= allowed(per_s)
    steady = [at for at in fleet.arrivals if at > started + 10.0]
    assert len(steady) >= MIN_USED_SHARE * per_s * 30.0


@pytest.mark.parametrize("nodes", SIZES[1:])
@pytest.mark.parametrize("per_s", LIMITS[1:])
@asynchronous.run
async def test_much_demand_at_each_node_leaves_no_permit_unused(
    nodes: int, per_s: float
) -> None:
    """Guards against nodes that wait so long that permits are left over."""
    fleet = simulated_limits.Fleet(nodes, per_s)
    started = fleet.clock.now
    await fleet.run(40.0, demand_per_s=2.0 * nodes + 3 * per_s)
    worst = fleet.most_in_window(started + TOLD_S + WINDOW_S, WINDOW_S)
    assert worst <= allowed(per_s)
    steady = [at for at in fleet.arrivals if at > started + 10.0]
    assert len(steady) >= MIN_USED_SHARE * per_s * 30.0


@pytest.mark.parametrize("nodes", SIZES[1:])
@pytest.mark.parametrize("change", ["killed", "restarted", "split", "joined"])
@asynchronous.run
async def test_the_sum_keeps_the_limit_while_nodes_change(
    nodes: int, change: str
) -> None:
    """Guards against two deciding nodes that each grant the whole limit."""
    per_s = 3.7
    fleet = simulated_limits.Fleet(nodes, per_s)
    started = fleet.clock.now

    def change_nodes() -> None:
        decider = fleet.decider()
        if change == "killed":
            fleet.kill(decider)
        elif change == "restarted":
            fleet.restart(decider)
        elif change == "split":
            fleet.split()
        else:
            for name in list(fleet.nodes)[: nodes // 3]:
                fleet.restart(name)

    def notice() -> None:
        if change == "killed":
            for node in fleet.nodes.values():
                node.hears -= {n for n, o in fleet.nodes.items() if o.is_dead}

    times = {12.0: change_nodes, 12.0 + simulated_limits.SUSPECT_S: notice}
    await fleet.run(30.0, demand_per_s=12.0, at=times)
    worst = fleet.most_in_window(started + TOLD_S, WINDOW_S)
    assert worst <= allowed(per_s)
    after = [at for at in fleet.arrivals if at > started + 18.0]
    assert len(after) >= 0.5 * per_s * 12.0


@asynchronous.run
async def test_a_limit_that_is_no_longer_named_ends_for_all() -> None:
    """Guards against an engine that stays slowed down after its recovery."""
    fleet = simulated_limits.Fleet(9, 1.0)
    await fleet.run(10.0, demand_per_s=10.0)
    fleet.per_s = None
    await fleet.run(15.0, demand_per_s=10.0)
    recent = [at for at in fleet.arrivals if at > fleet.clock.now - 5.0]
    assert len(recent) > 35
