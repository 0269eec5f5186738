"""Registration of a stand-in in the platform's VM list."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

import msgspec
from tornado import httpclient
from tornado import simple_httpclient

if TYPE_CHECKING:
    from almondshift.model import endpoints

_logger = logging.getLogger(__name__)

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
REQUEST_TIMEOUT_S = 2.0


class Registration:
    """Writes and removes a stand-in's row in the VM list.

    Args:
        platform: ``host:port`` of the platform, ``""`` for none.
    """

    def __init__(self, platform: str) -> None:
        self.platform = platform
        self.client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True
        )

    def close(self) -> None:
        """Closes the client."""
        self.client.close()

    async def put(self, vm: endpoints.Vm) -> None:
        """Writes the row; retries until the platform accepts it."""
        backoff_s = INITIAL_BACKOFF_S
        while self.platform and not await self._call("PUT", vm):
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def remove(self, vm: endpoints.Vm) -> None:
        """Removes the row; does not retry, since the process is exiting."""
        if self.platform:
            await self._call("DELETE", vm)

    async def _call(self, method: str, vm: endpoints.Vm) -> bool:
        request = httpclient.HTTPRequest(
            f"http://{self.platform}/v1/vms/{vm.name}",
            method=method,
            body=msgspec.json.encode(vm) if method == "PUT" else None,
            headers={"Content-Type": "application/json"},
            request_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            await self.client.fetch(request)
        except (OSError, httpclient.HTTPError) as error:
            _logger.warning(
                "%s request for the VM row failed: %s", method, error
            )
            return False
        return True
