"""Nodes that stop responding, and how soon they are suspect."""

from __future__ import annotations

import pytest

from almondshift.coordination import peer_types
from almondshift.ports import peers
from tests import asynchronous
from tests.coordination import network

ALIVE = peer_types.PeerState.ALIVE
SUSPECT = peer_types.PeerState.SUSPECT


STEPS_PER_S = 5
"""Maximum rate of rounds, including extra ones for urgent facts."""


async def _run(cluster: network.Cluster, seconds: int) -> None:
    """Runs a round per second, and extra rounds for urgent facts."""
    for step in range(seconds * STEPS_PER_S):
        for node in cluster.running():
            if step % STEPS_PER_S == 0:
                await node.run_round()
            elif node.wake.is_set():
                node.wake.clear()
                await node.run_round(urgent=True)
        cluster.clock.now += 1.0 / STEPS_PER_S
        await network.settle()


def _states(cluster: network.Cluster, name: str) -> list[peer_types.PeerState]:
    return [
        peer.state
        for node in cluster.running()
        for peer in node.peers()
        if peer.name == name
    ]


@pytest.mark.parametrize("nodes", [9, 60])
@asynchronous.run
async def test_a_node_that_lost_power_is_suspect_within_two_seconds(
    nodes: int,
) -> None:
    """Callers sent to a node that lost power would wait for a second.

    With 60 nodes heartbeats are three seconds apart, and detection by two
    missed heartbeats took eight seconds. Now a call to the node fails, the
    calling node notifies the others, each probes the node itself, and all
    consider it suspect.
    """
    cluster = await network.create_cluster(nodes)
    await cluster.run(12)
    cluster.freeze("node-8")
    await _run(cluster, 2)
    states = _states(cluster, "node-8")
    assert len(states) == nodes - 1
    assert states.count(SUSPECT) >= 0.95 * len(states)


@asynchronous.run
async def test_a_false_report_does_not_make_a_live_node_suspect() -> None:
    """A node that is slow must not withhold live nodes from all callers.

    It reports that two peers are silent; the others probe these, get replies
    and keep them alive.
    """
    cluster = await network.create_cluster(9)
    await cluster.run(5)
    reporter = cluster.running()[0]
    for name in ("node-3", "node-4"):
        reporter.publish(peers.FactKind.NODE_SILENT, name, b"true", 3.0)
    await _run(cluster, 2)
    for name in ("node-3", "node-4"):
        assert set(_states(cluster, name)) == {ALIVE}


@asynchronous.run
async def test_a_thawed_node_is_alive_again_after_its_heartbeat() -> None:
    """A thawed node must not be without callers for a minute.

    Calls to it failed while it was frozen. In a large group it calls each
    peer only once a minute, but its heartbeat reaches all within seconds.
    """
    cluster = await network.create_cluster(9)
    await cluster.run(5)
    cluster.freeze("node-8")
    await _run(cluster, 3)
    assert SUSPECT in _states(cluster, "node-8")
    await cluster.thaw("node-8")
    await _run(cluster, 4)
    assert set(_states(cluster, "node-8")) == {ALIVE}


@asynchronous.run
async def test_a_node_that_reaches_no_peer_reports_no_peer() -> None:
    """An isolated node must not report that all other nodes are silent."""
    cluster = await network.create_cluster(9)
    await cluster.run(5)
    isolated = cluster.running()[0]
    others = {f"node-{n}" for n in range(9)} - {isolated.node.name}
    for name in others:
        cluster.freeze(name)
    await _run(cluster, 1)
    published = set(isolated.facts(peers.FactKind.NODE_SILENT))
    await _run(cluster, 6)
    later = set(isolated.facts(peers.FactKind.NODE_SILENT))
    assert len(published) <= 4
    assert not later


@asynchronous.run
async def test_no_live_node_is_suspect_while_a_group_grows() -> None:
    """After a restart of all nodes, callers used to get only a few addresses.

    Each of 60 nodes starts alone and publishes a time to live that suits such
    a small group. Peers that know all 60 computed the time of its heartbeat
    from their own, longer one.
    """
    cluster = await network.create_cluster(1)
    for number in range(1, 60):
        await cluster.add(f"node-{number}")
    suspects = 0
    for _ in range(20):
        await _run(cluster, 1)
        suspects += sum(
            peer.state is SUSPECT
            for node in cluster.running()
            for peer in node.peers()
        )
    assert cluster.is_joined()
    assert suspects == 0
