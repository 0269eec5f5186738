"""A stream that its server broke off inside an event is passed on as whole."""

from __future__ import annotations

import asyncio
import pathlib
import random
import re
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import engines  # noqa: E402
from lib import http  # noqa: E402
from lib import system  # noqa: E402

ROUTE = "split"
EVENTS = 12
GAP_S = 0.02
STREAMS_PER_S = 40.0
LENGTH_S = 30.0
BROKEN_SHARE = 0.05
"""Share of the answers that are broken off: x of garble in the site file."""

FAULTY_SERVERS = 1
"""Servers that break answers off, of three; the site file's share is 0.6."""


class StreamingPortal(engines.Engine):
    """A server without layers that answers a streaming route with a stream.

    Its answers have neither a length nor chunks and end with their channel.

    Attributes:
        broken: Ids of the requests whose stream it broke off.
    """

    breaks = 0.0

    def __init__(self, *args: object, **more: object) -> None:
        super().__init__(*args, **more)
        self.broken: set[str] = set()

    async def plain(
        self, message: http.Message, request_id: str, channel: http.Channel
    ) -> None:
        self.note_run(request_id)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request_id}",
            f"X-Engine-Signature: {self.name}",
            "Content-Type: text/event-stream",
        ]
        channel.send(("\r\n".join(lines) + "\r\n\r\n").encode())
        after = int(message.headers.get("last-event-id", "0"))
        last = EVENTS
        if random.random() < self.breaks:
            last = random.randint(after + 1, EVENTS)
            self.broken.add(request_id)
        for number in range(after + 1, last + 1):
            data = event(number)
            if request_id in self.broken and number == last:
                data = data[: len(data) // 2]
            channel.send(data)
            await asyncio.sleep(GAP_S)
        channel.writer.close()


def event(number: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {number}\ndata: token {number}\n\n".encode()


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


class Outcome:
    """What one client saw."""

    def __init__(self, status: int, body: bytes, ended: bool) -> None:
        self.status = status
        self.body = body
        self.ended = ended

    @property
    def is_wrong(self) -> bool:
        """Whether a success looks complete, but isn't the whole stream."""
        return self.status == 200 and self.ended and self.body != WHOLE


async def ask(address: str, head: dict[str, str]) -> Outcome:
    """Sends a request for a stream, and reads the answer to its end."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Outcome(0, b"", False)
    try:
        async with asyncio.timeout(10.0):
            path = f"/{ROUTE}/x"
            writer.write(http.request_bytes("POST", path, head, b"x"))
            message = await http.read_head(reader)
            if message is None:
                return Outcome(0, b"", False)
            await http.read_body(reader, message, to_end=True)
            return Outcome(message.status, message.body, message.ended)
    except (OSError, TimeoutError):
        return Outcome(0, b"", False)
    finally:
        writer.close()


class Deployment(system.System):
    """A deployment with a streaming route that is split over both services."""

    async def add_engine(
        self, service: str, zone: str, is_model: bool
    ) -> engines.Engine:
        if is_model:
            engine = await super().add_engine(service, zone, is_model)
            engine.events = EVENTS
            engine.gap_s = GAP_S
            return engine
        portal = StreamingPortal(self.store, service, zone, is_model)
        self.engines.append(portal)
        await portal.start()
        self.record.note(f"server {portal.name} of {service}")
        return portal

    def portals(self) -> list[StreamingPortal]:
        return [e for e in self.engines if isinstance(e, StreamingPortal)]

    def broken_at(self, request_id: str) -> list[str]:
        return [p.name for p in self.portals() if request_id in p.broken]


async def client(case: Deployment, wrong: list[str]) -> None:
    request_id = system.new_id()
    node = random.choice(case.nodes)
    head = system.stream_headers(request_id)
    case.record.note(f"sent {request_id} to {node.name}")
    outcome = await ask(node.entry, head)
    events = len(re.findall(rb"(?m)^id: ", outcome.body))
    case.record.note(
        f"{request_id}: status {outcome.status}, {events} events, looks "
        f"complete: {outcome.ended}; ran {case.runs(request_id)} times, "
        f"broken off at {case.broken_at(request_id)}"
    )
    if outcome.is_wrong:
        wrong.append(request_id)
        case.record.note(f"WRONG {request_id}: ends with {outcome.body[-9:]!r}")


async def main() -> bool:
    case = Deployment("5")
    route = system.route(ROUTE, f"/{ROUTE}/", "streaming", "", 20_000, 2, True)
    del route["service"]
    route["trafficSplit"] = [
        {"service": system.MODEL, "weight": 50},
        {"service": system.PLAIN, "weight": 50},
    ]
    case.config["routes"].append(route)
    try:
        await case.start()
        if system.has_trouble():
            for portal in case.portals()[:FAULTY_SERVERS]:
                portal.breaks = BROKEN_SHARE
                case.record.note(f"{portal.name} breaks some answers off")
        wrong: list[str] = []
        clients = []
        until = time.monotonic() + LENGTH_S
        while time.monotonic() < until:
            clients.append(asyncio.create_task(client(case, wrong)))
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))
        await asyncio.gather(*clients)
        broken = sum(len(portal.broken) for portal in case.portals())
        case.record.say(
            f"{len(clients)} streams; {broken} runs broken off inside an "
            f"event; {len(wrong)} streams ended as complete though they "
            "are not"
        )
        return bool(wrong)
    finally:
        await case.close()


if __name__ == "__main__":
    system.run(main)
