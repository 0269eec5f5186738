"""An in-memory implementation of operators' calls, served from a thread.

The commands run their own event loop, so the node that they call has to run
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


class ConstantClock(clocks.Clock):
    def monotonic(self) -> float:
        return 1_000_000.0

    def wall(self) -> float:
        return 1_000_000.0

    async def sleep(self, seconds: float) -> None:
        raise NotImplementedError


class FakeOperations(operations.Operations):
    """Keeps versions in memory.

    Attributes:
        lost_response: ``before`` or ``after`` the write, when the store's
            response is lost; empty for never.
        concurrent_change: Whether another change is accepted first.
    """

    def __init__(self) -> None:
        self.versions = [self.create_version(1, samples.TEXT, "c1")]
        self.lost_response: str = ""
        self.concurrent_change = False
        self.nodes: list[dict[str, Any]] = []
        self.counts = objectives.create_objective_counts(ConstantClock())
        self.counts.use(samples.sample_fleet())

    def create_version(
        self, version: int, text: str, change_id: str
    ) -> operations.ConfigVersion:
        return operations.ConfigVersion(version, text, change_id, "a", 0, True)

    async def apply_config(
        self, text: str, base: int, change_id: str, author: str
    ) -> expression.Result[operations.ConfigVersion, errors.AlmondshiftError]:
        if self.concurrent_change:
            self.versions.append(self.create_version(base + 1, text, "rival"))
        if base != self.versions[-1].version:
            if self.lost_response:
                return expression.Error(errors.StoreOutcomeUnknown("Lost."))
            return expression.Error(errors.ConfigConflict("Too late."))
        if self.lost_response != "before":
            self.versions.append(self.create_version(base + 1, text, change_id))
        if self.lost_response:
            return expression.Error(errors.StoreOutcomeUnknown("Lost."))
        return expression.Ok(self.versions[-1])

    async def show_config(
        self, version: int | None
    ) -> expression.Result[operations.ConfigVersion, errors.AlmondshiftError]:
        if version == 99:
            raise ValueError("a fault with a path")
        for item in reversed(self.versions):
            if version in (None, item.version):
                return expression.Ok(item)
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
    """Serves the calls; yields the server's ``host:port``."""
    ports: list[int] = []
    ready = threading.Event()
    loops: list[asyncio.AbstractEventLoop] = []
    stopping: list[asyncio.Event] = []

    async def run() -> None:
        loops.append(asyncio.get_running_loop())
        stopping.append(asyncio.Event())
        routes = http_operations.create_routes(calls, keys.Secret(SECRET))
        server = tornado.httpserver.HTTPServer(tornado.web.Application(routes))
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        ports.append(sockets[0].getsockname()[1])
        server.add_sockets(sockets)
        ready.set()
        await stopping[0].wait()
        server.stop()
        await server.close_all_connections()

    thread = threading.Thread(target=lambda: asyncio.run(run()))
    thread.start()
    assert ready.wait(10)
    try:
        yield f"127.0.0.1:{ports[0]}"
    finally:
        loops[0].call_soon_threadsafe(stopping[0].set)
        thread.join(10)
