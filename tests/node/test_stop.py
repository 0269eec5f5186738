from __future__ import annotations

import asyncio
import json
import socket
from unittest import mock

from almondshift.daemons import embedded
from almondshift.node import application
from tests import asynchronous
from tests.fakes import clocks
from tests.faults import systems

BODY = b'{"model":"chat","prompt":"late","max_tokens":3}'
REQUEST = (
    "POST /v1/completions HTTP/1.1\r\n"
    "Host: n1\r\n"
    f"Authorization: Bearer {systems.KEY}\r\n"
    "Request-Deadline: 5000\r\n"
    f"Content-Length: {len(BODY)}\r\n\r\n"
).encode() + BODY


@asynchronous.run
async def test_hanging_store_does_not_delay_the_announcement() -> None:
    """A node is stopped while the platform's store does not respond.

    The node used to wait for the release of the control lease first.
    Meanwhile its peers kept listing it, and its grace period started later
    than the platform's, so that it was killed with requests still running.
    The drain must start with the signal.
    """
    node = mock.Mock()
    node.at_most_once.running = set()
    node.reconciler.close = mock.AsyncMock()
    node.lease.close = mock.AsyncMock(side_effect=asyncio.Event().wait)
    node.drain.run = mock.AsyncMock()
    stopping = asyncio.create_task(application.Node.stop_gracefully(node))
    await clocks.settle()
    assert node.lease.close.called
    assert node.drain.run.called
    stopping.cancel()


@asynchronous.run
async def test_lease_is_released_before_the_node_closes() -> None:
    """An idle node that holds the control lease is stopped.

    The lease has to be released even if there is nothing to drain, so that
    another node can send orders before the lease expires.
    """
    node = mock.Mock()
    node.at_most_once.running = set()
    node.reconciler.close = mock.AsyncMock()
    lease_released = asyncio.Event()
    node.lease.close = mock.AsyncMock(side_effect=lease_released.wait)
    node.drain.run = mock.AsyncMock(return_value="report")
    stopping = asyncio.create_task(application.Node.stop_gracefully(node))
    await clocks.settle()
    assert not stopping.done()
    lease_released.set()
    assert await stopping == "report"


@asynchronous.run
async def test_a_request_that_crosses_the_close_is_refused() -> None:
    """Guards against a connection that is reset as its node closes.

    A caller connects and sends a request just before its node stops listening.
    The kernel accepts the connection, and the node has not seen it yet.
    """
    system = embedded.create_embedded_system(
        embedded.EmbeddedSettings(
            systems.fleet_text(), nodes=1, engines=(), hold_s=0.2
        )
    )
    await system.start()
    process = system.nodes.pop("node-1")
    host, _, port = process.front.address.rpartition(":")
    server = process.front.server
    assert server is not None
    stop_listening = server.stop
    callers: list[socket.socket] = []

    def send_and_stop_listening() -> None:
        if not callers:
            callers.append(socket.create_connection((host, int(port))))
            callers[0].sendall(REQUEST)
        stop_listening()

    with mock.patch.object(server, "stop", send_and_stop_listening):
        await process.stop_gracefully()
        await process.close()
    await system.close()
    reader, writer = await asyncio.open_connection(sock=callers[0])
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    assert head.startswith(b"HTTP/1.1 503 "), head
    problem = json.loads(body)
    assert (problem["kind"], problem["execution"]) == (
        "node_leaving",
        "not_run",
    )
