from __future__ import annotations

import asyncio
import dataclasses

import pytest

from almondshift import errors
from almondshift.model import endpoints
from almondshift.model import steps
from almondshift.standins import reference
from tests.standins import engine_rigs

PROMPT = (72, 105, 2**32)
Status = steps.StepStatus


def test_chain_of_engines_gives_the_reference_answer() -> None:
    async def run() -> tuple[int, ...]:
        async with (
            engine_rigs.run_engine() as first,
            engine_rigs.run_engine() as second,
        ):
            await first.serve(0, 1)
            await second.serve(1, 4)
            tokens = list(PROMPT)
            position = 0
            while len(tokens) < len(PROMPT) + 20:
                inputs = tuple(tokens[position:])
                item = engine_rigs.make_item(inputs, position, end=1)
                middle = (await first.step(item))[0].outputs
                item = engine_rigs.make_item(middle, position, start=1)
                outputs = (await second.step(item))[0].outputs
                position = len(tokens)
                tokens.append(outputs[-1])
            return tuple(tokens[len(PROMPT) :])

    assert asyncio.run(run()) == reference.complete("m", 1, "", 4, PROMPT, 20)


@pytest.mark.parametrize(
    ("item", "status"),
    [
        (engine_rigs.make_item((4,), 3), Status.OK),
        (engine_rigs.make_item((4,), 2), Status.POSITION_MISMATCH),
        (engine_rigs.make_item((4,), 4), Status.POSITION_MISMATCH),
        (engine_rigs.make_item(PROMPT, 0), Status.POSITION_MISMATCH),
        (engine_rigs.make_item((4,), 3, session="x"), Status.UNKNOWN_SESSION),
        (engine_rigs.make_item((4,), 3, version=2), Status.UNKNOWN_SESSION),
        (engine_rigs.make_item((4,), 3, end=3), Status.UNKNOWN_SESSION),
        (engine_rigs.make_item(session="n", version=2), Status.WRONG_MODEL),
        (engine_rigs.make_item(session="n", end=5), Status.WRONG_MODEL),
        (engine_rigs.make_item(session="n"), Status.OK),
    ],
)
def test_status_and_ledger_agree(
    item: steps.StepItem, status: steps.StepStatus
) -> None:
    """What was refused did not run; the ledger says so."""

    async def run() -> tuple[steps.StepResult, int]:
        async with engine_rigs.run_engine() as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item(PROMPT))
            (result,) = await rig.step(item)
            return result, len(await rig.ledger())

    result, ran = asyncio.run(run())

    assert result.answers(item)
    assert result.status is status
    assert ran == (2 if status is Status.OK else 1)


def test_other_kv_state_changes_the_answer() -> None:
    async def run() -> list[steps.StepResult]:
        async with engine_rigs.run_engine() as rig:
            await rig.serve(0, 3)
            for session, first in (("a", 1), ("b", 2)):
                await rig.step(
                    engine_rigs.make_item((first,), 0, session, end=3)
                )
            return await rig.step(
                engine_rigs.make_item((9,), 1, "a", end=3),
                engine_rigs.make_item((9,), 1, "b", end=3),
            )

    first, second = asyncio.run(run())

    assert first.outputs != second.outputs


@pytest.mark.parametrize(
    ("idle_s", "status", "dropped"),
    [(1000.0, Status.BUSY, []), (0.0, Status.OK, ["a"])],
    ids=["in use", "least recently used goes"],
)
def test_full_session_memory(
    idle_s: float, status: steps.StepStatus, dropped: list[str]
) -> None:
    async def run() -> tuple[steps.StepResult, list[str]]:
        async with engine_rigs.run_engine(
            max_sessions=2, session_idle_s=idle_s
        ) as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item(session="a"))
            await rig.step(engine_rigs.make_item(session="b"))
            (result,) = await rig.step(engine_rigs.make_item(session="c"))
            held = rig.engine.table.sessions
            return result, [name for name in "ab" if name not in held]

    result, gone = asyncio.run(run())

    assert result.status is status
    assert gone == dropped


