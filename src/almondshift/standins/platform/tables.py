"""In-memory tables with conditional writes of several rows."""

from __future__ import annotations

import bisect
import copy
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.ports import stores

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class TablesCopy:
    """The content of all tables at one moment."""

    rows: dict[tuple[str, str], stores.Row]
    last_revision: int


class MemoryTables:
    """Tables by name; one revision counter for all, kept across deletes.

    Attributes:
        era: Rises with each restored copy.
    """

    def __init__(self) -> None:
        self.era = 0
        self.rows: dict[tuple[str, str], stores.Row] = {}
        self.keys: dict[str, list[str]] = {}
        self.last_revision = 0

    def read(self, table: str, key: str) -> stores.Row | None:
        """Returns a row, or None."""
        row = self.rows.get((table, key))
        return None if row is None else self._as_read(row)

    def scan(self, table: str, prefix: str, limit: int) -> list[stores.Row]:
        """Returns up to ``limit`` rows with a key prefix, in key order."""
        keys = self.keys.get(table, [])
        found: list[stores.Row] = []
        for key in keys[bisect.bisect_left(keys, prefix) :]:
            if not key.startswith(prefix) or len(found) >= limit:
                break
            found.append(self._as_read(self.rows[table, key]))
        return found

    def take_copy(self) -> TablesCopy:
        """Returns a copy of all tables."""
        return TablesCopy(copy.deepcopy(self.rows), self.last_revision)

    def restore(self, taken: TablesCopy) -> None:
        """Replaces all tables by a copy, which begins the next era."""
        self.era += 1
        self.rows = copy.deepcopy(taken.rows)
        self.last_revision = taken.last_revision
        self.keys = {}
        for table, key in sorted(self.rows):
            self.keys.setdefault(table, []).append(key)

    def transact(
        self, writes: Sequence[stores.Write]
    ) -> expression.Result[list[int], errors.ConditionFailed]:
        """Applies all writes, or none and returns ``ConditionFailed``."""
        for write in writes:
            if not self._condition_holds(write):
                return expression.Error(
                    errors.ConditionFailed(
                        f"Row {write.table}/{write.key} is not at revision "
                        f"{write.if_revision}."
                    )
                )
        return expression.Ok([self._apply(write) for write in writes])

    def _as_read(self, row: stores.Row) -> stores.Row:
        return dataclasses.replace(copy.deepcopy(row), era=self.era)

    def _condition_holds(self, write: stores.Write) -> bool:
        if write.if_revision is None:
            return True
        row = self.rows.get((write.table, write.key))
        revision = stores.ABSENT if row is None else row.revision
        return revision == write.if_revision

    def _apply(self, write: stores.Write) -> int:
        row_id = (write.table, write.key)
        if write.value is None:
            if self.rows.pop(row_id, None) is not None:
                self.keys[write.table].remove(write.key)
            return 0
        self.last_revision += 1
        if row_id not in self.rows:
            bisect.insort(self.keys.setdefault(write.table, []), write.key)
        self.rows[row_id] = stores.Row(
            table=write.table,
            key=write.key,
            value=copy.deepcopy(write.value),
            revision=self.last_revision,
        )
        return self.last_revision
