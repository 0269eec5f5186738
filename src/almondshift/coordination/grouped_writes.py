"""A table store that commits waiting transactions together.

While a transaction is on its way, others wait; the next one takes all of
them. So a store that serves a few hundred writes a second carries more
transactions than that, and a lone transaction waits for nothing. Each
caller gets the outcome of its own writes: if the condition of one fails,
the group is halved until the failing one stands alone.
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
    """Bounds of the groups.

    Attributes:
        rows: Most rows in one transaction.
        waiting: Most transactions that wait; more are refused.
        in_flight: Groups on their way at once. A second one keeps others
            going while the answer to the first is lost or late.
    """

    rows: int = 64
    waiting: int = 2000
    in_flight: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A transaction that waits for a group, and who waits for it."""

    writes: list[stores.Write]
    outcome: asyncio.Future[expression.Result[list[int], stores.StoreError]]


class GroupedTableStore(stores.TableStore):
    """Groups transactions; reads go straight through."""

    def __init__(
        self, store: stores.TableStore, settings: GroupSettings
    ) -> None:
        self.store = store
        self.settings = settings
        self.waiting: collections.deque[Waiting] = collections.deque()
        self.tasks: set[asyncio.Task[None]] = set()
        self.committers = 0

    async def close(self) -> None:
        """Waits for what is waiting and on its way."""
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
        """Applies all writes or none, perhaps with those of others."""
        if len(self.waiting) >= self.settings.waiting:
            return expression.Error(
                errors.StoreUnavailable(
                    "Too many writes are waiting.", retry_after_s=1.0
                )
            )
        outcome: asyncio.Future[
            expression.Result[list[int], stores.StoreError]
        ] = asyncio.get_running_loop().create_future()
        self.waiting.append(Waiting(writes, outcome))
        if self.committers < self.settings.in_flight:
            self.committers += 1
            task = asyncio.create_task(self._commit_waiting())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return await outcome

    async def _commit_waiting(self) -> None:
        """Commits until nothing waits.

        A finished task stays in ``tasks`` until the loop's next turn. Were
        committers counted by it, a write that comes in between would find
        them all busy and wait forever; the count falls in the same turn in
        which nothing was found waiting.
        """
        try:
            while self.waiting:
                await self._commit_group(self._take_group())
        finally:
            self.committers -= 1

    async def _commit_group(self, group: list[Waiting]) -> None:
        try:
            await self._commit(group)
        except BaseException as error:
            _fail(group, error)
            raise

    def _take_group(self) -> list[Waiting]:
        """Takes waiting transactions that touch different rows.

        Two writes of one row in a transaction would hide whose condition
        failed, so that the later one waits for the next group.
        """
        group: list[Waiting] = []
        left: list[Waiting] = []
        places: set[tuple[str, str]] = set()
        while self.waiting:
            candidate = self.waiting.popleft()
            if candidate.outcome.done():
                continue
            touched = {(write.table, write.key) for write in candidate.writes}
            if group and self._is_full(places, touched):
                left.append(candidate)
                break
            if places & touched:
                left.append(candidate)
                continue
            places |= touched
            group.append(candidate)
        self.waiting.extendleft(reversed(left))
        return group

    def _is_full(
        self, places: set[tuple[str, str]], touched: set[tuple[str, str]]
    ) -> bool:
        return len(places) + len(touched) > self.settings.rows

    async def _commit(self, group: Sequence[Waiting]) -> None:
        if not group:
            return
        writes = [write for waiting in group for write in waiting.writes]
        result = await self.store.transact(writes)
        if result.is_ok():
            _share(group, result.ok)
            return
        failed = isinstance(result.error, errors.ConditionFailed)
        if failed and len(group) > 1:
            middle = len(group) // 2
            await self._commit(group[:middle])
            await self._commit(group[middle:])
            return
        for waiting in group:
            _resolve(waiting, expression.Error(result.error))


def _share(group: Sequence[Waiting], revisions: list[int]) -> None:
    start = 0
    for waiting in group:
        end = start + len(waiting.writes)
        _resolve(waiting, expression.Ok(revisions[start:end]))
        start = end


def _resolve(
    waiting: Waiting, result: expression.Result[list[int], stores.StoreError]
) -> None:
    if not waiting.outcome.done():
        waiting.outcome.set_result(result)


def _fail(group: Sequence[Waiting], error: BaseException) -> None:
    """Tells all that the outcome is unknown, e.g. on a cancelled task."""
    unknown = errors.StoreOutcomeUnknown(f"The write was cut off: {error!r}.")
    for waiting in group:
        _resolve(waiting, expression.Error(unknown))


def create_grouped_store(
    store: stores.TableStore, settings: GroupSettings | None = None
) -> GroupedTableStore:
    """Creates a grouping store over another, which the caller owns."""
    return GroupedTableStore(store, settings or GroupSettings())
