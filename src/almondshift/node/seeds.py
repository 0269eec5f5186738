"""How nodes find each other at first: rows in the platform's table."""

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
REFRESH_S = 60.0
STALE_S = 600.0
SCAN_S = 60.0
SCAN_LIMIT = 20
FIRST_PAUSE_S = 0.5

logger = logging.getLogger(__name__)


class SeedRows:
    """Writes this node's row, and reads some of the others'.

    Rows are only for the first contact and for finding each other again
    after a partition; who is alive is the membership's matter.
    """

    def __init__(
        self,
        store: stores.TableStore,
        clock: clocks.Clock,
        rng: random.Random,
        node: str,
        fixed: tuple[str, ...],
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.node = node
        self.fixed = fixed
        self.address = ""
        self._found: list[str] = []
        self._scanned_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    async def start(self, address: str) -> None:
        """Starts to keep this node's row with its peer address."""
        self.address = address
        self._task = asyncio.create_task(self._keep_row())

    async def close(self) -> None:
        """Removes this node's row, if the store answers."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
        row = stores.Write(TABLE, self.node, None, None)
        await self.store.transact([row])

    async def addresses(self) -> list[str]:
        """Returns addresses of peers to ask first."""
        now = self.clock.monotonic()
        if now - self._scanned_at >= SCAN_S or not self._found:
            await self._scan()
        own = self.address
        return [a for a in [*self.fixed, *self._found] if a != own]

    async def _scan(self) -> None:
        match await self.store.scan(TABLE, "", SCAN_LIMIT):
            case expression.Result(tag="ok", ok=rows):
                self._scanned_at = self.clock.monotonic()
                self._found = [
                    str(row.value["peer"]) for row in rows if self._fresh(row)
                ]
            case _:
                return

    def _fresh(self, row: stores.Row) -> bool:
        return self.clock.wall() - float(row.value["at"]) < STALE_S

    async def _keep_row(self) -> None:
        while True:
            written = await self._write_row()
            pause = REFRESH_S if written else FIRST_PAUSE_S
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
    fixed: tuple[str, ...],
) -> SeedRows:
    """Builds the rows' keeper.

    Args:
        store: The platform's table.
        clock: Source of time.
        rng: Source of jitter.
        node: This node's name.
        fixed: Peer addresses from the settings.
    """
    return SeedRows(store, clock, rng, node, fixed)
