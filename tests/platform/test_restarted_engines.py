"""Engines that crash and restart under the same name."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

FIRST_START = 1_700_000_000_000
REGISTRY_DELAY_S = 1.0
"""Delay until the registry entry reflects a restart."""


async def publish_starts(running: system.StandinSystem) -> None:
    """Makes all engines publish their start times, and waits for the node."""
    for engine in running.engines.values():
        engine.born = FIRST_START
        engine.on_change()
    known = running.nodes[0].node.catalogue.engines
    await running.until(lambda: all("@" in instance for instance in known))
    await running.until(running.serves)


@pytest.mark.parametrize("is_delayed", [False, True])
@pytest.mark.parametrize(
    ("failed_position", "runs"), [("middle", 2), ("first", 2)]
)
def test_a_stream_continues_when_an_engine_restarts(
    failed_position: str, runs: int, is_delayed: bool
) -> None:
    """Guards against a stream that waits for an engine which lost its state.

    An engine on the stream's path crashes and is back at once under its name,
    without layers. It responds to calls and its registry entry looks healthy.
    The stream must resume in the other zone before its caller gives up, with
    each event once and in order, even if the registry reflects the restart only
    a second later.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            await publish_starts(running)
            for engine in running.engines.values():
                engine.gap_s = 0.05
            stream = asyncio.create_task(whole.chat(running, "r1"))
            await running.until(lambda: whole.times_run(running, "r1") == 1)
            await asyncio.sleep(0.2)
            [run] = running.nodes[0].node.shared.running
            path = run.attempt.path  # type: ignore[attr-defined]
            part = path[1] if failed_position == "middle" else path[0]
            engine = running.cluster.engines[part.address]
            await engine.restart(updates_registry=not is_delayed)
            if is_delayed:
                await asyncio.sleep(REGISTRY_DELAY_S)
                engine.on_change()
            status, _, body = await stream
            assert status == 200
            assert whole.tokens(body) == whole.WHOLE
            assert whole.times_run(running, "r1") == runs

    asyncio.run(scenario())


@pytest.mark.parametrize("is_delayed", [False, True])
def test_a_request_that_may_have_run_is_not_repeated_after_a_restart(
    is_delayed: bool,
) -> None:
    """Guards against an order that runs twice or is reported as not run.

    The endpoint crashes while it runs the request and is back under its name.
    The name alone doesn't reveal the restart, and the endpoint would run the
    request again.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            await publish_starts(running)
            endpoint = running.engines["pa"]
            endpoint.response_delay_s = 0.3
            entry = running.nodes[0].settings.entry.address
            head = system.request("/once/x", "r1")
            pending = asyncio.create_task(system.send(entry, head, b""))
            await running.until(lambda: whole.times_run(running, "r1") == 1)
            await endpoint.restart(updates_registry=not is_delayed)
            status, _, _ = await pending
            assert status == 502
            if is_delayed:
                endpoint.on_change()
            await asyncio.sleep(0.5)
            assert whole.times_run(running, "r1") == 1
            endpoint.response_delay_s = 0.0
            again = await system.send(entry, system.request("/once/x", "r2"))
            assert again[0] == 200

    asyncio.run(scenario())


def test_a_restarted_engine_gets_layers_again() -> None:
    """Guards against a zone that lacks layers although its engines are alive.

    The engine had accepted orders, and its order count restarts at zero. An
    order that expects the old count would be refused forever.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            await publish_starts(running)
            engine = running.engines["a1"]
            engine.orders = 3
            await engine.restart()
            await running.until(lambda: engine.layers is not None)
            await running.until(running.serves)
            assert (await whole.chat(running, "r1"))[0] == 200

    asyncio.run(scenario())


def test_observations_of_an_engine_end_with_its_restart() -> None:
    """Guards against a restarted engine that stays idle as dead or slow.

    What the node observed before the restart, and its own load on the engine,
    must not count for the engine after it.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            await publish_starts(running)
            shared = running.nodes[0].node.shared
            before_restart = f"a1@{FIRST_START}"
            shared.tracker.note_pace(
                before_restart, 9.0, shared.clock.monotonic()
            )
            shared.tracker.state(before_restart).layer_tokens = 1e9
            await running.engines["a1"].restart()
            after_restart = f"a1@{FIRST_START + 1_000}"
            await running.until(
                lambda: after_restart in shared.catalogue.engines
            )
            assert before_restart not in shared.tracker.states
            assert not shared.tracker.is_suspect(after_restart)
            assert (
                shared.tracker.pace(after_restart, shared.clock.monotonic())
                == 1.0
            )
            assert shared.tracker.state(after_restart).layer_tokens == 0.0

    asyncio.run(scenario())
