from __future__ import annotations

import asyncio

import pytest

from tests import asynchronous
from tests.standins import rigs


@pytest.mark.parametrize(
    ("checks_fencing", "numbers", "statuses", "highest"),
    [
        (True, [5, 5, 4], ["accepted", "accepted", "stale"], 5),
        (True, [5, 6, 5], ["accepted", "accepted", "stale"], 6),
        (False, [5, 4], ["accepted", "accepted"], 5),
    ],
)
@asynchronous.run
async def test_fencing(
    checks_fencing: bool, numbers: list[int], statuses: list[str], highest: int
) -> None:
    async with rigs.run_engine(checks_fencing=checks_fencing) as rig:
        answers = [await rig.order(fencing=number) for number in numbers]

    assert [answer.status.value for answer in answers] == statuses
    assert answers[-1].highest == highest


@pytest.mark.parametrize(
    ("start", "end"), [(0, 5), (2, 2), (3, 2), (0, 4)], ids=str
)
@asynchronous.run
async def test_order_that_cannot_be_met_is_invalid(
    start: int, end: int
) -> None:
    async with rigs.run_engine(layer_capacity=3) as rig:
        assert (await rig.order(start, end)).status == "invalid"


@asynchronous.run
async def test_holding_is_ready_when_loaded_and_loaded_once() -> None:
    gate = asyncio.Event()
    loads: list[int] = []

    async def load(model: str, version: int, layer: int) -> None:
        await gate.wait()
        loads.append(layer)

    async with rigs.run_engine() as rig:
        rig.engine.holding_table.load_layer = load
        await rig.order()
        await rig.order()
        assert await rig.ready_versions() == []
        assert await rig.statuses(rigs.make_item()) == ["wrong_model"]
        gate.set()
        await rig.serve()
        await rig.order()
        assert await rig.statuses(rigs.make_item()) == ["ok"]

    assert loads == [0, 1, 2, 3]


@asynchronous.run
async def test_old_version_is_kept_next_to_the_new_one_while_it_fits() -> None:
    async with rigs.run_engine(layer_capacity=8) as rig:
        await rig.serve()
        await rig.step(rigs.make_item((1,)))
        await rig.serve(version=2, fencing=2)
        items = (
            rigs.make_item((2,), 1),
            rigs.make_item((1,), session="old"),
            rigs.make_item((1,), session="new", version=2),
        )

        assert await rig.statuses(*items) == ["ok", "wrong_model", "ok"]
        assert len(rig.engine.holding_table.loaded) == 8
        await rig.client.cancel(["s"])
        assert len(rig.engine.holding_table.loaded) == 4


@asynchronous.run
async def test_old_version_is_drained_first_when_both_do_not_fit() -> None:
    """A running request completes before its weights are unloaded.

    The engine has room for one version and is ordered to load the next one
    while a session runs. It refuses new sessions, continues the running one
    and loads the new version after that one has ended.
    """
    async with rigs.run_engine(layer_capacity=4) as rig:
        await rig.serve()
        await rig.step(rigs.make_item((1,)))
        await rig.order(version=2, fencing=2)
        items = (rigs.make_item((2,), 1), rigs.make_item((1,), session="old"))

        assert await rig.statuses(*items) == ["ok", "wrong_model"]
        assert await rig.ready_versions() == []
        await rig.client.cancel(["s"])
        await rig.serve(version=2, fencing=2)
        assert len(rig.engine.holding_table.loaded) == 4


@asynchronous.run
async def test_abandoned_session_does_not_block_an_order() -> None:
    async with rigs.run_engine(layer_capacity=4, drain_s=0.05) as rig:
        await rig.serve()
        await rig.step(rigs.make_item((1,)))
        await rig.serve(version=2, fencing=2)

        assert await rig.statuses(rigs.make_item((2,), 1)) == [
            "unknown_session"
        ]


@asynchronous.run
async def test_newer_order_replaces_one_that_is_loading() -> None:
    async def load(model: str, version: int, layer: int) -> None:
        if version == 1:
            await asyncio.Event().wait()

    async with rigs.run_engine(layer_capacity=4) as rig:
        rig.engine.holding_table.load_layer = load
        await rig.order()
        await rig.serve(version=2, fencing=2)

        assert [
            entry.version for entry in rig.engine.holding_table.entries
        ] == [2]


@asynchronous.run
async def test_order_back_to_the_old_version_needs_no_loading() -> None:
    async with rigs.run_engine(layer_capacity=8) as rig:
        await rig.serve()
        await rig.step(rigs.make_item((1,)))
        await rig.serve(version=2, fencing=2)
        await rig.order(version=1, fencing=3)

        assert await rig.ready_versions() == [1]
