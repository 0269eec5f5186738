"""Claims whose rows were lost when the store returned from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hypothesis import stateful
from hypothesis import strategies
import pytest

from almondshift import errors
from almondshift.coordination import claim_rows
from almondshift.coordination import claim_sweep
from almondshift.coordination import claims
from tests.coordination import test_claim_machine
from tests.coordination import test_claims
from tests.fakes import clocks
from tests.fakes import machines
from tests.fakes import tables as fake_tables

if TYPE_CHECKING:
    from almondshift.standins.platform import tables

Outcome = fake_tables.Outcome
FINISHED = claims.Finished(test_claims.RESULT)
COPY_AGE_S = 60.0


@pytest.mark.parametrize("is_finished", [False, True])
def test_lost_claim_is_not_taken_again(is_finished: bool) -> None:
    """Otherwise a retry would run a request a second time."""

    async def case() -> None:
        nodes = test_claims.Nodes()
        shared = nodes.stores[0].shared
        copy = shared.take_copy()
        claimed = await nodes.claimed(0)
        if is_finished:
            await nodes.claims[0].finish(claimed, test_claims.RESULT)
        shared.restore(copy)
        retry = await nodes.claim_in_time(1)
        assert retry.is_error() or not isinstance(retry.ok, claims.Claimed)

    test_claims.run(case())


def test_result_is_not_stored_in_the_claim_of_another() -> None:
    """Guards against a condition that holds only by chance.

    The retry's claim has the revision that the first claim had, since its node
    takes the first for dead. The first node knows by then that the store is
    in a new era.
    """

    async def case() -> None:
        nodes = test_claims.Nodes()
        shared = nodes.stores[0].shared
        copy = shared.take_copy()
        first = await nodes.claimed(0)
        shared.restore(copy)
        nodes.dropped.add("0")
        second = await nodes.claimed(1)
        assert second.revision == first.revision
        await nodes.stores[0].read("claims", "other")
        await nodes.claims[0].finish(first, test_claims.RESULT)
        assert nodes.claims[1].may_dispatch(second)
        row = stored_claim(nodes)
        assert row.attempt == second.row.attempt
        assert row.state is claim_rows.ClaimState.RUNNING

    test_claims.run(case())


def stored_claim(nodes: test_claims.Nodes) -> claim_rows.ClaimRow:
    """Returns the claim of the key that is used unless another is named."""
    key = claim_rows.claim_key("a", "s", "k")
    row = nodes.stores[0].shared.read("claims", key)
    assert row is not None
    return claim_rows.parse_claim(row)


def restore(nodes: test_claims.Nodes, copy: tables.TablesCopy) -> None:
    nodes.stores[0].shared.restore(copy)


@pytest.mark.parametrize("count", [1, 3, 9])
@pytest.mark.parametrize("eras", [1, 2])
@pytest.mark.parametrize("finished", ["before", "after", "at once"])
def test_result_of_a_lost_claim_is_kept(
    count: int, eras: int, finished: str
) -> None:
    """The holder writes its claim again, and retries get its result.

    It finishes before the store returns, after it has written the claim again,
    or before it notices the new era.
    """

    async def case() -> None:
        nodes = test_claims.Nodes(count)
        for node in nodes.claims:
            await node.start()
        copy = nodes.stores[0].shared.take_copy()
        claimed = await nodes.claimed(0)
        if finished == "before":
            await nodes.claims[0].finish(claimed, test_claims.RESULT)
        for _ in range(eras):
            restore(nodes, copy)
        if finished == "at once":
            await nodes.claims[0].finish(claimed, test_claims.RESULT)
        last = nodes.claims[-1]
        retry = asyncio.create_task(nodes.claim(count - 1))
        await nodes.clock.advance(3.0)
        if finished == "after":
            assert not retry.done()
            assert stored_claim(nodes).attempt == claimed.row.attempt
            await nodes.claims[0].finish(claimed, test_claims.RESULT)
            await nodes.clock.advance(1.0)
        assert (await retry).ok == FINISHED
        assert stored_claim(nodes).state is claim_rows.ClaimState.FINISHED
        [expiry] = nodes.stores[0].shared.scan("claim_expiry", "", 10)
        assert expiry.value["attempt"] == claimed.row.attempt
        assert not last.kept.of_earlier_eras(last.lost.era())
        for node in nodes.claims:
            await node.close()

    test_claims.run(case())


@pytest.mark.parametrize("count", [2, 9])
def test_new_keys_are_claimed_in_a_new_era(count: int) -> None:
    """Peers that hold other claims don't delay a request for long."""

    async def case() -> None:
        nodes = test_claims.Nodes(count)
        copy = nodes.stores[0].shared.take_copy()
        for node in range(count):
            assert (await nodes.claim(node, f"old {node}")).is_ok()
        restore(nodes, copy)
        claimed = await nodes.claim(count - 1, "new")
        assert isinstance(claimed.ok, claims.Claimed)
        assert nodes.claims[count - 1].may_dispatch(claimed.ok)

    test_claims.run(case())


