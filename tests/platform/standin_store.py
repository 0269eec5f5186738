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
        refused: Addresses, of those in ``StandinStore.addresses``, at which
            each call is refused.
        delay_s: Time for which a response is held back after it was made.
        unread_tables: Tables of which each read is refused.
        page_rows: Maximum number of rows in a response.
    """

    refuses: int = 0
    is_silent: bool = False
    loses_writes: bool = False
    forgets: bool = False
    refused: set[str] = dataclasses.field(default_factory=set)
    delay_s: float = 0.0
    unread_tables: set[str] = dataclasses.field(default_factory=set)
    page_rows: int = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Copy:
    """The content of the store at one time."""

    rows: dict[tuple[str, str], tuple[str | None, int]]
    version: int


class StandinStore:
    """Rows with one global version counter.

    Attributes:
        rows: Base64 value (None if removed) and version by table and key.
        calls: Paths of the calls received.
        era: Named in each response, and raised by each restored copy; None
            for a platform without eras.
        addresses: Where it listens, ``address`` first.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[str | None, int]] = {}
        self.version = 0
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.changed = asyncio.Event()
        self.era: int | None = 1
        self.address = ""
        self.addresses: list[str] = []
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
        self.server = httpserver.HTTPServer(application)
        self.address = self.listen()

    def listen(self) -> str:
        """Listens at one more address, and returns it."""
        assert self.server is not None
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(sockets)
        self.addresses.append(f"127.0.0.1:{sockets[0].getsockname()[1]}")
        return self.addresses[-1]

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

    def copy(self) -> Copy:
        """Returns a copy of the present content."""
        return Copy(dict(self.rows), self.version)

    def restore(self, copy: Copy) -> None:
        """Begins the next era with the content of a copy."""
        self.rows, self.version = dict(copy.rows), copy.version
        if self.era is not None:
            self.era += 1

    def go_away(self) -> None:
        """Refuses all calls, open polls included, until ``come_back``."""
        self.faults.refuses = 503
        self.changed.set()
        self.changed = asyncio.Event()

    def come_back(self, copy: Copy) -> None:
        """Serves again, from a copy and in the next era."""
        self.restore(copy)
        self.faults.refuses = 0

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
        if self.is_refused():
            self.refuse()
            self.finish()

    def is_refused(self) -> bool:
        faults = self.store.faults
        return bool(faults.refuses) or self.request.host in faults.refused

    def refuse(self) -> None:
        self.respond(self.store.faults.refuses or 503)

    def respond(self, status: int) -> None:
        """Sets the status, and the era as of now."""
        self.set_status(status)
        if self.store.era is not None:
            self.set_header("Store-Era", str(self.store.era))

    def answer(
        self, rows: list[dict[str, Any]], status: int = 200, **more: Any
    ) -> None:
        self.respond(status)
        body = {"rows": rows, "ver": self.store.version, "nowMs": 1, **more}
        self.write(json.dumps(body))


class ReadHandler(StoreHandler):
    async def get(self) -> None:
        table = self.get_argument("table")
        if table in self.store.faults.unread_tables:
            self.refuse()
            return
        # get_argument would strip the control characters of a key.
        [start] = self.request.query_arguments.get("from", [b""])
        limit = int(self.get_argument("limit", "500"))
        limit = min(limit, self.store.faults.page_rows)
        found = [
            wire_row(table, key, value, ver)
            for (row_table, key), (value, ver) in sorted(
                self.store.rows.items()
            )
            if row_table == table
            and value is not None
            and key >= start.decode()
        ]
        self.answer(found[:limit], truncated=len(found) > limit)
        await asyncio.sleep(self.store.faults.delay_s)


class FeedHandler(StoreHandler):
    async def get(self) -> None:
        table = self.get_argument("table")
        after = int(self.get_argument("after"))
        if self.store.faults.forgets or after > self.store.version:
            self.store.faults.forgets = False
            self.respond(410)
            return
        wait_s = int(self.get_argument("waitMs", "0")) / 1000
        end = asyncio.get_running_loop().time() + wait_s
        while not self.store.rows_since(table, after):
            left = end - asyncio.get_running_loop().time()
            if left <= 0 or self.is_refused():
                break
            try:
                await asyncio.wait_for(self.store.changed.wait(), left)
            except TimeoutError:
                break
        if self.is_refused():
            self.refuse()
            return
        self.answer(self.store.rows_since(table, after))
        await asyncio.sleep(self.store.faults.delay_s)


class WriteHandler(StoreHandler):
    async def post(self) -> None:
        body = json.loads(self.request.body)
        for entry in body["expectedRev"]:
            held = self.store.rows.get((entry["table"], entry["key"]))
            present = held[1] if held and held[0] is not None else 0
            if present != entry["ver"]:
                self.answer([], 412)
                return
        for entry in body["setKeys"]:
            self.store.set_row(entry["table"], entry["key"], entry["value"])
        for entry in body["remove"]:
            self.store.set_row(entry["table"], entry["key"], None)
        if self.store.faults.loses_writes:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.answer([])
