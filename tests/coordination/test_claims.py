from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from almondshift import errors
from almondshift.coordination import claim_attempts
from almondshift.coordination import claim_peers
from almondshift.coordination import claim_rows
from almondshift.coordination import claim_sweep
from almondshift.coordination import claims
from almondshift.coordination import grouped_writes
from tests.fakes import clocks
from tests.fakes import tables as fake_tables

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from almondshift.ports import stores

Outcome = fake_tables.Outcome
Answer = claim_attempts.ClaimantAnswer
LIMIT_S = 10.0
RESULT = claim_rows.StoredResult(200, "application/json", b"{}")


def run(case: Coroutine[None, None, None]) -> None:
    """Runs a case with a time limit, in case it waits forever."""

    async def limited() -> None:
        await asyncio.wait_for(case, LIMIT_S)

    asyncio.run(limited())


class Peers(claim_peers.ClaimPeers):
    """The peers of one of ``Nodes``."""

    def __init__(self, nodes: Nodes, index: int) -> None:
        self.nodes = nodes
        self.index = index

    def names(self) -> list[str]:
        others = set(range(len(self.nodes.claims))) - {self.index}
        return [str(i) for i in others if str(i) not in self.nodes.dropped]

    async def ask_held(
        self, node: str, key: str, era: int
    ) -> claim_peers.HeldAnswer:
        await asyncio.sleep(0)
        if {node, str(self.index)} & self.nodes.silent:
            return claim_peers.HeldAnswer.UNKNOWN
        return self.nodes.claims[int(node)].answer_held(key, era)


class Nodes:
    """Nodes that share tables and ask each other about attempts.

    Attributes:
        silent: Nodes that don't reply to their peers.
        dropped: Nodes that their peers take for dead.
    """

    def __init__(self, count: int = 2, grouped: bool = False) -> None:
        self.grouped = grouped
        self.clock = clocks.VirtualClock()
        first = fake_tables.FakeTableStore()
        others = [
            fake_tables.FakeTableStore(first.shared) for _ in range(count - 1)
        ]
        self.stores = [first, *others]
        self.objects = fake_tables.FakeObjectStore()
        self.silent: set[str] = set()
        self.dropped: set[str] = set()
        self.incarnations = 0
        self.claims = [self.create(index) for index in range(count)]

    def create(self, index: int) -> claims.Claims:
        self.incarnations += 1
        store: stores.TableStore = self.stores[index]
        if self.grouped:
            store = grouped_writes.create_grouped_store(store)
        return claims.create_claims(
            store,
            self.objects,
            self.clock,
            random.Random(self.incarnations),
            str(index),
            self.ask,
            peers=Peers(self, index),
        )

    async def ask(self, node: str, attempt: str) -> Answer:
        await asyncio.sleep(0)
        if node in self.silent:
            return Answer.UNKNOWN
        return self.claims[int(node)].answer_claimant(attempt)

    async def claim(
        self,
        index: int,
        key: str = "k",
        body: bytes = b"b",
        wait_s: float = 5.0,
    ) -> claims.ClaimResult:
        deadline = self.clock.monotonic() + wait_s
        return await self.claims[index].claim("a", "s", key, body, deadline)

    async def claim_in_time(self, index: int) -> claims.ClaimResult:
        """Claims while the clock advances beyond the deadline."""
        task = asyncio.create_task(self.claim(index))
        await self.clock.advance(10.0)
        return await task

    async def claimed(self, index: int) -> claims.Claimed:
        result = await self.claim(index)
        assert isinstance(result.ok, claims.Claimed)
        return result.ok


@pytest.mark.parametrize("body", [b"short", b"x" * 10_000])
@pytest.mark.parametrize("retry_node", [0, 1])
def test_retry_gets_the_result(body: bytes, retry_node: int) -> None:
    async def case() -> None:
        nodes = Nodes()
        claimed = await nodes.claimed(0)
        assert nodes.claims[0].may_dispatch(claimed)
        result = claim_rows.StoredResult(201, "text/plain", body)
        assert (await nodes.claims[0].finish(claimed, result)).is_ok()
        assert not nodes.claims[0].may_dispatch(claimed)
        retry = await nodes.claim(retry_node)
        assert retry.ok == claims.Finished(result)

    run(case())


