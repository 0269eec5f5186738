"""A stand-in of the platform's store: tables of rows, and their changes."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib import parse

from lib import http


class Store:
    """Rows by table and key, with one counter of versions."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.ver = 0
        self.changed = asyncio.Event()
        self.server = http.Server(host, 0, self.handle)

    @property
    def address(self) -> str:
        return self.server.address

    async def start(self) -> None:
        await self.server.start()

    async def close(self) -> None:
        await self.server.close()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Writes a row, as the operator, an engine or another writer does."""
        self.ver += 1
        self.rows[(table, key)] = (value, self.ver)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, message: http.Message, channel: http.Channel) -> None:
        path, _, text = message.first[1].partition("?")
        query = {k: v[0] for k, v in parse.parse_qs(text).items()}
        if path == "/rows-tx":
            self.transact(json.loads(message.body), channel)
        elif path == "/rows-get":
            self.read(query, channel)
        elif path == "/rows-feed":
            await self.feed(query, channel)
        else:
            channel.answer(404, {})

    def transact(self, call: dict[str, Any], channel: http.Channel) -> None:
        for row in call.get("expectedRev", []):
            value, ver = self.rows.get((row["table"], row["key"]), (None, 0))
            if (0 if value is None else ver) != row["ver"]:
                self.reply(channel, 412, [])
                return
        written = [
            (row["table"], row["key"], base64.b64decode(row["value"]))
            for row in call.get("setKeys", [])
        ]
        written += [
            (row["table"], row["key"], None) for row in call.get("remove", [])
        ]
        if any(table in ("op", "servers") for table, _, _ in written):
            channel.answer(403, {})
            return
        self.ver += 1
        for table, key, value in written:
            self.rows[(table, key)] = (value, self.ver)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        self.reply(channel, 200, [])

    def read(self, query: dict[str, str], channel: http.Channel) -> None:
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(
            key
            for (table, key), (value, _) in self.rows.items()
            if table == query["table"]
            and value is not None
            and key.encode() >= first.encode()
            and (last is None or key.encode() < last.encode())
        )
        rows = [self.row(query["table"], key) for key in keys[:limit]]
        self.reply(channel, 200, rows, truncated=len(keys) > limit)

    async def feed(self, query: dict[str, str], channel: http.Channel) -> None:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            found = sorted(
                (ver, key)
                for (name, key), (_, ver) in self.rows.items()
                if name == table and ver > after
            )
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass
        rows = [self.row(table, key) for _, key in found]
        self.reply(channel, 200, rows)

    def row(self, table: str, key: str) -> dict[str, Any]:
        value, ver = self.rows[(table, key)]
        row = {"table": table, "part": "", "key": key, "ver": ver}
        if value is None:
            return {**row, "tombstone": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def reply(
        self,
        channel: http.Channel,
        status: int,
        rows: list[dict[str, Any]],
        **more: Any,
    ) -> None:
        body = {
            "rows": rows,
            "ver": self.ver,
            "nowMs": int(time.monotonic() * 1000),
            **more,
        }
        channel.answer(
            status,
            {"Content-Type": "application/json", "Store-Era": "1"},
            json.dumps(body).encode(),
        )
