"""An engine stand-in and a connection to it, for tests."""

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
from almondshift.standins import engine as engine_package

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

STEP_TIMEOUT_S = 10.0
CONDITION_TIMEOUT_S = 10.0


@dataclasses.dataclass(slots=True)
class EngineRig:
    """A started engine with ``client`` connected to it."""

    engine: engine_package.EngineServer
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
        answer = await self.client.order(order)
        return answer.ok

    async def serve(self, start: int = 0, end: int = 4) -> None:
        await self.order(start, end)
        await self.wait_ready(1)

    async def wait_ready(self, version: int) -> None:
        async with asyncio.timeout(CONDITION_TIMEOUT_S):
            while version not in await self.ready_versions():
                await asyncio.sleep(0.001)

    async def ready_versions(self) -> list[int]:
        report = (await self.client.load()).ok
        return [held.version for held in report.holdings if held.ready]

    async def step(self, *items: steps.StepItem) -> list[steps.StepResult]:
        outcome = await self.client.step(items, STEP_TIMEOUT_S)
        return outcome.ok

    async def post(self, path: str, body: dict[str, Any]) -> Any:
        client = httpclient.AsyncHTTPClient()
        url = f"http://{self.engine.address}{path}"
        response = await client.fetch(url, method="POST", body=json.dumps(body))
        return json.loads(response.body)

    async def ledger(self) -> list[dict[str, Any]]:
        client = httpclient.AsyncHTTPClient()
        url = f"http://{self.engine.address}/v1/ledger"
        rows: list[dict[str, Any]] = json.loads((await client.fetch(url)).body)[
            "rows"
        ]
        return rows


def make_item(
    inputs: tuple[int, ...] = (1, 2, 3),
    position: int = 0,
    session: str = "s",
    start: int = 0,
    end: int = 4,
    version: int = 1,
    priority: int = 1,
) -> steps.StepItem:
    """Makes an item of request ``r-SESSION``."""
    return steps.StepItem(
        f"r-{session}",
        session,
        1,
        position,
        layers.LayerRange(start, end),
        "m",
        version,
        "",
        priority,
        inputs,
    )


def make_settings(**changes: Any) -> engine_package.EngineSettings:
    """Makes settings of a fast engine for a model of four layers."""
    settings = engine_package.EngineSettings(
        name="e1", models={"m": 4}, fixed_s=0.0, per_layer_token_s=0.0
    )
    return dataclasses.replace(settings, **changes)


@contextlib.asynccontextmanager
async def run_engine(**changes: Any) -> AsyncIterator[EngineRig]:
    """Starts an engine with changed settings."""
    engine = engine_package.create_engine(make_settings(**changes))
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
