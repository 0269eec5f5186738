"""What nodes wrote to the store, after it returned from an older copy."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from almondshift.adapters import http_connections
from almondshift.platform import store
from almondshift.ports import stores
from almondshift.relay import group
from tests import asynchronous
from tests.platform import standin_store
from tests.platform import standin_system

if TYPE_CHECKING:
    from almondshift.daemons import relay

AWAY_S = 0.8
RESTORED_S = 2.0
"""Time within which all rows are there again, in seconds."""


def node_rows(system: standin_system.StandinSystem) -> set[str]:
    """Returns the names of the nodes that have a row."""
    rows = system.store.rows.items()
    return {
        key
        for (table, key), (value, _) in rows
        if table == group.TABLE and value is not None
    }


def names(system: standin_system.StandinSystem) -> set[str]:
    return {process.node.settings.node.name for process in system.nodes}


def knows_all(
    system: standin_system.StandinSystem, process: relay.RelayProcess
) -> bool:
    """Returns whether a node knows all other nodes as alive."""
    joined = process.node.group
    if joined is None:
        return False
    known = {peer.name for peer in joined.serving()} | {joined.name}
    return known == names(system)


def all_know_all(system: standin_system.StandinSystem) -> bool:
    return all(knows_all(system, process) for process in system.nodes)


async def come_back(
    system: standin_system.StandinSystem, copy: standin_store.Copy
) -> float:
    """Makes the store return from a copy; returns the time when it does.

    Operators and engines write their rows again.
    """
    system.store.go_away()
    await asyncio.sleep(AWAY_S)
    system.store.come_back(copy)
    system.store.put("op", "config", standin_system.config())
    for engine in system.engines.values():
        engine.on_change()
    return time.monotonic()


@pytest.mark.parametrize("nodes", [1, 3, 9])
@asynchronous.run
async def test_rows_of_nodes_are_written_again(nodes: int) -> None:
    """Otherwise nodes that start would not find those that joined before."""
    async with standin_system.running_system(nodes) as system:
        await system.until(lambda: all_know_all(system))
        copy = system.store.copy()
        await system.add_node()
        await system.until(lambda: all_know_all(system))
        returned_at = await come_back(system, copy)
        assert node_rows(system) < names(system)
        await system.until(lambda: node_rows(system) == names(system))
        assert time.monotonic() - returned_at <= RESTORED_S


@pytest.mark.parametrize("nodes", [1, 3, 9])
@asynchronous.run
async def test_node_that_starts_at_the_return_joins_the_others(
    nodes: int,
) -> None:
    """Otherwise it would create a second secret, and a second group.

    The copy is older than all nodes, so that it has neither their rows nor the
    secret that they share.
    """
    async with standin_system.running_system(0) as system:
        copy = system.store.copy()
        for index in range(nodes):
            await system.add_node("ab"[index % 2])
        await system.until(lambda: all_know_all(system))
        await come_back(system, copy)
        await system.add_node()
        await system.until(lambda: all_know_all(system))
        secrets = {n.node.ports.peer_entries.secret for n in system.nodes}
        assert len(secrets) == 1
        await system.add_node()
        await system.until(lambda: all_know_all(system))


@pytest.mark.parametrize("is_noticed", [False, True])
@asynchronous.run
async def test_condition_with_a_revision_of_an_earlier_era_fails(
    is_noticed: bool,
) -> None:
    """Guards against a write to a row that was never read.

    The store gives out the same revision again, for another content. A client
    that doesn't know of the new era yet must not take the write for confirmed.
    """
    platform = standin_store.StandinStore()
    await platform.start()
    pool = http_connections.create_connection_pool(1.0)
    client = store.create_platform_store(platform.address, pool)
    try:
        copy = platform.copy()
        platform.put("t", "k", {"a": 1})
        read = (await client.read("t", "k")).ok
        assert read is not None
        platform.restore(copy)
        platform.put("t", "k", {"b": 1})
        if is_noticed:
            assert (await client.read("t", "other")).ok is None
        calls = len(platform.calls)
        write = stores.Write("t", "k", {"a": 2}, read.revision, read.era)
        assert (await client.transact([write])).is_error()
        again = (await client.read("t", "k")).ok
        assert again is not None
        assert again.revision == (1 if is_noticed else 2)
        assert len(platform.calls) == calls + (1 if is_noticed else 2)
        fresh = stores.Write("t", "k", {"a": 2}, again.revision, again.era)
        assert (await client.transact([fresh])).is_ok()
    finally:
        pool.close()
        await platform.close()


@asynchronous.run
async def test_node_that_learns_of_an_era_from_peers_writes_its_row() -> None:
    """Most nodes of a large group never call the store themselves."""
    async with standin_system.running_system(1) as system:
        [process] = system.nodes
        await system.until(lambda: node_rows(system) == names(system))
        era = process.node.ports.table.era
        system.store.remove(group.TABLE, process.node.settings.node.name)
        process.node.feed.note_era(era + 1)
        learned_at = time.monotonic()
        await system.until(lambda: node_rows(system) == names(system))
        assert time.monotonic() - learned_at <= RESTORED_S
        assert process.node.keeper.paused_until > learned_at
