"""An in-memory table that simulates faults of the platform's table."""

from __future__ import annotations

import expression

from almondshift import errors
from almondshift.ports import stores


class MemoryTable(stores.TableStore):
    """An in-memory table store with faults.

    Attributes:
        is_down: Whether calls fail before they have any effect.
        loses_answers: Whether writes take effect but the responses are lost.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], stores.Row] = {}
        self.revision = 0
        self.is_down = False
        self.loses_answers = False

    async def read(
        self, table: str, key: str
    ) -> expression.Result[stores.Row | None, stores.StoreError]:
        if self.is_down:
            return expression.Error(errors.StoreUnavailable("down"))
        return expression.Ok(self.rows.get((table, key)))

    async def scan(
        self, table: str, prefix: str, limit: int
    ) -> expression.Result[list[stores.Row], stores.StoreError]:
        raise NotImplementedError

    async def transact(
        self, writes: list[stores.Write]
    ) -> expression.Result[list[int], stores.StoreError]:
        if self.is_down:
            return expression.Error(errors.StoreUnavailable("down"))
        for write in writes:
            row = self.rows.get((write.table, write.key))
            present = row.revision if row is not None else stores.ABSENT
            if write.if_revision not in (None, present):
                return expression.Error(errors.ConditionFailed("other"))
        revisions = [self.apply(write) for write in writes]
        if self.loses_answers:
            return expression.Error(errors.StoreOutcomeUnknown("lost"))
        return expression.Ok(revisions)

    def apply(self, write: stores.Write) -> int:
        self.revision += 1
        identity = (write.table, write.key)
        if write.value is None:
            self.rows.pop(identity, None)
            return 0
        self.rows[identity] = stores.Row(
            write.table, write.key, write.value, self.revision
        )
        return self.revision