def test_same_key_with_another_body_is_refused() -> None:
    async def case() -> None:
        nodes = Nodes()
        await nodes.claimed(0)
        other = await nodes.claim(1, body=b"other")
        assert type(other.error) is errors.IdempotencyKeyReused

    run(case())


def test_one_of_two_racing_requests_is_claimed() -> None:
    # The caller sends a request through two nodes at once. Both read no
    # claim; only one insert takes effect, and the other node waits.
    async def case() -> None:
        nodes = Nodes()
        race = [asyncio.create_task(nodes.claim(i)) for i in range(2)]
        await clocks.settle()
        assert [task.done() for task in race].count(True) == 1
        await nodes.clock.advance(10.0)
        results = [task.result() for task in race]
        assert [result.is_ok() for result in results].count(True) == 1

    run(case())


def test_retry_waits_for_the_first() -> None:
    # The caller's connection breaks and it retries through another node while
    # the first request still runs. It gets the result of the first one.
    async def case() -> None:
        nodes = Nodes()
        claimed = await nodes.claimed(0)
        retry = asyncio.create_task(nodes.claim(1))
        await nodes.clock.advance(2.0)
        assert not retry.done()
        await nodes.claims[0].finish(claimed, RESULT)
        await nodes.clock.advance(1.0)
        assert (await retry).ok == claims.Finished(RESULT)

    run(case())


@pytest.mark.parametrize("first_node_state", ["running", "silent", "restarted"])
def test_retry_never_runs_while_the_first_may(first_node_state: str) -> None:
    # The first request is still running, or its node is frozen, dead or
    # restarted and has lost its state. The retry gets "outcome unknown" within
    # its own deadline and is not run.
    async def case() -> None:
        nodes = Nodes()
        await nodes.claimed(0)
        if first_node_state == "silent":
            nodes.silent.add("0")
        if first_node_state == "restarted":
            nodes.claims[0] = nodes.create(0)
        retry = await nodes.claim_in_time(1)
        assert type(retry.error) is errors.OutcomeUnknown
        assert retry.error.execution is errors.Execution.UNKNOWN

    run(case())


def test_claim_released_as_not_run_can_be_claimed_again() -> None:
    async def case() -> None:
        nodes = Nodes()
        first = await nodes.claimed(0)
        assert (await nodes.claims[0].release_not_run(first)).is_ok()
        assert not nodes.claims[0].may_dispatch(first)
        second = await nodes.claimed(1)
        assert nodes.claims[1].may_dispatch(second)

    run(case())


@pytest.mark.parametrize("reachable", [True, False])
def test_claim_that_could_not_be_released(reachable: bool) -> None:
    # The endpoint refused, but the store is unavailable for the release.
    # Another node runs the request only if the claimant confirms that it
    # never will.
    async def case() -> None:
        nodes = Nodes()
        first = await nodes.claimed(0)
        nodes.stores[0].down = True
        assert (await nodes.claims[0].release_not_run(first)).is_error()
        if not reachable:
            nodes.silent.add("0")
        second = await nodes.claim(1)
        assert second.is_ok() is reachable

    run(case())


