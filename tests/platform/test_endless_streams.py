"""Model engines that send bytes without end in a stream."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.platform import standin_engines
from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

ENDLESS = {
    "chunks of one byte": b"1\r\nx\r\n",
    "empty events": b"4\r\n\n\n\n\n\r\n",
    "line feeds": b"a\r\n" + 10 * b"\n" + b"\r\n",
    "comments": b"8\r\n: abcd\n\n\r\n",
    "events without an ID": b"9\r\ndata: x\n\n\r\n",
}

STREAMS = 12
ORDERS = 20
ORDER_GAP_S = 0.1
MAX_ORDER_S = 2.0
"""Time after which an order is late, in seconds."""

ORDER_BODY = b"x"


def make_endless(
    running: system.StandinSystem, kind: str
) -> standin_engines.StandinEngine:
    """Has one engine that paths begin with send without end."""
    engine = next(
        engine
        for engine in running.engines.values()
        if engine.layers is not None and engine.layers[0] == 0
    )
    engine.endless = ENDLESS[kind]
    return engine


async def time_orders(running: system.StandinSystem) -> list[float]:
    """Sends orders one after the other; returns their times in seconds."""
    times: list[float] = []
    address = running.nodes[0].settings.entry.address
    for number in range(ORDERS):
        started_s = time.monotonic()
        head = system.request("/once/x", f"order-{number}")
        status, _, _ = await system.send(address, head, ORDER_BODY)
        assert status == 200
        times.append(time.monotonic() - started_s)
        await asyncio.sleep(ORDER_GAP_S)
    return times


@pytest.mark.parametrize("kind", ENDLESS)
def test_a_stream_without_end_delays_no_request_to_another_service(
    kind: str,
) -> None:
    """Guards against an event loop that one engine's bytes keep busy."""

    async def scenario() -> None:
        async with system.running_system() as running:
            make_endless(running, kind)
            streams = [
                asyncio.create_task(whole.chat(running, f"r{number}"))
                for number in range(STREAMS)
            ]
            times = await time_orders(running)
            assert max(times) < MAX_ORDER_S
            for stream in streams:
                stream.cancel()
            await asyncio.gather(*streams, return_exceptions=True)

    asyncio.run(scenario())


@pytest.mark.parametrize("kind", ENDLESS)
def test_a_stream_leaves_an_engine_that_completes_no_event(kind: str) -> None:
    """Guards against streams that wait for as long as bytes arrive."""

    async def scenario() -> None:
        async with system.running_system() as running:
            engine = make_endless(running, kind)
            responses = await asyncio.gather(
                *(whole.chat(running, f"r{n}") for n in range(STREAMS))
            )
            assert engine.ran
            for status, _, body in responses:
                assert status == 200
                assert whole.tokens(body) == whole.WHOLE

    asyncio.run(scenario())
