"""One engine as a process of its own, with an account of what reaches it."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import hashlib
import json
import os
import pathlib
import time
from typing import Any

from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

from almondshift.platform import names
from tests.platform import standin_engines
from tests.soak import layout
from tests.soak import ledger
from tests.soak import store_process

BEAT_S = 0.5
POLL_S = 0.1
ASK_S = 0.5
STALL_S = 3.0
"""A stream that waits for an engine for so long is cut by the first one."""

STATE_PATH = "/soak/state"
CONTROL_PATH = "/soak/control"


@dataclasses.dataclass(slots=True)
class OtherEngine:
    """What an engine knows of another on the path of its streams."""

    is_dead: bool = False
    is_full: bool = False
    is_draining: bool = False
    layers: tuple[int, int] | None = None
    born: int = 0


class SoakEngine(standin_engines.StandinEngine):
    """The stand-in at a given address; the others live in other processes.

    Attributes:
        public: Where others connect: a proxy before this process.
        state: What the registry says of it.
        serves_on_s: How long it serves after the store took its leave.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        kind = "big" if options.service == layout.MODEL_SERVICE else ""
        super().__init__(standin_engines.EngineCluster(), options.name, kind)
        self.options = options
        self.address = options.public
        self.born = time.time_ns() // 1_000_000
        self.gap_s = layout.EVENT_S
        self.state = "ready"
        self.serves_on_s = 0.0
        self.ledger = ledger.LedgerFile(pathlib.Path(options.ledger))
        self.http = httpclient.AsyncHTTPClient(max_clients=200)
        self.changed = asyncio.Event()
        self.on_change = self.changed.set
        self.cluster.engines[self.address] = self

    async def start(self) -> None:
        engine = {"engine": self}
        application = web.Application(
            [
                (names.ENGINE_REPORT, standin_engines.ReportHandler, engine),
                (names.ENGINE_ORDER, OrderHandler, engine),
                (STATE_PATH, StateHandler, engine),
                (CONTROL_PATH, ControlHandler, engine),
                (
                    standin_engines.HEALTH_PATH,
                    standin_engines.HealthHandler,
                    engine,
                ),
                (r"/.*", WorkHandler, engine),
            ],
            log_function=lambda handler: None,
        )
        host, _, port = self.options.listen.rpartition(":")
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(netutil.bind_sockets(int(port), host))

    def note(self, what: ledger.What, **more: Any) -> None:
        row = ledger.Row(time.monotonic(), what, self.instance, **more)
        self.ledger.write(row)

    async def report_life(self) -> None:
        """Tells the store that it lives, and at once what has changed."""
        while True:
            self.changed.clear()
            is_leaving = self.state != "ready"
            if await self.beat() and is_leaving:
                self.note(ledger.What.LEFT)
                await asyncio.sleep(self.serves_on_s)
                os._exit(0)
            try:
                await asyncio.wait_for(self.changed.wait(), BEAT_S)
            except TimeoutError:
                continue

    async def beat(self) -> bool:
        entry: Any = None
        if self.state != "gone":
            options = self.options
            entry = self.entry(options.service, options.zone, self.state)
        body = {"instance": self.instance, "entry": entry}
        try:
            await self.http.fetch(
                f"http://{self.options.store}{store_process.BEAT_PATH}",
                method="POST",
                body=json.dumps(body),
                request_timeout=ASK_S,
            )
        except (OSError, httpclient.HTTPError):
            return False
        return True

    async def watch_others(self) -> None:
        """Keeps what it knows of the engines on its paths current."""
        while True:
            await asyncio.sleep(POLL_S)
            runs = list(self.running.values())
            await self.ask_all({part[0] for run in runs for part in run.path})

    async def ask_all(self, addresses: set[str]) -> None:
        others = addresses - {self.address}
        await asyncio.gather(*(self.ask(address) for address in others))

    async def ask(self, address: str) -> None:
        try:
            response = await self.http.fetch(
                f"http://{address}{STATE_PATH}", request_timeout=ASK_S
            )
            said = json.loads(response.body)
            layers = tuple(said["layers"]) if said["layers"] else None
            known = OtherEngine(layers=layers, born=said["born"])
        except (OSError, httpclient.HTTPError):
            former = self.cluster.engines.get(address)
            known = OtherEngine(True, born=former.born if former else 0)
        self.cluster.engines[address] = known  # type: ignore[assignment]


class StateHandler(web.RequestHandler):
    def initialize(self, engine: SoakEngine) -> None:
        self.engine = engine

    def get(self) -> None:
        self.write({"layers": self.engine.layers, "born": self.engine.born})


class ControlHandler(StateHandler):
    """Sets attributes of the engine."""

    def post(self) -> None:
        for name, value in json.loads(self.request.body).items():
            setattr(self.engine, name, value)
        self.engine.on_change()


class OrderHandler(standin_engines.OrderHandler):
    engine: SoakEngine

    async def post(self) -> None:
        order = json.loads(self.request.body)
        if order["op"] == "repath":
            parts = standin_engines.parse_path(order["path"])
            await self.engine.ask_all({part[0] for part in parts})
        else:
            held = order["to"] - order["from"]
            self.engine.note(ledger.What.ORDERED, layers=held)
        super().post()


class WorkHandler(standin_engines.WorkHandler):
    engine: SoakEngine

    async def work(self) -> None:
        self.note(ledger.What.ARRIVED)
        path = self.request.headers.get(names.PATH, "")
        parts = standin_engines.parse_path(path)
        await self.engine.ask_all({part[0] for part in parts})
        await super().work()

    async def plain(self) -> None:
        self.note(ledger.What.RAN)
        await super().plain()

    async def stream(self, path: list[tuple[str, int, int]]) -> None:
        self.note(ledger.What.RAN)
        await super().stream(path)

    def note(self, what: ledger.What) -> None:
        fields = self.request.headers
        self.engine.note(
            what,
            request_id=fields.get(names.REQUEST_ID, ""),
            method=self.request.method or "",
            target=self.request.uri or "",
            account=fields.get(names.ACCOUNT, ""),
            has_key="Authorization" in fields,
            body=hashlib.sha256(self.request.body).hexdigest(),
            parts=standin_engines.parse_path(fields.get(names.PATH, "")),
        )

    async def send_events(
        self, run: standin_engines.RunningStream, after: int
    ) -> None:
        usage = self.request.headers.get(names.TOKEN_USAGE, "")
        events = int(usage.partition(",")[2])
        for number in range(after + 1, events + 1):
            try:
                await asyncio.wait_for(self.wait_for_path(run), STALL_S)
            except TimeoutError:
                self.cut()
                return
            if number - after > self.engine.cut_after >= 0:
                self.write(f"id: {number}\nda".encode())
                await self.flush()
                self.cut()
                return
            self.write(event(self.request_id, number))
            await self.flush()
            await asyncio.sleep(self.engine.gap_s)

    def cut(self) -> None:
        self.request.connection.stream.close()  # type: ignore[union-attr]


def event(request_id: str, number: int) -> bytes:
    """Returns an event of a stream, which names its request."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


async def run(options: argparse.Namespace) -> None:
    engine = SoakEngine(options)
    await engine.start()
    await asyncio.gather(engine.report_life(), engine.watch_others())


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    for name in (
        *("name", "zone", "service", "listen"),
        *("public", "store", "ledger"),
    ):
        parser.add_argument(f"--{name}", required=True)
    asyncio.run(run(parser.parse_args()))
