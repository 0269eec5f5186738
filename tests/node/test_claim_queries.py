"""Claims of nodes that ask each other over TCP, and the platform over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import pytest

from almondshift.adapters import keys
from almondshift.adapters import platform_store
from almondshift.adapters import settings as node_settings
from almondshift.adapters import system_clock
from almondshift.coordination import claim_peers
from almondshift.coordination import claim_rows
from almondshift.coordination import claims
from almondshift.coordination import grouped_writes
from almondshift.daemons import node as node_daemon
from almondshift.node import at_most_once
from almondshift.standins.platform import server
from almondshift.standins.platform import settings
from tests import samples
from tests.coordination import test_membership_tcp
from tests.faults import processes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CLOCK = system_clock.create_system_clock()
RESULT = claim_rows.StoredResult(200, "text/plain", b"x" * 9000)
WAIT_S = 10.0


class Node:
    """A node's claims and the parts that they need."""

    def __init__(self, name: str, platform: server.PlatformServer) -> None:
        self.name = name
        self.table = platform_store.create_table_store(platform.address, 1.0)
        self.objects = platform_store.create_object_store(platform.address, 1.0)

    async def start(self, seeds: list[str]) -> None:
        await self.table.start()
        await self.objects.start()
        self.membership = await test_membership_tcp.start_node(self.name, seeds)
        self.queries = at_most_once.ClaimQueries(self.membership)
        self.claims = claims.create_claims(
            grouped_writes.create_grouped_store(self.table),
            self.objects,
            CLOCK,
            random.Random(self.name),
            self.name,
            self.queries.ask,
            peers=self.queries,
        )
        self.queries.attach(self.claims)
        await self.claims.start()

    async def close(self) -> None:
        await self.claims.close()
        await self.membership.close()
        await self.table.close()
        await self.objects.close()

    async def claim(self, key: str) -> claims.ClaimResult:
        deadline = CLOCK.monotonic() + WAIT_S
        return await self.claims.claim("a", "s", key, b"b", deadline)


@contextlib.asynccontextmanager
async def started(
    platform: server.PlatformServer, count: int
) -> AsyncIterator[list[Node]]:
    await platform.start()
    nodes = [Node(f"n{number}", platform) for number in range(count)]
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(platform.close)
        for node in nodes:
            seeds = (
                [nodes[0].membership.link.address] if node.name > "n0" else []
            )
            await node.start(seeds)
            stack.push_async_callback(node.close)
        await processes.wait_until(
            lambda: all(len(n.queries.names()) == count - 1 for n in nodes),
            WAIT_S,
            "all nodes know each other",
        )
        yield nodes


@pytest.mark.parametrize("count", [1, 3, 9])
@pytest.mark.parametrize("is_finished", [False, True])
def test_request_whose_claim_is_lost_runs_once(
    count: int, is_finished: bool
) -> None:
    """Its retry waits for the result of the first run, and gets it."""

    async def case() -> None:
        platform = server.create_platform(settings.PlatformSettings())
        tables = platform.state.tables
        async with started(platform, count) as nodes:
            copy = tables.take_copy()
            first = (await nodes[0].claim("k")).ok
            assert isinstance(first, claims.Claimed)
            if is_finished:
                await nodes[0].claims.finish(first, RESULT)
            tables.restore(copy)
            retry = asyncio.create_task(nodes[-1].claim("k"))
            other = (await nodes[-1].claim("other")).ok
            assert isinstance(other, claims.Claimed)
            if not is_finished:
                await asyncio.sleep(1.5)
                assert not retry.done()
                await nodes[0].claims.finish(first, RESULT)
            assert (await retry).ok == claims.Finished(RESULT)

    asyncio.run(asyncio.wait_for(case(), 30.0))


def test_question_to_a_node_that_does_not_reply() -> None:
    async def case() -> None:
        platform = server.create_platform(settings.PlatformSettings())
        async with started(platform, 1) as [node]:
            reply = await node.queries.ask_held("n1", "k", 1)
            assert reply is claim_peers.HeldAnswer.UNKNOWN

    asyncio.run(asyncio.wait_for(case(), 30.0))


def test_node_asks_its_peers_in_the_eras_of_its_platform() -> None:
    """Guards against a node whose claims are not connected to its peers."""
    rng = random.Random(1)
    parsed = node_settings.parse(samples.SETTINGS).ok
    process = node_daemon.NodeProcess(
        parsed,
        keys.Secret("s"),
        keys.Secret("s"),
        node_daemon.create_choices(parsed, rng),
        rng,
    )
    process.table.client.era = 3
    made = process.node.claims
    assert made.lost.era() == 3
    assert isinstance(made.held_elsewhere.peers, at_most_once.ClaimQueries)
