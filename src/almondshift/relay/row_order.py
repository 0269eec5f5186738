"""Orders contents of a row where its revisions don't."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import revisions


@dataclasses.dataclass(frozen=True, slots=True)
class RowOrder:
    """Orders the contents of the rows of a table.

    A store that returns from an older copy shows former contents under newer
    revisions, until their writers write again.

    Attributes:
        rank: Returns the rank of a content; None if it has none.
        is_lasting: Whether no content is ever replaced by an earlier one, and
            rows are never removed.
    """

    rank: Callable[[bytes], revisions.Rank | None]
    is_lasting: bool = False

    def is_earlier(self, content: bytes | None, other: bytes | None) -> bool:
        """Returns whether a content was written before another one."""
        return self._compare(content, other) < 0

    def is_later(self, content: bytes | None, other: bytes | None) -> bool:
        """Returns whether a content was written after another one."""
        return self._compare(content, other) > 0

    def _compare(self, content: bytes | None, other: bytes | None) -> int:
        """Returns the difference of two ranks; 0 if not comparable."""
        if content is None or other is None or content == other:
            return 0
        first, second = self.rank(content), self.rank(other)
        if first is None or second is None or first.start != second.start:
            return 0
        return first.number - second.number


UNORDERED = RowOrder(lambda content: None)
"""For rows that are ordered by their revisions only."""
