from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from typing import TYPE_CHECKING

import pytest

from tests.faults import echo
from tests.faults import proxy as fault_proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

REQUEST = b"0123456789"


@contextlib.asynccontextmanager
async def proxied_echo() -> AsyncIterator[fault_proxy.FaultProxy]:
    server = await asyncio.start_server(echo.echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    proxy = await fault_proxy.create_fault_proxy(f"127.0.0.1:{port}")
    try:
        yield proxy
    finally:
        await proxy.close()
        server.close()


async def connect(
    proxy: fault_proxy.FaultProxy,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = proxy.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def exchange(proxy: fault_proxy.FaultProxy, wait_s: float = 0.3) -> bytes:
    reader, writer = await connect(proxy)
    writer.write(REQUEST)
    answer = b""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(wait_s):
            while len(answer) < len(REQUEST):
                answer += await reader.read(len(REQUEST))
    writer.close()
    return answer


def swallow(proxy: fault_proxy.FaultProxy) -> None:
    proxy.swallow_answers = True


def swallow_late(proxy: fault_proxy.FaultProxy) -> None:
    proxy.swallow_answers = True
    proxy.request_limit = 4


def silence_up(proxy: fault_proxy.FaultProxy) -> None:
    proxy.blocked_directions.add(fault_proxy.Direction.UP)


def silence_down(proxy: fault_proxy.FaultProxy) -> None:
    proxy.blocked_directions.add(fault_proxy.Direction.DOWN)


def hold_request(proxy: fault_proxy.FaultProxy) -> None:
    proxy.held_request_content = b"345"


def hold_other_request(proxy: fault_proxy.FaultProxy) -> None:
    proxy.held_request_content = b"543"


def hold_answer(proxy: fault_proxy.FaultProxy) -> None:
    proxy.held_response_to = b"345"


def hold_other_answer(proxy: fault_proxy.FaultProxy) -> None:
    proxy.held_response_to = b"543"


@pytest.mark.parametrize(
    ("switch", "answer", "delivered_up"),
    [
        (lambda proxy: None, REQUEST, 10),
        (swallow, b"", 10),
        (swallow_late, b"", 4),
        (silence_up, b"", 0),
        (silence_down, b"", 10),
        (hold_request, b"", 0),
        (hold_other_request, REQUEST, 10),
        (hold_answer, b"", 10),
        (hold_other_answer, REQUEST, 10),
    ],
)
def test_switch(
    switch: Callable[[fault_proxy.FaultProxy], None],
    answer: bytes,
    delivered_up: int,
) -> None:
    async def scenario() -> None:
        async with proxied_echo() as proxy:
            switch(proxy)
            assert await exchange(proxy) == answer
            up = proxy.delivered_bytes[fault_proxy.Direction.UP]
            assert up == delivered_up
            proxy.heal()
            assert await exchange(proxy) == REQUEST

    asyncio.run(scenario())


def test_cut_resets_and_new_connections_work() -> None:
    async def scenario() -> None:
        async with proxied_echo() as proxy:
            reader, writer = await connect(proxy)
            writer.write(REQUEST)
            assert await reader.readexactly(len(REQUEST)) == REQUEST
            proxy.cut()
            with pytest.raises(ConnectionResetError):
                await reader.read(1)
            assert await exchange(proxy) == REQUEST

    asyncio.run(scenario())


def test_refused_connections_until_accepted_again() -> None:
    async def scenario() -> None:
        async with proxied_echo() as proxy:
            await proxy.refuse()
            with pytest.raises(ConnectionRefusedError):
                await connect(proxy)
            await proxy.accept()
            assert await exchange(proxy) == REQUEST

    asyncio.run(scenario())


@pytest.mark.parametrize(("delay_s", "trickle"), [(0.05, 0), (0.0, 100)])
def test_slow_links_deliver_late(delay_s: float, trickle: int) -> None:
    async def scenario() -> None:
        async with proxied_echo() as proxy:
            proxy.delay_s = delay_s
            proxy.trickle_bytes_s = trickle
            started = time.monotonic()
            assert await exchange(proxy, wait_s=5.0) == REQUEST
            assert time.monotonic() - started >= 0.1

    asyncio.run(scenario())


def test_connections_of_clients_that_close_are_not_kept() -> None:
    """Guards against a harness without descriptors while a process pauses.

    The upstream neither reads nor closes, as a paused process does.
    """

    async def scenario() -> None:
        with socket.create_server(("127.0.0.1", 0)) as upstream:
            port = upstream.getsockname()[1]
            proxy = await fault_proxy.create_fault_proxy(f"127.0.0.1:{port}")
            proxy.closes_with_client = True
            try:
                for _ in range(5):
                    _, writer = await connect(proxy)
                    writer.write(REQUEST)
                    writer.close()
                async with asyncio.timeout(2.0):
                    while proxy.connections < 5 or proxy.writers:
                        await asyncio.sleep(0.01)
                for _ in range(5):
                    connection, _ = upstream.accept()
                    with connection:
                        assert connection.recv(100) == REQUEST
                        assert connection.recv(100) == b""
            finally:
                await proxy.close()

    asyncio.run(scenario())