@pytest.mark.parametrize(
    ("outcomes", "claimed"),
    [
        ([Outcome.OK, Outcome.LOST], True),
        ([Outcome.OK, Outcome.DROPPED], True),
        ([Outcome.OK, Outcome.LATE], True),
        ([Outcome.REFUSED], False),
        ([Outcome.OK, Outcome.REFUSED], False),
        ([Outcome.OK, Outcome.LOST, Outcome.REFUSED], False),
        ([Outcome.OK, Outcome.LATE, Outcome.REFUSED], False),
        ([Outcome.OK, Outcome.DROPPED] * 4, False),
    ],
)
def test_insert_fails(outcomes: list[Outcome], claimed: bool) -> None:
    # The store refuses the insert or its response is lost. The node finds its
    # own attempt in the row and dispatches, or abandons the attempt: then the
    # caller gets "not run", and the same key can run through another node.
    async def case() -> None:
        nodes = Nodes()
        nodes.stores[0].outcomes.extend(outcomes)
        first = await nodes.claim_in_time(0) if not claimed else None
        if first is None:
            task = asyncio.create_task(nodes.claim(0))
            await nodes.clock.advance(1.0)
            assert isinstance((await task).ok, claims.Claimed)
            return
        assert type(first.error) is errors.StoreUnavailable
        assert first.error.execution is errors.Execution.NOT_RUN
        nodes.stores[0].apply_late_writes()
        assert isinstance((await nodes.claim(1)).ok, claims.Claimed)

    run(case())


def test_cancelled_caller_abandons_its_claim() -> None:
    # The caller disconnects during its insert, which takes effect. A retry
    # through another node runs at once.
    async def case() -> None:
        nodes = Nodes()
        nodes.stores[0].paused = True
        task = asyncio.create_task(nodes.claim(0))
        await clocks.settle()
        nodes.stores[0].resume()
        nodes.stores[0].paused = True
        await clocks.settle()
        task.cancel()
        await clocks.settle()
        assert len(nodes.stores[0].shared.rows) == 2
        assert isinstance((await nodes.claim(1)).ok, claims.Claimed)

    run(case())


def test_claim_that_thaws_after_its_deadline_is_not_dispatched() -> None:
    async def case() -> None:
        nodes = Nodes()
        claimed = await nodes.claimed(0)
        await nodes.clock.advance(5.0)
        assert not nodes.claims[0].may_dispatch(claimed)

    run(case())


def test_result_is_kept_while_the_store_is_down() -> None:
    # The store goes down while the request runs. A retry at the same node
    # gets the result; once the store is up again, so does one at another node.
    async def case() -> None:
        nodes = Nodes()
        claimed = await nodes.claimed(0)
        await nodes.claims[0].start()
        nodes.stores[0].down = True
        finish = asyncio.create_task(nodes.claims[0].finish(claimed, RESULT))
        await nodes.clock.advance(5.0)
        assert (await finish).is_error()
        assert (await nodes.claim(0)).ok == claims.Finished(RESULT)
        nodes.stores[0].down = False
        await nodes.clock.advance(2.0)
        assert (await nodes.claim(1)).ok == claims.Finished(RESULT)
        await nodes.claims[0].close()

    run(case())


@pytest.mark.parametrize(
    "outcomes", [[Outcome.LOST], [Outcome.DROPPED], [Outcome.LATE]]
)
def test_finish_whose_answer_is_lost(outcomes: list[Outcome]) -> None:
    async def case() -> None:
        nodes = Nodes()
        claimed = await nodes.claimed(0)
        nodes.stores[0].outcomes.extend(outcomes)
        finish = asyncio.create_task(nodes.claims[0].finish(claimed, RESULT))
        await nodes.clock.advance(1.0)
        assert (await finish).is_ok()
        assert (await nodes.claim(1)).ok == claims.Finished(RESULT)

    run(case())


@pytest.mark.parametrize(
    ("finished", "after_s", "sweeps", "left"),
    [
        (True, 86_000.0, 1, 2),
        (True, 86_500.0, 1, 0),
        (False, 86_500.0, 2, 2),
        (False, 700_000.0, 2, 0),
    ],
)
def test_sweep(finished: bool, after_s: float, sweeps: int, left: int) -> None:
    async def case() -> None:
        nodes = Nodes()
        claimed = await nodes.claimed(0)
        if finished:
            await nodes.claims[0].finish(claimed, RESULT)
        await nodes.clock.advance(after_s)
        sweep = claim_sweep.create_claim_sweep(
            nodes.stores[1], nodes.clock, 604_800.0
        )
        for _ in range(sweeps):
            assert (await sweep.sweep()).is_ok()
        assert len(nodes.stores[0].shared.rows) == left

    run(case())
