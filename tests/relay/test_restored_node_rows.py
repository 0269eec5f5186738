"""Rows that nodes write again after the store returned from an older copy."""

from __future__ import annotations

import asyncio
import random

import pytest

from almondshift.ports import stores
from almondshift.relay import group
from almondshift.relay import restored_rows
from almondshift.relay import shared_secret
from almondshift.standins.platform import tables
from tests import asynchronous
from tests.fakes import clocks
from tests.fakes import tables as fake_tables

RESTORED_S = 2.0
MAX_WRITES_PER_S = 400
CHECKING_NODES = 6
Outcome = fake_tables.Outcome


class RecordingStore(fake_tables.FakeTableStore):
    """A store that records when its callers write.

    Attributes:
        written_at: Times of the writes of all callers.
    """

    def __init__(
        self,
        shared: tables.MemoryTables,
        clock: clocks.VirtualClock,
        written_at: list[float],
    ) -> None:
        super().__init__(shared)
        self.clock = clock
        self.written_at = written_at

    async def transact(self, writes: list[stores.Write]) -> fake_tables.Written:
        self.written_at.append(self.clock.now)
        return await super().transact(writes)


class Nodes:
    """Nodes that have written their rows and share a secret."""

    def __init__(self, count: int) -> None:
        self.clock = clocks.VirtualClock()
        self.shared = tables.MemoryTables()
        self.written_at: list[float] = []
        self.stores = [
            RecordingStore(self.shared, self.clock, self.written_at)
            for _ in range(count)
        ]
        self.restorers = [self.restorer(index, count) for index in range(count)]

    def restorer(self, index: int, count: int) -> restored_rows.RestoredRows:
        store = self.stores[index]
        rows = group.NodeRows(store, self.clock)
        rows.name, rows.peer_address = f"n{index}", f"n{index}:1"
        secret = shared_secret.SharedSecret(store)
        secret.secret = shared_secret.Secret(0, "shared")
        restorer = restored_rows.RestoredRows(
            rows, secret, self.clock, random.Random(index)
        )
        restorer.nodes = lambda: count
        restorer.checks_secret = lambda: index < CHECKING_NODES
        restorer.begin(0)
        return restorer

    def notice(self) -> list[asyncio.Task[None]]:
        """Lets all nodes notice the newest era at the same time."""
        return [
            asyncio.create_task(restorer.write())
            for restorer in self.restorers
            if restorer.note_era(self.shared.era)
        ]

    def names(self) -> set[str]:
        return {row.key for row in self.shared.scan(group.TABLE, "", 500)}


@pytest.mark.parametrize("count", [1, 3, 9, 195])
@asynchronous.run
async def test_rows_are_written_again_without_a_storm(count: int) -> None:
    """Guards against refused writes, as all nodes notice a new era at once."""
    nodes = Nodes(count)
    nodes.shared.restore(nodes.shared.take_copy())
    tasks = nodes.notice()
    for _ in range(int(RESTORED_S / 0.05)):
        await nodes.clock.advance(0.05)
    assert all(task.done() for task in tasks)
    assert nodes.names() == {f"n{index}" for index in range(count)}
    secret = nodes.shared.read(shared_secret.TABLE, shared_secret.KEY)
    assert secret is not None
    assert secret.value["secret"] == "shared"
    assert len(nodes.written_at) <= count + CHECKING_NODES
    for start in nodes.written_at:
        window = [at for at in nodes.written_at if 0 <= at - start < 1.0]
        assert len(window) <= MAX_WRITES_PER_S
        burst = [at for at in nodes.written_at if 0 <= at - start < 0.1]
        assert len(burst) <= MAX_WRITES_PER_S * 0.1 + CHECKING_NODES
    assert sum(store.reads for store in nodes.stores) <= CHECKING_NODES


