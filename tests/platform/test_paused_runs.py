"""Streams whose engines are suspended for seconds and continue."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.platform import standin_system as system
from tests.platform import test_silent_engines as silent
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from tests.platform import standin_engines

NODES = silent.MAX_REQUESTS_OVER_LIMIT + 1
"""More nodes than requests may exceed the limit."""


def remove_entry(running: system.StandinSystem, instance: str) -> None:
    """Removes an engine's registry entry, as after three lost heartbeats."""
    running.store.remove("servers", instance)


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_a_run_counts_while_the_entry_of_its_engine_is_missing(
    max_attempts: int,
) -> None:
    """Guards against taking an expired entry for the end of an engine.

    The engines that run the stream stop one after the other for longer than
    their entries last. Then they continue, and publish them again.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=NODES, zones="abc") as running:
            await silent.prepare(running, max_attempts)
            other = asyncio.create_task(whole.chat(running, "r0"))
            stream, engine = await silent.start_stream(running, "r1")
            stopped = [engine]
            engine.is_paused = True
            if max_attempts == 2:
                engine = await silent.next_engine(running, "r1", 1.0)
                await asyncio.sleep(5 * silent.EVENT_GAP_S)
                engine.is_paused = True
                stopped.append(engine)
            await asyncio.sleep(0.6)
            for engine in stopped:
                remove_entry(running, engine.instance)
            await asyncio.sleep(1.0)
            for engine in stopped:
                engine.is_paused = False
                engine.on_change()
            status, _, body = await stream
            await other
            assert len(silent.engines_by_request(running)["r1"]) == max_attempts
            assert status == 200
            assert len(whole.tokens(body)) == silent.EVENTS

    asyncio.run(scenario())


@pytest.mark.parametrize("silent_s", [1.6, 2.0])
def test_a_run_counts_while_all_engines_are_silent_at_once(
    silent_s: float,
) -> None:
    """Guards against a node that takes a silence of all engines for a cut.

    The engines that run the stream are silent for longer. No other request
    waits at the node or at its peers, so that only this node looks for other
    engines.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=NODES, zones="abc") as running:
            await silent.prepare(running)
            stream, first = await silent.start_stream(running, "r1")
            pauses = [asyncio.create_task(silent.pause(first, 4.0))]
            second = await silent.next_engine(running, "r1", 1.0)
            pauses.append(asyncio.create_task(silent.pause(second, 4.0)))
            await asyncio.sleep(0.5)
            pauses += [
                asyncio.create_task(silent.pause(engine, silent_s))
                for engine in silent.model_engines(running)
                if engine not in (first, second)
            ]
            status, _, body = await stream
            await asyncio.gather(*pauses)
            assert len(silent.engines_by_request(running)["r1"]) == 2
            assert status == 200
            assert len(whole.tokens(body)) == silent.EVENTS

    asyncio.run(scenario())


def test_requests_at_suspended_engines_are_not_refused_later() -> None:
    """Guards against taking engines whose entries expire for crashed ones.

    The engines of a stream, and of its caller's next try, are suspended until
    their entries expire, and continue. The caller then tries again at any node.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=NODES, zones="abc") as running:
            await silent.prepare(running)
            stream, _ = await silent.start_stream(running, "r1")
            stopped = stop_streams(running)
            await silent.next_engine(running, "r1", 1.0)
            stopped += stop_streams(running)
            await asyncio.sleep(0.6)
            stream.cancel()
            stream, _ = await silent.start_stream(running, "r2")
            stopped += stop_streams(running)
            await asyncio.sleep(0.6)
            stream.cancel()
            for engine in stopped:
                remove_entry(running, engine.instance)
            await asyncio.sleep(0.5)
            for engine in stopped:
                engine.is_paused = False
                engine.on_change()
            await running.until(lambda: all_list(running, stopped))
            responses = await asyncio.gather(
                *(
                    whole.chat(running, f"again-{n}", n, X_Deadline_Ms="20000")
                    for n in range(NODES)
                )
            )
            assert [status for status, _, _ in responses] == [200] * NODES

    asyncio.run(scenario())


def all_list(
    running: system.StandinSystem,
    engines: list[standin_engines.StandinEngine],
) -> bool:
    """Returns whether all nodes list some engines."""
    return all(
        process.node.catalogue.engines.keys() >= {e.instance for e in engines}
        for process in running.nodes
    )


def stop_streams(
    running: system.StandinSystem,
) -> list[standin_engines.StandinEngine]:
    """Pauses the engines on the paths of all streams, and returns them."""
    addresses = {
        address
        for engine in running.engines.values()
        for run in engine.running.values()
        for address, _, _ in run.path
    }
    engines = [
        engine
        for engine in running.engines.values()
        if engine.address in addresses and not engine.is_paused
    ]
    for engine in engines:
        engine.is_paused = True
    return engines
