"""Requests that reach a server as it closes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from typing import TYPE_CHECKING

import pytest
from tornado import web

from almondshift.adapters import http_server
from almondshift.relay import application
from tests import asynchronous

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

RESPONSE_S = 0.05
REQUEST = b"GET / HTTP/1.1\r\nHost: n1\r\n\r\n"
SLOW_REQUEST = b"GET /slow HTTP/1.1\r\nHost: n1\r\n\r\n"
ENDLESS_REQUEST = b"GET /endless HTTP/1.1\r\nHost: n1\r\n\r\n"
CROSSING_S = 0.01
CALLERS = 20
ROUNDS = 20


class QuickHandler(web.RequestHandler):
    def get(self) -> None:
        self.write("whole")


class SlowHandler(web.RequestHandler):
    async def get(self) -> None:
        await asyncio.sleep(RESPONSE_S)
        self.write("whole")


class EndlessHandler(web.RequestHandler):
    async def get(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()


def start_server() -> tuple[http_server.Server, int]:
    application = web.Application(
        [
            ("/", QuickHandler),
            ("/slow", SlowHandler),
            ("/endless", EndlessHandler),
        ],
        log_function=lambda _: None,
    )
    server = http_server.Server(application)
    server.listen(0, "127.0.0.1")
    return server, server.listening[0].getsockname()[1]


class Caller:
    """A caller whose connection the kernel opens while the loop is busy."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)

    def send(self, request: bytes = REQUEST) -> None:
        self.sock.sendall(request)

    async def response(self) -> bytes:
        """Returns what arrives until the connection ends, if without reset."""
        loop = asyncio.get_running_loop()
        received = b""
        with contextlib.closing(self.sock):
            while chunk := await loop.sock_recv(self.sock, 65_536):
                received += chunk
        return received

    async def one_response(self) -> bytes:
        """Returns the next response of a connection that stays open."""
        loop = asyncio.get_running_loop()
        received = b""
        while not received.endswith(b"whole"):
            received += await loop.sock_recv(self.sock, 65_536)
        return received


async def connects_and_sends(port: int) -> Caller:
    """The server has not accepted the connection when it closes."""
    caller = Caller(port)
    caller.send()
    return caller


async def connects_and_sends_later(port: int) -> Caller:
    """As above; the request is sent while the server closes."""
    caller = Caller(port)
    asyncio.get_running_loop().call_later(CROSSING_S, caller.send)
    return caller


async def sends_on_a_new_connection(port: int) -> Caller:
    """The server has accepted the connection and not read the request."""
    caller = Caller(port)
    await asyncio.sleep(0.005)
    caller.send()
    return caller


async def sends_later_on_a_new_connection(port: int) -> Caller:
    """As above; the request is sent while the server closes."""
    caller = Caller(port)
    await asyncio.sleep(0.005)
    asyncio.get_running_loop().call_later(CROSSING_S, caller.send)
    return caller


async def sends_on_a_reused_connection(port: int) -> Caller:
    """The server has answered another request on the connection before."""
    caller = Caller(port)
    caller.send()
    await caller.one_response()
    await asyncio.sleep(2 * http_server.QUIET_S)
    caller.send()
    return caller


async def waits_for_a_response(port: int) -> Caller:
    """The server has read the request and not answered yet."""
    caller = Caller(port)
    caller.send(SLOW_REQUEST)
    await asyncio.sleep(RESPONSE_S / 5)
    return caller


@pytest.mark.parametrize(
    "act",
    [
        connects_and_sends,
        connects_and_sends_later,
        sends_on_a_new_connection,
        sends_later_on_a_new_connection,
        sends_on_a_reused_connection,
        waits_for_a_response,
    ],
)
@asynchronous.run
async def test_a_request_that_crosses_the_close_is_answered(
    act: Callable[[int], Awaitable[Caller]],
) -> None:
    """Guards against connections that end without an answer at a stop."""
    server, port = start_server()
    caller = await act(port)
    response = asyncio.create_task(caller.response())
    await close(server)
    assert (await response).endswith(b"whole")


async def close(server: http_server.Server) -> None:
    server.conn_params.no_keep_alive = True
    await server.close_gracefully()


@pytest.mark.parametrize("seed", range(ROUNDS))
@asynchronous.run
async def test_callers_at_any_time_around_the_close_are_answered(
    seed: int,
) -> None:
    """Guards against a moment of the close at which a request is lost.

    Callers connect and send at random times around the close, and the event
    loop is busy for some of that time. A caller that was able to connect gets
    a whole response.
    """
    rng = random.Random(seed)
    server, port = start_server()
    loop = asyncio.get_running_loop()

    async def call() -> bytes:
        await asyncio.sleep(rng.uniform(0, 0.03))
        try:
            caller = Caller(port)
        except ConnectionRefusedError:
            return b"refused"
        loop.call_later(rng.choice([0, rng.uniform(0, 0.01)]), caller.send)
        return await caller.response()

    calls = [asyncio.create_task(call()) for _ in range(CALLERS)]
    loop.call_later(rng.uniform(0, 0.02), time.sleep, rng.uniform(0, 0.01))
    await asyncio.sleep(rng.uniform(0, 0.03))
    await close(server)
    responses = await asyncio.gather(*calls)
    assert all(r.endswith((b"whole", b"refused")) for r in responses), responses


@asynchronous.run
async def test_new_connections_are_refused_from_the_start_of_the_close() -> (
    None
):
    """Guards against callers that connect anew and prolong the close."""
    server, port = start_server()
    closing = asyncio.create_task(close(server))
    await asyncio.sleep(0)
    with pytest.raises(ConnectionRefusedError):
        Caller(port)
    await closing


@pytest.mark.parametrize("request_bytes", [b"", b"GET / HT", ENDLESS_REQUEST])
@asynchronous.run
async def test_a_close_is_bounded(request_bytes: bytes) -> None:
    """Guards against a caller that keeps a node from closing in time."""
    server, port = start_server()
    caller = Caller(port)
    caller.send(request_bytes)
    await close(server)
    with contextlib.suppress(ConnectionResetError):
        assert await caller.response() == b""


def test_a_close_leaves_time_of_what_a_stop_reserves() -> None:
    """Guards against a node that is killed while it closes."""
    assert http_server.CLOSE_LIMIT_S <= application.STOP_MARGIN_S / 2


@asynchronous.run
async def test_idle_connections_are_closed_without_a_wait() -> None:
    """Guards against stops that last longer for idle connections."""
    server, port = start_server()
    caller = Caller(port)
    caller.send()
    await caller.one_response()
    await asyncio.sleep(2 * http_server.QUIET_S)
    server.stop_listening()
    assert server.close_idle_connections() == 0
    assert await caller.response() == b""
    await server.close_all_connections()
