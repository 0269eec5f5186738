"""Stores the results of claimed requests and reads them for retries."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.coordination import claim_rows

if TYPE_CHECKING:
    from almondshift.coordination import claim_attempts
    from almondshift.coordination import claim_writer
    from almondshift.coordination import kept_claims
    from almondshift.ports import clocks
    from almondshift.ports import stores


@dataclasses.dataclass(frozen=True, slots=True)
class ResultSettings:
    """Limits for stored results.

    Attributes:
        max_inline_bytes: Larger results go to the object store.
        max_pending: Maximum number of results kept in memory while the store
            is unavailable.
        write_attempts: Write attempts before a result is left to ``flush``.
        write_backoff_s: Seconds before the next attempt; doubles each time.
    """

    max_inline_bytes: int = 4096
    max_pending: int = 1000
    write_attempts: int = 4
    write_backoff_s: float = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class PendingResult:
    """A result that is not stored yet, and the claim it belongs to."""

    kept: kept_claims.KeptClaim
    result: claim_rows.StoredResult


class ResultWriter:
    """Writes results, and keeps them in memory until they are stored.

    Attributes:
        pending: Results that are not stored yet, by claim key.
    """

    def __init__(
        self,
        writer: claim_writer.ClaimWriter,
        kept: kept_claims.KeptClaims,
        objects: stores.ObjectStore,
        clock: clocks.Clock,
        attempts: claim_attempts.Attempts,
        settings: ResultSettings,
    ) -> None:
        self.writer = writer
        self.kept = kept
        self.objects = objects
        self.clock = clock
        self.attempts = attempts
        self.settings = settings
        self.pending: collections.OrderedDict[str, PendingResult]
        self.pending = collections.OrderedDict()

    async def store_result(
        self, pending: PendingResult
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Stores a result; on an error keeps it in memory for ``flush``."""
        wait_s = self.settings.write_backoff_s
        self._add_pending(pending)
        for _ in range(self.settings.write_attempts):
            saved = await self._save_or_drop(pending)
            if pending.kept.key not in self.pending:
                return saved
            await self.clock.sleep(wait_s)
            wait_s *= 2
        return saved

    async def flush(self) -> None:
        """Tries once to store each pending result."""
        for pending in list(self.pending.values()):
            await self._save_or_drop(pending)

    async def read_result(
        self, row: claim_rows.ClaimRow
    ) -> expression.Result[claim_rows.StoredResult, errors.AlmondshiftError]:
        """Reads the result of a finished claim."""
        assert row.result is not None
        status, content_type = row.result.status, row.result.content_type
        if not row.result.object_key:
            body = claim_rows.decode_inline_body(row.result)
            return expression.Ok(
                claim_rows.StoredResult(status, content_type, body)
            )
        content = await self.objects.get(row.result.object_key)
        if content.is_error() or content.ok is None:
            return expression.Error(_result_unreadable())
        return expression.Ok(
            claim_rows.StoredResult(status, content_type, content.ok)
        )

    async def _save_or_drop(
        self, pending: PendingResult
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Saves a result; drops it once it is stored or its claim changed."""
        saved = await self._save(pending)
        if saved.is_ok():
            self._remove_pending(pending)
            self.kept.end(pending.kept, self.writer.store.era)
        elif isinstance(saved.error, errors.ConditionFailed):
            self._remove_pending(pending)
            self.kept.remove(pending.kept)
        return saved

    async def _save(
        self, pending: PendingResult
    ) -> expression.Result[None, errors.AlmondshiftError]:
        stored = await self._store_body(pending)
        if stored.is_error():
            return expression.Error(stored.error)
        pending.kept.row = dataclasses.replace(
            pending.kept.row,
            state=claim_rows.ClaimState.FINISHED,
            result=stored.ok,
        )
        written = await self.writer.write(pending.kept)
        if written.is_error():
            return expression.Error(written.error)
        return expression.Ok(None)

    async def _store_body(
        self, pending: PendingResult
    ) -> expression.Result[claim_rows.ResultRow, errors.AlmondshiftError]:
        result = pending.result
        if len(result.body) <= self.settings.max_inline_bytes:
            return expression.Ok(claim_rows.inline_result(result))
        kept = pending.kept
        object_key = f"claims/{kept.key}/{kept.row.attempt}"
        put = await self.objects.put(object_key, result.body)
        if put.is_error():
            return expression.Error(put.error)
        return expression.Ok(claim_rows.object_result(result, object_key))

    def _add_pending(self, pending: PendingResult) -> None:
        self.pending[pending.kept.key] = pending
        while len(self.pending) > self.settings.max_pending:
            _, oldest = self.pending.popitem(last=False)
            self.attempts.end(oldest.kept.row.attempt)
            self.kept.end(oldest.kept, self.writer.store.era)

    def _remove_pending(self, pending: PendingResult) -> None:
        if self.pending.get(pending.kept.key) is pending:
            del self.pending[pending.kept.key]
        self.attempts.end(pending.kept.row.attempt)


def _result_unreadable() -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        "The request ran, but its result can't be read at the moment.",
        remedy="Retry with the same Idempotency-Key.",
        execution=errors.Execution.RAN,
        retry_after_s=1.0,
    )
