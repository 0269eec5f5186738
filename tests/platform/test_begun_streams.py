"""Begun streams whose engines fail one after the other."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform import standin_system as system
from tests.platform import test_silent_engines as silent
from tests.platform import test_whole_system as whole

PAUSE_S = 1.0
ENTRY_DELAY_S = 0.3
"""Delay until the registry entry reflects other layers."""


async def hold_layers(
    running: system.StandinSystem, layers: dict[str, tuple[int, int]]
) -> None:
    """Has engines hold given layers, which no node changes."""
    for process in running.nodes:
        await process.node.keeper.close()
    for instance, held in layers.items():
        running.engines[instance].layers = held
    await publish_layers(running, list(layers))


async def publish_layers(
    running: system.StandinSystem, instances: list[str]
) -> None:
    """Updates engines' entries, and waits until the nodes know them."""
    for instance in instances:
        running.engines[instance].on_change()

    def is_known() -> bool:
        return all(
            (known := process.node.catalogue.engines[instance].layers)
            is not None
            and (known.start, known.end) == running.engines[instance].layers
            for instance in instances
            for process in running.nodes
        )

    await running.until(is_known)


def assert_is_complete(response: tuple[int, dict[str, str], bytes]) -> None:
    """Asserts that each event came once and in order."""
    status, _, body = response
    assert status == 200
    assert whole.tokens(body) == [
        f"token {number}" for number in range(1, silent.EVENTS + 1)
    ]


@pytest.mark.parametrize("is_silent", [False, True])
def test_a_stream_returns_to_an_engine_that_only_paused(
    is_silent: bool,
) -> None:
    """Guards against a stream that ends although an engine could continue it.

    Its first engine pauses, so it goes on at the second, which crashes or
    loses power. No other engine holds these layers, and the first one has
    continued in the meantime.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2, zones="a") as running:
            await silent.prepare(running)
            await hold_layers(
                running,
                {"a0": (0, 40), "a1": (0, 40), "a2": (40, 80), "a3": (40, 80)},
            )
            stream, first = await silent.start_stream(running, "r1")
            pause = asyncio.create_task(silent.pause(first, PAUSE_S))
            second = await silent.next_engine(running, "r1", PAUSE_S)
            await asyncio.sleep(5 * silent.EVENT_GAP_S)
            if is_silent:
                await pause
                second.is_dead = True
            else:
                await second.close()
            assert_is_complete(await stream)
            await pause

    asyncio.run(scenario())


@pytest.mark.parametrize("is_in_flight", [False, True])
def test_a_stream_uses_an_engine_that_refused_once_its_layers_are_known(
    is_in_flight: bool,
) -> None:
    """Guards against a stream that ends beside a complete chain of engines.

    Its first engine crashes while others have just taken other layers. One
    refuses the stream, as it doesn't hold the layers of its entry any more.
    The entries are written before or after that refusal arrives.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2, zones="a") as running:
            await silent.prepare(running)
            held = {"a0": (0, 40), "a1": (0, 40)}
            others = {"a2": (40, 80), "a3": (40, 80)}
            await hold_layers(running, held | others)
            stream, first = await silent.start_stream(running, "r1")
            [other] = [running.engines[i] for i in held if i != first.instance]
            other.layers = (0, 30)
            running.engines["a2"].layers = (30, 60)
            other.is_paused = is_in_flight
            await first.close()
            running.store.remove("servers", first.instance)
            if not is_in_flight:
                await asyncio.sleep(ENTRY_DELAY_S)
            await publish_layers(running, [other.instance, "a2"])
            other.is_paused = False
            assert_is_complete(await stream)

    asyncio.run(scenario())
