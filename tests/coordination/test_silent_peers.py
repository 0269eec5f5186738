"""Nodes that fall silent, and how soon the others stop naming them."""

from __future__ import annotations

import pytest

from almondshift.coordination import peer_types
from almondshift.ports import peers
from tests import asynchronous
from tests.coordination import network

ALIVE = peer_types.PeerState.ALIVE
SUSPECT = peer_types.PeerState.SUSPECT


STEPS_PER_S = 5
"""Extra rounds for urgent facts may follow each other so often."""


async def _run(cluster: network.Cluster, seconds: int) -> None:
    """Does a round a second, and extra ones where facts are urgent."""
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
async def test_a_node_without_power_is_suspect_within_two_seconds(
    nodes: int,
) -> None:
    """Callers are sent to a node that has lost power, and wait for a second.

    With 60 nodes heartbeats are three seconds apart, and two missed ones took
    eight. Here a call to the node fails, its caller tells the others, each
    calls the node itself, and all stop to name it.
    """
    cluster = await network.create_cluster(nodes)
    await cluster.run(12)
    cluster.freeze("node-8")
    await _run(cluster, 2)
    states = _states(cluster, "node-8")
    assert len(states) == nodes - 1
    assert states.count(SUSPECT) >= 0.95 * len(states)


@asynchronous.run
async def test_a_live_node_stays_whatever_another_tells() -> None:
    """A node that is slow would take live nodes from all callers.

    It tells that two peers are silent; the others call these, get answers, and
    go on naming them.
    """
    cluster = await network.create_cluster(9)
    await cluster.run(5)
    teller = cluster.running()[0]
    for name in ("node-3", "node-4"):
        teller.publish(peers.FactKind.NODE_SILENT, name, b"true", 3.0)
    await _run(cluster, 2)
    for name in ("node-3", "node-4"):
        assert set(_states(cluster, name)) == {ALIVE}


@asynchronous.run
async def test_a_node_that_was_frozen_is_named_again_by_its_heartbeat() -> None:
    """A node that woke again would get no callers for a minute.

    Calls to it failed while it was frozen. In a large group it calls each
    peer once in a minute; its heartbeat reaches all within seconds.
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
async def test_a_node_that_reaches_nobody_accuses_nobody() -> None:
    """A node that was cut off comes back with news that all others are dead."""
    cluster = await network.create_cluster(9)
    await cluster.run(5)
    cut = cluster.running()[0]
    others = {f"node-{n}" for n in range(9)} - {cut.node.name}
    for name in others:
        cluster.freeze(name)
    await _run(cluster, 1)
    published = set(cut.facts(peers.FactKind.NODE_SILENT))
    await _run(cluster, 6)
    later = set(cut.facts(peers.FactKind.NODE_SILENT))
    assert len(published) <= 4
    assert not later


@asynchronous.run
async def test_no_live_node_is_taken_for_silent_while_a_group_grows() -> None:
    """Callers are named few nodes after all of a group have started again.

    Each of 60 nodes starts alone, and states for how long its fact holds in a
    group that small. Peers that know all 60 dated its heartbeat by theirs.
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
