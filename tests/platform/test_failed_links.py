"""Engines that break streams off together, as if a node lost its links."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform import cut_links
from tests.platform import standin_system as system
from tests.platform import test_requests_for_peers as for_peers
from tests.platform import test_silent_engines as silent
from tests.platform import test_whole_system as whole

REQUESTS = 16
RETRIED = 4
"""Number of streams that the nodes' retry budget allows to continue."""


async def send_streams(
    running: system.StandinSystem, count: int
) -> list[tuple[int, dict[str, str], bytes]]:
    """Sends all requests at once to the first node; returns the responses.

    Their prompts differ, as one that meets several failures is refused.
    """
    entry = running.nodes[0].settings.entry.address
    fields = {"X_Deadline_Ms": str(int(silent.TIMEOUT_S * 1000))}
    return await asyncio.gather(
        *(
            system.send(
                entry,
                system.request("/chat/x", f"r{number}", **fields),
                f"prompt {number}".encode(),
            )
            for number in range(count)
        )
    )


@pytest.mark.parametrize("max_attempts", [1, 2])
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_streams_that_engines_break_off_together_count(
    is_cut_off: bool, max_attempts: int
) -> None:
    """Guards against resets that are taken for a lost link for good.

    Several engines reset streams within 0.3 s and continue to serve. The node
    that receives the requests reaches them, or peers do for it.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=4, zones="abc") as running:
            await silent.prepare(running, max_attempts)
            if is_cut_off:
                await for_peers.cut_off(running, [0])
            for engine in running.engines.values():
                engine.cut_after = 3
            await send_streams(running, REQUESTS)
            found = silent.engines_by_request(running)
            over = [
                f"r{n}"
                for n in range(REQUESTS)
                if len(found[f"r{n}"]) > max_attempts
            ]
            assert over == []

    asyncio.run(scenario())


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_streams_of_a_node_that_loses_its_links_are_completed(
    max_attempts: int,
) -> None:
    """Guards against runs that count though the links to engines are lost.

    Streams on their last attempt are broken off then.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2, zones="abc") as running:
            await silent.prepare(running, max_attempts)
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            sending = asyncio.create_task(send_streams(running, RETRIED))
            await asyncio.sleep(0.5)
            pool.begin(cut_links.Cut.RESET)
            for status, _, body in await sending:
                assert status == 200
                assert len(whole.tokens(body)) == silent.EVENTS

    asyncio.run(scenario())


@pytest.mark.parametrize("nodes", [1, 3])
def test_lost_links_do_not_quarantine_a_sound_request(nodes: int) -> None:
    """Guards against counting a node's own lost links as crashes of engines.

    All of its connections are reset, and new ones refused for a moment. Its
    streams have the same prompt.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=nodes, zones="abc") as running:
            await silent.prepare(running)
            pool = cut_links.create_cuttable_pool(running.nodes[0])
            streams = [
                asyncio.create_task(
                    whole.chat(running, f"r{n}", 0, X_Deadline_Ms="20000")
                )
                for n in range(6)
            ]
            await asyncio.sleep(0.8)
            pool.begin(cut_links.Cut.RESET)
            await asyncio.sleep(0.02)
            pool.end()
            responses = await asyncio.gather(*streams)
            counts = [len(whole.tokens(body)) for _, _, body in responses]
            assert counts == [silent.EVENTS] * len(streams)

    asyncio.run(scenario())
