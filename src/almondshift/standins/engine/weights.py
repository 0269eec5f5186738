"""Loading of layer weights from the platform's rate-limited store."""

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
DEFAULT_RETRY_DELAY_S = 0.1


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
        """Loads a layer; retries until it is fetched."""
        if self.settings.platform:
            await self._fetch(model, version, layer)
        await asyncio.sleep(self.settings.load_layer_s)

    async def _fetch(self, model: str, version: int, layer: int) -> None:
        address = self.settings.platform
        url = f"http://{address}/v1/weights/{model}/{version}/{layer}"
        while True:
            wait_s = await self._fetch_once(url)
            if wait_s is None:
                return
            await asyncio.sleep(wait_s)

    async def _fetch_once(self, url: str) -> float | None:
        """Returns None if fetched, else the delay in seconds before a retry."""
        try:
            response = await self.client.fetch(
                url, raise_error=False, request_timeout=REQUEST_TIMEOUT_S
            )
        except (OSError, httpclient.HTTPError):
            return DEFAULT_RETRY_DELAY_S
        if response.code == OK:
            return None
        return _retry_delay_s(response.headers.get("Retry-After"))


def _retry_delay_s(header: str | None) -> float:
    try:
        return float(header or DEFAULT_RETRY_DELAY_S)
    except ValueError:
        return DEFAULT_RETRY_DELAY_S
