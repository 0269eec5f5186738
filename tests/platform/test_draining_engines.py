"""Engines that drain while their registry entries don't say so."""

from __future__ import annotations

import asyncio

import pytest

from almondshift.policy import engine_tracker
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

REQUESTS = 12


def offered_requests(running: system.StandinSystem, instance: str) -> int:
    """Returns how many requests were offered on paths through an engine."""
    address = running.engines[instance].address
    heads = [
        head for e in running.engines.values() for head in e.received_headers
    ]
    return sum(address in head.get("X-Hop-Count", "") for head in heads)


@pytest.mark.parametrize("drained", ["a0", "a1"], ids=["first", "later"])
def test_a_draining_engine_gets_requests_of_one_node_only(drained: str) -> None:
    """Guards against refused callers at every node while an engine drains.

    The registry still lists the draining engine as ready. Its first refusal
    triggers a health check, whose result is shared with the other nodes.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=3) as running:
            await running.wait_for_peers()
            trackers = [
                process.node.shared.tracker for process in running.nodes
            ]
            running.engines[drained].is_draining = True
            for number in range(REQUESTS):
                await whole.chat(running, f"r{number}")
                if trackers[0].is_suspect(drained):
                    break
                await asyncio.sleep(0.05)
            await running.until(
                lambda: all(
                    tracker.is_suspect(drained) for tracker in trackers
                ),
                1.5,
            )
            before = offered_requests(running, drained)
            for number in range(REQUESTS):
                response = await whole.chat(running, f"s{number}", number % 3)
                assert response[0] == 200
            assert offered_requests(running, drained) == before

    asyncio.run(scenario())


def test_an_engine_that_is_only_full_gets_requests_again_at_once() -> None:
    """Otherwise the memory that it frees stays unused for seconds."""

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            for engine in running.engines.values():
                engine.is_full = True
            assert (await whole.chat(running, "r1"))[0] == 503
            for engine in running.engines.values():
                engine.is_full = False
            await asyncio.sleep(2 * engine_tracker.FULL_S)
            tracker = running.nodes[0].node.shared.tracker
            assert not any(tracker.is_suspect(name) for name in running.engines)
            assert (await whole.chat(running, "r2"))[0] == 200

    asyncio.run(scenario())


def test_streams_of_a_draining_engine_continue() -> None:
    """A draining engine finishes its streams; moves would cause pauses."""

    async def scenario() -> None:
        async with system.running_system(zones="a", nodes=1) as running:
            for engine in running.engines.values():
                engine.gap_s = 0.03
            shared = running.nodes[0].node.shared
            moves = system.record_moves(shared)
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await running.until(lambda: whole.times_run(running, "r1") == 1)
            running.engines["a1"].is_draining = True
            await whole.chat(running, "r2")
            await running.until(lambda: shared.tracker.is_suspect("a1"), 1.0)
            status, _, body = await stream
            assert (status, whole.tokens(body)) == (200, whole.WHOLE)
            assert not moves
            assert whole.times_run(running, "r1") == 1

    asyncio.run(scenario())


def test_streams_of_an_engine_that_closes_its_port_continue() -> None:
    """Otherwise streams run on more engines than their route allows."""

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            for engine in running.engines.values():
                engine.events, engine.gap_s = 80, 0.02
            trackers = [node.node.shared.tracker for node in running.nodes]
            streams = [
                asyncio.create_task(whole.chat(running, f"r{i}", node=i % 2))
                for i in range(6)
            ]
            await running.until(
                lambda: all(whole.times_run(running, f"r{i}") for i in range(6))
            )
            await asyncio.sleep(0.1)
            closing = max(running.engines.values(), key=lambda e: len(e.ran))
            assert closing.server is not None
            closing.server.stop()
            others = [
                asyncio.create_task(whole.chat(running, f"n{i}", node=i % 2))
                for i in range(16)
            ]
            await running.until(
                lambda: all(b.is_suspect(closing.instance) for b in trackers),
                1.0,
            )
            # It may be considered dead only once its streams have ended.
            assert not any(
                tracker.is_lost(closing.instance) for tracker in trackers
            )
            for i, stream in enumerate(streams):
                status, _, body = await stream
                assert status == 200
                assert len(whole.tokens(body)) == 80
                assert whole.times_run(running, f"r{i}") == 1
            await asyncio.gather(*others)

    asyncio.run(scenario())


def test_an_engine_whose_health_check_succeeds_again_gets_work() -> None:
    """Otherwise one failed health check excludes an engine permanently."""

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            tracker = running.nodes[0].node.shared.tracker
            running.engines["a1"].is_draining = True
            await whole.chat(running, "r1")
            await running.until(lambda: tracker.is_suspect("a1"), 1.0)
            running.engines["a1"].is_draining = False
            tracker.state("a1").suspect_until = 0.0
            await running.until(lambda: not tracker.is_suspect("a1"), 1.0)
            await asyncio.sleep(engine_tracker.FULL_S)
            assert (await whole.chat(running, "r2"))[0] == 200

    asyncio.run(scenario())


def test_an_engine_that_refuses_a_moved_stream_is_checked() -> None:
    """Otherwise each stream that loses an engine is offered to it."""

    async def scenario() -> None:
        async with system.running_system(zones="a", nodes=1) as running:
            node = running.nodes[0].node
            # Otherwise the node would place other layers on the spare engine.
            await node.keeper.close()
            for engine in running.engines.values():
                engine.gap_s = 0.05
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await running.until(lambda: whole.times_run(running, "r1") == 1)
            [run] = node.shared.running
            lost = run.attempt.path[1]  # type: ignore[attr-defined]
            spare = await running.add_engine("spare", "model", "a", "big")
            spare.layers = running.engines[lost.instance].layers
            spare.is_draining = True
            spare.on_change()
            known = node.shared.catalogue.engines
            await running.until(
                lambda: "spare" in known and known["spare"].layers is not None
            )
            running.engines[lost.instance].is_dead = True
            await running.until(
                lambda: node.shared.tracker.is_suspect("spare"), 2.0
            )
            assert not spare.ran
            stream.cancel()

    asyncio.run(scenario())
