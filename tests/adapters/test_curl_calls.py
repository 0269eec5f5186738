from __future__ import annotations

import asyncio

import pytest
from tornado import curl_httpclient
from tornado import httpclient

from almondshift import errors
from almondshift.adapters import curl_calls
from tests.adapters import dying_servers


def make_call(
    address: str,
    body: bytes | None,
    fresh: bool = False,
    method: str = "POST",
    timeout_s: float = 5.0,
) -> curl_calls.Call:
    url = f"http://{address}/v1/steps"
    return curl_calls.Call("e1", method, url, {}, body, timeout_s, fresh)


async def send_twice(
    server: dying_servers.DyingServer, fresh: bool
) -> list[curl_calls.CallResult]:
    client = curl_calls.CurlClient(4, 1.0)
    await server.start()
    client.start()
    results = [
        await client.send(make_call(server.address, body, fresh), set())
        for body in (b"one", b"two")
    ]
    client.close()
    await server.close()
    return results


@pytest.mark.parametrize("stop_listening", [False, True])
def test_body_is_sent_once_when_kept_connection_dies(
    stop_listening: bool,
) -> None:
    """The caller sees an unknown outcome, and never a second run.

    The first call succeeds and its connection is kept. The endpoint takes
    the second call on it and dies without an answer. libcurl would connect
    anew and send the body again; if that connection were refused, it would
    even look as if nothing had been sent.
    """
    server = dying_servers.DyingServer(stop_listening)
    first, second = asyncio.run(send_twice(server, fresh=False))

    assert first.is_ok()
    assert isinstance(second.error, errors.EndpointOutcomeUnknown)
    assert server.bodies == [b"one", b"two"]


def test_plain_client_does_send_twice() -> None:
    """Shows that the server above brings about what is guarded against."""

    async def run() -> list[bytes]:
        server = dying_servers.DyingServer()
        await server.start()
        client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
        for body in (b"one", b"two"):
            request = httpclient.HTTPRequest(
                f"http://{server.address}/", method="POST", body=body
            )
            await client.fetch(request)
        client.close()
        await server.close()
        return server.bodies

    assert asyncio.run(run()) == [b"one", b"two", b"two"]


def test_fresh_call_uses_connection_of_its_own() -> None:
    server = dying_servers.DyingServer()
    results = asyncio.run(send_twice(server, fresh=True))

    assert all(result.is_ok() for result in results)
    assert server.connections == 2
    assert server.bodies == [b"one", b"two"]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("fresh", [False, True])
def test_refused_connection_means_that_nothing_was_sent(
    method: str, fresh: bool
) -> None:
    async def run() -> curl_calls.CallResult:
        server = dying_servers.DyingServer()
        await server.start()
        await server.close()
        client = curl_calls.CurlClient(4, 1.0)
        client.start()
        body = b"one" if method == "POST" else None
        call = make_call(server.address, body, fresh, method)
        result = await client.send(call, set())
        client.close()
        return result

    result = asyncio.run(run())

    assert isinstance(result.error, errors.EndpointUnreachable)
    assert result.error.execution is errors.Execution.NOT_RUN


def test_get_on_dead_kept_connection_is_not_called_unsent() -> None:
    """The caller sees an unknown outcome for a call without a body.

    A kept connection dies with the call on it, and libcurl's second attempt
    is refused. The refused connection alone would say that nothing was sent.
    """

    async def run() -> curl_calls.CallResult:
        server = dying_servers.DyingServer(stop_listening=True)
        await server.start()
        client = curl_calls.CurlClient(4, 1.0)
        client.start()
        call = make_call(server.address, None, method="GET")
        first = await client.send(call, set())
        assert first.is_ok()
        second = await client.send(call, set())
        client.close()
        return second

    result = asyncio.run(run())

    assert isinstance(result.error, errors.EndpointOutcomeUnknown)


async def start_silent_server() -> tuple[asyncio.Server, str]:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_timeout_after_sending_is_unknown(method: str) -> None:
    async def run() -> curl_calls.CallResult:
        server, address = await start_silent_server()
        client = curl_calls.CurlClient(4, 1.0)
        client.start()
        body = b"one" if method == "POST" else None
        call = make_call(address, body, method=method, timeout_s=0.5)
        result = await client.send(call, set())
        client.close()
        server.close()
        return result

    result = asyncio.run(run())

    assert isinstance(result.error, errors.EndpointOutcomeUnknown)


def test_wait_for_free_connection_counts_and_sends_nothing() -> None:
    """The caller of a full client is told truly that nothing was sent."""

    async def run() -> list[curl_calls.CallResult]:
        server, address = await start_silent_server()
        client = curl_calls.CurlClient(1, 1.0)
        client.start()
        group: set[asyncio.Future[curl_calls.CallResult]] = set()
        slow = asyncio.create_task(
            client.send(make_call(address, b"slow"), group)
        )
        while not group:
            await asyncio.sleep(0)
        late = await client.send(
            make_call(address, b"late", timeout_s=0.05), set()
        )
        curl_calls.fail_waiting(group)
        first = await slow
        client.close()
        server.close()
        return [first, late]

    first, late = asyncio.run(run())

    assert isinstance(first.error, errors.EndpointOutcomeUnknown)
    assert isinstance(late.error, errors.EndpointUnreachable)


def test_slot_of_cancelled_caller_is_held_until_transfer_ends() -> None:
    """A caller that gave up leaves its transfer running.

    If its slot were free at once, the next call would wait in the client's
    hidden queue, and time out there by another clock.
    """

    async def run() -> tuple[bool, bool]:
        server, address = await start_silent_server()
        client = curl_calls.CurlClient(1, 1.0)
        client.start()
        group: set[asyncio.Future[curl_calls.CallResult]] = set()
        call = make_call(address, b"slow", timeout_s=0.5)
        task = asyncio.create_task(client.send(call, group))
        while not group:
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        held = client.slots.locked()
        async with asyncio.timeout(10.0):
            await client.slots.acquire()
        client.slots.release()
        freed = not client.slots.locked()
        client.close()
        server.close()
        return held, freed

    assert asyncio.run(run()) == (True, True)
