"""Loading of layer weights, from the platform's rate-limited store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado import httpclient
from tornado import simple_httpclient

if TYPE_CHECKING:
    from almondshift.standins.engine import settings as engine_settings

OK = 200
MAX_WEIGHTS_BYTES = 1_000_000_000
REQUEST_TIMEOUT_S = 60.0
RETRY_AFTER_S = 0.1


class WeightLoader:
    """Fetches weights one layer at a time."""

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        self.settings = settings
        self.client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=2,
            max_buffer_size=MAX_WEIGHTS_BYTES,
        )

    def close(self) -> None:
        """Closes the client."""
        self.client.close()

    async def load(self, model: str, version: int, layer: int) -> None:
        """Returns when the layer is loaded; tries until it is."""
        if self.settings.platform:
            await self._fetch(model, version, layer)
        await asyncio.sleep(self.settings.load_layer_s)

    async def _fetch(self, model: str, version: int, layer: int) -> None:
        address = self.settings.platform
        url = f"http://{address}/v1/weights/{model}/{version}/{layer}"
        while True:
            wait_s = await self._try(url)
            if wait_s is None:
                return
            await asyncio.sleep(wait_s)

    async def _try(self, url: str) -> float | None:
        """Returns None if fetched, else after how long to try again."""
        try:
            response = await self.client.fetch(
                url, raise_error=False, request_timeout=REQUEST_TIMEOUT_S
            )
        except (OSError, httpclient.HTTPError):
            return RETRY_AFTER_S
        if response.code == OK:
            return None
        return _retry_after(response.headers.get("Retry-After"))


def _retry_after(header: str | None) -> float:
    try:
        return float(header or RETRY_AFTER_S)
    except ValueError:
        return RETRY_AFTER_S
