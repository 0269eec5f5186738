from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from typing import TYPE_CHECKING

import pytest
from tornado import curl_httpclient
from tornado import httpclient

from almondshift import errors
from almondshift.adapters import curl_calls
from tests import asynchronous
from tests.adapters import closing_servers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

METHODS = pytest.mark.parametrize("method", ["GET", "POST"])


def make_call(
    address: str,
    body: bytes = b"one",
    method: str = "POST",
    fresh: bool = False,
    timeout_s: float = 5.0,
) -> curl_calls.Call:
    url = f"http://{address}/v1/steps"
    sent = body if method == "POST" else None
    return curl_calls.Call("e1", method, url, {}, sent, timeout_s, fresh)


@contextlib.contextmanager
def run_client(max_connections: int = 4) -> Iterator[curl_calls.CurlClient]:
    client = curl_calls.CurlClient(max_connections, 1.0)
    client.start()
    yield client
    client.close()


@contextlib.asynccontextmanager
async def run_silent_server() -> AsyncIterator[str]:
    """Runs a server that accepts requests and never responds."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@METHODS
@pytest.mark.parametrize("stop_listening", [False, True])
@asynchronous.run
async def test_call_on_reused_connection_that_breaks(
    method: str, stop_listening: bool
) -> None:
    """The caller sees an unknown outcome, and the call never runs twice.

    The first call succeeds and its connection is reused. The endpoint reads
    the second call on it and dies without a response. libcurl would reconnect
    and send the body again; if that connection were refused, it would even
    look as if nothing had been sent. A GET may be sent again.
    """
    server = closing_servers.ClosingServer(stop_listening)
    await server.start()
    with run_client() as client:
        first = make_call(server.address, b"one", method)
        second = make_call(server.address, b"two", method)
        assert (await client.send(first, set())).is_ok()
        outcome = await client.send(second, set())
    await server.close()

    if method == "POST":
        assert server.bodies == [b"one", b"two"]
    if method == "POST" or stop_listening:
        assert isinstance(outcome.error, errors.EndpointOutcomeUnknown)


@asynchronous.run
async def test_plain_tornado_client_sends_twice() -> None:
    """Shows that the server provokes the retry that the client prevents."""
    server = closing_servers.ClosingServer()
    await server.start()
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    for body in (b"one", b"two"):
        request = httpclient.HTTPRequest(
            f"http://{server.address}/", method="POST", body=body
        )
        await client.fetch(request)
    client.close()
    await server.close()

    assert server.bodies == [b"one", b"two", b"two"]


@asynchronous.run
async def test_fresh_call_uses_new_connection() -> None:
    server = closing_servers.ClosingServer()
    await server.start()
    with run_client() as client:
        for _ in range(2):
            call = make_call(server.address, fresh=True)
            assert (await client.send(call, set())).is_ok()
    await server.close()

    assert server.connections == 2


@METHODS
@pytest.mark.parametrize("fresh", [False, True])
@pytest.mark.parametrize(
    ("fault", "error"),
    [
        ("refused", errors.EndpointUnreachable),
        ("silent", errors.EndpointOutcomeUnknown),
        ("bad header", errors.EndpointUnreachable),
    ],
)
@asynchronous.run
async def test_error_reports_whether_anything_was_sent(
    method: str,
    fresh: bool,
    fault: str,
    error: type[errors.AlmondshiftError],
) -> None:
    async with run_silent_server() as address:
        call = make_call(address, method=method, fresh=fresh, timeout_s=0.3)
        if fault == "refused":
            closed = closing_servers.ClosingServer()
            await closed.start()
            await closed.close()
            url = f"http://{closed.address}/"
            call = dataclasses.replace(call, url=url)
        if fault == "bad header":
            call = dataclasses.replace(call, headers={"X": "a\r\nb"})
        with run_client() as client:
            outcome = await client.send(call, set())

    assert isinstance(outcome.error, error)


@asynchronous.run
async def test_timeout_waiting_for_slot_sends_nothing() -> None:
    """A call that times out waiting for a slot is reported as not sent.

    The call that occupies the slot is reported as possibly run when its
    connection is closed.
    """
    group: set[asyncio.Future[curl_calls.CallResult]] = set()
    async with run_silent_server() as address:
        with run_client(max_connections=1) as client:
            slow = asyncio.create_task(client.send(make_call(address), group))
            await asynchronous.wait_until(lambda: bool(group))
            late = make_call(address, timeout_s=0.05)
            unsent = (await client.send(late, set())).error
            curl_calls.fail_in_flight(group)
            unknown = (await slow).error

    assert isinstance(unsent, errors.EndpointUnreachable)
    assert isinstance(unknown, errors.EndpointOutcomeUnknown)


@asynchronous.run
async def test_slot_of_cancelled_caller_is_held_until_transfer_ends() -> None:
    """The transfer of a cancelled caller keeps running.

    If its slot were released at once, the next call would wait in tornado's
    internal queue and time out there with a different start time.
    """
    group: set[asyncio.Future[curl_calls.CallResult]] = set()
    async with run_silent_server() as address:
        with run_client(max_connections=1) as client:
            call = make_call(address, timeout_s=0.3)
            task = asyncio.create_task(client.send(call, group))
            await asynchronous.wait_until(lambda: bool(group))
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

            assert client.slots.locked()
            await asynchronous.wait_until(lambda: not client.slots.locked())
