"""What many urgent facts leave of the other work between nodes."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest

from almondshift.coordination import membership
from almondshift.coordination import peer_types
from almondshift.ports import peers
from almondshift.relay import application
from tests.coordination import network

KIND = peers.FactKind.ENGINE_LOST
SETTINGS = application.MEMBERSHIP_SETTINGS
STEP_S = 0.1
JOINED_S = 4.0
FACT_TTL_S = 6.0
VALUE = b'"isolated"'


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Urgent facts that nodes publish again and again.

    Attributes:
        publishers: Nodes that publish.
        facts: Facts of each of them.
        interval_s: Time after which each publishes its facts again.
    """

    publishers: int
    facts: int
    interval_s: float


async def start_nodes(size: int, seed: int) -> network.Cluster:
    """Starts nodes, with their rounds, and waits until they have joined."""
    cluster = network.Cluster(seed, SETTINGS)
    names = [f"edge-{number}" for number in range(size)]
    cluster.seeds = [network.address_of(name) for name in names]
    for name in names:
        address = network.address_of(name)
        node = membership.create_membership(
            network.MemoryLink(cluster.simulated_network, address),
            cluster.clock,
            random.Random(cluster.rng.random()),
            peer_types.NodeIdentity(name, address, f"{name}:80", "a"),
            cluster.seed_addresses,
            SETTINGS,
        )
        cluster.nodes[name] = node
        await node.start()
    await advance(cluster, JOINED_S)
    return cluster


async def advance(cluster: network.Cluster, seconds: float) -> None:
    for _ in range(round(seconds / STEP_S)):
        await cluster.clock.advance(STEP_S)


async def publish_for(
    cluster: network.Cluster, load: Load, seconds: float
) -> int:
    """Publishes a load; returns the fewest live peers that any node saw."""
    names = sorted(cluster.nodes)[: load.publishers]
    due = {name: cluster.rng.uniform(0.0, load.interval_s) for name in names}
    started_at = cluster.clock.monotonic()
    fewest = len(cluster.nodes)
    for _ in range(round(seconds / STEP_S)):
        now = cluster.clock.monotonic() - started_at
        for name in names:
            if due[name] <= now:
                due[name] += load.interval_s
                for number in range(load.facts):
                    key = f"isolated/service-{number}/{name}"
                    cluster.nodes[name].publish(KIND, key, VALUE, FACT_TTL_S)
        await cluster.clock.advance(STEP_S)
        fewest = min(fewest, *(alive_peers(n) for n in cluster.nodes.values()))
    return fewest


def alive_peers(node: membership.Membership) -> int:
    alive = peer_types.PeerState.ALIVE
    return sum(peer.state is alive for peer in node.peers())


@pytest.mark.parametrize(
    ("size", "load"),
    [
        (9, Load(publishers=9, facts=1, interval_s=2.0)),
        (75, Load(publishers=1, facts=1, interval_s=0.5)),
        (75, Load(publishers=60, facts=2, interval_s=2.0)),
        (75, Load(publishers=60, facts=8, interval_s=1.0)),
    ],
)
def test_live_peers_stay_alive_while_urgent_facts_spread(
    size: int, load: Load
) -> None:
    """Guards against heartbeats that stop while nodes tell urgent facts.

    Nodes that are cut off from endpoints would find no peer to serve for them.
    """

    async def scenario() -> None:
        cluster = await start_nodes(size, seed=1)
        assert await publish_for(cluster, load, seconds=12.0) == size - 1
        for node in cluster.nodes.values():
            await node.close()

    asyncio.run(scenario())
