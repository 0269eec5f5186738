"""Reading a complete table, and then following its changes."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

import expression

if TYPE_CHECKING:
    from almondshift.ports import stores


@dataclasses.dataclass(frozen=True, slots=True)
class FeedRow:
    """A row or its removal.

    Attributes:
        value: The content; None if the row was removed.
        revision: Revision of the change; increases across the whole store.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableChange:
    """Rows as of a revision.

    Attributes:
        rows: In the order of their changes; if the table was read, by key.
        revision: The newest revision of the store that is covered.
        is_whole: Whether this covers the complete table, so that rows missing
            from it were removed.
        unchanged: Keys of rows that are left out, since the requester has
            them; if ``is_whole``, these and ``rows`` are the complete table.
        age_s: Time since the store confirmed this; over 0 if it comes from a
            copy.
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
            longer reaches back to ``after`` and the complete table must be
            read.
        """
