from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import pytest

from almondshift import errors
from almondshift.model import endpoints
from almondshift.standins import reference
from tests import asynchronous
from tests.standins import rigs

if TYPE_CHECKING:
    from almondshift.model import steps

PROMPT = (72, 105, 2**32)


@asynchronous.run
async def test_chain_of_engines_gives_the_reference_answer() -> None:
    async with (
        rigs.run_engine() as first,
        rigs.run_engine() as second,
    ):
        await first.serve(0, 1)
        await second.serve(1, 4)
        tokens = list(PROMPT)
        position = 0
        while len(tokens) < len(PROMPT) + 20:
            item = rigs.make_item(tuple(tokens[position:]), position, end=1)
            (middle,) = await first.step(item)
            item = rigs.make_item(middle.outputs, position, start=1)
            (last,) = await second.step(item)
            position = len(tokens)
            tokens.append(last.outputs[-1])

    expected = reference.complete("m", 1, "", 4, PROMPT, 20)
    assert tuple(tokens[len(PROMPT) :]) == expected


@pytest.mark.parametrize(
    ("item", "status"),
    [
        (rigs.make_item((4,), 3), "ok"),
        (rigs.make_item((4,), 2), "position_mismatch"),
        (rigs.make_item((4,), 4), "position_mismatch"),
        (rigs.make_item(PROMPT, 0), "position_mismatch"),
        (rigs.make_item((4,), 3, session="x"), "unknown_session"),
        (rigs.make_item((4,), 3, version=2), "unknown_session"),
        (rigs.make_item((4,), 3, end=3), "unknown_session"),
        (rigs.make_item(session="n", version=2), "wrong_model"),
        (rigs.make_item(session="n", end=5), "wrong_model"),
        (rigs.make_item(session="n"), "ok"),
    ],
)
@asynchronous.run
async def test_status_and_ledger_agree(
    item: steps.StepItem, status: str
) -> None:
    """A refused item does not run, according to the ledger."""
    async with rigs.run_engine() as rig:
        await rig.serve()
        await rig.step(rigs.make_item(PROMPT))
        (result,) = await rig.step(item)

        assert result.answers(item)
        assert result.status == status
        assert len(await rig.ledger("position")) == 1 + (status == "ok")


@asynchronous.run
async def test_other_kv_state_changes_the_answer() -> None:
    async with rigs.run_engine() as rig:
        await rig.serve(0, 3)
        await rig.step(rigs.make_item((1,), 0, "a", end=3))
        await rig.step(rigs.make_item((2,), 0, "b", end=3))
        first, second = await rig.step(
            rigs.make_item((9,), 1, "a", end=3),
            rigs.make_item((9,), 1, "b", end=3),
        )

        assert first.outputs != second.outputs


@pytest.mark.parametrize(
    ("idle_s", "status", "kept_sessions"),
    [(1000.0, "busy", ["a", "b"]), (0.0, "ok", ["b", "c"])],
    ids=["in use", "least recently used goes"],
)
@asynchronous.run
async def test_full_session_memory(
    idle_s: float, status: str, kept_sessions: list[str]
) -> None:
    async with rigs.run_engine(max_sessions=2, session_idle_s=idle_s) as rig:
        await rig.serve()
        await rig.step(rigs.make_item(session="a"))
        await rig.step(rigs.make_item(session="b"))

        assert await rig.statuses(rigs.make_item(session="c")) == [status]
        assert list(rig.engine.session_table.sessions) == kept_sessions


@asynchronous.run
async def test_kv_moves_to_another_engine() -> None:
    async with (
        rigs.run_engine() as old,
        rigs.run_engine() as new,
    ):
        await old.serve()
        await new.serve()
        await old.step(rigs.make_item(PROMPT))
        snapshot = (await old.client.export_kv("s")).ok
        moved = dataclasses.replace(snapshot, session="t")

        assert (await new.client.import_kv(moved)).is_ok()
        again = (await new.client.import_kv(moved)).error
        assert isinstance(again, errors.EndpointRefused)
        (stayed,) = await old.step(rigs.make_item((7,), 3))
        (went,) = await new.step(rigs.make_item((7,), 3, "t"))
        assert went.outputs == stayed.outputs != ()


