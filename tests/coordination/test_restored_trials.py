"""Trials of suspects when the store returns from an older copy."""

from __future__ import annotations

import asyncio
import random

from almondshift import errors
from almondshift.coordination import quarantine_trials
from tests.coordination import test_quarantine
from tests.fakes import tables as fake_tables

EXPIRED_S = test_quarantine.CONVICTION_S + 1.0
SUSPECT = "f"


class Nodes:
    """Nodes that claim suspects in one table."""

    def __init__(self, count: int) -> None:
        first = fake_tables.FakeTableStore()
        self.shared = first.shared
        self.stores = [
            first,
            *(
                fake_tables.FakeTableStore(self.shared)
                for _ in range(count - 1)
            ),
        ]
        self.harness = test_quarantine.Harness()
        self.trials = [
            quarantine_trials.create_quarantine_trials(
                self.harness.state,
                store,
                self.harness.clock,
                random.Random(seed),
            )
            for seed, store in enumerate(self.stores)
        ]

    async def claim(self, index: int) -> quarantine_trials.Trial:
        claimed = await self.trials[index].claim(SUSPECT)
        return quarantine_trials.Trial(SUSPECT, frozenset(), claimed.ok)

    def is_claimed(self) -> bool:
        return self.shared.read(quarantine_trials.TABLE, SUSPECT) is not None


def test_release_does_not_delete_the_claim_of_another() -> None:
    """Guards against a condition that holds only by chance."""

    async def scenario() -> None:
        nodes = Nodes(2)
        copy = nodes.shared.take_copy()
        first = await nodes.claim(0)
        nodes.shared.restore(copy)
        second = await nodes.claim(1)
        assert second.claim.revision == first.claim.revision
        await nodes.stores[0].read(quarantine_trials.TABLE, "other")
        await nodes.trials[0].release(first)
        assert nodes.is_claimed()
        await nodes.trials[1].release(second)
        assert not nodes.is_claimed()

    asyncio.run(scenario())


def test_row_that_was_seen_in_a_former_era_has_not_expired() -> None:
    """Its revision may be the one of a trial that has just begun."""

    async def scenario() -> None:
        nodes = Nodes(3)
        copy = nodes.shared.take_copy()
        first = await nodes.claim(0)
        assert (await nodes.trials[1].claim(SUSPECT)).is_error()
        nodes.harness.clock.now += EXPIRED_S
        nodes.shared.restore(copy)
        second = await nodes.claim(2)
        assert second.claim.revision == first.claim.revision
        await nodes.stores[1].read(quarantine_trials.TABLE, "other")
        refused = await nodes.trials[1].claim(SUSPECT)
        assert isinstance(refused.error, errors.Quarantined)

    asyncio.run(scenario())


def test_claim_that_meets_a_new_era_is_read_back() -> None:
    """Only the answer to the write names the era."""

    async def scenario() -> None:
        nodes = Nodes(1)
        nodes.shared.restore(nodes.shared.take_copy())
        trial = await nodes.claim(0)
        assert trial.claim.era == nodes.shared.era
        await nodes.trials[0].release(trial)
        assert not nodes.is_claimed()

    asyncio.run(scenario())
