"""Decides which process start of an engine is current when rows disagree.

Engines restart under their former name, and a write of the former start may
reach the store after the first write of the new one. So a later start takes
precedence over an earlier one. But others write to the registry too: a row
under an engine's name with a wrong start time, or one in the future, would
remain the latest for ever, and the engine's own rows would be dropped as late.
The two are distinguished by the fact that a live engine keeps writing.

No node's wall clock is used, since it may jump. A limit on start times in the
future would drop all engines on a node whose clock jumped back.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import revisions

MAX_TRACKED_ENGINES = 4_096
"""Maximum number of engines whose starts are kept, including engines that are
gone; five times the engines of the largest fleet."""

REPLACE_AFTER_S = 4.0
"""Seconds for which only the other start must be written before it replaces the
accepted one. The registry drops an engine that wrote nothing for some four
seconds."""

REPLACE_AFTER_ROWS = 4
"""Number of rows with different revisions in which the other start must appear.
One or two writes of a process that has ended may still arrive, seconds late."""


class RowStatus(enum.Enum):
    """How a registry row is classified, which decides whether it is applied.

    CURRENT: it is applied; its start is the accepted one, or is accepted with
    this row as a later start or as the first of its engine. An engine's first
    row is also applied without a start. LATE: it is dropped. REPLACES: it is
    applied, and its start replaces the accepted one.
    """

    CURRENT = "stands"
    LATE = "late"
    REPLACES = "overturns"


@dataclasses.dataclass(slots=True)
class _PendingStart:
    """A start that may replace the accepted one, and the rows that name it.

    Attributes:
        born_ms: The start.
        began_at: When its first row came; monotonic seconds.
        revision: Revision of the newest counted row; a row that is received
            again doesn't count.
        rows: Number of counted rows.
    """

    born_ms: int
    began_at: float
    revision: revisions.Revision
    rows: int = 1


@dataclasses.dataclass(slots=True)
class _Starts:
    """Starts of one engine.

    Attributes:
        accepted_start: The accepted one.
        rejected_from: Starts from this one on are not accepted at once, since
            it was accepted before and was replaced by an earlier one. None if
            there is none.
        pending: The start that may replace the accepted one, if any.
    """

    accepted_start: int
    rejected_from: int | None = None
    pending: _PendingStart | None = None

    def is_accepted_at_once(self, born_ms: int) -> bool:
        """Returns whether a start is accepted at once."""
        if born_ms < self.accepted_start:
            return False
        return self.rejected_from is None or born_ms < self.rejected_from

    def replace_with(self, born_ms: int) -> None:
        """Replaces the accepted start."""
        self.rejected_from = (
            self.accepted_start if born_ms < self.accepted_start else None
        )
        self.accepted_start = born_ms
        self.pending = None


class EngineStarts:
    """Keeps the starts of all engines.

    Attributes:
        by_engine: Starts by engine; the least recently seen first.
    """

    def __init__(self) -> None:
        self.by_engine: collections.OrderedDict[str, _Starts] = (
            collections.OrderedDict()
        )

    def accepted_start(self, engine: str) -> int:
        """Returns the accepted start; 0 if none is known."""
        starts = self.by_engine.get(engine)
        return starts.accepted_start if starts is not None else 0

    def classify_row(
        self,
        engine: str,
        born_ms: int,
        revision: revisions.Revision,
        now: float,
    ) -> RowStatus:
        """Classifies a row, and records its start.

        Args:
            engine: Name of the engine, which is the same for all its starts.
            born_ms: The start that the row names; 0 for none.
            revision: Revision of the row; it increases over the whole store.
            now: Monotonic seconds.
        """
        starts = self.by_engine.get(engine)
        if starts is None:
            if born_ms:
                self._remember(engine, _Starts(born_ms))
            return RowStatus.CURRENT
        self._remember(engine, starts)
        if starts.is_accepted_at_once(born_ms):
            starts.accepted_start = born_ms
            starts.pending = None
            return RowStatus.CURRENT
        if self._count_row(starts, born_ms, revision, now):
            starts.replace_with(born_ms)
            return RowStatus.REPLACES
        return RowStatus.LATE

    def _remember(self, engine: str, starts: _Starts) -> None:
        self.by_engine[engine] = starts
        self.by_engine.move_to_end(engine)
        while len(self.by_engine) > MAX_TRACKED_ENGINES:
            self.by_engine.popitem(last=False)

    def _count_row(
        self,
        starts: _Starts,
        born_ms: int,
        revision: revisions.Revision,
        now: float,
    ) -> bool:
        """Counts a row; returns whether its start replaces the accepted one."""
        pending = starts.pending
        if pending is None or pending.born_ms != born_ms:
            starts.pending = _PendingStart(born_ms, now, revision)
            return False
        if revision > pending.revision:
            pending.revision = revision
            pending.rows += 1
        return (
            pending.rows >= REPLACE_AFTER_ROWS
            and now - pending.began_at >= REPLACE_AFTER_S
        )


def create_engine_starts() -> EngineStarts:
    """Creates a record without any engine."""
    return EngineStarts()
