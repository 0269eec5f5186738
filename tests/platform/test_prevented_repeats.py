"""A second send of a request that may run once, whatever asks for it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.platform import standin_system as system
from tests.platform import test_requests_for_peers as for_peers
from tests.platform import test_unrepeatable_streams as unrepeatable
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from almondshift.relay import runs


def only_run(running: system.StandinSystem, node: int = 0) -> runs.Run:
    """Returns the only request that a node serves."""
    [run] = running.nodes[node].node.shared.running
    return run  # type: ignore[return-value]


async def send_while_running(
    running: system.StandinSystem, path: str, again: str
) -> int:
    """Has a node send a request again while an endpoint runs it."""
    for engine in running.engines.values():
        engine.response_delay_s = 0.3
    entry = running.nodes[0].settings.entry.address
    sent = asyncio.create_task(
        system.send(entry, system.request(path, "r1"), b"x")
    )
    await running.until(lambda: whole.times_run(running, "r1") == 1)
    getattr(only_run(running), again)()
    status, _, _ = await sent
    return status


@pytest.mark.parametrize("path", ["/once/x", "/chat/x"])
@pytest.mark.parametrize("again", ["begin", "dispatch", "pass_to_peer"])
def test_a_request_in_flight_is_not_sent_a_second_time(
    path: str, again: str
) -> None:
    """Guards against any path through the code that sends an order twice."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            if path == "/chat/x":
                await unrepeatable.forbid_repeats(running)
            status = await send_while_running(running, path, again)
            assert whole.times_run(running, "r1") == 1
            assert status == 200

    asyncio.run(scenario())


def test_a_request_that_a_peer_has_is_not_sent_a_second_time() -> None:
    """Guards against an order that this node and its peer send."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            [pool] = await for_peers.cut_off(running, [0])
            pool.end()
            status = await send_while_running(running, "/once/x", "dispatch")
            assert whole.times_run(running, "r1") == 1
            assert status == 200

    asyncio.run(scenario())
