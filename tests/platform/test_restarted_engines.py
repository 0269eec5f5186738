"""Engines that crash and start again under the name that they had."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

FIRST_START = 1_700_000_000_000
LATE_S = 1.0
"""The registry hears of a restart so much later."""


async def tell_starts(running: system.StandinSystem) -> None:
    """Lets all engines say when they started, and the node know it."""
    for engine in running.engines.values():
        engine.born = FIRST_START
        engine.on_change()
    known = running.nodes[0].node.catalogue.engines
    await running.until(lambda: all("@" in instance for instance in known))
    await running.until(running.serves)


@pytest.mark.parametrize("told_late", [False, True])
@pytest.mark.parametrize(("victim", "runs"), [("middle", 2), ("first", 2)])
def test_a_stream_goes_on_when_an_engine_starts_again(
    victim: str, runs: int, told_late: bool
) -> None:
    """The caller gets each event once and in order, within its patience.

    A stream runs; an engine of its path crashes and is back at once under its
    name, empty. Nothing goes on there, though the engine answers questions
    and its entry says that it is well. The stream is resumed in the other
    zone, also if the registry tells of the restart only a second later.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            await tell_starts(running)
            for engine in running.engines.values():
                engine.gap_s = 0.05
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await running.until(lambda: whole.times_run(running, "r1") == 1)
            await asyncio.sleep(0.2)
            [run] = running.nodes[0].node.shared.running
            path = run.attempt.path  # type: ignore[attr-defined]
            part = path[1] if victim == "middle" else path[0]
            engine = running.world.engines[part.address]
            await engine.restart(tells=not told_late)
            if told_late:
                await asyncio.sleep(LATE_S)
                engine.on_change()
            status, _, body = await stream
            assert status == 200
            assert whole.tokens(body) == whole.WHOLE
            assert whole.times_run(running, "r1") == runs

    asyncio.run(scenario())


@pytest.mark.parametrize("told_late", [False, True])
def test_what_may_have_run_before_a_restart_does_not_run_after(
    told_late: bool,
) -> None:
    """A confirmation must not happen twice, nor be called not run.

    The endpoint crashes while it runs the request and is back under its name:
    it can't be told apart by name, and would run the request once more.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            await tell_starts(running)
            endpoint = running.engines["pa"]
            endpoint.hold_s = 0.3
            entry = running.nodes[0].settings.entry.address
            head = system.request("/once/x", "r1")
            asked = asyncio.create_task(system.send(entry, head, b""))
            await running.until(lambda: whole.times_run(running, "r1") == 1)
            await endpoint.restart(tells=not told_late)
            status, _, _ = await asked
            assert status == 502
            if told_late:
                endpoint.on_change()
            await asyncio.sleep(0.5)
            assert whole.times_run(running, "r1") == 1
            endpoint.hold_s = 0.0
            again = await system.send(entry, system.request("/once/x", "r2"))
            assert again[0] == 200

    asyncio.run(scenario())


def test_a_restarted_engine_gets_layers_again() -> None:
    """Without it a zone stays without some layers while its engines live.

    The engine had accepted orders; its count starts anew. An order that
    names the old count would be refused for ever.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            await tell_starts(running)
            engine = running.engines["a1"]
            engine.orders = 3
            await engine.restart()
            await running.until(lambda: engine.layers is not None)
            await running.until(running.serves)
            assert (await whole.chat(running, "r1"))[0] == 200

    asyncio.run(scenario())


def test_beliefs_about_a_start_end_with_it() -> None:
    """A restarted engine that counts as dead or slow would stand idle.

    What was noted of the former start is not noted of the new one; the own
    load on the former one does not count for the new one either.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            await tell_starts(running)
            shared = running.nodes[0].node.shared
            former = f"a1@{FIRST_START}"
            shared.book.note_pace(former, 9.0, shared.clock.monotonic())
            shared.book.state(former).layer_tokens = 1e9
            await running.engines["a1"].restart()
            latter = f"a1@{FIRST_START + 1_000}"
            await running.until(lambda: latter in shared.catalogue.engines)
            assert former not in shared.book.states
            assert not shared.book.is_suspect(latter)
            assert shared.book.pace(latter, shared.clock.monotonic()) == 1.0
            assert shared.book.state(latter).layer_tokens == 0.0

    asyncio.run(scenario())
