"""A lease whose row was lost when the store returned from an older copy."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from hypothesis import stateful
from hypothesis import strategies
import pytest

from almondshift.coordination import lease
from almondshift.ports import stores
from almondshift.standins.platform import tables
from tests.coordination import test_lease
from tests.fakes import machines
from tests.fakes import tables as fake_tables

if TYPE_CHECKING:
    from collections.abc import Callable

Outcome = fake_tables.Outcome
STEP_S = 0.25


class Contenders:
    """Contenders that step four times a second, and what they were granted.

    Attributes:
        highest: Highest fencing token granted so far.
        owners: Index of the contender that each token was granted to.
    """

    def __init__(self, count: int) -> None:
        self.cluster = test_lease.Cluster((1.0,) * count)
        self.clock = self.cluster.clock
        self.shared = self.cluster.stores[0].shared
        self.running = list(range(count))
        self.highest = 0
        self.owners: dict[int, int] = {}

    def holders(self) -> list[int]:
        """Returns the contenders that have a grant, and checks the tokens."""
        leases = self.cluster.leases
        found = [i for i in range(len(leases)) if leases[i].grant() is not None]
        for index in found:
            token = self.cluster.fencing(index)
            assert token >= self.highest
            assert self.owners.setdefault(token, index) == index
            self.highest = token
        return found

    async def run(
        self, seconds: float, until: Callable[[], bool] = lambda: False
    ) -> float:
        """Steps all contenders that run; returns the time that passed."""
        passed = 0.0
        while passed < seconds and not until():
            steps = [self.cluster.leases[i].step() for i in self.running]
            await asyncio.gather(*steps)
            assert len(self.holders()) <= 1
            await self.clock.advance(STEP_S)
            passed += STEP_S
            assert len(self.holders()) <= 1
        return passed

    async def take(self, index: int) -> None:
        """Makes a contender the holder, by release and acquisition."""
        for other, contender in enumerate(self.cluster.leases):
            if other != index and contender.grant() is not None:
                contender.current_grant = None
                contender.own_revision = None
                await contender._release()
        await self.cluster.leases[index].step()
        assert self.holders() == [index]

    def add(self) -> int:
        """Adds a process that starts now and knows nothing of the past."""
        index = len(self.cluster.leases)
        store = fake_tables.FakeTableStore(self.shared)
        started = lease.create_lease(
            store,
            self.clock,
            random.Random(index),
            "control",
            f"n{index}",
            test_lease.SETTINGS,
        )
        self.cluster.stores.append(store)
        self.cluster.leases.append(started)
        self.running.append(index)
        return index


async def lost_row(count: int, copied: str) -> Contenders:
    """Returns contenders whose holder, the first, lost its row.

    Args:
        count: Number of contenders.
        copied: What the copy has instead: no row, one that is released, one of
            another holder, or an older one of the holder.
    """
    contenders = Contenders(count)
    other = count - 1
    taken = contenders.shared.take_copy()
    if copied != "absent":
        await contenders.take(0 if copied == "own" else other)
        taken = contenders.shared.take_copy()
    if copied == "released":
        contenders.cluster.leases[other].current_grant = None
        await contenders.cluster.leases[other]._release()
        taken = contenders.shared.take_copy()
    await contenders.take(0)
    await contenders.run(1.0)
    assert contenders.holders() == [0]
    contenders.shared.restore(taken)
    return contenders


@pytest.mark.parametrize("count", [1, 3, 9])
@pytest.mark.parametrize("copied", ["absent", "released", "other", "own"])
def test_holder_keeps_the_lease_after_its_row_was_lost(
    count: int, copied: str
) -> None:
    """Guards against two holders, as the copy shows another or none."""

    async def case() -> None:
        contenders = await lost_row(count, copied)
        await contenders.run(20.0)
        assert contenders.holders() == [0]
        [row] = contenders.shared.scan(lease.TABLE, "", 10)
        assert row.value["token"] == contenders.cluster.leases[0].token

    asyncio.run(case())


@pytest.mark.parametrize("count", [3, 9])
@pytest.mark.parametrize("copied", ["absent", "released", "other", "own"])
def test_token_is_not_given_out_again(count: int, copied: str) -> None:
    """Guards against an old holder whose token is that of the new one."""

    async def case() -> None:
        contenders = await lost_row(count, copied)
        contenders.running.remove(0)
        before = contenders.highest
        waited_s = await contenders.run(
            20.0, lambda: contenders.highest > before
        )
        assert contenders.highest > before
        # Twice, as the holder's own renewal may come first in a case.
        assert waited_s <= 2 * (test_lease.SETTINGS.duration_s * 1.05 + STEP_S)
        contenders.running.append(0)
        await contenders.run(10.0)
        assert contenders.holders() != [0]

    asyncio.run(case())


@pytest.mark.parametrize("count", [1, 3, 9])
@pytest.mark.parametrize("copied", ["released", "other", "own"])
def test_process_that_starts_after_the_return_waits_for_the_holder(
    count: int, copied: str
) -> None:
    """Guards against a second holder that never knew the first."""

    async def case() -> None:
        contenders = await lost_row(count, copied)
        contenders.running.clear()
        started = contenders.add()
        before = contenders.highest
        await contenders.run(8.0, lambda: contenders.highest > before)
        assert contenders.holders() == [started]

    asyncio.run(case())


@pytest.mark.parametrize("count", [3, 9])
def test_late_renewal_of_an_earlier_era_ends_no_grant(count: int) -> None:
    """Guards against a renewal whose condition holds only by chance.

    It takes effect after the return, on the row of the new holder, which has
    been given the same revision.
    """

    async def case() -> None:
        contenders = Contenders(count)
        taken = contenders.shared.take_copy()
        await contenders.take(0)
        for other in contenders.cluster.leases[1:]:
            await other.step()
        contenders.cluster.stores[0].outcomes.append(Outcome.LATE)
        await contenders.cluster.leases[0].step()
        contenders.shared.restore(taken)
        contenders.running.remove(0)
        await contenders.run(8.0, lambda: contenders.holders() not in ([], [0]))
        [holder] = contenders.holders()
        [row] = contenders.shared.scan(lease.TABLE, "", 10)
        contenders.cluster.stores[0].apply_late_writes()
        [hit] = contenders.shared.scan(lease.TABLE, "", 10)
        assert (row.value["holder"], hit.value["holder"]) == (
            f"n{holder}",
            "n0",
        )
        contenders.running.append(0)
        await contenders.run(8.0)
        assert contenders.holders() == [holder]

    asyncio.run(case())


def test_condition_of_an_earlier_era_fails() -> None:
    """Guards against a write to a row that was never read."""

    async def case() -> None:
        shared = tables.MemoryTables()
        mine = fake_tables.FakeTableStore(shared)
        taken = shared.take_copy()
        await mine.transact([stores.Write("t", "k", {"a": 1}, stores.ABSENT)])
        read = (await mine.read("t", "k")).ok
        assert read is not None
        shared.restore(taken)
        other = fake_tables.FakeTableStore(shared)
        await other.transact([stores.Write("t", "k", {"b": 1}, stores.ABSENT)])
        again = (await other.read("t", "k")).ok
        assert again is not None
        assert again.revision == read.revision
        await mine.read("t", "other")
        write = stores.Write("t", "k", {"a": 2}, read.revision, read.era)
        assert (await mine.transact([write])).is_error()
        row = shared.read("t", "k")
        assert row is not None
        assert row.value == {"b": 1}

    asyncio.run(case())


class RestoredLeaseMachine(test_lease.LeaseMachine):
    """Contenders over a store that returns from copies of any age."""

    def __init__(self) -> None:
        super().__init__()
        self.shared = self.cluster.stores[0].shared
        self.cluster.stores[1].shared = self.shared
        self.cluster.stores[2].shared = self.shared
        self.taken = [self.shared.take_copy()]

    @stateful.rule()
    def take_copy(self) -> None:
        self.taken.append(self.shared.take_copy())

    @stateful.rule(index=strategies.integers(0, 100))
    def restore(self, index: int) -> None:
        self.shared.restore(self.taken[index % len(self.taken)])

    @stateful.rule(index=test_lease.ACTORS)
    def others_write(self, index: int) -> None:
        """Gives out revisions, so that those of lost rows are reached again."""
        write = stores.Write("other", f"k{index}", {}, None)
        self.shared.transact([write])


RestoredLeaseMachine.TestCase.settings = machines.SETTINGS
TestRestoredLeaseMachine = RestoredLeaseMachine.TestCase
