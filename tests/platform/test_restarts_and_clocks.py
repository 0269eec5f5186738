"""Restarts of all nodes, suspended machines and jumps of the time of day."""

from __future__ import annotations

import argparse
import asyncio
import time

import pytest

from almondshift.adapters import system_clock
from almondshift.console import nodes as console_nodes
from almondshift.console.commands import status
from almondshift.relay import group
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

OTHER_NODES = 40
"""Other nodes of a group that is large enough to pool its load counts."""


def orders(running: system.StandinSystem) -> int:
    return sum(engine.orders for engine in running.engines.values())


async def kill_nodes(running: system.StandinSystem) -> None:
    """Ends all nodes as a power failure does, without a graceful stop."""
    for process in running.nodes:
        await process.close()
    running.nodes.clear()


@pytest.mark.parametrize("has_new_config", [False, True])
def test_nodes_that_all_restart_serve_from_stored_state(
    has_new_config: bool,
) -> None:
    """Guards against lost state when all nodes lose power.

    The durable state is in the store and at the engines. New processes must
    serve with the newest configuration, even one that was acknowledged while
    no node ran, and must not reload layers.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            assert (await whole.chat(running, "r1"))[0] == 200
            before = orders(running)
            await kill_nodes(running)
            key = "key-1"
            if has_new_config:
                key = "key-2"
                accounts = [{"name": "account", "apiKeys": [key]}]
                changed = system.config(2, tenants=accounts)
                running.store.put("op", "config", changed)
            for _ in range(2):
                await running.add_node()
            await running.until(running.serves, 4.0)
            for node in (0, 1):
                response = await whole.chat(
                    running, f"n{node}", node, Authorization=f"Bearer {key}"
                )
                assert response[0] == 200
            if has_new_config:
                assert (await whole.chat(running, "old"))[0] == 401
                assert whole.times_run(running, "old") == 0
            await asyncio.sleep(1.5)
            assert orders(running) == before

    asyncio.run(scenario())


def test_a_restarted_node_takes_the_other_nodes_into_account() -> None:
    """Guards against overloaded engines when all nodes restart together.

    All nodes start within a second, and each serves before it has contacted
    the others. A node that takes itself for the only one sees idle engines and
    sends all requests to the same few, which refuse most of them. So it reads
    the group's rows from the store when it joins.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=1) as running:
            rows = running.nodes[0].node.rows
            for number in range(OTHER_NODES):
                other = group.NodeRows(rows.store, rows.clock)
                assert await other.announce(f"other-{number}", "127.0.0.1:1")
            await kill_nodes(running)
            node = (await running.add_node()).node
            await running.until(lambda: node.group is not None, 4.0)
            assert node.shared.paths.nodes == 1 + OTHER_NODES

    asyncio.run(scenario())


def test_a_node_that_starts_without_the_store_refuses_and_then_serves() -> None:
    """Guards against rejected keys at a node without a configuration.

    The store is unavailable while a node starts, so the node responds with 503
    and Retry-After. Once the store is back, the node serves within a second or
    two.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=1) as running:
            running.store.faults.refuses = 503
            await running.add_node()
            status_code, fields, _ = await whole.chat(running, "early", 1)
            assert status_code == 503
            assert 0 < float(fields["retry-after"]) < 2
            running.store.faults.refuses = 0
            await running.until(running.serves, 3.0)
            assert (await whole.chat(running, "late", 1))[0] == 200
            assert whole.times_run(running, "early") == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("jump_s", [-5.0, 5.0])
def test_jumps_of_the_time_of_day_have_no_effect(
    jump_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Deadlines, leases and peer time-outs must use the monotonic clock.

    The time of day jumps by seconds while a stream runs and a request with a
    short deadline waits. The stream completes, the deadline is kept, and the
    nodes remain peers.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.until(
                lambda: all(
                    process.node.group and process.node.group.serving()
                    for process in running.nodes
                )
            )
            for engine in running.engines.values():
                engine.gap_s = 0.05
            running.engines["pa"].response_delay_s = running.engines[
                "pb"
            ].response_delay_s = 3.0
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await asyncio.sleep(0.2)
            real = time.time
            monkeypatch.setattr(time, "time", lambda: real() + jump_s)
            entry = running.nodes[0].settings.entry.address
            started = time.monotonic()
            head = system.request("/once/x", "r2", X_Deadline_Ms="300")
            assert (await system.send(entry, head))[0] == 504
            assert 0.25 < time.monotonic() - started < 0.8
            assert whole.tokens((await stream)[2]) == whole.WHOLE
            await asyncio.sleep(1.0)
            for process in running.nodes:
                assert process.node.group is not None
                assert process.node.group.serving()
            grants = [p.node.keeper.lease.grant() for p in running.nodes]
            assert sum(grant is not None for grant in grants) == 1

    asyncio.run(scenario())


def test_a_suspended_node_does_not_use_its_expired_lease() -> None:
    """Guards against two lease holders after a machine was suspended.

    The machine is suspended for longer than a grant lasts, and another node
    may have the lease. The node's clock includes the suspension, so its grant
    has expired when it resumes, before it has contacted the store.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:

            def holders() -> list[int]:
                return [
                    index
                    for index, process in enumerate(running.nodes)
                    if process.node.keeper.lease.grant() is not None
                ]

            await running.until(lambda: len(holders()) == 1)
            [holder] = holders()
            lease = running.nodes[holder].node.keeper.lease
            clock = lease.clock
            offset = 0.0

            class Suspended(system_clock.SystemClock):
                def monotonic(self) -> float:
                    return clock.monotonic() + offset

            lease.clock = Suspended()
            assert lease.grant() is not None
            offset = 30.0
            assert lease.grant() is None

    asyncio.run(scenario())


def test_the_monotonic_clock_includes_the_time_of_a_suspension() -> None:
    """``CLOCK_MONOTONIC`` excludes it; a lease would outlast its term."""
    clock = system_clock.create_system_clock()
    before = time.clock_gettime(time.CLOCK_BOOTTIME)
    assert before <= clock.monotonic()
    assert clock.monotonic() <= time.clock_gettime(time.CLOCK_BOOTTIME)


def test_operators_see_which_engines_each_node_suspects() -> None:
    """Operators need to know which engines a node avoids, and why."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            shared = running.nodes[1].node.shared
            now = shared.clock.monotonic()
            shared.tracker.suspect(
                "a1", whole.engine_tracker.Suspicion.STALLED, now
            )
            addresses = [p.settings.metrics.address for p in running.nodes]
            client = console_nodes.create_client(
                argparse.Namespace(), needs_secret=False
            )
            results = await console_nodes.fetch_statuses(client, addresses)
            client.close()
            assert [a.error for a in results] == [None, None]
            seen = [a.value or {} for a in results]
            assert {s["node"] for s in seen} == {"node-0", "node-1"}
            suspects = [
                [e["name"] for e in s["endpoints"] if e["suspect"]]
                for s in sorted(seen, key=lambda s: str(s["node"]))
            ]
            assert suspects == [[], ["a1"]]
            assert all(s["config"]["version"] == 1 for s in seen)
            [second] = [a for a in results if a.address == addresses[1]]
            text = status.render_text([second])
            assert "stalled" in text
            assert "node-1" in text

    asyncio.run(scenario())
