from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from typing import TYPE_CHECKING

from tornado import httpserver
from tornado import netutil
from tornado import web

from almondshift.adapters import http_engine
from almondshift.standins.engine import server as engine_server
from almondshift.standins.engine import settings as engine_settings
from tests import asynchronous
from tests.standins import rigs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    import pathlib

ENGINE_OPTIONS = ("--model", "m=4", "--fixed-ms", "0")


class FakePlatform:
    """Accepts VM rows; refuses every other request for weights.

    Attributes:
        rows: Kind and state of each row written; ``removed`` for a
            deletion.
        weights: Paths of the requests for weights.
    """

    def __init__(self) -> None:
        self.rows: list[str] = []
        self.weights: list[str] = []
        self.address = ""


class PlatformHandler(web.RequestHandler):
    def initialize(self, platform: FakePlatform) -> None:
        self.platform = platform

    def get(self) -> None:
        self.platform.weights.append(self.request.path)
        if len(self.platform.weights) % 2:
            self.set_header("Retry-After", "0.01")
            self.set_status(429)

    def put(self) -> None:
        row = json.loads(self.request.body)
        assert self.request.path == f"/v1/vms/{row['name']}"
        self.platform.rows.append(f"{row['kind']} {row['state']}")

    def delete(self) -> None:
        self.platform.rows.append("removed")


@contextlib.asynccontextmanager
async def run_platform() -> AsyncIterator[FakePlatform]:
    platform = FakePlatform()
    routes = [("/.*", PlatformHandler, {"platform": platform})]
    server = httpserver.HTTPServer(web.Application(list(routes)))
    listeners = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(listeners)
    platform.address = f"127.0.0.1:{listeners[0].getsockname()[1]}"
    yield platform
    server.stop()
    await server.close_all_connections()


@contextlib.asynccontextmanager
async def run_process(
    module: str, folder: pathlib.Path, *options: str
) -> AsyncIterator[tuple[asyncio.subprocess.Process, str]]:
    """Runs a stand-in as a process; yields it and its ``host:port``."""
    port_file = folder / "port"
    names = ("--name", "e1", "--zone", "z1", "--port-file", str(port_file))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *names, *options
    )
    try:
        await asynchronous.wait_until(port_file.exists)
        yield process, port_file.read_text()
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynchronous.run
async def test_leaving_engine_serves_running_sessions(
    tmp_path: pathlib.Path,
) -> None:
    """No running request is aborted when an engine's VM is stopped.

    The engine gets SIGTERM while a session runs. It changes its state in the
    VM list to leaving and refuses new sessions. When the running session has
    ended, it removes its row and exits.
    """
    factory = http_engine.create_factory()
    async with (
        run_platform() as platform,
        run_process(
            "almondshift.standins.engine",
            tmp_path,
            *ENGINE_OPTIONS,
            *("--platform", platform.address, "--grace-s", "60"),
        ) as (process, address),
    ):
        client = factory.build("e1", address)
        await client.start()
        settings = engine_settings.EngineSettings()
        rig = rigs.EngineRig(engine_server.create_engine(settings), client)
        await rig.serve()
        await rig.step(rigs.make_item((1,)))
        await asynchronous.wait_until(lambda: len(platform.rows) == 1)
        process.send_signal(signal.SIGTERM)
        await asynchronous.wait_until(lambda: len(platform.rows) == 2)
        items = (rigs.make_item((2,), 1), rigs.make_item(session="n"))

        assert await rig.statuses(*items) == ["ok", "leaving"]
        await client.cancel(["s"])
        assert await process.wait() == 0
        assert platform.rows == ["engine live", "engine leaving", "removed"]
        assert len(platform.weights) == 8
    await factory.close()


@asynchronous.run
async def test_plain_service_registers_and_ends(
    tmp_path: pathlib.Path,
) -> None:
    async with (
        run_platform() as platform,
        run_process(
            "almondshift.standins.plain",
            tmp_path,
            *("--service", "portal", "--platform", platform.address),
        ) as (process, _),
    ):
        await asynchronous.wait_until(lambda: platform.rows == ["plain live"])
        process.send_signal(signal.SIGTERM)

        assert await process.wait() == 0
        assert platform.rows[-1] == "removed"
