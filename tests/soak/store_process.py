"""The platform's store in its own process, with switches for faults.

Engines send heartbeats here; an entry without heartbeats expires.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import time
from typing import Any

from tornado import httpserver
from tornado import netutil
from tornado import web

from almondshift.platform import names
from tests.platform import standin_store

HEARTBEAT_INTERVAL_S = 1.0
ENTRY_TTL_S = 3 * HEARTBEAT_INTERVAL_S
EXPIRY_INTERVAL_S = 0.2

FAULTS_PATH = "/soak/faults"
PUT_PATH = "/soak/put"
HEARTBEAT_PATH = "/soak/beat"


class SoakStore(standin_store.StandinStore):
    """A stand-in store at a given address, with entries that expire.

    Attributes:
        heartbeats: When each engine's last heartbeat arrived.
        entries: Each engine's last written entry.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.heartbeats: dict[str, float] = {}
        self.entries: dict[str, Any] = {}

    async def start(self) -> None:
        store = {"store": self}
        application = web.Application(
            [
                (names.ROWS_READ, standin_store.ReadHandler, store),
                (names.ROWS_FEED, standin_store.FeedHandler, store),
                (names.ROWS_WRITE, standin_store.WriteHandler, store),
                (FAULTS_PATH, FaultsHandler, store),
                (PUT_PATH, PutHandler, store),
                (HEARTBEAT_PATH, HeartbeatHandler, store),
            ],
            log_function=lambda handler: None,
        )
        host, _, port = self.address.rpartition(":")
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(netutil.bind_sockets(int(port), host))

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


class PutHandler(ControlHandler):
    """Writes a row as the operator does, whatever the faults are."""

    def apply(self, body: Any) -> None:
        self.store.put(body["table"], body["key"], body["value"])


class HeartbeatHandler(ControlHandler):
    """Records an engine's heartbeat, except while the store is unavailable."""

    def apply(self, body: Any) -> None:
        faults = self.store.faults
        if faults.refuses or faults.is_silent:
            self.set_status(503)
        elif body["entry"] is None:
            self.store.drop_entry(body["instance"])
        else:
            self.store.record_heartbeat(body["instance"], body["entry"])


async def run(address: str) -> None:
    store = SoakStore(address)
    await store.start()
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            store.drop_expired()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    asyncio.run(run(parser.parse_args().address))
