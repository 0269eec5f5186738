"""A lease with at most one holder at a time and a fencing token.

The holder's deadline counts from before its renewal was sent, and a
contender waits for the whole duration after it first saw the row unchanged,
each on its own monotonic clock. So the holder's grant has expired before
another process can take the lease, without comparing clocks. The remaining
risks are clocks that run at different rates (see ``max_clock_drift``) and
clocks that stop with a paused machine; in these cases endpoints reject stale
tokens.

The store may return from an older copy, in a new era. A row of an earlier era
then shows neither who holds the lease nor that nobody does: a contender waits
for the whole duration from when it first saw it in the new era. A holder whose
grant is still valid writes its row again.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
from typing import TYPE_CHECKING

from almondshift import errors
from almondshift.ports import stores

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from almondshift.ports import clocks

TABLE = "leases"
TOKEN_BITS = 64

TOKENS_PER_ERA = 1_000_000
"""Fencing tokens of an era start above this number times the era, as those of
earlier eras may be lost with the store's rows."""

STARTUP_CHECK_INTERVAL_S = 0.1
"""Interval, in seconds, at which a process that has just started and may not
contend for the lease checks again whether it may; it doesn't read the row
before that."""

STARTUP_CHECK_PERIOD_S = 5.0
"""How long it checks at that interval, in seconds; processes that start
together know by then which of them contend."""

