"""Cuts a node of the stand-in system off from all engines."""

from __future__ import annotations

import asyncio
import enum
import socket
from typing import TYPE_CHECKING
from typing import Any

from almondshift.adapters import http_connections
from tests.faults import proxy

if TYPE_CHECKING:
    from almondshift.daemons import relay


class Cut(enum.StrEnum):
    """What happens to a node's connections to engines.

    Attributes:
        RESET: Open ones are reset, new ones are refused.
        SILENT: Nothing arrives on open ones, new ones get no response.
        REFUSE_NEW: Open ones work on, new ones are refused.
        ACCEPT: Nothing arrives on open ones, new ones are accepted and silent.
    """

    RESET = "reset"
    SILENT = "silent"
    REFUSE_NEW = "refuse_new"
    ACCEPT = "accept"


SILENCES_OPEN = (Cut.SILENT, Cut.ACCEPT)
QUEUE_LENGTH = 1024


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
        self.silent: socket.socket | None = None

    def begin(self, cut: Cut, addresses: frozenset[str] | None = None) -> None:
        self.cut = cut
        self.addresses = addresses
        if cut is Cut.ACCEPT:
            self.silent = socket.create_server(
                (proxy.own_host(), 0), backlog=QUEUE_LENGTH
            )
        for connection in list(self.live):
            if not self.is_cut(connection.address):
                continue
            if cut is Cut.RESET:
                connection.fail(
                    http_connections.Outcome.BROKEN, "connection reset"
                )
            elif cut in SILENCES_OPEN and connection.transport is not None:
                silenced: Any = SilencedTransport(connection.transport)
                connection.transport = silenced

    def is_cut(self, address: str) -> bool:
        """Returns whether connections to an endpoint are cut."""
        if self.cut is None:
            return False
        return self.addresses is None or address in self.addresses

    def end(self) -> None:
        """Ends the cut; connections that were silenced are reset."""
        was_silent = self.cut in SILENCES_OPEN
        self.cut = None
        if self.silent is not None:
            self.silent.close()
            self.silent = None
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
        return self.cut is Cut.ACCEPT

    async def _connect(self, address: str, call: http_connections.Call) -> None:
        if not self.is_cut(address):
            await super()._connect(address, call)
            if call.connection is not None:
                self.live.add(call.connection)
            return
        if self.silent is not None:
            host, port = self.silent.getsockname()
            await super()._connect(f"{host}:{port}", call)
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
