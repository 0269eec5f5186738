"""The platform's store in its own process, with switches for faults.

Engines send heartbeats here; an entry without heartbeats expires.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import contextlib
import enum
import json
import time
from typing import Any

from tornado import httpserver
from tornado import netutil
from tornado import web

from almondshift.platform import names
from tests.platform import standin_store
from tests.soak import layout
from tests.soak import store_copies

HEARTBEAT_INTERVAL_S = 1.0
ENTRY_TTL_S = 3 * HEARTBEAT_INTERVAL_S
EXPIRY_INTERVAL_S = 0.2

REWRITE_DELAYS_S = (0.3, 0.5, 0.8, 1.2)
"""Delays after which the operator and the engines write lost rows again, in
turn."""

ERA_HEADER = "Store-Era"

FAULTS_PATH = "/soak/faults"
RESTORE_PATH = "/soak/restore"
PUT_PATH = "/soak/put"
HEARTBEAT_PATH = "/soak/beat"


class Absence(enum.StrEnum):
    """How nodes see that the store is away."""

    REFUSES = "refuses"
    CLOSES = "closes"
    SILENT = "silent"


class SoakStore(standin_store.StandinStore):
    """A stand-in store at a given address, with entries that expire.

    Attributes:
        heartbeats: When each engine's last heartbeat arrived.
        entries: Each engine's last written entry.
        era: Rises with each restore from a copy.
        absence: How it is away; empty while it is present.
        written: The last values that the operator and the engines wrote.
        open_calls: Calls of nodes that wait for an answer.
        views: Number of nodes that have an address of the store, and links to
            engines, of their own.
    """

    def __init__(self, address: str, views: int = 0) -> None:
        super().__init__()
        self.address = address
        self.views = views
        self.heartbeats: dict[str, float] = {}
        self.entries: dict[str, Any] = {}
        self.era = 1
        self.absence = ""
        self.copies = store_copies.StoreCopies()
        self.written: dict[tuple[str, str], str | None] = {}
        self.open_calls: set[EraHandler] = set()

    async def start(self) -> None:
        store = {"store": self}
        application = web.Application(
            [
                (names.ROWS_READ, ReadHandler, store),
                (names.ROWS_FEED, FeedHandler, store),
                (names.ROWS_WRITE, WriteHandler, store),
                (FAULTS_PATH, FaultsHandler, store),
                (RESTORE_PATH, RestoreHandler, store),
                (PUT_PATH, PutHandler, store),
                (HEARTBEAT_PATH, HeartbeatHandler, store),
            ],
            log_function=lambda handler: None,
        )
        host, _, port = self.address.rpartition(":")
        self.server = httpserver.HTTPServer(application)
        for view in range(1 + self.views):
            sockets = netutil.bind_sockets(int(port) + view, host)
            self.server.add_sockets(sockets)

    def view_of(self, address: str) -> int:
        """Returns which view is read at an address; 0 for that of engines.

        Links by way of proxies have other ports, and no views.
        """
        own = int(self.address.rpartition(":")[2])
        view = int(address.rpartition(":")[2]) - own
        return view if view in range(1 + self.views) else 0

    def put(self, table: str, key: str, value: Any) -> int:
        version = super().put(table, key, value)
        self.written[(table, key)], _ = self.rows[(table, key)]
        return version

    def remove(self, table: str, key: str) -> int:
        self.written[(table, key)] = None
        return super().remove(table, key)

    def record_heartbeat(self, instance: str, entry: Any) -> None:
        self.heartbeats[instance] = time.monotonic()
        if self.entries.get(instance) != entry:
            self.entries[instance] = entry
            self.put(names.ENGINE_TABLE, instance, entry)

    def drop_entry(self, instance: str) -> None:
        self.heartbeats.pop(instance, None)
        if self.entries.pop(instance, None) is not None:
            self.remove(names.ENGINE_TABLE, instance)

    def drop_expired(self) -> None:
        oldest = time.monotonic() - ENTRY_TTL_S
        for instance, heartbeat in list(self.heartbeats.items()):
            if heartbeat < oldest:
                self.drop_entry(instance)

    def add_copy(self) -> None:
        self.copies.add(time.monotonic(), self.rows, self.version)

    def leave(self, absence: str) -> None:
        """Starts to be away; if it is silent, open calls go on waiting."""
        self.absence = absence
        if absence == Absence.SILENT:
            return
        for call in list(self.open_calls):
            call.end_while_absent()

    def return_from_copy(self, copy: store_copies.StoreCopy) -> None:
        """Is present again, with the rows and the version of a copy."""
        self.rows = dict(copy.rows)
        self.version = copy.version
        self.copies = store_copies.StoreCopies()
        self.add_copy()
        self.era += 1
        self.absence = ""
        self.rewrite_lost_rows()

    def rewrite_lost_rows(self) -> None:
        loop = asyncio.get_running_loop()
        for number, row in enumerate(self.written):
            if not self.is_held(row):
                delay_s = REWRITE_DELAYS_S[number % len(REWRITE_DELAYS_S)]
                loop.call_later(delay_s, self.rewrite, row)

    def rewrite(self, row: tuple[str, str]) -> None:
        if not self.is_held(row):
            self.set_row(*row, self.written[row])

    def is_held(self, row: tuple[str, str]) -> bool:
        """Returns whether a row holds what its owner wrote last."""
        held, _ = self.rows.get(row, (None, 0))
        return held == self.written[row]


class ControlHandler(web.RequestHandler):
    def initialize(self, store: SoakStore) -> None:
        self.store = store

    def post(self) -> None:
        self.apply(json.loads(self.request.body))

    def apply(self, body: Any) -> None:
        raise NotImplementedError


class FaultsHandler(ControlHandler):
    """Sets the given switches and turns off all others."""

    def apply(self, body: Any) -> None:
        self.store.faults = standin_store.StoreFaults(**body)


class RestoreHandler(web.RequestHandler):
    """Is away for a while, and answers when it is back from a copy.

    A call that comes too late, after a suspension, has no effect.
    """

    def initialize(self, store: SoakStore) -> None:
        self.store = store

    async def post(self) -> None:
        body = json.loads(self.request.body)
        now = time.monotonic()
        if self.store.absence or now >= body["returns_at"]:
            self.set_status(409)
            return
        copy = self.store.copies.newest_before(now - body["age_s"])
        self.store.leave(body["absence"])
        await asyncio.sleep(body["returns_at"] - now)
        self.store.return_from_copy(copy)


class PutHandler(ControlHandler):
    """Writes a row as the operator does, whatever the faults are."""

    def apply(self, body: Any) -> None:
        if self.store.absence:
            self.set_status(503)
            return
        self.store.put(body["table"], body["key"], body["value"])


class HeartbeatHandler(ControlHandler):
    """Records an engine's heartbeat, except while the store is unavailable."""

    def apply(self, body: Any) -> None:
        faults = self.store.faults
        if faults.refuses or faults.is_silent or self.store.absence:
            self.set_status(503)
        elif body["entry"] is None:
            self.store.drop_entry(body["instance"])
        else:
            self.store.record_heartbeat(body["instance"], body["entry"])


