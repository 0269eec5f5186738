"""An engine stand-in and a client connected to it, for tests."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
from typing import TYPE_CHECKING
from typing import Any

from tornado import httpclient

from almondshift.adapters import http_engine
from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.model import orders
from almondshift.model import steps
from almondshift.standins.engine import server as engine_server
from almondshift.standins.engine import settings as engine_settings

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STEP_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class EngineRig:
    """A running engine and a client connected to it."""

    engine: engine_server.EngineServer
    client: http_engine.HttpEngine

    async def order(
        self,
        start: int = 0,
        end: int = 4,
        version: int = 1,
        fencing: int = 1,
        role: endpoints.EndpointRole = endpoints.EndpointRole.SERVING,
    ) -> orders.OrderAnswer:
        wanted = layers.LayerRange(start, end)
        order = orders.Order(fencing, role, "m", version, "", wanted)
        return (await self.client.order(order)).ok

    async def serve(self, *wanted: int, **order: Any) -> None:
        await self.order(*wanted, **order)
        while order.get("version", 1) not in await self.ready_versions():
            await asyncio.sleep(0.001)

    async def ready_versions(self) -> list[int]:
        report = (await self.client.load()).ok
        return [holding.version for holding in report.holdings if holding.ready]

    async def step(self, *items: steps.StepItem) -> list[steps.StepResult]:
        return (await self.client.step(items, STEP_TIMEOUT_S)).ok

    async def statuses(self, *items: steps.StepItem) -> list[str]:
        return [result.status.value for result in await self.step(*items)]

    async def control(self, **switches: Any) -> None:
        url = f"http://{self.engine.address}/v1/control"
        body = json.dumps(switches)
        await httpclient.AsyncHTTPClient().fetch(url, method="POST", body=body)

    async def ledger(self, column: str) -> list[Any]:
        url = f"http://{self.engine.address}/v1/ledger"
        response = await httpclient.AsyncHTTPClient().fetch(url)
        return [row[column] for row in json.loads(response.body)["rows"]]


def make_item(
    inputs: tuple[int, ...] = (1, 2, 3),
    position: int = 0,
    session: str = "s",
    start: int = 0,
    end: int = 4,
    version: int = 1,
    priority: int = 1,
) -> steps.StepItem:
    """Makes an item of request ``r``."""
    wanted = layers.LayerRange(start, end)
    return steps.StepItem(
        "r", session, 1, position, wanted, "m", version, "", priority, inputs
    )


@contextlib.asynccontextmanager
async def run_engine(**changes: Any) -> AsyncIterator[EngineRig]:
    """Runs an engine with a model of four layers and no emulated run time."""
    settings = engine_settings.EngineSettings(
        name="e1", models={"m": 4}, fixed_s=0.0, per_layer_token_s=0.0
    )
    engine = engine_server.create_engine(
        dataclasses.replace(settings, **changes)
    )
    await engine.start()
    factory = http_engine.create_factory()
    client = factory.build("e1", engine.address)
    await client.start()
    try:
        yield EngineRig(engine, client)
    finally:
        await client.close()
        await factory.close()
        await engine.close()
