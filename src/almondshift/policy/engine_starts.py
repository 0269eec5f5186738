"""Which start of an engine is accepted, of those that its registry rows name.

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

MAX_TRACKED_ENGINES = 4_096
"""Maximum number of engines whose starts are kept, including engines that are
gone; five times the engines of the largest fleet."""

CHALLENGE_S = 4.0
"""Time for which another start must be written, with no write of the accepted
one, before it replaces that one, in seconds. The registry drops an engine that
wrote nothing for some four seconds."""

CHALLENGE_ROWS = 4
"""Number of rows with different revisions in which the other start must appear.
One or two writes of a process that has ended may still arrive, seconds late."""


class StartVerdict(enum.Enum):
    """What happens to a row.

    STANDS: it has the accepted start. LATE: it is dropped. OVERTURNS: its start
    replaces the accepted one.
    """

    STANDS = "stands"
    LATE = "late"
    OVERTURNS = "overturns"


@dataclasses.dataclass(slots=True)
class _Challenge:
    """A start that was not accepted, and the rows that name it.

    Attributes:
        born_ms: The start.
        began_at: When its first row came; monotonic seconds.
        revision: Revision of the newest counted row; a row that is received
            again doesn't count.
        rows: Number of counted rows.
    """

    born_ms: int
    began_at: float
    revision: int
    rows: int = 1


@dataclasses.dataclass(slots=True)
class _Starts:
    """Starts of one engine.

    Attributes:
        accepted_start: The accepted one.
        distrusted_from: Starts from this one on are not accepted at once, since
            it was accepted before and was replaced by an earlier one. None if
            there is none.
        challenge: The start that may replace the accepted one, if any.
    """

    accepted_start: int
    distrusted_from: int | None = None
    challenge: _Challenge | None = None

    def is_credible(self, born_ms: int) -> bool:
        """Returns whether a start is accepted at once."""
        if born_ms < self.accepted_start:
            return False
        return self.distrusted_from is None or born_ms < self.distrusted_from

    def overturn(self, born_ms: int) -> None:
        """Replaces the accepted start."""
        self.distrusted_from = (
            self.accepted_start if born_ms < self.accepted_start else None
        )
        self.accepted_start = born_ms
        self.challenge = None


class EngineStarts:
    """Keeps the starts of all engines.

    Attributes:
        known: By engine; the least recently seen first.
    """

    def __init__(self) -> None:
        self.known: collections.OrderedDict[str, _Starts] = (
            collections.OrderedDict()
        )

    def accepted_start(self, engine: str) -> int:
        """Returns the accepted start; 0 if none is known."""
        known = self.known.get(engine)
        return known.accepted_start if known is not None else 0

    def judge(
        self, engine: str, born_ms: int, revision: int, now: float
    ) -> StartVerdict:
        """Classifies a row, and records its start.

        Args:
            engine: Name of the engine, which is the same for all its starts.
            born_ms: The start that the row names; 0 for none.
            revision: Revision of the row; it increases over the whole store.
            now: Monotonic seconds.
        """
        known = self.known.get(engine)
        if known is None:
            if born_ms:
                self._remember(engine, _Starts(born_ms))
            return StartVerdict.STANDS
        self._remember(engine, known)
        if known.is_credible(born_ms):
            known.accepted_start = born_ms
            known.challenge = None
            return StartVerdict.STANDS
        if self._is_proved(known, born_ms, revision, now):
            known.overturn(born_ms)
            return StartVerdict.OVERTURNS
        return StartVerdict.LATE

    def _remember(self, engine: str, starts: _Starts) -> None:
        self.known[engine] = starts
        self.known.move_to_end(engine)
        while len(self.known) > MAX_TRACKED_ENGINES:
            self.known.popitem(last=False)

    def _is_proved(
        self, known: _Starts, born_ms: int, revision: int, now: float
    ) -> bool:
        challenge = known.challenge
        if challenge is None or challenge.born_ms != born_ms:
            known.challenge = _Challenge(born_ms, now, revision)
            return False
        if revision > challenge.revision:
            challenge.revision = revision
            challenge.rows += 1
        return (
            challenge.rows >= CHALLENGE_ROWS
            and now - challenge.began_at >= CHALLENGE_S
        )


def create_engine_starts() -> EngineStarts:
    """Creates a record without any engine."""
    return EngineStarts()
