from __future__ import annotations

import asyncio
import random

from hypothesis import stateful
from hypothesis import strategies
import pytest

from almondshift.coordination import lease
from almondshift.ports import clocks as clock_ports
from almondshift.standins.platform import tables
from tests.fakes import clocks
from tests.fakes import machines
from tests.fakes import tables as fake_tables

Outcome = fake_tables.Outcome
SETTINGS = lease.LeaseSettings(duration_s=6.0, max_clock_drift=0.05)


class SkewedClock(clock_ports.Clock):
    """A clock with its own origin and rate, as on a separate machine."""

    def __init__(
        self, true: clocks.VirtualClock, origin: float, rate: float
    ) -> None:
        self.true = true
        self.origin = origin
        self.rate = rate

    def monotonic(self) -> float:
        return self.origin + self.rate * self.true.now

    def wall(self) -> float:
        return self.true.wall()

    async def sleep(self, seconds: float) -> None:
        await self.true.sleep(seconds / self.rate)


class Cluster:
    """Contenders for one lease over shared tables."""

    def __init__(self, rates: tuple[float, ...] = (1.0, 1.0)) -> None:
        self.clock = clocks.VirtualClock()
        shared = tables.MemoryTables()
        self.stores = [fake_tables.FakeTableStore(shared) for _ in rates]
        self.leases = [
            lease.create_lease(
                self.stores[i],
                SkewedClock(self.clock, 50.0 * i, rate),
                random.Random(i),
                "control",
                f"n{i}",
                SETTINGS,
            )
            for i, rate in enumerate(rates)
        ]

    def fencing(self, index: int) -> int:
        grant = self.leases[index].grant()
        return 0 if grant is None else grant.fencing


def test_contender_waits_out_a_silent_holder() -> None:
    # The holder stops renewing. There is no holder until a contender has seen
    # the row unchanged for the whole duration; its fencing token is higher.
    async def case() -> None:
        cluster = Cluster()
        first, second = cluster.leases
        await first.step()
        assert cluster.fencing(0) == 1
        await second.step()
        await cluster.clock.advance(6.0)
        await second.step()
        assert (cluster.fencing(0), cluster.fencing(1)) == (0, 0)
        await cluster.clock.advance(0.4)
        await second.step()
        assert cluster.fencing(1) == 2

    asyncio.run(case())


def test_holder_that_can_no_longer_act_releases_the_lease() -> None:
    """Guards against a holder whose orders reach no endpoint."""

    async def case() -> None:
        cluster = Cluster()
        first, second = cluster.leases
        await first.step()
        assert cluster.fencing(0) == 1
        first.may_hold = lambda: False
        await first.step()
        assert cluster.fencing(0) == 0
        await second.step()
        assert cluster.fencing(1) == 2
        await first.step()
        assert cluster.fencing(0) == 0
        assert cluster.fencing(1) == 2

    asyncio.run(case())


def test_process_that_may_not_contend_rarely_checks_again() -> None:
    """Each check lists all nodes; hundreds would do that 10 times/s."""

    async def case() -> None:
        cluster = Cluster(rates=(1.0,))
        [contender] = cluster.leases
        checks: list[float] = []
        may_contend = False

        def check() -> bool:
            checks.append(cluster.clock.now)
            return may_contend

        contender.may_contend = check
        await contender.start()
        started_at = cluster.clock.now
        for _ in range(300):
            await cluster.clock.advance(0.1)
        first = [at for at in checks if at - started_at < 1.0]
        later = [at for at in checks if at - started_at >= 10.0]
        assert len(first) >= 9
        assert len(later) <= 20.0 / lease.CONTEND_CHECK_INTERVAL_S + 1
        may_contend = True
        for _ in range(10):
            await cluster.clock.advance(0.1)
        assert cluster.fencing(0) == 1
        await contender.close()

    asyncio.run(case())


def test_holder_renews_by_one_call() -> None:
    """Reads by the holder would double the load of a lease on the store.

    The holder's write is conditional on its own last revision. After a renewal
    whose response is lost it reads the row, and keeps its grant with the same
    fencing token.
    """

    async def case() -> None:
        cluster = Cluster()
        first, store = cluster.leases[0], cluster.stores[0]
        await first.step()
        reads, writes = store.reads, store.writes
        for _ in range(3):
            await cluster.clock.advance(1.0)
            await first.step()
        assert (store.reads, store.writes) == (reads, writes + 3)
        store.outcomes.append(Outcome.LOST)
        await first.step()
        await cluster.clock.advance(1.0)
        await first.step()
        assert (store.reads, store.writes) == (reads + 1, writes + 5)
        assert cluster.fencing(0) == 1

    asyncio.run(case())


def test_renewal_restarts_the_wait() -> None:
    async def case() -> None:
        cluster = Cluster()
        first, second = cluster.leases
        for _ in range(10):
            await first.step()
            await second.step()
            await cluster.clock.advance(3.0)
            assert (cluster.fencing(0), cluster.fencing(1)) == (1, 0)

    asyncio.run(case())


def test_release_hands_over_at_once() -> None:
    async def case() -> None:
        cluster = Cluster()
        first, second = cluster.leases
        await first.step()
        await second.step()
        await first.close()
        assert cluster.fencing(0) == 0
        await second.step()
        assert cluster.fencing(1) == 2

    asyncio.run(case())


