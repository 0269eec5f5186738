"""Memory of a node process that many messages fill at once."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import re
import subprocess
import sys
import sysconfig
from typing import TYPE_CHECKING

import pytest

from tests.platform import standin_system as system

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

SOURCES = pathlib.Path(__file__).parents[2] / "src"

SETTINGS = """
[node]
name = n1
zone = a
[entry]
address = {0}
ready_address = {1}
directory_address = {1}
[peers]
address = {2}
[platform]
address = {3}
[memory]
limit_mb = {4}
"""

LIMIT_MB = 160
"""The memory of the smallest entry VM."""

MESSAGES = 60
MAX_BODY_BYTES = 4_000_000
FILL_S = 4.0
"""Time for which messages fill the memory."""

MAX_ORDER_S = 2.0
"""Time after which an order is late, in seconds."""

PARTIAL = b"2710\r\n" + 10_000 * b"x" + b"\r\n"


class Node:
    """A node process, and where callers reach it."""

    def __init__(self, entry: str, process: subprocess.Popen[bytes]) -> None:
        self.entry = entry
        self.process = process

    def peak_mb(self) -> float:
        """Returns the largest resident size so far."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert found is not None
        return int(found[1]) / 1_000

    async def order(self, request_id: str, body: bytes = b"x") -> int:
        """Sends an order; returns the status."""
        head = system.request("/once/x", request_id)
        status, _, _ = await system.send(self.entry, head, body)
        return status


@contextlib.asynccontextmanager
async def running_node(
    running: system.StandinSystem, folder: pathlib.Path
) -> AsyncIterator[Node]:
    """Runs a node process before the endpoints of a system."""
    addresses = [system.free_address() for _ in range(3)]
    settings = folder / "n1.ini"
    settings.write_text(
        SETTINGS.format(*addresses, running.store.address, LIMIT_MB)
    )
    paths = [sysconfig.get_path("purelib"), str(SOURCES)]
    module = "almondshift.daemons.start_relay"
    with (folder / "n1.log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-S", "-m", module, "--settings", str(settings)],
            env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    node = Node(addresses[0], process)
    try:
        async with asyncio.timeout(20.0):
            while not await is_serving(node):
                await asyncio.sleep(0.1)
        yield node
    finally:
        process.kill()
        process.wait()


async def is_serving(node: Node) -> bool:
    """Returns whether orders and streams are served."""
    with contextlib.suppress(OSError):
        head = system.request("/chat/x", "first-chat")
        status, _, _ = await system.send(node.entry, head, b"prompt")
        return status == 200 and await node.order("first-order") == 200
    return False


async def fill_by_plain_bodies(
    running: system.StandinSystem, node: Node
) -> None:
    """Plain endpoints of one zone respond without end."""
    running.engines["pa"].endless = b"x"
    await ask_all(node, "/look/x")


async def fill_by_partial_events(
    running: system.StandinSystem, node: Node
) -> None:
    """Model engines send an event without end."""
    for engine in running.engines.values():
        engine.endless = PARTIAL if engine.layers is not None else b""
    await ask_all(node, "/chat/x")


async def fill_by_uploads(running: system.StandinSystem, node: Node) -> None:
    """Callers send all of a long body but its last byte."""
    del running
    await upload_all(node, is_whole=False)


async def fill_by_unread_responses(
    running: system.StandinSystem, node: Node
) -> None:
    """Callers don't read long responses."""
    del running
    await upload_all(node, is_whole=True)


async def ask_all(node: Node, path: str) -> None:
    """Sends many requests at once, and drops the responses."""
    await asyncio.gather(
        *(
            system.send(node.entry, system.request(path, f"r{number}"))
            for number in range(MESSAGES)
        ),
        return_exceptions=True,
    )


async def upload_all(node: Node, is_whole: bool) -> None:
    """Sends many long bodies at once."""
    await asyncio.gather(
        *(upload(node, number, is_whole) for number in range(MESSAGES))
    )


async def upload(node: Node, number: int, is_whole: bool) -> None:
    """Sends a long body, and reads no response until the fill ends."""
    host, _, port = node.entry.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port), limit=1_024)
    length = MAX_BODY_BYTES if is_whole else MAX_BODY_BYTES + 1
    head = system.request("/look/x", f"u{number}")
    text = "\r\n".join([*head, f"Content-Length: {length}", "", ""])
    with contextlib.suppress(ConnectionError):
        writer.write(text.encode() + MAX_BODY_BYTES * b"x")
        await writer.drain()
        await asyncio.sleep(FILL_S)
    writer.close()


FILLS = [
    fill_by_plain_bodies,
    fill_by_partial_events,
    fill_by_uploads,
    fill_by_unread_responses,
]


@pytest.mark.parametrize("fill", FILLS, ids=lambda fill: fill.__name__)
def test_messages_do_not_fill_the_memory_of_a_node(
    fill: object, tmp_path: pathlib.Path
) -> None:
    """Guards against a process that exceeds the memory of its VM."""

    async def scenario() -> None:
        async with system.running_system(nodes=1) as running:
            limits = {"maxBodyBytes": MAX_BODY_BYTES + 1_000}
            limits["idleTimeoutMs"] = 15_000
            running.store.put("op", "config", system.config(2, limits=limits))
            async with running_node(running, tmp_path) as node:
                loop = asyncio.get_running_loop()
                filling = asyncio.create_task(fill(running, node))  # type: ignore[operator]
                until = loop.time() + FILL_S
                number = 0
                times = []
                while loop.time() < until:
                    number += 1
                    started = loop.time()
                    if fill is not fill_by_plain_bodies:
                        status = await node.order(f"order-{number}")
                        assert status == 200
                        times.append(loop.time() - started)
                    await asyncio.sleep(0.1)
                filling.cancel()
                await asyncio.gather(filling, return_exceptions=True)
                assert node.peak_mb() <= LIMIT_MB
                assert all(seconds < MAX_ORDER_S for seconds in times)

    asyncio.run(scenario())
