"""Writes the rows of claims that this node holds.

If the store has returned from an older copy, the row may be missing, show an
earlier state, or show an earlier attempt that this claim had replaced. It is
then written again. A row of another attempt that was written in the new era is
left as it is.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.coordination import claim_rows
from almondshift.ports import stores

if TYPE_CHECKING:
    from almondshift.coordination import kept_claims
    from almondshift.ports import clocks

MAX_TRIES = 3

WriteResult = expression.Result[None, stores.StoreError]


class ClaimWriter:
    """Writes kept claims; ``ConditionFailed`` means that a claim is lost."""

    def __init__(self, store: stores.TableStore, clock: clocks.Clock) -> None:
        self.store = store
        self.clock = clock

    async def write(self, kept: kept_claims.KeptClaim) -> WriteResult:
        """Writes the row of a claim over the one known to this node."""
        written = await self._write(kept, kept.revision, kept.row.era)
        if written.is_ok() or not _has_condition_failed(written):
            return written
        return await self.write_again(kept)

    async def write_again(self, kept: kept_claims.KeptClaim) -> WriteResult:
        """Reads the row and writes it unless it is as it should be."""
        for _ in range(MAX_TRIES):
            read = await self.store.read(claim_rows.TABLE, kept.key)
            if read.is_error():
                return expression.Error(read.error)
            era = self.store.era
            if read.ok is not None and read.ok.era != era:
                continue
            written = await self._write_over(kept, read.ok, era)
            if written is not None:
                return written
        return expression.Error(
            errors.StoreUnavailable(
                "The row of a claim changed while it was written.",
                retry_after_s=1.0,
            )
        )

    async def _write_over(
        self,
        kept: kept_claims.KeptClaim,
        found: stores.Row | None,
        era: int,
    ) -> WriteResult | None:
        """Writes a claim over the row that was found; None to read again."""
        if found is None:
            is_lost = kept.row.era < era
            if not is_lost or self.clock.wall() >= kept.row.expires_at:
                return expression.Error(_lost_error())
            written = await self._write(kept, stores.ABSENT, era)
        else:
            row = claim_rows.parse_claim(found)
            if row.attempt != kept.row.attempt and row.era >= era:
                return expression.Error(_lost_error())
            if row == dataclasses.replace(kept.row, era=era):
                kept.row, kept.revision = row, found.revision
                return expression.Ok(None)
            written = await self._write(kept, found.revision, era)
        return None if _has_condition_failed(written) else written

    async def _write(
        self, kept: kept_claims.KeptClaim, revision: int, era: int
    ) -> WriteResult:
        writes = [claim_rows.claim_write(kept.key, kept.row, revision, era)]
        if revision == stores.ABSENT:
            writes.append(
                claim_rows.expiry_write(kept.key, kept.row, last=False)
            )
        written = await self.store.transact(writes)
        if written.is_error():
            return expression.Error(written.error)
        if self.store.era != era:
            return expression.Error(
                errors.StoreOutcomeUnknown(
                    "The store returned from an older copy after the write."
                )
            )
        kept.row = dataclasses.replace(kept.row, era=era)
        kept.revision = written.ok[0]
        return expression.Ok(None)


def _has_condition_failed(written: WriteResult) -> bool:
    return written.is_error() and isinstance(
        written.error, errors.ConditionFailed
    )


def _lost_error() -> errors.ConditionFailed:
    return errors.ConditionFailed("The claim is no longer held by this node.")


def create_claim_writer(
    store: stores.TableStore, clock: clocks.Clock
) -> ClaimWriter:
    """Creates a writer.

    Args:
        store: Table store of the claims.
        clock: Wall time for expiry.
    """
    return ClaimWriter(store, clock)
