from __future__ import annotations

import asyncio

import pytest

from almondshift.model import endpoints
from almondshift.model import orders
from almondshift.model import steps
from tests.standins import engine_rigs

OrderStatus = orders.OrderStatus


@pytest.mark.parametrize(
    ("checks_fencing", "numbers", "statuses", "highest"),
    [
        (True, [5, 5, 4], ["accepted", "accepted", "stale"], 5),
        (True, [5, 6, 5], ["accepted", "accepted", "stale"], 6),
        (False, [5, 4], ["accepted", "accepted"], 5),
    ],
)
def test_fencing(
    checks_fencing: bool, numbers: list[int], statuses: list[str], highest: int
) -> None:
    async def run() -> list[orders.OrderAnswer]:
        async with engine_rigs.run_engine(checks_fencing=checks_fencing) as rig:
            return [await rig.order(fencing=number) for number in numbers]

    answers = asyncio.run(run())

    assert [answer.status.value for answer in answers] == statuses
    assert answers[-1].highest == highest


@pytest.mark.parametrize(
    ("start", "end"), [(0, 5), (2, 2), (3, 2), (0, 4)], ids=str
)
def test_order_that_cannot_be_met_is_invalid(start: int, end: int) -> None:
    async def run() -> orders.OrderAnswer:
        async with engine_rigs.run_engine(layer_capacity=3) as rig:
            return await rig.order(start, end)

    assert asyncio.run(run()).status is OrderStatus.INVALID


def test_repeated_order_loads_once() -> None:
    loads: list[int] = []

    async def run() -> None:
        async with engine_rigs.run_engine() as rig:
            load = rig.engine.held.load_layer

            async def count(model: str, version: int, layer: int) -> None:
                loads.append(layer)
                await load(model, version, layer)

            rig.engine.held.load_layer = count
            for _ in range(3):
                await rig.order()
            await rig.wait_ready(1)
            await rig.order()
            await rig.wait_ready(1)

    asyncio.run(run())

    assert loads == [0, 1, 2, 3]


def test_holding_is_ready_only_when_loaded() -> None:
    async def run() -> list[steps.StepStatus]:
        async with engine_rigs.run_engine() as rig:
            gate = asyncio.Event()

            async def wait(model: str, version: int, layer: int) -> None:
                await gate.wait()

            rig.engine.held.load_layer = wait
            await rig.order()
            assert await rig.ready_versions() == []
            before = await rig.step(engine_rigs.make_item(session="a"))
            gate.set()
            await rig.wait_ready(1)
            after = await rig.step(engine_rigs.make_item(session="b"))
            return [before[0].status, after[0].status]

    assert asyncio.run(run()) == [
        steps.StepStatus.WRONG_MODEL,
        steps.StepStatus.OK,
    ]


def test_old_version_goes_on_beside_the_new_one_while_it_fits() -> None:
    async def run() -> None:
        async with engine_rigs.run_engine(layer_capacity=8) as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item((1,)))
            await rig.order(version=2, fencing=2)
            await rig.wait_ready(2)
            results = await rig.step(
                engine_rigs.make_item((2,), 1),
                engine_rigs.make_item((1,), session="old"),
                engine_rigs.make_item((1,), session="new", version=2),
            )
            assert [result.status.value for result in results] == [
                "ok",
                "wrong_model",
                "ok",
            ]
            assert len(rig.engine.held.loaded) == 8
            await rig.client.cancel(["s"])
            assert len(rig.engine.held.loaded) == 4

    asyncio.run(run())


def test_old_version_is_drained_first_when_both_do_not_fit() -> None:
    """A running request ends whole before its weights go.

    The engine has room for one version. The order for the next one comes
    while a session runs. New sessions are refused, the running one is not,
    and the new version is loaded when it has ended.
    """

    async def run() -> None:
        async with engine_rigs.run_engine(layer_capacity=4) as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item((1,)))
            await rig.order(version=2, fencing=2)
            results = await rig.step(
                engine_rigs.make_item((2,), 1),
                engine_rigs.make_item((1,), session="old"),
            )
            assert [result.status.value for result in results] == [
                "ok",
                "wrong_model",
            ]
            assert await rig.ready_versions() == []
            await rig.client.cancel(["s"])
            await rig.wait_ready(2)
            assert len(rig.engine.held.loaded) == 4

    asyncio.run(run())


def test_forgotten_session_does_not_hold_back_an_order_for_ever() -> None:
    async def run() -> steps.StepStatus:
        async with engine_rigs.run_engine(
            layer_capacity=4, drain_s=0.05
        ) as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item((1,)))
            await rig.order(version=2, fencing=2)
            await rig.wait_ready(2)
            (result,) = await rig.step(engine_rigs.make_item((2,), 1))
            return result.status

    assert asyncio.run(run()) is steps.StepStatus.UNKNOWN_SESSION


def test_newer_order_replaces_one_that_is_loading() -> None:
    async def run() -> list[int]:
        async with engine_rigs.run_engine(layer_capacity=4) as rig:
            load = rig.engine.held.load_layer

            async def hang(model: str, version: int, layer: int) -> None:
                if version == 1:
                    await asyncio.Event().wait()
                await load(model, version, layer)

            rig.engine.held.load_layer = hang
            await rig.order()
            await rig.order(version=2, fencing=2)
            await rig.wait_ready(2)
            return [entry.version for entry in rig.engine.held.entries]

    assert asyncio.run(run()) == [2]


def test_order_back_to_the_old_version_needs_no_loading() -> None:
    async def run() -> None:
        async with engine_rigs.run_engine(layer_capacity=8) as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item((1,)))
            await rig.order(version=2, fencing=2)
            await rig.wait_ready(2)
            await rig.order(version=1, fencing=3)
            assert await rig.ready_versions() == [1]

    asyncio.run(run())


def test_draining_role_opens_no_session() -> None:
    async def run() -> steps.StepStatus:
        async with engine_rigs.run_engine() as rig:
            await rig.serve()
            await rig.order(role=endpoints.EndpointRole.DRAINING)
            (result,) = await rig.step(engine_rigs.make_item())
            return result.status

    assert asyncio.run(run()) is steps.StepStatus.LEAVING
