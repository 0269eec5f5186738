"""Which start of an engine stands, of those that its rows name.

Load pattern: engines start again under the name that they had, and a write of
the former start may reach the store after the first of the new one. So a later
start goes before an earlier one. But others write to the registry too: a row
under an engine's name with a start that never was, or that lies in the future,
would be the latest for ever, and the engine's own rows would be dropped as
late. What tells the two apart is that an engine which lives goes on writing.

Grounds: no node's time of day is asked, since it jumps; a bound on starts that
lie in the future would drop all engines where it jumped back.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

STARTS_KEPT = 4_096
"""Engines whose starts are remembered, also those that are gone; five times
the engines of the largest fleet."""

CONTEST_S = 4.0
"""A start that does not stand must be written for so long, while the one that
stands is not written at all. The registry drops an engine that wrote nothing
for some four seconds."""

CONTEST_ROWS = 4
"""It must be written so often, each time anew: of a process that has ended one
write or two may still be on their way, seconds late."""


class StartVerdict(enum.Enum):
    """What becomes of a row."""

    STANDS = "stands"
    LATE = "late"
    OVERTURNS = "overturns"


@dataclasses.dataclass(slots=True)
class _Contest:
    """A start that doesn't stand and whose engine seems to live.

    Attributes:
        revision: Of the newest row counted; one that is told again is none.
    """

    born_ms: int
    began_at: float
    revision: int
    rows: int = 1


@dataclasses.dataclass(slots=True)
class _Starts:
    """Starts of one engine.

    Attributes:
        standing: The one that stands.
        refuted: Starts from this one on have to prove themselves too, since
            it had stood and was overturned; None for none.
    """

    standing: int
    refuted: int | None = None
    contest: _Contest | None = None

    def is_credible(self, born_ms: int) -> bool:
        """Returns whether a start stands at once."""
        if born_ms < self.standing:
            return False
        return self.refuted is None or born_ms < self.refuted

    def overturn(self, born_ms: int) -> None:
        """Lets a start stand that has proved itself."""
        self.refuted = self.standing if born_ms < self.standing else None
        self.standing = born_ms
        self.contest = None


class EngineStarts:
    """The starts of all engines."""

    def __init__(self) -> None:
        self.known: collections.OrderedDict[str, _Starts] = (
            collections.OrderedDict()
        )

    def standing(self, engine: str) -> int:
        """Returns the start that stands; 0 if none is known."""
        known = self.known.get(engine)
        return known.standing if known is not None else 0

    def judge(
        self, engine: str, born_ms: int, revision: int, now: float
    ) -> StartVerdict:
        """Judges a row, and notes what it shows.

        Args:
            engine: The engine's own name.
            born_ms: The start that the row names; 0 for none.
            revision: Of the row; grows over the whole store.
            now: Monotonic seconds.
        """
        known = self.known.get(engine)
        if known is None:
            if born_ms:
                self._keep(engine, _Starts(born_ms))
            return StartVerdict.STANDS
        self._keep(engine, known)
        if known.is_credible(born_ms):
            known.standing = born_ms
            known.contest = None
            return StartVerdict.STANDS
        if self._is_proved(known, born_ms, revision, now):
            known.overturn(born_ms)
            return StartVerdict.OVERTURNS
        return StartVerdict.LATE

    def _keep(self, engine: str, starts: _Starts) -> None:
        self.known[engine] = starts
        self.known.move_to_end(engine)
        while len(self.known) > STARTS_KEPT:
            self.known.popitem(last=False)

    def _is_proved(
        self, known: _Starts, born_ms: int, revision: int, now: float
    ) -> bool:
        contest = known.contest
        if contest is None or contest.born_ms != born_ms:
            known.contest = _Contest(born_ms, now, revision)
            return False
        if revision > contest.revision:
            contest.revision = revision
            contest.rows += 1
        return (
            contest.rows >= CONTEST_ROWS and now - contest.began_at >= CONTEST_S
        )


def create_engine_starts() -> EngineStarts:
    """Creates an account that knows of no engine."""
    return EngineStarts()
