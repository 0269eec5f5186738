"""Copies of the store's rows, from which it can be restored."""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

COPY_INTERVAL_S = 0.2
KEPT_S = 10.0

Rows = dict[tuple[str, str], tuple[Any, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """All rows and the version counter at a moment."""

    at: float
    rows: Rows
    version: int


class StoreCopies:
    """The copies of the last seconds."""

    def __init__(self) -> None:
        self.copies: collections.deque[StoreCopy] = collections.deque()

    def add(self, at: float, rows: Rows, version: int) -> None:
        self.copies.append(StoreCopy(at, dict(rows), version))
        while self.copies[0].at < at - KEPT_S:
            self.copies.popleft()

    def newest_before(self, at: float) -> StoreCopy:
        """Returns the newest copy before a moment, else the oldest one."""
        older = [copy for copy in self.copies if copy.at <= at]
        return older[-1] if older else self.copies[0]
