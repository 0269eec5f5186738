"""A minimal stand-in for the platform's store, with switchable faults."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
from typing import Any

from tornado import httpserver
from tornado import netutil
from tornado import web

from almondshift.platform import names


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults of the store.

    Attributes:
        refuses: Error status of every response; 0 for none.
        is_silent: Calls get no response while this is set.
        loses_writes: Writes are applied, but get no response.
        forgets: The next poll for changes is told that history is gone.
    """

    refuses: int = 0
    is_silent: bool = False
    loses_writes: bool = False
    forgets: bool = False


class StandinStore:
    """Rows with one global version counter.

    Attributes:
        rows: Base64 value (None if removed) and version by table and key.
        calls: Paths of the calls received.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[str | None, int]] = {}
        self.version = 0
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.changed = asyncio.Event()
        self.address = ""
        self.server: httpserver.HTTPServer | None = None

    async def start(self) -> None:
        application = web.Application(
            [
                (names.ROWS_READ, ReadHandler, {"store": self}),
                (names.ROWS_FEED, FeedHandler, {"store": self}),
                (names.ROWS_WRITE, WriteHandler, {"store": self}),
            ],
            log_function=lambda handler: None,
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        assert self.server is not None
        self.server.stop()
        await self.server.close_all_connections()

    def put(self, table: str, key: str, value: Any) -> int:
        """Writes a row as an operator or an engine would."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.set_row(table, key, text)

    def remove(self, table: str, key: str) -> int:
        return self.set_row(table, key, None)

    def set_row(self, table: str, key: str, value: str | None) -> int:
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def rows_since(self, table: str, version: int) -> list[dict[str, Any]]:
        found = [
            wire_row(table, key, value, ver)
            for (row_table, key), (value, ver) in self.rows.items()
            if row_table == table and ver > version
        ]
        return sorted(found, key=lambda row: row["ver"])


def wire_row(
    table: str, key: str, value: str | None, ver: int
) -> dict[str, Any]:
    row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": ver}
    if value is None:
        row["tombstone"] = True
    else:
        row["value"] = value
    return row


class StoreHandler(web.RequestHandler):
    def initialize(self, store: StandinStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls.append(self.request.path)
        while self.store.faults.is_silent:
            await asyncio.sleep(0.02)
        if self.store.faults.refuses:
            self.set_status(self.store.faults.refuses)
            self.finish()

    def answer(self, rows: list[dict[str, Any]], **more: Any) -> None:
        body = {"rows": rows, "ver": self.store.version, "nowMs": 1, **more}
        self.write(json.dumps(body))


class ReadHandler(StoreHandler):
    def get(self) -> None:
        table = self.get_argument("table")
        start = self.get_argument("from", "")
        limit = int(self.get_argument("limit", "500"))
        found = [
            wire_row(table, key, value, ver)
            for (row_table, key), (value, ver) in sorted(
                self.store.rows.items()
            )
            if row_table == table and value is not None and key >= start
        ]
        self.answer(found[:limit], truncated=len(found) > limit)


class FeedHandler(StoreHandler):
    async def get(self) -> None:
        if self.store.faults.forgets:
            self.store.faults.forgets = False
            self.set_status(410)
            return
        table = self.get_argument("table")
        after = int(self.get_argument("after"))
        wait_s = int(self.get_argument("waitMs", "0")) / 1000
        end = asyncio.get_running_loop().time() + wait_s
        while not self.store.rows_since(table, after):
            left = end - asyncio.get_running_loop().time()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.store.changed.wait(), left)
            except TimeoutError:
                break
        if self.store.faults.refuses:
            self.set_status(self.store.faults.refuses)
            return
        self.answer(self.store.rows_since(table, after))


class WriteHandler(StoreHandler):
    async def post(self) -> None:
        body = json.loads(self.request.body)
        for entry in body["expectedRev"]:
            held = self.store.rows.get((entry["table"], entry["key"]))
            present = held[1] if held and held[0] is not None else 0
            if present != entry["ver"]:
                self.set_status(412)
                self.answer([])
                return
        for entry in body["setKeys"]:
            self.store.set_row(entry["table"], entry["key"], entry["value"])
        for entry in body["remove"]:
            self.store.set_row(entry["table"], entry["key"], None)
        if self.store.faults.loses_writes:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.answer([])
