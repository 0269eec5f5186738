"""An in-memory table store whose calls a test can refuse, lose and delay."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum

import expression

from almondshift import errors
from almondshift.ports import stores
from almondshift.standins.platform import tables

Written = expression.Result[list[int], stores.StoreError]


class Outcome(enum.Enum):
    """What happens to one call."""

    OK = enum.auto()
    REFUSED = enum.auto()
    """Nothing happens, and the caller is told so."""
    LOST = enum.auto()
    """A write takes effect; its answer is lost."""
    DROPPED = enum.auto()
    """A write does not take effect; the caller gets an unknown outcome."""
    LATE = enum.auto()
    """Like ``DROPPED`` until ``apply_late_writes``; then it takes effect."""


MOSTLY_OK = [Outcome.OK] * 4 + [
    Outcome.REFUSED,
    Outcome.LOST,
    Outcome.DROPPED,
    Outcome.LATE,
]
"""Outcomes to draw from, so that most calls of a run succeed."""


@dataclasses.dataclass(slots=True)
class HeldAnswer:
    """An answer that is held back from a paused caller."""

    delivered: asyncio.Future[None]


class FakeTableStore(stores.TableStore):
    """One caller's view of shared tables.

    Attributes:
        outcomes: Outcomes of the next calls; ``OK`` once used up.
        down: Refuses all calls while set.
        paused: Holds back the answers to all calls while set, as if the
            process were suspended; calls still take effect when made.
        era: The newest era in any response delivered to this caller.
        reads: Number of reads and scans.
        writes: Number of transactions.
    """

    era: int = 0

    def __init__(self, shared: tables.MemoryTables | None = None) -> None:
        self.shared = shared or tables.MemoryTables()
        self.outcomes: collections.deque[Outcome] = collections.deque()
        self.down = False
        self.paused = False
        self.reads = 0
        self.writes = 0
        self.late: list[list[stores.Write]] = []
        self.held: list[HeldAnswer] = []
        self.era = 0

    async def read(
        self, table: str, key: str
    ) -> expression.Result[stores.Row | None, stores.StoreError]:
        self.reads += 1
        if self._next_outcome() is not Outcome.OK:
            return expression.Error(_unavailable())
        era, row = self.shared.era, self.shared.read(table, key)
        await self._delay_answer(era)
        return expression.Ok(row)

    async def scan(
        self, table: str, prefix: str, limit: int
    ) -> expression.Result[list[stores.Row], stores.StoreError]:
        self.reads += 1
        if self._next_outcome() is not Outcome.OK:
            return expression.Error(_unavailable())
        era, rows = self.shared.era, self.shared.scan(table, prefix, limit)
        await self._delay_answer(era)
        return expression.Ok(rows)

    async def transact(
        self, writes: list[stores.Write]
    ) -> expression.Result[list[int], stores.StoreError]:
        outdated = stores.outdated_condition(writes, self.era)
        if outdated is not None:
            return expression.Error(outdated)
        self.writes += 1
        outcome = self._next_outcome()
        if outcome is Outcome.REFUSED:
            return expression.Error(_unavailable())
        if outcome is Outcome.LATE:
            self.late.append(writes)
        if outcome in (Outcome.LATE, Outcome.DROPPED):
            await self._delay_answer()
            return expression.Error(_unknown())
        era, result = self.shared.era, self.shared.transact(writes)
        if outcome is Outcome.LOST:
            await self._delay_answer()
            return expression.Error(_unknown())
        await self._delay_answer(era)
        if result.is_error():
            return expression.Error(result.error)
        return stores.confirmed_in_era(writes, result.ok, era)

    def apply_late_writes(self) -> None:
        """Applies the late writes whose conditions hold."""
        for writes in self.late:
            self.shared.transact(writes)
        self.late.clear()

    def resume(self) -> None:
        """Ends a pause and delivers the held answers."""
        self.paused = False
        for held in self.held:
            if not held.delivered.done():
                held.delivered.set_result(None)
        self.held.clear()

    def _next_outcome(self) -> Outcome:
        if self.down:
            return Outcome.REFUSED
        return self.outcomes.popleft() if self.outcomes else Outcome.OK

    async def _delay_answer(self, era: int = 0) -> None:
        """Returns in the next cycle of the event loop, or when resumed.

        Args:
            era: The era that the answer names, if it is delivered.
        """
        await asyncio.sleep(0)
        if self.paused:
            future = asyncio.get_running_loop().create_future()
            self.held.append(HeldAnswer(future))
            await future
        self.era = max(self.era, era)


class FakeObjectStore(stores.ObjectStore):
    """Objects in memory."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False

    async def get(
        self, key: str
    ) -> expression.Result[bytes | None, stores.StoreError]:
        if self.down:
            return expression.Error(_unavailable())
        return expression.Ok(self.objects.get(key))

    async def put(
        self, key: str, content: bytes
    ) -> expression.Result[None, stores.StoreError]:
        if self.down:
            return expression.Error(_unavailable())
        self.objects[key] = content
        return expression.Ok(None)


def _unavailable() -> errors.StoreUnavailable:
    return errors.StoreUnavailable("The store is down.", retry_after_s=1.0)


def _unknown() -> errors.StoreOutcomeUnknown:
    return errors.StoreOutcomeUnknown("The answer was lost.")