@pytest.mark.parametrize(
    ("is_vm_leaving", "status"), [(True, "leaving"), (False, "wrong_model")]
)
@asynchronous.run
async def test_leaving_or_draining_engine_serves_running_sessions_only(
    is_vm_leaving: bool, status: str
) -> None:
    """A draining engine must not report that its VM is leaving.

    Otherwise all later plans would exclude it, and the new version of its
    model would never be loaded.
    """
    async with rigs.run_engine() as rig:
        await rig.serve()
        await rig.step(rigs.make_item(PROMPT))
        if is_vm_leaving:
            await rig.control(leaving=True)
        else:
            await rig.order(role=endpoints.EndpointRole.DRAINING)

        items = (rigs.make_item((4,), 3), rigs.make_item(session="n"))
        assert await rig.statuses(*items) == ["ok", status]
        assert (await rig.client.load()).ok.leaving == is_vm_leaving


@pytest.mark.parametrize("method", ["cancel", "drop"])
@asynchronous.run
async def test_dropped_session_frees_memory(method: str) -> None:
    async with rigs.run_engine(max_sessions=1) as rig:
        await rig.serve()
        await rig.step(rigs.make_item(PROMPT))
        if method == "cancel":
            await rig.client.cancel(["s", "unknown"])
        else:
            await rig.control(drop_kv=True)

        items = (rigs.make_item((4,), 3), rigs.make_item(session="n"))
        assert await rig.statuses(*items) == ["unknown_session", "ok"]


@pytest.mark.parametrize(
    ("switches", "error", "ran", "again"),
    [
        (
            {"swallow_answers": 1},
            errors.EndpointOutcomeUnknown,
            [0, 3],
            "position_mismatch",
        ),
        (
            {"swallow_answers": 1, "swallow": "hang"},
            errors.EndpointOutcomeUnknown,
            [0, 3],
            "position_mismatch",
        ),
        ({"refuse_all": True}, errors.EndpointRefused, [0], "ok"),
    ],
)
@asynchronous.run
async def test_error_tells_whether_the_step_ran(
    switches: dict[str, Any],
    error: type[errors.AlmondshiftError],
    ran: list[int],
    again: str,
) -> None:
    """The error tells whether the step may have run.

    The engine runs the step and closes the connection or never responds, as
    after a crash; or it refuses the step before running it. A retry of a step
    that ran is refused because its session is at a later position.
    """
    async with rigs.run_engine() as rig:
        await rig.serve()
        await rig.step(rigs.make_item(PROMPT))
        await rig.control(**switches)
        item = rigs.make_item((4,), 3)
        outcome = await rig.client.step([item], 1.0)

        assert isinstance(outcome.error, error)
        assert await rig.ledger("position") == ran
        await rig.control(refuse_all=False)
        assert await rig.statuses(item) == [again]


@asynchronous.run
async def test_crash_token_ends_the_process_at_that_prompt_only() -> None:
    exits: list[int] = []
    async with rigs.run_engine(exit_process=exits.append) as rig:
        await rig.serve()
        await rig.control(crash_token=666)
        await rig.step(rigs.make_item((1, 2), session="a"))
        assert exits == []
        await rig.step(rigs.make_item((1, 666), session="b"))

    assert len(exits) == 1


@asynchronous.run
async def test_lagging_report_is_old_and_says_so() -> None:
    async with rigs.run_engine(load_lag_s=1000.0) as rig:
        await rig.order()
        report = (await rig.client.load()).ok

    assert report.role is endpoints.EndpointRole.IDLE
    assert report.holdings == ()
    assert report.age_s > 0
