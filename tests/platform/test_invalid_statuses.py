"""Responses of endpoints whose status HTTP doesn't allow."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform import standin_system as system
from tests.platform import test_whole_system as whole

INVALID = ["000", "099", "600", "999"]

MAX_TIME_S = 1.5
"""Time within which callers get an answer, who wait for four seconds."""


async def send_all(
    running: system.StandinSystem, path: str, count: int
) -> list[tuple[int, int]]:
    """Sends requests; returns the status and the number of runs of each."""
    entry = running.nodes[0].settings.entry.address
    results = []
    for number in range(count):
        request_id = f"r{number}"
        head = system.request(path, request_id)
        async with asyncio.timeout(MAX_TIME_S):
            status, fields, _ = await system.send(entry, head, b"prompt")
        assert ("x-engine-signature" in fields) is (status == 200)
        results.append((status, whole.times_run(running, request_id)))
    return results


@pytest.mark.parametrize("path", ["/chat/x", "/look/x"])
@pytest.mark.parametrize("status", INVALID)
def test_requests_that_may_repeat_are_served_by_another_endpoint(
    status: str, path: str
) -> None:
    """Guards against callers who wait in vain or get an unknown status."""

    async def scenario() -> None:
        async with system.running_system() as running:
            for name, engine in running.engines.items():
                if name in ("pa", "a0", "a1", "a2", "a3"):
                    engine.raw_status = status
            results = await send_all(running, path, 6)
            assert {found for found, _ in results} == {200}

    asyncio.run(scenario())


@pytest.mark.parametrize("status", INVALID)
def test_requests_that_must_run_once_end_with_an_unknown_outcome(
    status: str,
) -> None:
    """Guards against a status that hides whether a request has run."""

    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.raw_status = status
            results = await send_all(running, "/once/x", 3)
            assert results == [(502, 1)] * 3

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/chat/x", "/look/x"])
@pytest.mark.parametrize("status", INVALID)
def test_requests_end_in_time_if_all_endpoints_respond_so(
    status: str, path: str
) -> None:
    """Guards against callers who wait until their deadlines."""

    async def scenario() -> None:
        async with system.running_system() as running:
            for engine in running.engines.values():
                engine.raw_status = status
            results = await send_all(running, path, 3)
            assert {found for found, _ in results} <= {502, 503}

    asyncio.run(scenario())
