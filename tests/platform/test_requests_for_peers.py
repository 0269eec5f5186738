"""Nodes that serve requests for peers without engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.platform import cut_links
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from almondshift.daemons import relay

NODES = 4
SLOTS = 192
"""Slots of the engines of two zones."""

TOKENS = 120.0


async def cut_off(
    running: system.StandinSystem, nodes: list[int]
) -> list[cut_links.CuttablePool]:
    """Cuts nodes off from all engines; returns when all nodes know it."""
    pools = [
        cut_links.create_cuttable_pool(running.nodes[node]) for node in nodes
    ]
    names = [running.nodes[node].settings.node.name for node in nodes]
    for pool in pools:
        pool.begin(cut_links.Cut.RESET)
    loop = asyncio.get_running_loop()
    deadline = loop.time() + 6.0
    while not all(
        process.node.shared.peer_paths.is_isolated(system.MODEL_SERVICE, name)
        for process in running.nodes
        for name in names
        if process.settings.node.name != name
    ):
        assert loop.time() < deadline
        await asyncio.gather(
            *(whole.chat(running, f"early-{loop.time()}", n) for n in nodes)
        )
    return pools


def admitted(process: relay.RelayProcess) -> int:
    """Returns how many new streams a node admits at one moment."""
    shared = process.node.shared
    view = shared.catalogue.view(system.MODEL_SERVICE)
    assert view is not None
    now = shared.clock.monotonic()
    added = []
    while chosen := shared.paths.choose(view, TOKENS, now):
        shared.tracker.add(chosen.used, TOKENS)
        added.append(chosen.used)
    for used in added:
        shared.tracker.remove(used, TOKENS)
    return len(added)


def mark_engines_full(process: relay.RelayProcess, seconds: float) -> None:
    """Makes a node take all engines for full for a time."""
    shared = process.node.shared
    until = shared.clock.monotonic() + seconds
    for instance in shared.catalogue.engines:
        shared.tracker.state(instance).full_until = until
    shared.tracker.changes += 1


def test_a_node_that_serves_for_all_uses_all_slots_of_engines() -> None:
    """Guards against a node that counts load of nodes without engines.

    One of four nodes reaches the engines and serves for all. It refuses
    requests as if the three others had sent as many to the engines.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=NODES) as running:
            await running.wait_for_peers()
            serving = running.nodes[0]
            before = admitted(serving)
            pools = await cut_off(running, [1, 2, 3])
            await running.until(lambda: admitted(serving) >= SLOTS, 2.0)
            for pool in pools:
                pool.end()
            await running.until(lambda: admitted(serving) <= before, 4.0)

    asyncio.run(scenario())


def test_a_peer_that_refused_a_request_gets_the_next_one() -> None:
    """Guards against peers that are left out since they had no room once.

    Callers of the nodes without engines are then refused, while those of the
    peers are served.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            await cut_off(running, [0])
            for engine in running.engines.values():
                engine.is_full = True
            assert (await whole.chat(running, "full", 0))[0] == 503
            for engine in running.engines.values():
                engine.is_full = False
            shared = running.nodes[1].node.shared
            view = shared.catalogue.view(system.MODEL_SERVICE)
            assert view is not None
            await running.until(
                lambda: shared.paths.choose(view, 1.0, shared.clock.monotonic())
            )
            statuses = [
                (await whole.chat(running, f"r{n}", n % 2))[0] for n in range(4)
            ]
            assert statuses == [200] * 4

    asyncio.run(scenario())


def test_a_request_asks_one_peer_for_room() -> None:
    """Guards against peers that serve others' callers rather than their own.

    A request that may ask several peers finds the room that is left at any of
    them, while their own callers ask once.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=3) as running:
            await running.wait_for_peers()
            await cut_off(running, [0])
            for process in running.nodes[1:]:
                mark_engines_full(process, 60.0)
            shared = running.nodes[0].node.shared
            passed = shared.observer.via_peers.labels("failed")
            before = passed._value.get()
            status, fields, _ = await whole.chat(running, "full", 0)
            assert (status, "retry-after" in fields) == (503, True)
            assert passed._value.get() - before == 1
            for process in running.nodes[1:]:
                mark_engines_full(process, 0.0)
            assert (await whole.chat(running, "again", 0))[0] == 200

    asyncio.run(scenario())
