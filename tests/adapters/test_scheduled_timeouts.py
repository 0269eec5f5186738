"""Calls of a process that is not scheduled for a while."""

from __future__ import annotations

import asyncio
import time
from unittest import mock

import pytest

from almondshift.adapters import http_connections
from almondshift.adapters import scheduled_timeouts
from tests import asynchronous
from tests.adapters import slow_servers

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
PAYLOAD = http_connections.request_bytes("GET", "/x", [("Host", "h")], b"")
TIMEOUT_S = 0.3
STALLS_S = [0.3, 0.6, 1.5]


async def fetch(address: str) -> http_connections.Outcome:
    pool = http_connections.create_connection_pool()
    try:
        fetched = await http_connections.fetch(
            pool, address, PAYLOAD, TIMEOUT_S, 100
        )
    finally:
        pool.close()
    return fetched.outcome


@pytest.mark.parametrize("stall_s", STALLS_S)
@asynchronous.run
async def test_a_response_that_arrived_during_a_stall_is_read(
    stall_s: float,
) -> None:
    """Guards against an endpoint that is blamed for this process's delay."""
    with slow_servers.running_server(RESPONSE, 0.1) as address:
        fetching = asyncio.create_task(fetch(address))
        await asyncio.sleep(0.05)
        time.sleep(stall_s)
        assert await fetching is http_connections.Outcome.WHOLE


@pytest.mark.parametrize("stall_s", STALLS_S)
@asynchronous.run
async def test_a_connection_made_during_stalls_is_used(stall_s: float) -> None:
    """Guards against an accepted connection that counts as not established.

    Several stalls follow each other, with one turn of the loop after each.
    """
    with slow_servers.running_server(RESPONSE, 0.0) as address:
        fetching = asyncio.create_task(fetch(address))
        for _ in range(3):
            await asyncio.sleep(0)
            time.sleep(stall_s)
        assert await fetching is http_connections.Outcome.WHOLE


@asynchronous.run
async def test_a_call_without_a_response_times_out_on_time() -> None:
    """Guards against dead endpoints that are noticed late."""
    loop = asyncio.get_running_loop()
    durations_s = []
    with slow_servers.running_server(RESPONSE, 1.0) as address:
        for _ in range(3):
            started_at = loop.time()
            outcome = await fetch(address)
            assert outcome is http_connections.Outcome.BROKEN
            durations_s.append(loop.time() - started_at)
    # The test's process may not be scheduled during one of them.
    assert TIMEOUT_S <= min(durations_s) < TIMEOUT_S + 0.05


@pytest.mark.parametrize(
    ("seconds", "stall_s"), [(0.05, 0.06), (0.3, 0.06), (0.3, 0.2)]
)
@asynchronous.run
async def test_a_timeout_expires_in_a_process_that_always_stalls(
    seconds: float, stall_s: float
) -> None:
    """Guards against calls that never end on a busy machine."""
    turns = 0

    async def stall() -> None:
        nonlocal turns
        while True:
            turns += 1
            time.sleep(stall_s)
            await asyncio.sleep(0)

    stalling = asyncio.create_task(stall())
    with pytest.raises(TimeoutError):
        async with scheduled_timeouts.create_scheduled_timeout(seconds):
            await asyncio.sleep(60)
    stalling.cancel()
    # A timer takes two turns of the loop, and one part may be added. The start,
    # the expiry and the cancellation take a turn each.
    parts = seconds / scheduled_timeouts.SLICE_S + 1
    assert turns <= 2 * parts + 3


@asynchronous.run
async def test_a_timeout_leaves_a_cancellation_to_its_caller() -> None:
    async def wait() -> None:
        async with scheduled_timeouts.create_scheduled_timeout(60.0):
            await asyncio.sleep(60)

    waiting = asyncio.create_task(wait())
    await asyncio.sleep(0.01)
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting


@pytest.mark.parametrize("seconds", [0.05, 0.3, 1.0])
@asynchronous.run
async def test_a_timeout_uses_few_timers(seconds: float) -> None:
    """Guards against long polls that wake up an idle process all the time."""
    timeout = scheduled_timeouts.create_scheduled_timeout(seconds)
    start_slice = timeout.start_slice
    with (
        mock.patch.object(timeout, "start_slice", wraps=start_slice) as started,
        pytest.raises(TimeoutError),
    ):
        async with timeout:
            await asyncio.sleep(60)
    # Rounding and a late last part add one timer each.
    assert started.call_count <= scheduled_timeouts.MAX_SLICES + 2