def test_kv_moves_to_another_engine() -> None:
    async def run() -> tuple[tuple[int, ...], tuple[int, ...]]:
        async with (
            engine_rigs.run_engine() as old,
            engine_rigs.run_engine() as new,
        ):
            await old.serve()
            await new.serve()
            await old.step(engine_rigs.make_item(PROMPT))
            snapshot = (await old.client.export_kv("s")).ok
            moved = dataclasses.replace(snapshot, session="t")
            assert (await new.client.import_kv(moved)).is_ok()
            assert (await new.client.import_kv(moved)).is_error()
            (stayed,) = await old.step(engine_rigs.make_item((7,), 3))
            (went,) = await new.step(
                dataclasses.replace(
                    engine_rigs.make_item((7,), 3, "t"), request_id="r-s"
                )
            )
            return stayed.outputs, went.outputs

    stayed, went = asyncio.run(run())

    assert stayed == went
    assert len(went) == 1


def test_leaving_engine_serves_running_sessions_only() -> None:
    async def run() -> list[steps.StepStatus]:
        async with engine_rigs.run_engine() as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item(PROMPT))
            await rig.post("/v1/control", {"leaving": True})
            results = await rig.step(
                engine_rigs.make_item((4,), 3),
                engine_rigs.make_item(session="n"),
            )
            assert (await rig.client.load()).ok.leaving
            return [result.status for result in results]

    assert asyncio.run(run()) == [Status.OK, Status.LEAVING]


def test_cancel_drops_session_and_frees_memory() -> None:
    async def run() -> list[steps.StepStatus]:
        async with engine_rigs.run_engine(max_sessions=1) as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item(PROMPT))
            await rig.client.cancel(["s", "unknown"])
            results = await rig.step(
                engine_rigs.make_item((4,), 3),
                engine_rigs.make_item(session="n"),
            )
            return [result.status for result in results]

    assert asyncio.run(run()) == [Status.UNKNOWN_SESSION, Status.OK]


def test_swallowed_answer_is_unknown_and_ran_once() -> None:
    """The caller sees an unknown outcome; the engine ran the step once.

    The engine runs the step and closes the connection without an answer,
    as it would if it died right after. The session has moved on, so a
    repeat of the same step would be refused.
    """

    async def run() -> tuple[object, list[int], steps.StepStatus]:
        async with engine_rigs.run_engine() as rig:
            await rig.serve()
            await rig.step(engine_rigs.make_item(PROMPT))
            await rig.post("/v1/control", {"swallow_answers": 1})
            item = engine_rigs.make_item((4,), 3)
            outcome = await rig.client.step([item], 5.0)
            positions = [row["position"] for row in await rig.ledger()]
            (again,) = await rig.step(item)
            return outcome.error, positions, again.status

    error, positions, again = asyncio.run(run())

    assert isinstance(error, errors.EndpointOutcomeUnknown)
    assert positions == [0, 3]
    assert again is Status.POSITION_MISMATCH


def test_refused_call_ran_nothing() -> None:
    async def run() -> tuple[object, int]:
        async with engine_rigs.run_engine() as rig:
            await rig.serve()
            await rig.post("/v1/control", {"refuse_all": True})
            outcome = await rig.client.step([engine_rigs.make_item()], 5.0)
            return outcome.error, len(await rig.ledger())

    error, ran = asyncio.run(run())

    assert isinstance(error, errors.EndpointRefused)
    assert ran == 0


def test_crash_token_ends_the_process_at_that_prompt_only() -> None:
    exits: list[int] = []

    async def run() -> None:
        async with engine_rigs.run_engine(exit_process=exits.append) as rig:
            await rig.serve()
            await rig.post("/v1/control", {"crash_token": 666})
            await rig.step(engine_rigs.make_item((1, 2), session="a"))
            assert exits == []
            await rig.step(engine_rigs.make_item((1, 666), session="b"))

    asyncio.run(run())

    assert len(exits) == 1


def test_lagging_report_is_old_and_says_so() -> None:
    async def run() -> endpoints.LoadReport:
        async with engine_rigs.run_engine(load_lag_s=1000.0) as rig:
            await rig.order()
            return (await rig.client.load()).ok

    report = asyncio.run(run())

    assert report.role is endpoints.EndpointRole.IDLE
    assert report.holdings == ()
    assert report.age_s > 0
