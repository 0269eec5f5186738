"""Stand-ins of model engines and of plain services."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import Any

from lib import http
from lib import proxy
from lib import store as store_module

HEARTBEAT_S = 1.2
EVENTS = 40
EVENT_GAP_S = 0.02
LAYERS = 4
LAYER_MB = 1_000.0
CARD_MB = 20_000.0
NUMBERS = itertools.count(1)


class Engine:
    """A sound engine: of a model if ``is_model``, else of a plain service.

    Attributes:
        ran: Ids of the requests that it began to work on, with the time.
        work_s: Time that a plain request takes.
    """

    def __init__(
        self,
        store: store_module.Store,
        service: str,
        zone: str,
        is_model: bool,
        host: str = "127.0.0.1",
    ) -> None:
        self.store = store
        self.service = service
        self.zone = zone
        self.is_model = is_model
        self.name = f"i-{next(NUMBERS):08x}"
        self.born = time.time_ns() // 1_000_000
        self.server = http.Server(host, 0, self.handle)
        self.layers: tuple[int, int] | None = None
        self.orders = 0
        self.state = "ready"
        self.seq = 0
        self.told: dict[str, Any] = {}
        self.work_s = 0.05
        self.events = EVENTS
        self.gap_s = EVENT_GAP_S
        self.ran: list[tuple[str, float]] = []
        self.running: dict[str, http.Channel] = {}
        self.beats: asyncio.Task[None] | None = None
        self.link: proxy.Proxy | None = None
        self.is_behind_link = False

    @property
    def address(self) -> str:
        """The address in its entry: that of its link, if it has one."""
        return self.server.address if self.link is None else self.link.address

    async def start(self) -> None:
        await self.server.start()
        if self.is_behind_link:
            self.link = proxy.Proxy(self.server.address)
            await self.link.start()
        self.beats = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self) -> dict[str, Any]:
        self.seq += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 96 if self.is_model else 6,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }
        if self.is_model:
            entry |= {"stage": "both", "models": [], "kind": "card"}
            if self.layers is not None:
                held = {"from": self.layers[0], "to": self.layers[1]}
                entry["layers"] = {**held, "version": 1}
        return entry

    def write_entry(self) -> None:
        """Writes the entry; it changes when more than ``seq`` changes."""
        entry = self.entry()
        told = {**entry, "seq": 0}
        if told != self.told:
            self.told = told
            content = json.dumps(entry).encode()
            self.store.put("servers", self.name, content)

    async def close(self) -> None:
        if self.beats is not None:
            self.beats.cancel()
        if self.link is not None:
            self.link.cut()
        await self.server.close()

    async def handle(
        self, message: http.Message, channel: http.Channel
    ) -> None:
        method, path = message.first[0], message.first[1]
        wanted = message.headers.get("x-expect-instance")
        request_id = message.headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id} if request_id else {}
        if wanted not in (None, self.name):
            channel.answer(421, {**echo, "X-Instance-Id": self.name})
        elif path == "/healthz":
            status = 200 if self.state == "ready" else 503
            channel.answer(status, {"X-Instance-Id": self.name})
        elif path == "/report" and self.is_model:
            self.report(channel)
        elif path == "/order" and self.is_model and method == "POST":
            self.order(json.loads(message.body), channel)
        elif not request_id:
            channel.answer(400, {"X-Not-Executed": "1"})
        elif self.is_model:
            await self.stream(message, request_id, channel)
        else:
            await self.plain(message, request_id, channel)

    def report(self, channel: http.Channel) -> None:
        body = {
            "stage": "both",
            "models": [],
            "busy": False,
            "seq": self.orders,
            "waiting": 0,
            "running": len(self.running),
            "kvUsed": 0,
            "kvTotal": 90_000,
            "handles": 0,
            "pace": 1.0,
            "stalled": [],
            "born": self.born,
        }
        channel.answer(
            200, {"Content-Type": "application/json"}, json.dumps(body).encode()
        )

    def order(self, order: dict[str, Any], channel: http.Channel) -> None:
        if order.get("expectedRev", self.orders) != self.orders:
            channel.answer(409, {})
        elif order["op"] == "place":
            self.layers = (order["from"], order["to"])
            self.orders += 1
            self.write_entry()
            channel.answer(202, {})
        elif order["op"] == "repath":
            known = order["id"] in self.running
            channel.answer(200 if known else 404, {})
        else:
            channel.answer(400, {})

    def note_run(self, request_id: str) -> None:
        self.ran.append((request_id, time.monotonic()))

    async def plain(
        self, message: http.Message, request_id: str, channel: http.Channel
    ) -> None:
        self.note_run(request_id)
        await asyncio.sleep(self.work_s)
        head = {"X-Request-Id": request_id, "X-Engine-Signature": self.name}
        channel.answer(200, head, b"done " + request_id.encode())

    async def stream(
        self, message: http.Message, request_id: str, channel: http.Channel
    ) -> None:
        if self.layers is None:
            head = {"X-Request-Id": request_id, "X-Instance-Id": self.name}
            channel.answer(421, {**head, "At-Server": self.address})
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
        after = int(message.headers.get("last-event-id", "0"))
        self.running[request_id] = channel
        for number in range(after + 1, self.events + 1):
            if channel.is_closed:
                break
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            channel.send(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await asyncio.sleep(self.gap_s)
        self.running.pop(request_id, None)
        channel.send(b"0\r\n\r\n")


def model_spec() -> dict[str, Any]:
    """Returns the figures of a service of model engines."""
    return {
        "slots": 96,
        "kvCapacityTokens": 50_000,
        "kvTokenBytes": 1_836_000,
        "models": [{"name": "m", "loadS": 1.0}],
        "step_ms": 1.0,
        "read_per_s": 105_000.0,
        "usual": {"prompt": 100, "answer": 40},
        "layers": LAYERS,
        "layerMb": LAYER_MB,
        "kinds": [{"name": "card", "mb": CARD_MB, "pace": 1.0, "readX": 1.0}],
    }
