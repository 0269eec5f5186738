"""Peer discovery at start-up through rows in the platform's table."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

import expression

from almondshift.ports import stores

if TYPE_CHECKING:
    import random

    from almondshift.ports import clocks

TABLE = "nodes"
ROW_REFRESH_INTERVAL_S = 60.0
MAX_ROW_AGE_S = 600.0
SCAN_INTERVAL_S = 60.0
SCAN_LIMIT = 20
WRITE_RETRY_INTERVAL_S = 0.5

logger = logging.getLogger(__name__)


class SeedRows:
    """Writes this node's row and reads rows of other nodes.

    The rows serve only for the first contact and for reconnecting after a
    partition; the membership determines which nodes are alive.
    """

    def __init__(
        self,
        store: stores.TableStore,
        clock: clocks.Clock,
        rng: random.Random,
        node: str,
        configured_addresses: tuple[str, ...],
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.node = node
        self.configured_addresses = configured_addresses
        self.address = ""
        self._found: list[str] = []
        self._scanned_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Starts to write and refresh this node's row with its address."""
        self.address = address
        self._task = asyncio.create_task(self._refresh_row())

    async def close(self) -> None:
        """Removes this node's row, if the store is available."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        row = stores.Write(TABLE, self.node, None, None)
        await self.store.transact([row])

    async def addresses(self) -> list[str]:
        """Returns addresses of peers to contact first."""
        now = self.clock.monotonic()
        if now - self._scanned_at >= SCAN_INTERVAL_S or not self._found:
            await self._scan()
        own = self.address
        return [
            a for a in [*self.configured_addresses, *self._found] if a != own
        ]

    async def _scan(self) -> None:
        match await self.store.scan(TABLE, "", SCAN_LIMIT):
            case expression.Result(tag="ok", ok=rows):
                self._scanned_at = self.clock.monotonic()
                self._found = [
                    str(row.value["peer"])
                    for row in rows
                    if self._is_row_fresh(row)
                ]
            case _:
                return

    def _is_row_fresh(self, row: stores.Row) -> bool:
        return self.clock.wall() - float(row.value["at"]) < MAX_ROW_AGE_S

    async def _refresh_row(self) -> None:
        while True:
            written = await self._write_row()
            pause = (
                ROW_REFRESH_INTERVAL_S if written else WRITE_RETRY_INTERVAL_S
            )
            await self.clock.sleep(pause * self.rng.uniform(0.8, 1.2))

    async def _write_row(self) -> bool:
        value = {"peer": self.address, "at": self.clock.wall()}
        row = stores.Write(TABLE, self.node, value, None)
        return (await self.store.transact([row])).is_ok()


def create_seed_rows(
    store: stores.TableStore,
    clock: clocks.Clock,
    rng: random.Random,
    node: str,
    configured_addresses: tuple[str, ...],
) -> SeedRows:
    """Builds the seed rows without starting them.

    Args:
        store: The platform's table.
        clock: Source of time.
        rng: Source of jitter.
        node: This node's name.
        configured_addresses: Peer addresses from the settings.
    """
    return SeedRows(store, clock, rng, node, configured_addresses)