class EraHandler(standin_store.StoreHandler):
    """Names the store's era in each answer, and is away with the store."""

    store: SoakStore
    is_ended = False

    async def prepare(self) -> None:
        self.store.open_calls.add(self)
        while self.store.absence == Absence.SILENT:
            await asyncio.sleep(0.02)
        if self.store.absence:
            self.end_while_absent()
        else:
            await super().prepare()

    def end_while_absent(self) -> None:
        if self.store.absence == Absence.REFUSES:
            self.set_status(503)
            self.finish()
        else:
            self.store.open_calls.discard(self)
            self.detach().close()
        self.is_ended = True

    def answer(self, rows: list[dict[str, Any]], **more: Any) -> None:
        if self.is_ended:
            return
        view = self.store.view_of(self.request.host)
        if view:
            rows = [row_for_node(row, view - 1) for row in rows]
        super().answer(rows, **more)

    def finish(self, chunk: Any = None) -> asyncio.Future[None]:
        if self.is_ended:
            done = asyncio.get_running_loop().create_future()
            done.set_result(None)
            return done
        self.set_header(ERA_HEADER, str(self.store.era))
        return super().finish(chunk)

    def on_finish(self) -> None:
        self.store.open_calls.discard(self)

    def on_connection_close(self) -> None:
        self.store.open_calls.discard(self)


class ReadHandler(EraHandler, standin_store.ReadHandler):
    pass


class FeedHandler(EraHandler, standin_store.FeedHandler):
    """Answers 410 to a read after a version that the store doesn't have."""

    async def get(self) -> None:
        if int(self.get_argument("after")) > self.store.version:
            self.set_status(410)
            return
        await super().get()


class WriteHandler(EraHandler, standin_store.WriteHandler):
    pass


def row_for_node(row: dict[str, Any], node: int) -> dict[str, Any]:
    """Returns a row with the address of a node's own link to an engine."""
    if row["table"] != names.ENGINE_TABLE or "value" not in row:
        return row
    entry = json.loads(base64.b64decode(row["value"]))
    if not isinstance(entry, dict) or "address" not in entry:
        return row
    entry["address"] = layout.address_for_node(entry["address"], node)
    value = base64.b64encode(json.dumps(entry).encode()).decode()
    return {**row, "value": value}


async def run(address: str, views: int) -> None:
    store = SoakStore(address, views)
    await store.start()
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            store.add_copy()
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            store.drop_expired()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--views", type=int, default=0)
    args = parser.parse_args()
    asyncio.run(run(args.address, args.views))
