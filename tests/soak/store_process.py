"""The platform's store as a process of its own, with switches for faults.

Engines report here that they live; an entry is dropped after some silence.
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

BEAT_S = 1.0
LAPSE_S = 3 * BEAT_S
REAP_S = 0.2

FAULTS_PATH = "/soak/faults"
PUT_PATH = "/soak/put"
BEAT_PATH = "/soak/beat"


class SoakStore(standin_store.StandinStore):
    """The stand-in at a given address, with entries that lapse.

    Attributes:
        beats: When each engine was last heard of.
        entries: Each engine's entry as it was last written.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.beats: dict[str, float] = {}
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
                (BEAT_PATH, BeatHandler, store),
            ],
            log_function=lambda handler: None,
        )
        host, _, port = self.address.rpartition(":")
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(netutil.bind_sockets(int(port), host))

    def take_beat(self, instance: str, entry: Any) -> None:
        self.beats[instance] = time.monotonic()
        if self.entries.get(instance) != entry:
            self.entries[instance] = entry
            self.put(names.ENGINE_TABLE, instance, entry)

    def drop_entry(self, instance: str) -> None:
        self.beats.pop(instance, None)
        if self.entries.pop(instance, None) is not None:
            self.remove(names.ENGINE_TABLE, instance)

    def reap(self) -> None:
        oldest = time.monotonic() - LAPSE_S
        for instance, beat in list(self.beats.items()):
            if beat < oldest:
                self.drop_entry(instance)


class ControlHandler(web.RequestHandler):
    def initialize(self, store: SoakStore) -> None:
        self.store = store

    def post(self) -> None:
        self.take(json.loads(self.request.body))

    def take(self, body: Any) -> None:
        raise NotImplementedError


class FaultsHandler(ControlHandler):
    """Sets the named switches; the others are turned off."""

    def take(self, body: Any) -> None:
        self.store.faults = standin_store.StoreFaults(**body)


class PutHandler(ControlHandler):
    """Writes a row as the operator does, whatever the faults are."""

    def take(self, body: Any) -> None:
        self.store.put(body["table"], body["key"], body["value"])


class BeatHandler(ControlHandler):
    """Takes an engine's sign of life; not while the store is away."""

    def take(self, body: Any) -> None:
        faults = self.store.faults
        if faults.refuses or faults.is_silent:
            self.set_status(503)
        elif body["entry"] is None:
            self.store.drop_entry(body["instance"])
        else:
            self.store.take_beat(body["instance"], body["entry"])


async def run(address: str) -> None:
    store = SoakStore(address)
    await store.start()
    with contextlib.suppress(asyncio.CancelledError):
        while True:
            await asyncio.sleep(REAP_S)
            store.reap()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    asyncio.run(run(parser.parse_args().address))
