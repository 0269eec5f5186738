"""A lease: at most one holder at a time, with a fencing number.

The holder's deadline counts from before its renewal was sent, and a
contender waits for the whole duration after it has seen the row unchanged,
each on its own monotonic clock. So the holder's grant has ended before the
row can change hands, without any comparison of clocks. What is left are
clocks that run at different rates (``drift``) and clocks that stop with a
paused machine; for these the fencing number lets endpoints refuse.
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

FIRST_LOOK_S = 0.1
"""Interval, in seconds, at which a process that has just started and may not
contend checks whether it may; it reads nothing meanwhile."""

FIRST_LOOKS_S = 5.0
"""For how long it checks so often, in seconds; processes that start together
know by then which of them contend."""

LATER_LOOK_S = 0.5
"""Interval of these checks afterwards, in seconds; the cost of each grows with
the number of processes."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Times of a lease.

    Attributes:
        duration_s: Seconds that a grant lasts from before it was asked for.
        renew_s: Seconds between renewals by the holder.
        watch_s: Mean seconds between reads by the others; spread at random.
        idle_watch_s: The same while the holder is known to live.
        drift: Share by which two clocks may run apart over a duration.
    """

    duration_s: float = 6.0
    renew_s: float = 1.5
    watch_s: float = 2.0
    idle_watch_s: float = 2.0
    drift: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Permission to act until ``deadline``.

    Attributes:
        fencing: Grows with each grant to a new holder.
        deadline: Monotonic seconds on this process's clock.
    """

    fencing: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """What the row of a lease says.

    Attributes:
        holder: Name of the holder, for people.
        token: Random id of the holder's process.
        renewal: Number of the holder's request that wrote the row.
        fencing: Fencing number of the present or last grant.
        duration_s: Duration that the holder counts with.
        released: Whether the holder gave it back.
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
    """Returns what a row of the table says."""
    return LeaseRow(
        holder=str(row.value["holder"]),
        token=str(row.value["token"]),
        renewal=int(row.value["renewal"]),
        fencing=int(row.value["fencing"]),
        duration_s=float(row.value["duration_s"]),
        released=bool(row.value["released"]),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """A revision of another's row, and when it was first seen."""

    revision: int
    seen_at: float