def test_peers_are_asked_once_in_an_era() -> None:
    """Otherwise each claim would cost a call to each peer."""

    async def case() -> None:
        nodes = test_claims.Nodes(3)
        restore(nodes, nodes.stores[0].shared.take_copy())
        assert (await nodes.claim(0, "k1")).is_ok()
        nodes.silent.update("12")
        assert (await nodes.claim(0, "k2")).is_ok()
        restore(nodes, nodes.stores[0].shared.take_copy())
        refused = asyncio.create_task(nodes.claim(0, "k3"))
        await nodes.clock.advance(10.0)
        assert (await refused).is_error()

    test_claims.run(case())


def test_silent_peer_may_hold_a_lost_claim() -> None:
    """A new key is refused as not run until the peer replies or is dropped."""

    async def case() -> None:
        nodes = test_claims.Nodes(3)
        copy = nodes.stores[0].shared.take_copy()
        first = await nodes.claimed(0)
        restore(nodes, copy)
        nodes.silent.add("0")
        refused = await nodes.claim_in_time(1)
        assert type(refused.error) is errors.StoreUnavailable
        assert refused.error.execution is errors.Execution.NOT_RUN
        assert nodes.stores[0].shared.scan("claims", "", 10) == []
        nodes.silent.clear()
        await nodes.claims[0].finish(first, test_claims.RESULT)
        assert (await nodes.claim(1)).ok == FINISHED

    test_claims.run(case())


def test_holder_without_the_store_answers_its_peers() -> None:
    """It can't write its claim again, but knows that it holds it."""

    async def case() -> None:
        nodes = test_claims.Nodes(3)
        copy = nodes.stores[0].shared.take_copy()
        await nodes.claimed(0)
        restore(nodes, copy)
        nodes.stores[0].down = True
        retry = await nodes.claim_in_time(1)
        assert type(retry.error) is errors.OutcomeUnknown
        other = await nodes.claim(2, "other")
        assert isinstance(other.ok, claims.Claimed)

    test_claims.run(case())


def test_late_answer_of_the_former_era_is_not_a_claim() -> None:
    """Its row is gone, and a peer that was told so may claim the key."""

    async def case() -> None:
        nodes = test_claims.Nodes()
        shared = nodes.stores[0].shared
        copy = shared.take_copy()
        nodes.stores[0].paused = True
        late = asyncio.create_task(nodes.claim(0))
        await clocks.settle()
        nodes.stores[0].resume()
        nodes.stores[0].paused = True
        await clocks.settle()
        assert stored_claim(nodes).claimant == "0"
        shared.restore(copy)
        second = await nodes.claimed(1)
        nodes.stores[0].resume()
        await clocks.settle()
        assert not late.done()
        await nodes.claims[1].finish(second, test_claims.RESULT)
        await nodes.clock.advance(5.0)
        assert (await late).ok == FINISHED

    test_claims.run(case())


def test_claim_of_the_copy_that_was_replaced_is_not_taken_over() -> None:
    """The copy shows an abandoned attempt in place of the one that runs."""

    async def case() -> None:
        nodes = test_claims.Nodes(3)
        shared = nodes.stores[0].shared
        nodes.stores[0].outcomes.extend([Outcome.OK, Outcome.LOST])
        first = asyncio.create_task(nodes.claim(0))
        await clocks.settle()
        first.cancel()
        await clocks.settle()
        copy = shared.take_copy()
        running = await nodes.claimed(1)
        shared.restore(copy)
        assert stored_claim(nodes).claimant == "0"
        retry = await nodes.claim_in_time(2)
        assert type(retry.error) is errors.OutcomeUnknown
        await nodes.claims[1].finish(running, test_claims.RESULT)
        assert (await nodes.claim(2)).ok == FINISHED

    test_claims.run(case())


