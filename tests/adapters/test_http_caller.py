from __future__ import annotations

import asyncio
import socket

import pytest

from almondshift.adapters import http_caller
from tests import asynchronous


def closed_port() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def read_and_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read(1)
    writer.close()


@pytest.mark.parametrize("unreachable", [True, False])
@asynchronous.run
async def test_missing_response_reports_whether_connected(
    unreachable: bool,
) -> None:
    """A node is down, or dies while the request is in flight.

    Without a connection nothing was sent, and the caller may try the next
    address; otherwise the request may have run.
    """
    server = await asyncio.start_server(read_and_close, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    address = closed_port() if unreachable else f"127.0.0.1:{port}"
    caller = http_caller.create_caller("key", [address])
    await caller.start()
    answer = await caller.complete("chat", "hello", 5, address=address)
    assert answer.status == http_caller.NO_RESPONSE_STATUS
    assert not answer.whole
    assert answer.unreachable is unreachable
    await caller.close()
    server.close()
