"""Operators' calls kept in memory, and served from another thread.

The commands run a loop of their own, so the node that they call has to be
on another thread.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from typing import TYPE_CHECKING
from typing import Any

import expression
import tornado.httpserver
import tornado.netutil
import tornado.web

from almondshift import errors
from almondshift.adapters import http_operations
from almondshift.adapters import keys
from almondshift.node import objectives
from almondshift.ports import clocks
from almondshift.ports import operations
from tests import samples

if TYPE_CHECKING:
    from collections.abc import Iterator

SECRET = "operators-secret"


class SteadyClock(clocks.Clock):
    def monotonic(self) -> float:
        return 1_000_000.0

    def wall(self) -> float:
        return 1_000_000.0

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


class FakeOperations(operations.Operations):
    """Accepts versions; ``lose`` makes it close without an answer."""

    def __init__(self) -> None:
        self.versions = [self.make(1, samples.TEXT, "c1")]
        self.lose: str = ""
        self.rival = False
        self.nodes: list[dict[str, Any]] = []
        self.counts = objectives.create_objective_counts(SteadyClock())
        self.counts.use(samples.sample_fleet())

    def make(
        self, version: int, text: str, change_id: str
    ) -> operations.ConfigVersion:
        return operations.ConfigVersion(version, text, change_id, "a", 0, True)

    async def apply_config(
        self, text: str, base: int, change_id: str, author: str
    ) -> expression.Result[operations.ConfigVersion, errors.AlmondshiftError]:
        if self.rival:
            self.versions.append(self.make(base + 1, text, "rival"))
        if base != self.versions[-1].version:
            if self.lose:
                return expression.Error(errors.StoreOutcomeUnknown("Lost."))
            return expression.Error(errors.ConfigConflict("Too late."))
        if self.lose != "before":
            self.versions.append(self.make(base + 1, text, change_id))
        if self.lose:
            return expression.Error(errors.StoreOutcomeUnknown("Lost."))
        return expression.Ok(self.versions[-1])

    async def show_config(
        self, version: int | None
    ) -> expression.Result[operations.ConfigVersion, errors.AlmondshiftError]:
        if version == 99:
            raise ValueError("a fault with a path")
        for known in reversed(self.versions):
            if version in (None, known.version):
                return expression.Ok(known)
        return expression.Error(errors.MalformedRequest("No such version."))

    async def config_history(
        self, limit: int
    ) -> expression.Result[
        list[operations.ConfigVersion], errors.AlmondshiftError
    ]:
        return expression.Ok(self.versions[::-1][:limit])

    def status(self) -> dict[str, Any]:
        return {
            "node": "n1",
            "zone": "zone-a",
            "config": {"version": 1, "verified": True},
            "lease": {"holder": "n1", "fencing": 7},
            "nodes": self.nodes,
            "endpoints": [{"name": "e1", "layers": "0-12"}],
            "services": {"advice": {"ready": True}},
            "quarantine": [],
        }

    def objective_counts(self) -> dict[str, Any]:
        return self.counts.snapshot()


@contextlib.contextmanager
def serve(calls: operations.Operations) -> Iterator[str]:
    """Yields the ``host:port`` at which the calls are answered."""
    bound: list[int] = []
    ready = threading.Event()
    loops: list[asyncio.AbstractEventLoop] = []
    stopping: list[asyncio.Event] = []

    async def run() -> None:
        loops.append(asyncio.get_running_loop())
        stopping.append(asyncio.Event())
        routes = http_operations.create_routes(calls, keys.Secret(SECRET))
        server = tornado.httpserver.HTTPServer(tornado.web.Application(routes))
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        bound.append(sockets[0].getsockname()[1])
        server.add_sockets(sockets)
        ready.set()
        await stopping[0].wait()
        server.stop()
        await server.close_all_connections()

    thread = threading.Thread(target=lambda: asyncio.run(run()))
    thread.start()
    assert ready.wait(10)
    try:
        yield f"127.0.0.1:{bound[0]}"
    finally:
        loops[0].call_soon_threadsafe(stopping[0].set)
        thread.join(10)
