"""Cuts a node of the stand-in system off from all engines."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING
from typing import Any

from almondshift.adapters import http_connections

if TYPE_CHECKING:
    from almondshift.daemons import relay


class Cut(enum.StrEnum):
    """What happens to a node's connections to engines.

    Attributes:
        RESET: Open ones are reset, new ones are refused.
        SILENT: Nothing arrives on open ones, new ones get no response.
        REFUSE_NEW: Open ones work on, new ones are refused.
    """

    RESET = "reset"
    SILENT = "silent"
    REFUSE_NEW = "refuse_new"


class SilencedTransport:
    """Discards what is written; the connection can still be closed."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        transport.pause_reading()

    def write(self, data: bytes) -> None:
        del data

    def abort(self) -> None:
        self.transport.abort()

    def is_closing(self) -> bool:
        return self.transport.is_closing()


class CuttablePool(http_connections.ConnectionPool):
    """A pool whose connections can be cut.

    Attributes:
        cut: What happens to connections; None for nothing.
        addresses: Endpoints that are cut off; None for all.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        super().__init__(connect_timeout_s)
        self.cut: Cut | None = None
        self.addresses: frozenset[str] | None = None
        self.live: set[http_connections.Connection] = set()

    def begin(self, cut: Cut, addresses: frozenset[str] | None = None) -> None:
        self.cut = cut
        self.addresses = addresses
        for connection in list(self.live):
            if not self.is_cut(connection.address):
                continue
            if cut is Cut.RESET:
                connection.fail(
                    http_connections.Outcome.BROKEN, "connection reset"
                )
            elif cut is Cut.SILENT and connection.transport is not None:
                silenced: Any = SilencedTransport(connection.transport)
                connection.transport = silenced

    def is_cut(self, address: str) -> bool:
        """Returns whether connections to an endpoint are cut."""
        if self.cut is None:
            return False
        return self.addresses is None or address in self.addresses

    def end(self) -> None:
        """Ends the cut; connections that were silenced are reset."""
        was_silent = self.cut is Cut.SILENT
        self.cut = None
        if was_silent:
            for connection in list(self.live):
                if not isinstance(connection.transport, SilencedTransport):
                    continue
                connection.fail(
                    http_connections.Outcome.BROKEN, "connection reset"
                )

    def remove(self, connection: http_connections.Connection) -> None:
        self.live.discard(connection)
        super().remove(connection)

    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        if not self.is_cut(address):
            return await super().is_listening(address, timeout_s)
        if self.cut is Cut.SILENT:
            await asyncio.sleep(timeout_s)
            return None
        return False

    async def _connect(self, address: str, call: http_connections.Call) -> None:
        if not self.is_cut(address):
            await super()._connect(address, call)
            if call.connection is not None:
                self.live.add(call.connection)
            return
        if self.cut is Cut.SILENT:
            await asyncio.sleep(self.connect_timeout_s)
        call.connecting = None
        call.end(http_connections.Outcome.NOT_SENT, "no connection")


def create_cuttable_pool(process: relay.RelayProcess) -> CuttablePool:
    """Replaces a node's connections to engines by ones that can be cut."""
    pool = CuttablePool(process.engine_pool.connect_timeout_s)
    process.engine_pool.close()
    process.engine_pool = pool
    engines: Any = process.node.ports.engines
    engines.pool = pool
    return pool
