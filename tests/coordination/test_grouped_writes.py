from __future__ import annotations

import asyncio

import pytest

from almondshift import errors
from almondshift.coordination import grouped_writes
from almondshift.ports import stores
from tests.fakes import clocks
from tests.fakes import tables as fake_tables

Outcome = fake_tables.Outcome


def write(key: str, if_revision: int | None = stores.ABSENT) -> stores.Write:
    return stores.Write("t", key, {"k": key}, if_revision)


@pytest.mark.parametrize(
    ("keys", "existing", "failed", "most_writes"),
    [
        ([f"{i}" for i in range(100)], [], 0, 3),
        ([f"{i}" for i in range(64)], ["5"], 1, 14),
        (["a", "a", "a"], [], 2, 5),
        (["a"], [], 0, 1),
    ],
)
def test_each_caller_gets_the_outcome_of_its_own_writes(
    keys: list[str], existing: list[str], failed: int, most_writes: int
) -> None:
    # Many callers insert at once, and some keys already exist. Only those
    # callers get a failed condition; the rows of all others are written.
    async def case() -> None:
        store = fake_tables.FakeTableStore()
        store.shared.transact([write(key) for key in existing])
        grouped = grouped_writes.create_grouped_store(store)
        calls = [grouped.transact([write(key)]) for key in keys]
        results = await asyncio.gather(*calls)
        await grouped.close()
        errors_seen = [result for result in results if result.is_error()]
        assert len(errors_seen) == failed
        assert store.writes <= most_writes
        for key, result in zip(keys, results, strict=True):
            row = store.shared.read("t", key)
            assert row is not None
            if result.is_ok():
                assert result.ok == [row.revision]

    asyncio.run(case())


@pytest.mark.parametrize(
    ("outcome", "kind"),
    [
        (Outcome.LOST, errors.StoreOutcomeUnknown),
        (Outcome.DROPPED, errors.StoreOutcomeUnknown),
        (Outcome.REFUSED, errors.StoreUnavailable),
    ],
)
def test_group_fails_together(
    outcome: Outcome, kind: type[errors.AlmondshiftError]
) -> None:
    async def case() -> None:
        store = fake_tables.FakeTableStore()
        store.outcomes.append(outcome)
        grouped = grouped_writes.create_grouped_store(store)
        calls = [grouped.transact([write(f"{i}")]) for i in range(5)]
        results = await asyncio.gather(*calls)
        assert {type(result.error) for result in results} == {kind}

    asyncio.run(case())


def test_transactions_beyond_the_queue_limit_are_refused() -> None:
    async def case() -> None:
        store = fake_tables.FakeTableStore()
        settings = grouped_writes.GroupSettings(waiting=3)
        grouped = grouped_writes.create_grouped_store(store, settings)
        calls = [grouped.transact([write(f"{i}")]) for i in range(5)]
        results = await asyncio.gather(*calls)
        assert [result.is_ok() for result in results].count(False) == 2
        assert len(store.shared.rows) == 3

    asyncio.run(case())


@pytest.mark.parametrize("in_flight", [1, 2])
def test_write_during_the_end_of_a_group_is_committed(
    in_flight: int,
) -> None:
    # Callers write again in the same event loop iteration in which they get
    # their results. The commit tasks have found the queue empty but are not
    # yet removed from the task set; if they counted as active, the new writes
    # would wait forever unless another write followed.
    async def case() -> None:
        store = fake_tables.FakeTableStore()
        settings = grouped_writes.GroupSettings(in_flight=in_flight)
        grouped = grouped_writes.create_grouped_store(store, settings)

        async def write_twice(index: int) -> None:
            for turn in range(2):
                await grouped.transact([write(f"{index}/{turn}")])

        calls = [write_twice(index) for index in range(in_flight)]
        await asyncio.wait_for(asyncio.gather(*calls), 5.0)

    asyncio.run(case())


def test_close_waits_until_every_caller_has_its_outcome() -> None:
    """Guards against a stop that drops writes without an answer."""

    async def case() -> None:
        store = fake_tables.FakeTableStore()
        store.paused = True
        grouped = grouped_writes.create_grouped_store(store)
        calls = [
            asyncio.create_task(grouped.transact([write(key)]))
            for key in ("a", "a", "b", "b")
        ]
        await clocks.settle()
        closing = asyncio.create_task(grouped.close())
        await clocks.settle()
        assert not closing.done()
        store.resume()
        await asyncio.wait_for(closing, 5.0)
        assert all(call.done() for call in calls)
        assert [call.result().is_ok() for call in calls].count(True) == 2

    asyncio.run(case())
