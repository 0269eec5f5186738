"""Cuts a node's connections to endpoints as a file says."""

from __future__ import annotations

import asyncio
import pathlib
from typing import TYPE_CHECKING

from almondshift.adapters import http_connections
from almondshift.daemons import relay
from tests.platform import cut_links

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_INTERVAL_S = 0.05


class FileCutPool(cut_links.CuttablePool):
    """A pool that is cut while a file names how.

    Attributes:
        file: Holds the name of a ``Cut``; empty or missing for none.
    """

    def __init__(self, connect_timeout_s: float, file: pathlib.Path) -> None:
        super().__init__(connect_timeout_s)
        self.file = file
        self.polling: asyncio.Task[None] | None = None

    def call(
        self,
        address: str,
        payload: bytes,
        listener: http_connections.CallListener,
        request_id: str = "",
    ) -> http_connections.Call:
        if self.polling is None:
            loop = asyncio.get_running_loop()
            self.polling = loop.create_task(self.poll())
        return super().call(address, payload, listener, request_id)

    async def poll(self) -> None:
        while True:
            wanted = self.file.read_text() if self.file.exists() else ""
            if wanted and self.cut is None:
                self.begin(cut_links.Cut(wanted))
            elif not wanted and self.cut is not None:
                self.end()
            await asyncio.sleep(POLL_INTERVAL_S)


def install(cut_file: str) -> None:
    """Makes the relay's connections to endpoints follow a file."""
    create: Callable[..., http_connections.ConnectionPool]
    create = http_connections.create_connection_pool

    def create_pool(
        connect_timeout_s: float = http_connections.CONNECT_TIMEOUT_S,
    ) -> http_connections.ConnectionPool:
        if connect_timeout_s == relay.ENGINE_CONNECT_TIMEOUT_S:
            return FileCutPool(connect_timeout_s, pathlib.Path(cut_file))
        return create(connect_timeout_s)

    http_connections.create_connection_pool = create_pool
