"""Reading a table whole, and then what changes in it."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

import expression

if TYPE_CHECKING:
    from almondshift.ports import stores


@dataclasses.dataclass(frozen=True, slots=True)
class FeedRow:
    """A row, or that it was removed.

    Attributes:
        value: The content; None if the row was removed.
        revision: Grows over the whole store.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableChange:
    """Rows as of a revision.

    Attributes:
        rows: In the order of their changes; for a whole read, by key.
        revision: The newest revision of the store that is covered.
        is_whole: Whether these are all rows: what is missing was removed.
        unchanged: Keys of rows that are not repeated, since the asker has
            them; together with ``rows`` all, if ``is_whole``.
        age_s: Since the store confirmed this; over 0 if it comes from a copy.
    """

    rows: tuple[FeedRow, ...]
    revision: int
    is_whole: bool = False
    age_s: float = 0.0
    unchanged: frozenset[str] = frozenset()


class RowFeed(abc.ABC):
    """Reads tables of a store that keeps a history of changes."""

    @abc.abstractmethod
    async def read_whole(
        self, table: str
    ) -> expression.Result[TableChange, stores.StoreError]:
        """Reads all rows of a table."""

    @abc.abstractmethod
    async def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> expression.Result[TableChange | None, stores.StoreError]:
        """Waits until a table has changed since a revision.

        Returns:
            The changes, empty after ``wait_s``; None if the history no
            longer reaches back so far and the table must be read whole.
        """
