from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests import asynchronous
from tests.faults import processes
from tests.faults import systems

if TYPE_CHECKING:
    import pathlib

ASK = b"GET /healthz HTTP/1.1\r\nHost: n1\r\n\r\n"
HOLD_S = 10.0
"""Longer than the test needs from the stop to its last question."""


class Caller:
    """A caller that asks again and again on one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def ask(self) -> dict[str, str]:
        """Returns the fields of the answer's head; reads the body, too."""
        self.writer.write(ASK)
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
async def test_a_stopping_node_lets_go_of_kept_connections(
    tmp_path: pathlib.Path,
) -> None:
    """A caller asks on one connection, and the node is told to stop.

    The answer after that tells it to go, and the connection ends with it,
    so that it looks for another address while nothing of its work is at
    stake. Its next request would else come on the same connection, up to
    the one that is refused, or that comes as the node closes and of which
    it can't know whether it ran.
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
