"""All nodes of a group start at the same time, as after a power failure."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import pytest

from almondshift.coordination import membership
from almondshift.coordination import peer_types
from tests.coordination import network

STEP_S = 0.1
DISCOVERY_LIMIT_S = 2.0
"""Callers that lost their node reconnect within one or two seconds."""

SETTINGS = peer_types.MembershipSettings(
    interval_s=1.0,
    seed_interval_s=1.0,
    heartbeats_per_s=40.0,
    startup_s=DISCOVERY_LIMIT_S,
)


async def start_together(size: int, seed: int) -> network.Cluster:
    """Starts nodes that have all seed addresses but don't know each other."""
    cluster = network.Cluster(seed, SETTINGS)
    names = [f"node-{number}" for number in range(size)]
    cluster.seeds = [network.address_of(name) for name in names]
    for name in names:
        address = network.address_of(name)
        cluster.nodes[name] = membership.create_membership(
            network.MemoryLink(cluster.simulated_network, address),
            cluster.clock,
            random.Random(cluster.rng.random()),
            peer_types.NodeIdentity(name, address, f"{name}:80", "a"),
            cluster.seed_addresses,
            SETTINGS,
        )
    await asyncio.gather(*(node.start() for node in cluster.nodes.values()))
    return cluster


@pytest.mark.parametrize(("size", "seed"), [(6, 1), (75, 1), (75, 2)])
def test_nodes_that_start_together_discover_each_other_in_time(
    size: int, seed: int
) -> None:
    """Nodes that start together must not act as single nodes for long.

    Each would follow the store alone, and callers would get only its address.
    """

    async def scenario() -> None:
        cluster = await start_together(size, seed)
        for _ in range(round(DISCOVERY_LIMIT_S / STEP_S)):
            await cluster.clock.advance(STEP_S)
        seen = [len(peers) for peers in cluster.views().values()]
        assert min(seen) >= 0.9 * (size - 1)
        await asyncio.gather(*(n.close() for n in cluster.nodes.values()))

    asyncio.run(scenario())


def test_rounds_return_to_the_normal_interval_after_the_start() -> None:
    """Permanently frequent rounds would use up each node's byte budget."""

    async def scenario() -> None:
        cluster = await start_together(6, 1)
        node = cluster.nodes["node-0"]
        assert node.interval_s() == SETTINGS.startup_interval_s
        await cluster.clock.advance(DISCOVERY_LIMIT_S)
        assert node.interval_s() == SETTINGS.interval_s
        await asyncio.gather(*(n.close() for n in cluster.nodes.values()))

    asyncio.run(scenario())


def test_non_member_addresses_are_called_rarely_after_the_start() -> None:
    """Nodes must not call nodes that are gone in every round."""

    async def scenario() -> None:
        settings = dataclasses.replace(SETTINGS, seed_interval_s=10.0)
        cluster = await network.create_cluster(6, 1, settings)
        cluster.seeds.append(network.address_of("gone"))
        node = cluster.nodes["node-0"]
        await node.refresh_seeds()
        tried = 0
        for _ in range(8):
            address = network.address_of("gone")
            tried += address in node.targets(cluster.clock.now, urgent=False)
            cluster.clock.now += 1.0
        assert tried <= 1

    asyncio.run(scenario())
