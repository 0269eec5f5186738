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
    """Rows by table, part and key, with one counter of versions."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        self.rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
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

    def put(
        self, table: str, key: str, value: bytes | None, part: str = ""
    ) -> None:
        """Writes a row, as the operator, an engine or another writer does."""
        self.ver += 1
        self.rows[(table, part, key)] = (value, self.ver)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(
        self, message: http.Message, channel: http.Channel
    ) -> None:
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
            value, ver = self.rows.get(row_id(row), (None, 0))
            if (0 if value is None else ver) != row["ver"]:
                self.reply(channel, 412, [])
                return
        written = [
            (row_id(row), base64.b64decode(row["value"]))
            for row in call.get("setKeys", [])
        ]
        written += [(row_id(row), None) for row in call.get("remove", [])]
        if any(table in ("op", "servers") for (table, _, _), _ in written):
            channel.answer(403, {})
            return
        self.ver += 1
        for identity, value in written:
            self.rows[identity] = (value, self.ver)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        self.reply(channel, 200, [])

    def read(self, query: dict[str, str], channel: http.Channel) -> None:
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        table, part = query["table"], query.get("part", "")
        keys = sorted(
            key
            for (name, found, key), (value, _) in self.rows.items()
            if (name, found) == (table, part)
            and value is not None
            and key.encode() >= first.encode()
            and (last is None or key.encode() < last.encode())
        )
        rows = [self.row((table, part, key)) for key in keys[:limit]]
        self.reply(channel, 200, rows, truncated=len(keys) > limit)

    async def feed(self, query: dict[str, str], channel: http.Channel) -> None:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            found = sorted(
                (ver, identity)
                for identity, (_, ver) in self.rows.items()
                if identity[0] == table and ver > after
            )
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass
        rows = [self.row(identity) for _, identity in found]
        self.reply(channel, 200, rows)

    def row(self, identity: tuple[str, str, str]) -> dict[str, Any]:
        value, ver = self.rows[identity]
        table, part, key = identity
        row = {"table": table, "part": part, "key": key, "ver": ver}
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


def row_id(row: dict[str, Any]) -> tuple[str, str, str]:
    """Returns the table, the part and the key of a row in a call."""
    return row["table"], row.get("part", ""), row["key"]
