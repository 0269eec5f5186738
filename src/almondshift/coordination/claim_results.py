"""Stores the results of claimed requests, and reads them for repeats."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.coordination import claim_rows

if TYPE_CHECKING:
    from almondshift.coordination import claim_attempts
    from almondshift.ports import clocks
    from almondshift.ports import stores


@dataclasses.dataclass(frozen=True, slots=True)
class ResultSettings:
    """Bounds of stored results.

    Attributes:
        inline_bytes: Larger results go to the object store.
        unsaved: Results kept in memory while the store is away.
        write_attempts: Times that a result is written before it waits.
        write_wait_s: Seconds before writing again; doubles each time.
    """

    inline_bytes: int = 4096
    unsaved: int = 1000
    write_attempts: int = 4
    write_wait_s: float = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Unsaved:
    """A result that the store has not taken yet, and its claim."""

    key: str
    row: claim_rows.ClaimRow
    revision: int
    result: claim_rows.StoredResult


class ResultKeeper:
    """Keeps results in memory until the store has them.

    Attributes:
        unsaved: Results that the store has not taken yet, by claim key.
    """

    def __init__(
        self,
        store: stores.TableStore,
        objects: stores.ObjectStore,
        clock: clocks.Clock,
        attempts: claim_attempts.Attempts,
        settings: ResultSettings,
    ) -> None:
        self.store = store
        self.objects = objects
        self.clock = clock
        self.attempts = attempts
        self.settings = settings
        self.unsaved: collections.OrderedDict[str, Unsaved]
        self.unsaved = collections.OrderedDict()

    async def store_result(
        self, unsaved: Unsaved
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Stores a result, or keeps it for ``flush`` and says why."""
        wait_s = self.settings.write_wait_s
        self._keep(unsaved)
        for _ in range(self.settings.write_attempts):
            saved = await self._save_or_drop(unsaved)
            if unsaved.key not in self.unsaved:
                return saved
            await self.clock.sleep(wait_s)
            wait_s *= 2
        return saved

    async def flush(self) -> None:
        """Tries once to store each result that is not stored yet."""
        for unsaved in list(self.unsaved.values()):
            await self._save_or_drop(unsaved)

    async def read_result(
        self, row: claim_rows.ClaimRow
    ) -> expression.Result[claim_rows.StoredResult, errors.AlmondshiftError]:
        """Reads the result of a finished claim."""
        assert row.result is not None
        status, content_type = row.result.status, row.result.content_type
        if not row.result.object_key:
            body = claim_rows.inline_body(row.result)
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
        self, unsaved: Unsaved
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Saves, and forgets the result if no later try can change that."""
        saved = await self._save(unsaved)
        if saved.is_ok() or isinstance(saved.error, errors.ConditionFailed):
            self._forget(unsaved)
        return saved

    async def _save(
        self, unsaved: Unsaved
    ) -> expression.Result[None, errors.AlmondshiftError]:
        stored = await self._store_body(unsaved)
        if stored.is_error():
            return expression.Error(stored.error)
        row = dataclasses.replace(
            unsaved.row,
            state=claim_rows.ClaimState.FINISHED,
            result=stored.ok,
        )
        write = claim_rows.write_claim(unsaved.key, row, unsaved.revision)
        written = await self.store.transact([write])
        if written.is_ok():
            return expression.Ok(None)
        if isinstance(written.error, errors.ConditionFailed):
            return await self._check_saved(unsaved, written.error)
        return expression.Error(written.error)

    async def _store_body(
        self, unsaved: Unsaved
    ) -> expression.Result[claim_rows.ResultRow, errors.AlmondshiftError]:
        result = unsaved.result
        if len(result.body) <= self.settings.inline_bytes:
            return expression.Ok(claim_rows.inline_result(result))
        object_key = f"claims/{unsaved.key}/{unsaved.row.attempt}"
        put = await self.objects.put(object_key, result.body)
        if put.is_error():
            return expression.Error(put.error)
        return expression.Ok(claim_rows.result_by_object(result, object_key))

    async def _check_saved(
        self, unsaved: Unsaved, failure: errors.ConditionFailed
    ) -> expression.Result[None, errors.AlmondshiftError]:
        """Finds out whether an earlier write had stored the result."""
        read = await self.store.read(claim_rows.TABLE, unsaved.key)
        if read.is_error():
            return expression.Error(read.error)
        if read.ok is None:
            return expression.Error(failure)
        row = claim_rows.read_claim(read.ok)
        is_saved = row.state is claim_rows.ClaimState.FINISHED
        if is_saved and row.attempt == unsaved.row.attempt:
            return expression.Ok(None)
        return expression.Error(failure)

    def _keep(self, unsaved: Unsaved) -> None:
        self.unsaved[unsaved.key] = unsaved
        while len(self.unsaved) > self.settings.unsaved:
            _, oldest = self.unsaved.popitem(last=False)
            self.attempts.end(oldest.row.attempt)

    def _forget(self, unsaved: Unsaved) -> None:
        if self.unsaved.get(unsaved.key) is unsaved:
            del self.unsaved[unsaved.key]
        self.attempts.end(unsaved.row.attempt)


def _result_unreadable() -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        "The request ran; its result can't be read now.",
        remedy="Ask again with the same Idempotency-Key.",
        execution=errors.Execution.RAN,
        retry_after_s=1.0,
    )