class Lease:
    """One process's part in a lease.

    Attributes:
        own_revision: Revision of this process's last write, while no write
            since is of unknown outcome; None makes the next step read.
        holder: Name of the last known holder, ``""`` if none; for people.
        may_contend: Whether this process takes part at present; a few of many
            are enough, and each costs reads.
        is_holder_alive: Whether the named holder is known to live by other
            means; only spares reads, and takes no part in who may hold.
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
        self.held: LeaseGrant | None = None
        self.sighting: Sighting | None = None
        self.renewal = 0
        self.own_revision: int | None = None
        self.sent_at: dict[int, float] = {}
        self.closing = False
        self.started_at = -math.inf
        self.read_at = -math.inf
        self.is_renewed = True
        self.may_contend: Callable[[], bool] = lambda: True
        self.is_holder_alive: Callable[[str], bool] = lambda holder: False
        self.loop_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to acquire, renew or watch the lease."""
        self.started_at = self.clock.monotonic()
        self.loop_task = asyncio.create_task(self._loop())

    async def close(self) -> None:
        """Ends the grant and then gives the lease back; once."""
        if self.closing:
            return
        self.closing = True
        if self.loop_task is not None:
            self.loop_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.loop_task
            self.loop_task = None
        self.held = None
        await self._release()

    def grant(self) -> LeaseGrant | None:
        """Returns the grant if it is valid right now.

        Ask again right before each order: a process that was paused past
        its deadline learns of it only here.
        """
        if self.held is None or self.clock.monotonic() >= self.held.deadline:
            return None
        return self.held

    async def step(self) -> None:
        """Acquires or renews if that is possible.

        A holder renews by one conditional write on its own last revision:
        a read before it would double the holder's calls, and the condition
        fails if anybody else wrote meanwhile.
        """
        grant = self.grant()
        if grant is not None and self.own_revision is not None:
            await self._write(self.own_revision, grant.fencing)
            return
        read = await self.store.read(TABLE, self.name)
        if read.is_error():
            return
        seen_at = self.clock.monotonic()
        if read.ok is None:
            await self._write(stores.ABSENT, fencing=1)
            return
        row = read_row(read.ok)
        self.holder = "" if row.released else row.holder
        if row.token == self.token and not row.released:
            await self._renew(row, read.ok.revision)
            return
        self.held = None
        known = self.sighting
        self.is_renewed = known is None or known.revision != read.ok.revision
        if self._may_take(row, read.ok.revision, seen_at):
            await self._write(read.ok.revision, fencing=row.fencing + 1)

    def _may_take(self, row: LeaseRow, revision: int, seen_at: float) -> bool:
        """Returns whether the holder's grant has ended for certain.

        A contender that took over on the age of the row, or on its clock
        against a time in the row, could act beside a holder that renewed
        meanwhile. The holder sent its last renewal before this process saw
        it, so that a full duration after the first sight is enough.
        """
        if row.released:
            return True
        if self.sighting is None or self.sighting.revision != revision:
            self.sighting = Sighting(revision, seen_at)
            return False
        waited_s = seen_at - self.sighting.seen_at
        return waited_s >= row.duration_s * (1.0 + self.settings.drift)

    async def _renew(self, row: LeaseRow, revision: int) -> None:
        """Writes the own row again, also after a lost answer.

        The row may hold an own request whose answer was lost; its grant
        counts from before that request. After the deadline the number
        grows, so that orders from before and after it can be told apart.
        """
        self._hold(row.fencing, row.renewal)
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
            # Held again under the same number, orders from before and after
            # the gap could not be told apart. The next step takes a new one.
            self.sent_at.pop(renewal, None)
        elif written.is_ok():
            self.own_revision = written.ok[0]
            self.holder = self.owner
            self._hold(fencing, renewal)
        elif written.is_error() and isinstance(
            written.error, errors.ConditionFailed
        ):
            self.sent_at.pop(renewal, None)

    def _has_lapsed(self, fencing: int) -> bool:
        """Returns whether the grant with this number has ended."""
        held = self.held
        return (
            held is not None
            and held.fencing == fencing
            and self.grant() is None
        )

    def _hold(self, fencing: int, renewal: int) -> None:
        sent_at = self.sent_at.get(renewal)
        if sent_at is None or self.closing:
            return
        deadline = sent_at + self.settings.duration_s
        if self.held is None or deadline >= self.held.deadline:
            self.held = LeaseGrant(fencing, deadline)
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
            if not self._may_skip():
                self.read_at = self.clock.monotonic()
                await self.step()
            await self.clock.sleep(self._pause_s())

    def _may_skip(self) -> bool:
        """Returns whether a read can wait, since others watch the row.

        A holder may live and yet have lost the store; its row then stands
        still, and has to be watched closely to be taken over in time.
        """
        if not self.may_contend():
            return self.held is None
        if self.held is not None or not self.holder or not self.is_renewed:
            return False
        if self.holder == self.owner or not self.is_holder_alive(self.holder):
            return False
        since_s = self.clock.monotonic() - self.read_at
        return since_s < self.settings.idle_watch_s

    def _pause_s(self) -> float:
        if self.grant() is not None:
            return self.settings.renew_s
        if self.read_at == -math.inf:
            since_s = self.clock.monotonic() - self.started_at
            return FIRST_LOOK_S if since_s < FIRST_LOOKS_S else LATER_LOOK_S
        return self.settings.watch_s * self.rng.uniform(0.5, 1.5)


def create_lease(
    store: stores.TableStore,
    clock: clocks.Clock,
    rng: random.Random,
    name: str,
    holder: str,
    settings: LeaseSettings | None = None,
) -> Lease:
    """Creates a part in a lease; ``start`` begins to contend for it.

    Args:
        store: Where the row of the lease is.
        clock: Its monotonic time bounds the grant.
        rng: Spreads the reads and draws the token of this process; must
            differ between processes.
        name: Key of the lease.
        holder: Name of this process, for people.
        settings: None for the defaults.
    """
    return Lease(store, clock, rng, name, holder, settings or LeaseSettings())
