"""Streams that may not be repeated, on engines that fall silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from almondshift.policy import repeat_budget
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


async def forbid_repeats(running: system.StandinSystem) -> None:
    """Applies a configuration whose streams can't be resumed."""
    chat = system.route("chat", "/chat/", "streaming", system.MODEL_SERVICE)
    running.store.put("op", "config", system.config(2, routes=[chat]))
    catalogue = running.nodes[0].node.catalogue
    await running.until(
        lambda: catalogue.config is not None and catalogue.config.version == 2
    )


async def empty_retry_budget(running: system.StandinSystem) -> None:
    """Empties the node's retry budget."""
    budget = running.nodes[0].node.shared.budget
    budget.limits = repeat_budget.RepeatLimits(0.0, 10.0, 0.0)


async def chat_with_silent_engine(
    running: system.StandinSystem, silent_s: float
) -> tuple[bytes, bool]:
    """Requests a stream whose first engine falls silent before it ends."""
    for engine in running.engines.values():
        engine.gap_s = 0.03
    # The other stream keeps showing that the node's own link works.
    other = asyncio.create_task(whole.chat(running, "r0"))
    stream = asyncio.create_task(whole.chat(running, "r1"))
    await running.until(lambda: whole.times_run(running, "r1") == 1)
    await asyncio.sleep(0.15)
    [engine] = [e for e in running.engines.values() if "r1" in e.ran]
    engine.is_dead = True
    await asyncio.sleep(silent_s)
    engine.is_dead = False
    status, _, body = await stream
    await other
    return body, status == 200


@pytest.mark.parametrize("prevent_repeat", [forbid_repeats, empty_retry_budget])
@pytest.mark.parametrize("silent_s", [0.4, 1.2])
def test_a_stream_that_may_not_run_again_waits_for_a_silent_engine(
    silent_s: float,
    prevent_repeat: Callable[[system.StandinSystem], Awaitable[None]],
) -> None:
    """Guards against aborting a stream that can't be resumed elsewhere.

    The first engine of a stream is silent for a while, like a paused process
    or one behind a lossy link, and is suspected. The stream's route or the
    empty retry budget forbids another run, so leaving the engine would only
    lose the response. Once the engine continues, the caller gets the complete
    response, though late.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            await prevent_repeat(running)
            body, is_whole = await chat_with_silent_engine(running, silent_s)
            assert is_whole
            assert whole.tokens(body) == whole.WHOLE
            assert whole.times_run(running, "r1") == 1

    asyncio.run(scenario())