CONTEND_CHECK_INTERVAL_S = 0.5
"""Interval of these checks afterwards, in seconds; the cost of each grows with
the number of processes."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Timing of a lease.

    Attributes:
        duration_s: Seconds that a grant lasts, counted from before the
            request was sent.
        renew_s: Seconds between renewals by the holder.
        watch_s: Mean seconds between reads by contenders, with jitter.
        idle_watch_s: The same while the holder is known to be alive.
        max_clock_drift: Largest relative difference between the rates of two
            clocks.
    """

    duration_s: float = 6.0
    renew_s: float = 1.5
    watch_s: float = 2.0
    idle_watch_s: float = 2.0
    max_clock_drift: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Permission to act until ``deadline``.

    Attributes:
        fencing: Fencing token; increases with each grant to a new holder.
        deadline: Monotonic seconds on this process's clock.
    """

    fencing: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """Content of a lease's row.

    Attributes:
        holder: Name of the holder, for display.
        token: Random id of the holder's process.
        renewal: Sequence number of the holder's request that wrote the row.
        fencing: Fencing token of the current or last grant.
        duration_s: Duration that the holder uses.
        released: Whether the holder released the lease.
        era: Era of the store for which the row was written.
    """

    holder: str
    token: str
    renewal: int
    fencing: int
    duration_s: float
    released: bool
    era: int = 0

    def to_value(self) -> dict[str, object]:
        """Returns the JSON object of the row."""
        return dataclasses.asdict(self)


def read_row(row: stores.Row) -> LeaseRow:
    """Parses the row of a lease."""
    return LeaseRow(
        holder=str(row.value["holder"]),
        token=str(row.value["token"]),
        renewal=int(row.value["renewal"]),
        fencing=int(row.value["fencing"]),
        duration_s=float(row.value["duration_s"]),
        released=bool(row.value["released"]),
        era=int(row.value.get("era", 0)),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRevision:
    """A revision written by another process, and when it was first seen.

    Attributes:
        era: Era of the store in which it was seen.
        revision: ``ABSENT`` if there was no row.
    """

    era: int
    revision: int
    seen_at: float


class Lease:
    """One process's participation in a lease.

    Attributes:
        own_revision: Revision of this process's last write. None if that is
            not known, e.g. while the outcome of a later write is unknown; the
            next step then reads the row.
        own_era: Era of the store in which ``own_revision`` was written.
        highest_token: Highest fencing token seen.
        holder: Name of the last known holder, ``""`` if none; for display.
        may_contend: Returns whether this process currently contends; a few
            of many suffice, and each causes reads.
        may_hold: Returns whether this process can currently act as the holder.
            If not, it releases the lease and does not take it.
        may_take_absent: Returns whether a missing row shows that nobody has
            held the lease; the store may also have lost it.
        is_holder_alive: Returns whether the named holder is known to be alive
            by other means; used only to save reads, never to decide who may
            hold the lease.
    """

    def __init__(
        self,
        store: stores.TableStore,
        clock: clocks.Clock,
        rng: random.Random,
        name: str,
        owner: str,
        settings: LeaseSettings,
    ) -> None:
        self.store = store
        self.clock = clock
        self.rng = rng
        self.name = name
        self.owner = owner
        self.settings = settings
        self.token = f"{owner}/{rng.getrandbits(TOKEN_BITS):016x}"
        self.holder = ""
        self.current_grant: LeaseGrant | None = None
        self.observed: ObservedRevision | None = None
        self.renewal = 0
        self.own_revision: int | None = None
        self.own_era = 0
        self.first_era: int | None = None
        self.highest_token = 0
        self.sent_at: dict[int, float] = {}
        self.closing = False
        self.started_at = -math.inf
        self.last_read_at = -math.inf
        self.is_holder_renewing = True
        self.may_contend: Callable[[], bool] = lambda: True
        self.may_hold: Callable[[], bool] = lambda: True
        self.may_take_absent: Callable[[], bool] = lambda: True
        self.is_holder_alive: Callable[[str], bool] = lambda holder: False
        self.loop_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the task that acquires, renews or watches the lease."""
        self.started_at = self.clock.monotonic()
        self.loop_task = asyncio.create_task(self._loop())

    async def close(self) -> None:
        """Ends the grant, then releases the lease; idempotent."""
        if self.closing:
            return
        self.closing = True
        if self.loop_task is not None:
            self.loop_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.loop_task
            self.loop_task = None
        self.current_grant = None
        await self._release()

    def grant(self) -> LeaseGrant | None:
        """Returns the grant if it is valid right now.

        Call it immediately before each order: only this check notices that
        the process was paused past its deadline.
        """
        if (
            self.current_grant is None
            or self.clock.monotonic() >= self.current_grant.deadline
        ):
            return None
        return self.current_grant

    async def step(self) -> None:
        """Acquires or renews the lease if possible.

        A holder renews by one write that is conditional on its own last
        revision. Reading first would double the holder's calls, and the
        condition fails if another process wrote in the meantime. It reads the
        row in a new era of the store, which may have lost it.
        """
        grant = self.grant()
        if grant is not None and not self.may_hold():
            self.current_grant = None
            self.own_revision = None
            await self._release()
            return
        if (
            grant is not None
            and self.own_revision is not None
            and self.own_era == self.store.era
        ):
            await self._write(self.own_revision, self.own_era, grant.fencing)
            return
        read = await self.store.read(TABLE, self.name)
        if read.is_error():
            return
        era = self.store.era
        if read.ok is not None and read.ok.era != era:
            # The response was overtaken by one of a later era.
            return
        row = None if read.ok is None else read_row(read.ok)
        revision = stores.ABSENT if read.ok is None else read.ok.revision
        if row is None or row.era != era:
            await self._step_without_row(row, revision, era)
        else:
            await self._step_with_row(row, revision, era)

    async def _step_with_row(
        self, row: LeaseRow, revision: int, era: int
    ) -> None:
        """Acquires or renews the lease by a row of the store's era."""
        self._note_row(row, era)
        if not self.may_hold():
            self.current_grant = None
            return
        if row.token == self.token and not row.released:
            await self._renew(row, revision, era)
            return
        self.current_grant = None
        if row.released or self._has_expired(row.duration_s, revision, era):
            await self._write(revision, era, self._next_token(era))

    async def _step_without_row(
        self, row: LeaseRow | None, revision: int, era: int
    ) -> None:
        """Acquires or keeps the lease without a row of the store's era.

        Args:
            row: A row of an earlier era; None if there is no row.
            revision: Its revision, or ``ABSENT``.
            era: The store's era.
        """
        is_first_era = self.first_era in (None, era)
        self._note_row(row, era)
        if not self.may_hold():
            self.current_grant = None
            return
        grant = self.grant()
        if grant is not None:
            await self._write(revision, era, grant.fencing)
            return
        self.current_grant = None
        is_new = row is None and is_first_era and self.may_take_absent()
        duration_s = self.settings.duration_s
        if row is not None:
            duration_s = max(duration_s, row.duration_s)
        if is_new or self._has_expired(duration_s, revision, era):
            await self._write(revision, era, self._next_token(era))

    def _note_row(self, row: LeaseRow | None, era: int) -> None:
        """Records who holds the lease, and the highest token."""
        if self.first_era is None:
            self.first_era = era
        if row is None:
            return
        self.highest_token = max(self.highest_token, row.fencing)
        self.holder = "" if row.released else row.holder

    def _next_token(self, era: int) -> int:
        """Returns a token above all tokens that any process has seen."""
        return max(self.highest_token, era * TOKENS_PER_ERA) + 1

    def _has_expired(self, duration_s: float, revision: int, era: int) -> bool:
        """Returns whether the holder's grant has certainly expired.

        If a contender took over based on the age of the row, or by comparing
        its clock to a time in the row, it could act concurrently with a
        holder that has renewed since. The holder sent its last renewal before
        this process saw it, or before the store was restored, so a full
        duration after first seeing it in this era is enough.
        """
        seen_at = self.clock.monotonic()
        known = self.observed
        self.is_holder_renewing = known is None or (
            (known.era, known.revision) != (era, revision)
        )
        if known is None or self.is_holder_renewing:
            self.observed = ObservedRevision(era, revision, seen_at)
            return False
        waited_s = seen_at - known.seen_at
        return waited_s >= duration_s * (1.0 + self.settings.max_clock_drift)

    async def _renew(self, row: LeaseRow, revision: int, era: int) -> None:
        """Renews this process's row, also after a lost response.

        The row may come from a request of this process whose response was lost;
        its grant counts from before that request. After the deadline the
        fencing token is incremented, to distinguish orders from before and
        after it.
        """
        self._extend_grant(row.fencing, row.renewal)
        is_valid = self.grant() is not None
        fencing = row.fencing if is_valid else self._next_token(era)
        await self._write(revision, era, fencing)

    async def _write(self, revision: int, era: int, fencing: int) -> None:
        self.renewal += 1
        renewal = self.renewal
        self.own_revision = None
        self.sent_at[renewal] = self.clock.monotonic()
        self.highest_token = max(self.highest_token, fencing)
        row = self._row(renewal, fencing, era, released=False)
        write = stores.Write(TABLE, self.name, row.to_value(), revision, era)
        written = await self.store.transact([write])
        if self._has_lapsed(fencing):
            # With the same fencing token, orders from before and after the gap
            # could not be distinguished. The next step uses a new token.
            self.sent_at.pop(renewal, None)
        elif written.is_ok():
            self.own_revision, self.own_era = written.ok[0], era
            self.holder = self.owner
            self._extend_grant(fencing, renewal)
        elif written.is_error() and isinstance(
            written.error, errors.ConditionFailed
        ):
            self.sent_at.pop(renewal, None)

    def _has_lapsed(self, fencing: int) -> bool:
        """Returns whether the grant with this fencing token has expired."""
        grant = self.current_grant
        return (
            grant is not None
            and grant.fencing == fencing
            and self.grant() is None
        )

    def _extend_grant(self, fencing: int, renewal: int) -> None:
        sent_at = self.sent_at.get(renewal)
        if sent_at is None or self.closing:
            return
        deadline = sent_at + self.settings.duration_s
        if (
            self.current_grant is None
            or deadline >= self.current_grant.deadline
        ):
            self.current_grant = LeaseGrant(fencing, deadline)
        self.sent_at = {
            number: at
            for number, at in self.sent_at.items()
            if number >= renewal
        }

    async def _release(self) -> None:
        read = await self.store.read(TABLE, self.name)
        if read.is_error() or read.ok is None:
            return
        row, era = read_row(read.ok), read.ok.era
        if row.token != self.token or row.released or row.era != era:
            return
        released = self._row(row.renewal, row.fencing, era, released=True)
        write = stores.Write(
            TABLE, self.name, released.to_value(), read.ok.revision, era
        )
        await self.store.transact([write])

    def _row(
        self, renewal: int, fencing: int, era: int, released: bool
    ) -> LeaseRow:
        return LeaseRow(
            holder=self.owner,
            token=self.token,
            renewal=renewal,
            fencing=fencing,
            duration_s=self.settings.duration_s,
            released=released,
            era=era,
        )

    async def _loop(self) -> None:
        while True:
            if not self._can_skip_read():
                self.last_read_at = self.clock.monotonic()
                await self.step()
            await self.clock.sleep(self._loop_delay_s())

    def _can_skip_read(self) -> bool:
        """Returns whether the read of this iteration can be skipped.

        The holder may be alive but unable to reach the store. Its row then
        stays unchanged and has to be watched closely, so that the lease is
        taken over in time.
        """
        if not self.may_contend():
            return self.current_grant is None
        if (
            self.current_grant is not None
            or not self.holder
            or not self.is_holder_renewing
        ):
            return False
        if self.holder == self.owner or not self.is_holder_alive(self.holder):
            return False
        since_s = self.clock.monotonic() - self.last_read_at
        return since_s < self.settings.idle_watch_s

    def _loop_delay_s(self) -> float:
        if self.grant() is not None:
            return self.settings.renew_s
        if self.last_read_at == -math.inf:
            since_s = self.clock.monotonic() - self.started_at
            return (
                STARTUP_CHECK_INTERVAL_S
                if since_s < STARTUP_CHECK_PERIOD_S
                else CONTEND_CHECK_INTERVAL_S
            )
        return self.settings.watch_s * self.rng.uniform(0.5, 1.5)


def create_lease(
    store: stores.TableStore,
    clock: clocks.Clock,
    rng: random.Random,
    name: str,
    holder: str,
    settings: LeaseSettings | None = None,
) -> Lease:
    """Creates a participant in a lease; ``start`` makes it contend.

    Args:
        store: Holds the row of the lease.
        clock: Its monotonic time bounds the grant.
        rng: Jitters the reads and generates the token of this process; must
            differ between processes.
        name: Key of the lease.
        holder: Name of this process, for display.
        settings: None for the defaults.
    """
    return Lease(store, clock, rng, name, holder, settings or LeaseSettings())
