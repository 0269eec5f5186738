"""Membership over real TCP links and a real clock."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from typing import TYPE_CHECKING

from almondshift.adapters import peer_link
from almondshift.coordination import membership
from almondshift.coordination import peer_types
from almondshift.ports import clocks
from almondshift.ports import peers
from tests.faults import processes
from tests.faults import proxy as fault_proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

CONFIG = peers.FactKind.CONFIG
FAST = peer_types.MembershipSettings(
    interval_s=0.2, urgent_gap_s=0.05, call_timeout_s=0.2, propagation_s=0.5
)


class LoopClock(clocks.Clock):
    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


async def start_node(
    name: str, seeds: list[str], peer_address: str = ""
) -> membership.Membership:
    async def seed_addresses() -> list[str]:
        return seeds

    link = peer_link.create_peer_link("127.0.0.1", 0, "secret")
    node = membership.create_membership(
        link,
        LoopClock(),
        random.Random(name),
        peer_types.NodeIdentity(name, peer_address, f"{name}:80", "a"),
        seed_addresses,
        FAST,
    )
    await node.start()
    return node


@contextlib.asynccontextmanager
async def three_nodes() -> AsyncIterator[list[membership.Membership]]:
    first = await start_node("node-0", [])
    nodes = [first]
    for name in ("node-1", "node-2"):
        nodes.append(await start_node(name, [first.link.address]))
    try:
        await processes.wait_until(
            lambda: all(len(node.peers()) == 2 for node in nodes),
            5.0,
            "all nodes know each other",
        )
        yield nodes
    finally:
        for node in nodes:
            await node.close()


def all_know(
    nodes: list[membership.Membership], value: bytes
) -> Callable[[], bool]:
    return lambda: all(
        [fact.value for fact in node.facts(CONFIG).values()] == [value]
        for node in nodes
    )


def test_change_reaches_all_and_a_closed_node_is_dropped() -> None:
    async def scenario() -> None:
        async with three_nodes() as nodes:
            nodes[1].publish(CONFIG, "version", b"1", 60.0)
            await processes.wait_until(
                all_know(nodes, b"1"), 2.0, "the change is known"
            )
            await nodes[2].close()
            await processes.wait_until(
                lambda: all(len(node.peers()) == 1 for node in nodes[:2]),
                2.0,
                "the closed node is dropped",
            )

    asyncio.run(scenario())


def test_node_behind_a_silent_link_is_suspect_until_it_heals() -> None:
    """A node whose incoming link drops all data must become suspect.

    It is reached through a proxy that stops forwarding. Its own calls still
    succeed, so its heartbeats arrive; but calls to it fail, and callers sent
    there would wait in vain. Once the link works, the node is alive again.
    """

    async def scenario() -> None:
        async with three_nodes() as nodes:
            proxy = await fault_proxy.create_fault_proxy("127.0.0.1:1")
            seeds = [nodes[0].link.address]
            fourth = await start_node("node-3", seeds, proxy.address)
            proxy.upstream = fourth.link.address

            def state() -> peer_types.PeerState | None:
                found = {peer.name: peer.state for peer in nodes[0].peers()}
                return found.get("node-3")

            alive = peer_types.PeerState.ALIVE
            await processes.wait_until(
                lambda: state() is alive, 3.0, "the node is known"
            )
            proxy.blocked_directions.add(fault_proxy.Direction.UP)
            for _ in range(2):
                result = await nodes[0].ask("node-3", "t", b"", 0.1)
                assert result.is_error()
            assert nodes[0].table.failures["node-3"] >= 1
            proxy.heal()
            await processes.wait_until(
                lambda: state() is alive, 3.0, "the node is trusted again"
            )
            await fourth.close()
            await proxy.close()

    asyncio.run(scenario())
