"""An engine in its own process, with a ledger of the requests it receives."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import time
from typing import Any

from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

from almondshift.platform import field_text
from almondshift.platform import names
from tests.platform import standin_engines
from tests.soak import erratic_responses
from tests.soak import layout
from tests.soak import ledger
from tests.soak import store_process

HEARTBEAT_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 0.5
PATH_WAIT_TIMEOUT_S = 3.0
"""After waiting this long for a path, the first engine cuts a stream."""

STATE_PATH = "/soak/state"
CONTROL_PATH = "/soak/control"
PAUSE_PATH = "/soak/pause"


@dataclasses.dataclass(slots=True)
class OtherEngine:
    """What an engine knows of another engine on its streams' paths."""

    is_dead: bool = False
    is_full: bool = False
    is_draining: bool = False
    layers: tuple[int, int] | None = None
    born: int = 0

    @property
    def is_silent(self) -> bool:
        return self.is_dead


class SoakEngine(standin_engines.StandinEngine):
    """A stand-in engine at a given address; each has its own process.

    Attributes:
        public: Address that others connect to, that of a proxy.
        state: Its state in the registry.
        is_erratic: Whether it draws how to treat each request.
        is_endless: Whether its responses have no end.
        serves_on_s: How long it serves after the store recorded its leaving.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        kind = "big" if options.service == layout.MODEL_SERVICE else ""
        super().__init__(standin_engines.EngineCluster(), options.name, kind)
        self.options = options
        self.address = options.public
        self.born = time.time_ns() // 1_000_000
        self.gap_s = layout.EVENT_INTERVAL_S
        self.state = "ready"
        self.serves_on_s = 0.0
        self.is_erratic = False
        self.is_endless = False
        self.rng = random.Random(f"{options.seed}/{options.name}")
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
                (PAUSE_PATH, PauseHandler),
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

    def record(self, what: ledger.RowKind, **more: Any) -> None:
        row = ledger.Row(time.monotonic(), what, self.options.name, **more)
        self.ledger.write(row)

    async def send_heartbeats(self) -> None:
        """Sends heartbeats to the store, at once after a change of state."""
        while True:
            self.changed.clear()
            is_leaving = self.state != "ready"
            if await self.send_heartbeat() and is_leaving:
                self.record(ledger.RowKind.LEFT)
                await asyncio.sleep(self.serves_on_s)
                os._exit(0)
            try:
                await asyncio.wait_for(
                    self.changed.wait(), HEARTBEAT_INTERVAL_S
                )
            except TimeoutError:
                continue

    async def send_heartbeat(self) -> bool:
        entry: Any = None
        if self.state != "gone":
            options = self.options
            entry = self.entry(options.service, options.zone, self.state)
        body = {"instance": self.instance, "entry": entry}
        try:
            await self.http.fetch(
                f"http://{self.options.store}{store_process.HEARTBEAT_PATH}",
                method="POST",
                body=json.dumps(body),
                request_timeout=REQUEST_TIMEOUT_S,
            )
        except (OSError, httpclient.HTTPError):
            return False
        return True

    async def poll_other_engines(self) -> None:
        """Polls the state of the engines on its paths."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            runs = list(self.running.values())
            await self.query_all({part[0] for run in runs for part in run.path})

    async def query_all(self, addresses: set[str]) -> None:
        others = addresses - {self.address}
        await asyncio.gather(*(self.query(address) for address in others))

    async def query(self, address: str) -> None:
        try:
            response = await self.http.fetch(
                f"http://{address}{STATE_PATH}",
                request_timeout=REQUEST_TIMEOUT_S,
            )
            reported = json.loads(response.body)
            layers = tuple(reported["layers"]) if reported["layers"] else None
            known = OtherEngine(layers=layers, born=reported["born"])
        except (OSError, httpclient.HTTPError):
            previous = self.cluster.engines.get(address)
            known = OtherEngine(True, born=previous.born if previous else 0)
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


class PauseHandler(web.RequestHandler):
    """Blocks the whole process until a monotonic time."""

    async def post(self) -> None:
        until = json.loads(self.request.body)["until"]
        await self.finish()
        # Unlike SIGSTOP, this leaves the suspensions of other faults alone.
        time.sleep(max(0.0, until - time.monotonic()))


class OrderHandler(standin_engines.OrderHandler):
    engine: SoakEngine

    async def post(self) -> None:
        body = layout.engine_addresses(self.request.body.decode())
        self.request.body = body.encode()
        order = json.loads(body)
        if order["op"] == "repath":
            parts = standin_engines.parse_path(order["path"])
            await self.engine.query_all({part[0] for part in parts})
        else:
            held = order["to"] - order["from"]
            self.engine.record(ledger.RowKind.ORDERED, layers=held)
        super().post()


class WorkHandler(standin_engines.WorkHandler):
    engine: SoakEngine

    async def work(self) -> None:
        if names.PATH in self.request.headers:
            path = layout.engine_addresses(self.request.headers[names.PATH])
            self.request.headers[names.PATH] = path
        self.record(ledger.RowKind.ARRIVED)
        if self.engine.is_erratic and await erratic_responses.respond(self):
            return
        if self.engine.is_endless:
            await erratic_responses.respond_without_end(self)
            return
        path = self.request.headers.get(names.PATH, "")
        parts = standin_engines.parse_path(path)
        await self.engine.query_all({part[0] for part in parts})
        await super().work()

    async def plain(self) -> None:
        self.record(ledger.RowKind.RAN)
        await super().plain()

    async def run_stream(self, path: list[tuple[str, int, int]]) -> None:
        self.record(ledger.RowKind.RAN)
        await super().run_stream(path)

    def record(self, what: ledger.RowKind, status: int = 0) -> None:
        fields = self.request.headers
        self.engine.record(
            what,
            request_id=fields.get(names.REQUEST_ID, ""),
            method=self.request.method or "",
            target=self.request.uri or "",
            account=field_text.decode(fields.get(names.ACCOUNT, "")),
            has_key="Authorization" in fields,
            body=hashlib.sha256(self.request.body).hexdigest(),
            parts=standin_engines.parse_path(fields.get(names.PATH, "")),
            status=status,
            time_s=handed_time_s(fields.get(names.DEADLINE_MS)),
        )

    async def send_events(
        self, run: standin_engines.RunningStream, after: int
    ) -> None:
        usage = self.request.headers.get(names.TOKEN_USAGE, "")
        events = int(usage.partition(",")[2])
        for number in range(after + 1, events + 1):
            try:
                await asyncio.wait_for(
                    self.wait_for_path(run), PATH_WAIT_TIMEOUT_S
                )
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


def handed_time_s(milliseconds: str | None) -> float | None:
    """Returns the time that a request leaves an engine, in seconds."""
    return None if milliseconds is None else float(milliseconds) / 1000


def event(request_id: str, number: int) -> bytes:
    """Returns an event of a stream, which includes the request id."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


async def run(options: argparse.Namespace) -> None:
    engine = SoakEngine(options)
    await engine.start()
    await asyncio.gather(engine.send_heartbeats(), engine.poll_other_engines())


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    for name in (
        *("name", "zone", "service", "listen"),
        *("public", "store", "ledger", "seed"),
    ):
        parser.add_argument(f"--{name}", required=True)
    asyncio.run(run(parser.parse_args()))
