"""A table store that commits waiting transactions together (group commit).

While a group is being committed, further transactions queue; the next group
takes all of them. So a store that serves a few hundred writes per second can
carry more transactions than that, and a single transaction is not delayed.
Each caller gets the outcome of its own writes: if a condition fails, the group
is split in half until the failing transaction is alone.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.ports import stores

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSettings:
    """Limits of the groups.

    Attributes:
        rows: Maximum rows in one transaction.
        waiting: Maximum transactions in the queue; further ones are refused.
        in_flight: Groups committed concurrently. With a second one, others
            make progress while the response to the first is lost or late.
    """

    rows: int = 64
    waiting: int = 2000
    in_flight: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PendingTransaction:
    """A queued transaction and the future for its outcome."""

    writes: list[stores.Write]
    outcome: asyncio.Future[expression.Result[list[int], stores.StoreError]]


class GroupedTableStore(stores.TableStore):
    """Groups transactions; reads are passed through."""

    def __init__(
        self, store: stores.TableStore, settings: GroupSettings
    ) -> None:
        self.store = store
        self.settings = settings
        self.waiting: collections.deque[PendingTransaction] = (
            collections.deque()
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.active_commit_tasks = 0

    @property
    def era(self) -> int:
        """The newest era that the store below knows of."""
        return self.store.era

    async def close(self) -> None:
        """Waits for queued transactions and those in flight."""
        while self.tasks:
            await asyncio.wait(self.tasks)

    async def read(
        self, table: str, key: str
    ) -> expression.Result[stores.Row | None, stores.StoreError]:
        """Reads one row; None if it does not exist."""
        return await self.store.read(table, key)

    async def scan(
        self, table: str, prefix: str, limit: int
    ) -> expression.Result[list[stores.Row], stores.StoreError]:
        """Reads up to ``limit`` rows by key order below a prefix."""
        return await self.store.scan(table, prefix, limit)

    async def transact(
        self, writes: list[stores.Write]
    ) -> expression.Result[list[int], stores.StoreError]:
        """Applies all writes or none, possibly grouped with other callers'."""
        if len(self.waiting) >= self.settings.waiting:
            return expression.Error(
                errors.StoreUnavailable(
                    "The write queue is full.", retry_after_s=1.0
                )
            )
        outcome: asyncio.Future[
            expression.Result[list[int], stores.StoreError]
        ] = asyncio.get_running_loop().create_future()
        self.waiting.append(PendingTransaction(writes, outcome))
        if self.active_commit_tasks < self.settings.in_flight:
            self.active_commit_tasks += 1
            task = asyncio.create_task(self._commit_waiting())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return await outcome

    async def _commit_waiting(self) -> None:
        """Commits groups until the queue is empty.

        A finished task stays in ``tasks`` until the event loop's next
        iteration. If active tasks were counted by it, a write that arrives in
        between would find them all busy and wait forever. So the counter is
        decremented in the same iteration in which the queue is found empty.
        """
        try:
            while self.waiting:
                await self._commit_group(self._take_group())
        finally:
            self.active_commit_tasks -= 1

    async def _commit_group(self, group: list[PendingTransaction]) -> None:
        try:
            await self._commit(group)
        except BaseException as error:
            _fail_group(group, error)
            raise

    def _take_group(self) -> list[PendingTransaction]:
        """Takes queued transactions that touch different rows.

        With two writes to one row in a transaction, it would not be clear
        whose condition failed, so the later one waits for the next group.
        """
        group: list[PendingTransaction] = []
        postponed: list[PendingTransaction] = []
        rows_touched: set[tuple[str, str]] = set()
        while self.waiting:
            candidate = self.waiting.popleft()
            if candidate.outcome.done():
                continue
            touched = {(write.table, write.key) for write in candidate.writes}
            if group and self._is_full(rows_touched, touched):
                postponed.append(candidate)
                break
            if rows_touched & touched:
                postponed.append(candidate)
                continue
            rows_touched |= touched
            group.append(candidate)
        self.waiting.extendleft(reversed(postponed))
        return group

    def _is_full(
        self, rows_touched: set[tuple[str, str]], touched: set[tuple[str, str]]
    ) -> bool:
        return len(rows_touched) + len(touched) > self.settings.rows

    async def _commit(self, group: Sequence[PendingTransaction]) -> None:
        if not group:
            return
        writes = [write for pending in group for write in pending.writes]
        result = await self.store.transact(writes)
        if result.is_ok():
            _distribute_revisions(group, result.ok)
            return
        failed = isinstance(result.error, errors.ConditionFailed)
        if failed and len(group) > 1:
            middle = len(group) // 2
            await self._commit(group[:middle])
            await self._commit(group[middle:])
            return
        for pending in group:
            _resolve(pending, expression.Error(result.error))


def _distribute_revisions(
    group: Sequence[PendingTransaction], revisions: list[int]
) -> None:
    start = 0
    for pending in group:
        end = start + len(pending.writes)
        _resolve(pending, expression.Ok(revisions[start:end]))
        start = end


def _resolve(
    pending: PendingTransaction,
    result: expression.Result[list[int], stores.StoreError],
) -> None:
    if not pending.outcome.done():
        pending.outcome.set_result(result)


def _fail_group(
    group: Sequence[PendingTransaction], error: BaseException
) -> None:
    """Resolves all as outcome unknown, e.g. if the task was cancelled."""
    unknown = errors.StoreOutcomeUnknown(f"The write was aborted: {error!r}.")
    for pending in group:
        _resolve(pending, expression.Error(unknown))


def create_grouped_store(
    store: stores.TableStore, settings: GroupSettings | None = None
) -> GroupedTableStore:
    """Creates a grouping store on top of another, which the caller owns."""
    return GroupedTableStore(store, settings or GroupSettings())
