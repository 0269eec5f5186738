"""A lease with at most one holder at a time and a fencing token.

The holder's deadline counts from before its renewal was sent, and a
contender waits for the whole duration after it first saw the row unchanged,
each on its own monotonic clock. So the holder's grant has expired before
another process can take the lease, without comparing clocks. The remaining
risks are clocks that run at different rates (see ``max_clock_drift``) and
clocks that stop with a paused machine; in these cases endpoints reject stale
tokens.
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
    """

    holder: str
    token: str
    renewal: int
    fencing: int
    duration_s: float
    released: bool

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
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRevision:
    """A revision written by another process, and when it was first seen."""

    revision: int
    seen_at: float


class Lease:
    """One process's participation in a lease.

    Attributes:
        own_revision: Revision of this process's last write. None if that is
            not known, e.g. while the outcome of a later write is unknown; the
            next step then reads the row.
        holder: Name of the last known holder, ``""`` if none; for display.
        may_contend: Returns whether this process currently contends; a few
            of many suffice, and each causes reads.
        may_hold: Returns whether this process can currently act as the holder.
            If not, it releases the lease and does not take it.
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
        self.sent_at: dict[int, float] = {}
        self.closing = False
        self.started_at = -math.inf
        self.last_read_at = -math.inf
        self.is_holder_renewing = True
        self.may_contend: Callable[[], bool] = lambda: True
        self.may_hold: Callable[[], bool] = lambda: True
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
        condition fails if another process wrote in the meantime.
        """
        grant = self.grant()
        if grant is not None and not self.may_hold():
            self.current_grant = None
            self.own_revision = None
            await self._release()
            return
        if grant is not None and self.own_revision is not None:
            await self._write(self.own_revision, grant.fencing)
            return
        read = await self.store.read(TABLE, self.name)
        if read.is_error():
            return
        seen_at = self.clock.monotonic()
        if read.ok is None:
            if self.may_hold():
                await self._write(stores.ABSENT, fencing=1)
            return
        row = read_row(read.ok)
        self.holder = "" if row.released else row.holder
        if not self.may_hold():
            self.current_grant = None
            return
        if row.token == self.token and not row.released:
            await self._renew(row, read.ok.revision)
            return
        self.current_grant = None
        known = self.observed
        self.is_holder_renewing = (
            known is None or known.revision != read.ok.revision
        )
        if self._may_take(row, read.ok.revision, seen_at):
            await self._write(read.ok.revision, fencing=row.fencing + 1)

    def _may_take(self, row: LeaseRow, revision: int, seen_at: float) -> bool:
        """Returns whether the holder's grant has certainly expired.

        If a contender took over based on the age of the row, or by comparing
        its clock to a time in the row, it could act concurrently with a
        holder that has renewed since. The holder sent its last renewal before
        this process saw it, so a full duration after first seeing it is
        enough.
        """
        if row.released:
            return True
        if self.observed is None or self.observed.revision != revision:
            self.observed = ObservedRevision(revision, seen_at)
            return False
        waited_s = seen_at - self.observed.seen_at
        return waited_s >= row.duration_s * (
            1.0 + self.settings.max_clock_drift
        )

    async def _renew(self, row: LeaseRow, revision: int) -> None:
        """Renews this process's row, also after a lost response.

        The row may come from a request of this process whose response was lost;
        its grant counts from before that request. After the deadline the
        fencing token is incremented, to distinguish orders from before and
        after it.
        """
        self._extend_grant(row.fencing, row.renewal)
        fencing = row.fencing if self.grant() is not None else row.fencing + 1
        await self._write(revision, fencing)

    async def _write(self, revision: int, fencing: int) -> None:
        self.renewal += 1
        renewal = self.renewal
        self.own_revision = None
        self.sent_at[renewal] = self.clock.monotonic()
        row = self._row(renewal, fencing, released=False)
        write = stores.Write(TABLE, self.name, row.to_value(), revision)
        written = await self.store.transact([write])
        if self._has_lapsed(fencing):
            # With the same fencing token, orders from before and after the gap
            # could not be distinguished. The next step uses a new token.
            self.sent_at.pop(renewal, None)
        elif written.is_ok():
            self.own_revision = written.ok[0]
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
        row = read_row(read.ok)
        if row.token != self.token or row.released:
            return
        released = self._row(row.renewal, row.fencing, released=True)
        write = stores.Write(
            TABLE, self.name, released.to_value(), read.ok.revision
        )
        await self.store.transact([write])

    def _row(self, renewal: int, fencing: int, released: bool) -> LeaseRow:
        return LeaseRow(
            holder=self.owner,
            token=self.token,
            renewal=renewal,
            fencing=fencing,
            duration_s=self.settings.duration_s,
            released=released,
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
