"""Reading a complete table, and then following its changes."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

import expression

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import revisions
    from almondshift.ports import stores


@dataclasses.dataclass(frozen=True, slots=True)
class FeedRow:
    """A row or its removal.

    Attributes:
        value: The content; None if the row was removed.
        revision: Increases across the whole store, in all its eras.
    """

    key: str
    value: bytes | None
    revision: revisions.Revision


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
    revision: revisions.Revision
    is_whole: bool = False
    age_s: float = 0.0
    unchanged: frozenset[str] = frozenset()


class RowFeed(abc.ABC):
    """Reads tables of a store that keeps a history of changes.

    Attributes:
        on_era: Called with the previous and the new era of the store when a
            response names a later one.
    """

    on_era: list[Callable[[int, int], None]]

    @abc.abstractmethod
    async def read_whole(
        self, table: str
    ) -> expression.Result[TableChange, stores.StoreError]:
        """Reads all rows of a table."""

    @abc.abstractmethod
    async def wait_for_changes(
        self, table: str, after: revisions.Revision, wait_s: float
    ) -> expression.Result[TableChange | None, stores.StoreError]:
        """Waits until a table has changed since a revision.

        Returns:
            The changes, empty after ``wait_s``; None if the complete table
            must be read, since the history no longer reaches back to
            ``after`` or the store is in another era.
        """
