"""Requests that peers run on several engines for a node that is cut off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.platform import standin_system as system
from tests.platform import test_requests_for_peers as for_peers
from tests.platform import test_silent_engines as silent
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from almondshift.relay import runs

REQUESTS = 12
GAP_S = 0.4
"""Longer than failed connections count as a sign of a lost link."""

NODES_AND_ATTEMPTS = [(4, 1), (4, 2), (4, 3), (2, 2), (2, 3), (9, 2)]


@pytest.mark.parametrize(("nodes", "max_attempts"), NODES_AND_ATTEMPTS)
def test_engines_that_a_peer_used_count(nodes: int, max_attempts: int) -> None:
    """Guards against a node that counts one run for all of its peer's.

    Engines break streams off, so that each peer uses all attempts of the
    route and gives up. Nobody may start with a new count.
    """

    async def scenario() -> None:
        async with system.running_system(nodes, zones="abc") as running:
            await silent.prepare(running, max_attempts)
            await for_peers.cut_off(running, [0])
            for engine in running.engines.values():
                engine.cut_after = 3
            for number in range(REQUESTS):
                await whole.chat(running, f"r{number}")
                await asyncio.sleep(GAP_S)
            found = silent.engines_by_request(running)
            over = [
                f"r{n}"
                for n in range(REQUESTS)
                if len(found[f"r{n}"]) > max_attempts
            ]
            assert over == []

    asyncio.run(scenario())


async def run_at_peer(
    running: system.StandinSystem, request_id: str, number: int
) -> runs.Run:
    """Waits until an engine runs a request; returns the run at the peer."""
    await running.until(
        lambda: whole.times_run(running, request_id) == number, 3.0
    )
    [run] = [
        run
        for process in running.nodes[1:]
        for run in process.node.shared.running
        if not run.responder.ended
    ]
    return run  # type: ignore[return-value]


@pytest.mark.parametrize(("nodes", "max_attempts"), [(4, 2), (4, 3), (9, 2)])
def test_a_stream_survives_peers_that_are_lost(
    nodes: int, max_attempts: int
) -> None:
    """Guards against a peer whose loss costs all attempts of the route.

    Peers are lost in the middle of the stream, one after the other, while the
    engines behind them go on.
    """

    async def scenario() -> None:
        async with system.running_system(nodes, zones="abc") as running:
            await silent.prepare(running, max_attempts)
            await for_peers.cut_off(running, [0])
            stream = asyncio.create_task(whole.chat(running, "r1"))
            for number in range(1, max_attempts):
                run = await run_at_peer(running, "r1", number)
                await asyncio.sleep(5 * silent.EVENT_GAP_S)
                run.responder.abort()  # type: ignore[attr-defined]
            status, _, body = await stream
            assert status == 200
            assert len(whole.tokens(body)) == silent.EVENTS
            assert whole.times_run(running, "r1") == max_attempts

    asyncio.run(scenario())


@pytest.mark.parametrize("nodes", [2, 4])
def test_a_request_leaves_a_slow_endpoint_behind_a_peer(nodes: int) -> None:
    """Guards against a wait for the only endpoint that a peer may use."""

    async def scenario() -> None:
        async with system.running_system(nodes, zones="abc") as running:
            await running.wait_for_peers()
            await for_peers.cut_off(running, [0])
            plain = [e for e in running.engines.values() if not e.kind]
            for engine in plain:
                engine.response_delay_s = 4.0
            entry = running.nodes[0].settings.entry.address
            head = system.request("/look/x", "l1")
            sent = asyncio.create_task(system.send(entry, head, b"x"))
            await running.until(lambda: whole.times_run(running, "l1") == 1)
            for engine in plain:
                engine.response_delay_s = 0.0
            async with asyncio.timeout(2.0):
                status, _, _ = await sent
            assert status == 200
            assert whole.times_run(running, "l1") == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("nodes", [2, 4])
def test_a_request_that_ran_nowhere_is_refused_as_such(nodes: int) -> None:
    """Guards against a peer that counts attempts kept for others as runs.

    Callers don't come back after a 502.
    """

    async def scenario() -> None:
        async with system.running_system(nodes, zones="abc") as running:
            await running.wait_for_peers()
            await for_peers.cut_off(running, [0])
            for engine in running.engines.values():
                engine.backoffs = ["1"]
            entry = running.nodes[0].settings.entry.address
            head = system.request("/look/x", "l1")
            status, fields, _ = await system.send(entry, head, b"x")
            assert (status, "retry-after" in fields) == (503, True)

    asyncio.run(scenario())