@pytest.mark.parametrize("frozen_s", [5.0, 6.0, 100.0])
def test_deadline_counts_from_before_the_renewal_was_sent(
    frozen_s: float,
) -> None:
    # The renewal takes effect, but the holder is frozen before it gets the
    # response. When it thaws, it may act only for the rest of the duration,
    # counted from when it sent the request, since contenders may count their
    # wait from then on.
    async def case() -> None:
        cluster = Cluster()
        first = cluster.leases[0]
        cluster.stores[0].paused = True
        step = asyncio.create_task(first.step())
        await clocks.settle()
        cluster.stores[0].paused = False
        cluster.stores[0].held.pop().delivered.set_result(None)
        cluster.stores[0].paused = True
        await clocks.settle()
        await cluster.clock.advance(frozen_s)
        cluster.stores[0].resume()
        await step
        assert cluster.fencing(0) == (1 if frozen_s < 6.0 else 0)

    asyncio.run(case())


def test_frozen_holder_has_no_grant_once_thawed() -> None:
    # The holder is frozen past its deadline and another process takes over.
    # After the thaw it has no grant, even before it reads or writes anything.
    async def case() -> None:
        cluster = Cluster()
        first, second = cluster.leases
        await first.step()
        await second.step()
        await cluster.clock.advance(7.0)
        await second.step()
        assert (cluster.fencing(0), cluster.fencing(1)) == (0, 2)
        await first.step()
        assert (cluster.fencing(0), cluster.fencing(1)) == (0, 2)

    asyncio.run(case())


@pytest.mark.parametrize("lost", [Outcome.LOST, Outcome.LATE])
def test_lost_answer_is_read_back_by_own_token(lost: Outcome) -> None:
    # The response to the acquisition is lost after it took effect. The holder
    # finds its own token and has a grant with the first request's deadline.
    async def case() -> None:
        cluster = Cluster()
        first = cluster.leases[0]
        cluster.stores[0].outcomes.extend([Outcome.OK, lost])
        await first.step()
        assert cluster.fencing(0) == 0
        cluster.stores[0].apply_late_writes()
        cluster.stores[0].outcomes.extend([Outcome.OK, Outcome.REFUSED])
        await cluster.clock.advance(2.0)
        await first.step()
        grant = first.grant()
        assert grant is not None
        assert grant.deadline == first.clock.monotonic() + 4.0

    asyncio.run(case())


def test_loop_renews_and_another_takes_over_after_a_crash() -> None:
    async def case() -> None:
        cluster = Cluster()
        first, second = cluster.leases
        await first.start()
        await clocks.settle()
        await second.start()
        for _ in range(40):
            await cluster.clock.advance(0.5)
            assert cluster.fencing(0) == 1
        cluster.stores[0].down = True
        await cluster.clock.advance(12.0)
        assert (cluster.fencing(0), cluster.fencing(1)) == (0, 2)
        await first.close()
        await second.close()

    asyncio.run(case())


ACTORS = strategies.integers(0, 2)


class LeaseMachine(machines.LoopMachine):
    """Three contenders with different clock rates, frozen and thawed."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster((1.0, 0.98, 1.02))
        self.cluster.clock = self.clock
        for contender in self.cluster.leases:
            assert isinstance(contender.clock, SkewedClock)
            contender.clock.true = self.clock
        self.steps: list[asyncio.Task[None] | None] = [None, None, None]
        self.holders: dict[int, int] = {}
        self.highest = 0
        self.run(self.cluster.leases[0].step())
        self.run(self.cluster.leases[1].step())

    @stateful.rule(index=ACTORS)
    def step(self, index: int) -> None:
        running = self.steps[index]
        if running is None or running.done():
            self.steps[index] = self.begin(self.cluster.leases[index].step())

    @stateful.rule(
        index=ACTORS,
        outcomes=strategies.lists(
            strategies.sampled_from(fake_tables.MOSTLY_OK), max_size=4
        ),
    )
    def fail_next(self, index: int, outcomes: list[Outcome]) -> None:
        self.cluster.stores[index].outcomes.extend(outcomes)

    @stateful.rule(index=ACTORS)
    def freeze(self, index: int) -> None:
        self.cluster.stores[index].paused = True

    @stateful.rule(index=ACTORS)
    def thaw(self, index: int) -> None:
        self.cluster.stores[index].resume()
        self.settle()

    @stateful.rule(index=ACTORS)
    def apply_late_writes(self, index: int) -> None:
        self.cluster.stores[index].apply_late_writes()

    @stateful.rule(seconds=strategies.sampled_from([0.5, 2.0, 3.0, 6.2, 6.5]))
    def pass_time(self, seconds: float) -> None:
        self.advance(seconds)

    @stateful.invariant()
    def at_most_one_grant(self) -> None:
        granted = [i for i in range(3) if self.cluster.fencing(i) > 0]
        assert len(granted) <= 1
        for index in granted:
            fencing = self.cluster.fencing(index)
            assert self.holders.setdefault(fencing, index) == index
            assert fencing >= self.highest
            self.highest = fencing


LeaseMachine.TestCase.settings = machines.SETTINGS
TestLeaseMachine = LeaseMachine.TestCase