def test_late_release_of_a_former_era_frees_no_claim() -> None:
    """It replaces another's claim by chance, whose request is running."""

    async def case() -> None:
        nodes = test_claims.Nodes(3)
        shared = nodes.stores[0].shared
        copy = shared.take_copy()
        first = await nodes.claimed(0)
        nodes.stores[0].outcomes.append(Outcome.LATE)
        await nodes.claims[0].release_not_run(first)
        shared.restore(copy)
        second = await nodes.claimed(1)
        assert second.revision == first.revision
        assert (await nodes.claim(2, "other")).is_ok()
        nodes.stores[0].apply_late_writes()
        assert stored_claim(nodes).state is claim_rows.ClaimState.NOT_RUN
        assert (await nodes.claim_in_time(2)).is_error()
        await nodes.claims[1].finish(second, test_claims.RESULT)
        assert (await nodes.claim(2)).ok == FINISHED

    test_claims.run(case())


def test_row_of_a_copy_is_written_again_before_dispatch() -> None:
    """Peers take a row of an earlier era for one that proves nothing."""

    async def case() -> None:
        nodes = test_claims.Nodes()
        shared = nodes.stores[0].shared
        nodes.stores[0].outcomes.extend([Outcome.OK, Outcome.LOST])
        claim = asyncio.create_task(nodes.claim(0))
        await clocks.settle()
        shared.restore(shared.take_copy())
        await nodes.clock.advance(1.0)
        assert isinstance((await claim).ok, claims.Claimed)
        assert stored_claim(nodes).era == shared.era

    test_claims.run(case())


def test_released_claim_is_not_written_again() -> None:
    async def case() -> None:
        nodes = test_claims.Nodes()
        copy = nodes.stores[0].shared.take_copy()
        first = await nodes.claimed(0)
        restore(nodes, copy)
        await nodes.claims[0].release_not_run(first)
        await nodes.claims[0].write_lost_claims()
        assert nodes.claims[1].may_dispatch(await nodes.claimed(1))

    test_claims.run(case())


def test_store_without_eras_needs_no_peer() -> None:
    """Peers are asked only in a store that may have lost claims."""

    async def case() -> None:
        nodes = test_claims.Nodes(3)
        nodes.silent.update("12")
        assert nodes.claims[0].may_dispatch(await nodes.claimed(0))

    test_claims.run(case())


def test_ended_claims_are_kept_for_a_while() -> None:
    """A node's memory doesn't grow with the number of its requests."""

    async def case() -> None:
        nodes = test_claims.Nodes(1)
        for number in range(3):
            claimed = await nodes.claim(0, f"k{number}")
            assert isinstance(claimed.ok, claims.Claimed)
            await nodes.claims[0].finish(claimed.ok, test_claims.RESULT)
            await nodes.clock.advance(COPY_AGE_S / 2 + 1.0)
        assert len(nodes.claims[0].kept.claims) == 2

    test_claims.run(case())


def test_sweep_deletes_no_row_of_another_era() -> None:
    """Guards against a condition that holds only by chance."""

    async def case() -> None:
        nodes = test_claims.Nodes()
        shared = nodes.stores[1].shared
        await nodes.claimed(0)
        [claim] = shared.scan("claims", "", 10)
        [expiry] = shared.scan("claim_expiry", "", 10)
        shared.restore(shared.take_copy())
        await nodes.stores[1].read("claims", "other")
        for row in (claim, expiry):
            deleted = await nodes.stores[1].transact([claim_sweep._delete(row)])
            assert type(deleted.error) is errors.ConditionFailed

    test_claims.run(case())


class RestoredClaimMachine(test_claim_machine.ClaimMachine):
    """Requests are retried while the store returns from older copies.

    Processes keep their memory: a claim is lost for good if its row and its
    holder are.
    """

    restart = None  # type: ignore[assignment]

    def __init__(self) -> None:
        self.copy: tables.TablesCopy | None = None
        self.copied_at = 0.0
        super().__init__()

    @stateful.rule()
    def take_copy(self) -> None:
        self.copy = self.nodes.stores[0].shared.take_copy()
        self.copied_at = self.clock.monotonic()

    @stateful.rule()
    def restore(self) -> None:
        is_recent = self.clock.monotonic() - self.copied_at < COPY_AGE_S
        if self.copy is not None and is_recent:
            self.nodes.stores[0].shared.restore(self.copy)

    @stateful.rule(node=strategies.integers(0, 2))
    def write_lost_claims(self, node: int) -> None:
        self.begin(self.nodes.claims[node].write_lost_claims())


RestoredClaimMachine.TestCase.settings = machines.SETTINGS
TestRestoredClaimMachine = RestoredClaimMachine.TestCase


class GroupedRestoredClaimMachine(RestoredClaimMachine):
    """The same with group commit on each node."""

    grouped = True


GroupedRestoredClaimMachine.TestCase.settings = machines.SETTINGS
TestGroupedRestoredClaimMachine = GroupedRestoredClaimMachine.TestCase
