"""Engines that refuse requests and say for how long they want none."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from almondshift.adapters import http_connections
from almondshift.platform import engines
from tests.platform import standin_engines
from tests.platform import standin_system as system

if TYPE_CHECKING:
    from collections.abc import Collection

BACKOFF_S = 3.0
SECONDS = 6.0
INTERVAL_S = 0.04

EXPIRIES = 8
EXPIRY_GAP_S = 0.25

SLACK_S = 0.5
MAX_REQUESTS = 2
"""The stated target: at most this many requests reach an engine between
``SLACK_S`` after a refusal with a rest and the end of the rest."""


def most_in_a_backoff(
    arrivals: list[float], backoff_s: float = BACKOFF_S
) -> int:
    """Returns the most requests in the rest after any of the refusals."""
    return max(
        (
            sum(SLACK_S < other - at <= backoff_s for other in arrivals)
            for at in arrivals
        ),
        default=0,
    )


async def send_steadily(
    address: str, path: str, seconds: float = SECONDS
) -> list[tuple[int, dict[str, str]]]:
    """Returns the statuses and header fields of the responses."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    pending = []
    number = 0
    while loop.time() < until:
        head = system.request(path, f"r-{number}")
        pending.append(asyncio.create_task(system.send(address, head, b"x")))
        number += 1
        await asyncio.sleep(INTERVAL_S)
    return [answer[:2] for answer in await asyncio.gather(*pending)]


async def find_used_engine(
    running: system.StandinSystem, path: str
) -> standin_engines.StandinEngine:
    """Returns the engine that a request is sent to, without its arrivals."""
    address = running.nodes[0].settings.entry.address
    await system.send(address, system.request(path, "first"), b"x")
    used = next(e for e in running.engines.values() if e.arrivals)
    used.arrivals.clear()
    return used


def find_entrances(
    running: system.StandinSystem, path: str
) -> list[standin_engines.StandinEngine]:
    """Returns the engines that requests can be sent to."""
    if path.startswith("/chat"):
        return [
            engine
            for engine in running.engines.values()
            if engine.layers is not None and engine.layers[0] == 0
        ]
    return [running.engines["pa"], running.engines["pb"]]


@pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/look/x"])
def test_an_engine_gets_no_requests_in_its_backoff(path: str) -> None:
    """Guards against requests that keep reaching an engine in its backoff.

    Callers are served by the others.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            engine = await find_used_engine(running, path)
            engine.backoffs = [f"{BACKOFF_S:.0f}"]
            address = running.nodes[0].settings.entry.address
            answers = await send_steadily(address, path)
            assert most_in_a_backoff(engine.arrivals) <= MAX_REQUESTS
            assert {status for status, _ in answers} == {200}

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/look/x"])
def test_callers_are_told_when_the_first_backoff_ends(path: str) -> None:
    """Guards against callers who wait, or come back before any backoff ends."""

    async def scenario() -> None:
        async with system.running_system() as running:
            entrances = find_entrances(running, path)
            for engine in entrances:
                engine.backoffs = [f"{BACKOFF_S:.0f}"]
            address = running.nodes[0].settings.entry.address
            answers = await send_steadily(address, path)
            for engine in entrances:
                assert most_in_a_backoff(engine.arrivals) <= MAX_REQUESTS
            assert {status for status, _ in answers} == {503}
            waits = [float(fields["retry-after"]) for _, fields in answers]
            assert max(waits) > BACKOFF_S / 2

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("values", "backoff_s"),
    [
        ([], 0.0),
        (["3"], 3.0),
        (["0.25"], 0.25),
        (["0"], 0.0),
        (["-3"], 0.0),
        (["1e9"], 0.0),
        (["nan"], 0.0),
        (["Wed, 21 Oct 2026 07:28:00 GMT"], 0.0),
        (["2", "5"], 5.0),
        (["2, 5"], 5.0),
        (["soon", "1"], 1.0),
        (["9" * 30], 0.0),
    ],
)
def test_backoffs_are_decoded(values: list[str], backoff_s: float) -> None:
    """Guards against backoffs of a length that nobody asked for."""
    fields = [("retry-after", value) for value in values]
    for status, expected in ((503, backoff_s), (429, backoff_s), (200, 0.0)):
        head = http_connections.ResponseHead(status, fields)
        assert engines.decode_head(head).backoff_s == expected


@pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/look/x"])
def test_a_backoff_outlives_the_entry_of_its_engine(path: str) -> None:
    """Guards against a backoff that is dropped with the registry entry.

    The entry expires again and again, and the same start of the engine
    publishes it again.
    """

    async def scenario() -> None:
        async with system.running_system() as running:
            engine = await find_used_engine(running, path)
            engine.backoffs = [f"{BACKOFF_S:.0f}"]
            address = running.nodes[0].settings.entry.address
            sending = asyncio.create_task(send_steadily(address, path))
            await running.until(lambda: bool(engine.arrivals))
            listed = running.nodes[0].node.catalogue.engines
            for _ in range(EXPIRIES):
                running.store.remove("servers", engine.instance)
                await running.until(lambda: not is_listed(listed, engine))
                engine.on_change()
                await running.until(lambda: is_listed(listed, engine))
                await asyncio.sleep(EXPIRY_GAP_S)
            answers = await sending
            assert most_in_a_backoff(engine.arrivals) <= MAX_REQUESTS
            assert {status for status, _ in answers} == {200}

    asyncio.run(scenario())


def is_listed(
    listed: Collection[str], engine: standin_engines.StandinEngine
) -> bool:
    """Returns whether a node lists a start of an engine."""
    return any(instance.startswith(engine.instance) for instance in listed)