@pytest.mark.parametrize("outcome", [Outcome.REFUSED, Outcome.DROPPED])
@asynchronous.run
async def test_failed_write_of_a_row_is_repeated(outcome: Outcome) -> None:
    """Otherwise one lost response would hide the node from new ones."""
    nodes = Nodes(3)
    nodes.shared.restore(nodes.shared.take_copy())
    nodes.stores[1].outcomes.extend([outcome, outcome])
    nodes.notice()
    await nodes.clock.advance(RESTORED_S)
    assert nodes.names() == {"n0", "n1", "n2"}


@asynchronous.run
async def test_two_returns_in_a_row_are_both_noticed() -> None:
    """Guards against a row that was written just before the second one."""
    nodes = Nodes(3)
    empty = nodes.shared.take_copy()
    nodes.shared.restore(empty)
    nodes.stores[1].outcomes.extend([Outcome.REFUSED] * 2)
    tasks = nodes.notice()
    await nodes.clock.advance(0.2)
    nodes.shared.restore(empty)
    tasks += nodes.notice()
    await nodes.clock.advance(RESTORED_S)
    assert nodes.names() == {"n0", "n1", "n2"}
    assert all(task.done() for task in tasks)
    assert not nodes.notice()


@pytest.mark.parametrize(
    ("found", "used"),
    [
        (None, "own"),
        ({"secret": "own", "era": 1}, "own"),
        ({"secret": "newer", "era": 2}, "own"),
        ({"secret": "older", "era": 0}, "older"),
        ({"secret": "old release"}, "old release"),
        ({"secret": "", "era": 0}, "own"),
        ({"era": 0}, "own"),
        ({"secret": "malformed", "era": "x"}, "own"),
    ],
)
@asynchronous.run
async def test_all_nodes_use_the_oldest_secret(
    found: dict[str, object] | None, used: str
) -> None:
    """Otherwise a node that started at the return would stay alone."""
    store = fake_tables.FakeTableStore()
    if found is not None:
        row = stores.Write(
            shared_secret.TABLE, shared_secret.KEY, found, stores.ABSENT
        )
        await store.transact([row])
    secret = shared_secret.SharedSecret(store)
    secret.secret = shared_secret.Secret(1, "own")
    changes: list[str] = []
    secret.on_changed = changes.append
    assert await secret.reconcile()
    assert secret.secret.text == used
    assert changes == ([] if used == "own" else [used])
    read = (await store.read(shared_secret.TABLE, shared_secret.KEY)).ok
    assert read is not None
    assert read.value["secret"] == used


@asynchronous.run
async def test_row_that_was_written_in_the_new_era_is_not_swept() -> None:
    """Guards against a revision that was given out again.

    The row of a node that is gone had the revision that the row of a node that
    started after the return has now.
    """
    shared = tables.MemoryTables()
    store = fake_tables.FakeTableStore(shared)
    copy = shared.take_copy()
    rows = group.NodeRows(store, clocks.VirtualClock())
    await store.transact([stores.Write(group.TABLE, "a", {"peer": "a"}, None)])
    assert await rows.sweep(frozenset()) == []
    shared.restore(copy)
    await store.transact([stores.Write(group.TABLE, "a", {"peer": "b"}, None)])
    assert await rows.sweep(frozenset()) == []
    assert await rows.sweep(frozenset()) == ["a"]


@pytest.mark.parametrize("is_alone", [False, True])
@asynchronous.run
async def test_node_without_peers_reads_the_rows_again_soon(
    is_alone: bool,
) -> None:
    """Otherwise it would find the others only after a minute.

    It has read the rows before the others wrote theirs again.
    """
    clock = clocks.VirtualClock()
    store = fake_tables.FakeTableStore()
    rows = group.NodeRows(store, clock)
    rows.is_alone = lambda: is_alone
    await rows.announce("a", "a:1")
    for _ in range(30):
        await rows.peer_addresses()
        await clock.advance(1.0)
    most = group.ALONE_PERIOD_S / group.ALONE_READ_INTERVAL_S
    assert store.reads == (most if is_alone else 1)
