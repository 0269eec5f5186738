"""Deletes expired claims in bounded batches."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift.coordination import claim_rows
from almondshift.ports import stores

if TYPE_CHECKING:
    from almondshift import errors
    from almondshift.ports import clocks

DEFAULT_BATCH = 50


class ClaimSweep:
    """Deletes expired claims, oldest first.

    Any node may sweep at any time, since every write is conditional. One
    sweeper at a time is enough, e.g. the holder of a lease.
    """

    def __init__(
        self,
        store: stores.TableStore,
        clock: clocks.Clock,
        unfinished_retention_s: float,
        batch: int,
    ) -> None:
        self.store = store
        self.clock = clock
        self.unfinished_retention_s = unfinished_retention_s
        self.batch = batch

    async def sweep(
        self,
    ) -> expression.Result[int, errors.AlmondshiftError]:
        """Processes up to one batch of expired rows.

        Returns:
            The number of expiry rows processed; if it is below the batch
            size, nothing more has expired.
        """
        found = await self.store.scan(claim_rows.EXPIRY_TABLE, "", self.batch)
        if found.is_error():
            return expression.Error(found.error)
        until = claim_rows.expiry_key(self.clock.wall(), "")
        expired = [row for row in found.ok if row.key < until]
        done = await asyncio.gather(*(self._expire(row) for row in expired))
        return expression.Ok(sum(done))

    async def _expire(self, expiry: stores.Row) -> bool:
        key = str(expiry.value["claim"])
        read = await self.store.read(claim_rows.TABLE, key)
        if read.is_error():
            return False
        writes = [_delete(expiry)]
        if read.ok is not None:
            writes += self._claim_writes(expiry, read.ok)
        written = await self.store.transact(writes)
        return written.is_ok()

    def _claim_writes(
        self, expiry: stores.Row, row: stores.Row
    ) -> list[stores.Write]:
        claim = claim_rows.parse_claim(row)
        if claim.attempt != expiry.value["attempt"]:
            return []
        running = claim.state is claim_rows.ClaimState.RUNNING
        if not running or expiry.value["last"]:
            return [_delete(row)]
        later = claim.expires_at + self.unfinished_retention_s
        return [
            claim_rows.expiry_write(
                row.key,
                dataclasses.replace(claim, expires_at=later),
                last=True,
            )
        ]


def _delete(row: stores.Row) -> stores.Write:
    return stores.Write(row.table, row.key, None, row.revision, row.era)


def create_claim_sweep(
    store: stores.TableStore,
    clock: clocks.Clock,
    unfinished_retention_s: float,
    batch: int = DEFAULT_BATCH,
) -> ClaimSweep:
    """Creates a sweep over the claims in ``store``."""
    return ClaimSweep(store, clock, unfinished_retention_s, batch)
