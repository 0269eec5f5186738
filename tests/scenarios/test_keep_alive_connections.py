from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests import asynchronous
from tests.faults import processes
from tests.faults import systems

if TYPE_CHECKING:
    import pathlib

REQUEST = b"GET /healthz HTTP/1.1\r\nHost: n1\r\n\r\n"
HOLD_S = 10.0
"""Longer than the test takes from the stop to its last request."""


class Caller:
    """A caller that sends requests on one keep-alive connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def ask(self) -> dict[str, str]:
        """Sends a request; returns the header fields of its whole answer."""
        self.writer.write(REQUEST)
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        lines = [line.partition(": ") for line in head.split("\r\n")[1:-2]]
        fields = {name.lower(): value for name, _, value in lines}
        await self.reader.readexactly(int(fields["content-length"]))
        return fields


async def is_leaving(system: systems.RealSystem, node: str) -> bool:
    ready = await system.http.fetch(
        f"http://{system.nodes[node].address}/readyz", raise_error=False
    )
    status = await system.status(node)
    return ready.code != 200 and status["drain"]["state"] != "serving"


@asynchronous.run
async def test_stopping_node_closes_keep_alive_connections(
    tmp_path: pathlib.Path,
) -> None:
    """A stopping node answers with ``Connection: close`` and closes.

    The caller then looks for another address while none of its requests is
    in flight. Otherwise it would keep using the connection until a request is
    refused, or arrives as the node closes, and the caller can't know whether
    it ran.
    """
    with processes.running(tmp_path) as runner:
        system = systems.RealSystem(runner, tmp_path, hold_s=HOLD_S)
        await system.start_platform()
        await system.start_node("n1")
        host, _, port = system.nodes["n1"].address.rpartition(":")
        caller = Caller(*await asyncio.open_connection(host, int(port)))
        for _ in range(2):
            assert "connection" not in await caller.ask()
        system.nodes["n1"].terminate()
        await system.wait_for(lambda: is_leaving(system, "n1"), "n1 leaves")
        assert (await caller.ask())["connection"] == "close"
        assert await caller.reader.read() == b""
        caller.writer.close()
        await system.close()
