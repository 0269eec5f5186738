"""An engine that sends a body without end stops all nodes."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import engines  # noqa: E402
from lib import http  # noqa: E402
from lib import system as deployment  # noqa: E402

TROUBLE_S = 30.0
STREAM_GAP_S = 0.17
"""Time between two streams at one node."""

PLAIN_GAP_S = 0.2
PLAIN_TIMEOUT_S = 1.5
LATE_S = 0.5
MIN_UNANSWERED = 8
CLIENT_WAIT_S = 15.0

PART = b"1\r\nx\r\n" * 10_000
"""Chunks of one byte, none of which ends an event."""

PART_GAP_S = 0.05
"""At most 1.2 MB/s for each answer: 10 of the 1,000 Mbit/s of a link."""


class EndlessEngine(engines.Engine):
    """An engine that, in trouble, sends a body without end."""

    is_in_trouble = False
    sent_mb = 0.0

    async def stream(
        self, message: http.Message, request_id: str, channel: http.Channel
    ) -> None:
        if not self.is_in_trouble:
            await super().stream(message, request_id, channel)
            return
        self.note_run(request_id)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Engine-Signature: {self.name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        channel.send(("\r\n".join(lines) + "\r\n\r\n").encode())
        event = b"id: 1\ndata: token 1\n\n"
        channel.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        try:
            while not channel.is_closed and self.is_in_trouble:
                channel.send(PART)
                self.sent_mb += len(PART) / 1e6
                await channel.writer.drain()
                await asyncio.sleep(PART_GAP_S)
        except OSError:
            pass
        channel.reset()


class Clients:
    """Clients of one node."""

    def __init__(
        self, system: deployment.System, node: deployment.Node
    ) -> None:
        self.system = system
        self.node = node
        self.plain: list[tuple[float, int]] = []
        self.streams: list[tuple[int, bool]] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        next_stream = time.monotonic()
        while time.monotonic() < until:
            self.spawn(self.send_plain())
            if time.monotonic() >= next_stream:
                next_stream += STREAM_GAP_S
                self.spawn(self.send_stream())
            await asyncio.sleep(PLAIN_GAP_S)
        await asyncio.gather(*self.tasks)

    def spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)

    async def send_plain(self) -> None:
        request_id = deployment.new_id()
        sent_at = time.monotonic()
        answer = await deployment.call(
            self.node.entry,
            "POST",
            "/order/1",
            deployment.headers(request_id, 3_000),
            b"x",
            timeout_s=CLIENT_WAIT_S,
        )
        seconds = time.monotonic() - sent_at
        status = answer.status if answer is not None else 0
        self.plain.append((seconds, status))
        self.system.record.note(
            f"{request_id} /order/1 at {self.node.name}: {status} after "
            f"{seconds:.2f} s, runs {self.system.runs(request_id)}"
        )

    async def send_stream(self) -> None:
        """Sends a request for a stream, and once more if it isn't whole."""
        for _ in range(2):
            request_id = deployment.new_id()
            status, ids, whole = await deployment.stream(
                self.node.entry,
                "/chat/1",
                deployment.stream_headers(request_id),
            )
            self.system.record.note(
                f"{request_id} /chat/1 at {self.node.name}: {status}, "
                f"{len(ids)} events, {'whole' if whole else 'not whole'}"
            )
            if whole:
                break
        self.streams.append((status, whole))


async def main() -> bool:
    system = deployment.System("1")
    deployment.engines.Engine = EndlessEngine
    try:
        await system.start(nodes=2, models=3, plain=3)
        await asyncio.sleep(4.0)
        victim = next(e for e in system.engines if e.is_model)
        if deployment.has_trouble():
            victim.is_in_trouble = True
            system.record.note(f"engine {victim.name} sends without end")
        clients = [Clients(system, node) for node in system.nodes]
        watch = asyncio.create_task(watch_readiness(system))
        await asyncio.gather(*(c.run(TROUBLE_S) for c in clients))
        watch.cancel()
        victim.is_in_trouble = False
        system.record.note(f"{victim.name} sent {victim.sent_mb:.0f} MB in all")
    finally:
        await system.close()
    plain = [found for c in clients for found in c.plain]
    streams = [found for c in clients for found in c.streams]
    late = [s for s, _ in plain if s >= PLAIN_TIMEOUT_S]
    unanswered = [s for s in late if s > PLAIN_TIMEOUT_S + LATE_S]
    slowest = max(s for s, _ in plain)
    system.record.say(
        f"{len(plain)} orders, {len(late)} without an answer at timeoutMs, "
        f"{len(unanswered)} of them 0.5 s later; slowest {slowest:.2f} s; "
        f"{sum(w for _, w in streams)} of {len(streams)} streams whole"
    )
    return len(unanswered) >= MIN_UNANSWERED and 2 * len(unanswered) > len(late)


async def watch_readiness(system: deployment.System) -> None:
    """Asks each second whether the nodes are ready, as the platform does."""
    while True:
        await asyncio.gather(*(note_readiness(n, system) for n in system.nodes))
        await asyncio.sleep(1.0)


async def note_readiness(
    node: deployment.Node, system: deployment.System
) -> None:
    answer = "200" if await node.is_ready() else "no 200 within a second"
    size = f"{node.resident_mb():.0f} MB"
    system.record.note(f"{node.name} GET /readyz: {answer}, {size}")


deployment.run(main)
