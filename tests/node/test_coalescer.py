from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

import expression
import pytest

from almondshift import errors
from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.model import steps
from almondshift.node import coalescer
from almondshift.node import step_queue
from almondshift.ports import clocks
from almondshift.ports import engines
from tests import asynchronous
from tests.standins import rigs

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Sequence

TIMEOUT_S = 10.0
Status = steps.StepStatus


def make_item(session: str, size: int = 1, **fields: int) -> steps.StepItem:
    return rigs.make_item(tuple(range(size)), session=session, **fields)


def make_result(item: steps.StepItem, status: Status = Status.OK) -> Any:
    """Returns the result of an item; each output is its input plus 1,000."""
    outputs = tuple(value + 1000 for value in item.inputs)
    is_ok = status is Status.OK
    return item.answer(status, outputs if is_ok else ())


class Rig:
    """A coalescer with an engine that blocks each call until released.

    Attributes:
        calls: Items of each call, in order.
        gates: One future for each call; its result is the call's result.
        is_open: Whether calls return their results at once.
        call_timeout_s: Time-out of a call in seconds.
    """

    def __init__(self, settings: coalescer.CoalescerSettings) -> None:
        engine = mock.create_autospec(engines.Engine, instance=True)
        engine.step = self.step
        clock = mock.create_autospec(clocks.Clock, instance=True)
        clock.monotonic = time.monotonic
        self.calls: list[list[steps.StepItem]] = []
        self.gates: list[asyncio.Future[Any]] = []
        self.is_open = False
        self.call_timeout_s = TIMEOUT_S
        self.running = 0
        self.most_running = 0
        self.timings: list[coalescer.CallTiming] = []
        self.coalescer = coalescer.create_coalescer(
            engine,
            clock,
            settings,
            self.timings.append,
            lambda: self.call_timeout_s,
        )

    async def step(
        self, items: Sequence[steps.StepItem], _: float
    ) -> expression.Result[list[steps.StepResult], engines.EngineError]:
        self.calls.append(list(items))
        gate = asyncio.get_running_loop().create_future()
        self.gates.append(gate)
        if self.is_open:
            self.finish(len(self.calls) - 1)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return await gate
        finally:
            self.running -= 1

    def submit(
        self, item: steps.StepItem
    ) -> asyncio.Task[step_queue.StepOutcome]:
        return asyncio.create_task(self.coalescer.submit(item))

    async def wait_for_calls(self, count: int) -> None:
        await asynchronous.wait_until(lambda: len(self.calls) >= count)

    async def fill_calls(self) -> None:
        """Starts the two allowed calls, so that further items are queued."""
        for number in (1, 2):
            self.submit(make_item(f"x{number}"))
            await self.wait_for_calls(number)

    def finish(self, index: int) -> None:
        results = [make_result(item) for item in self.calls[index]]
        self.gates[index].set_result(expression.Ok(results))

    def finish_all(self) -> None:
        """Releases all calls, including later ones."""
        self.is_open = True
        for index, gate in enumerate(self.gates):
            if not gate.done():
                self.finish(index)

    def sessions(self) -> list[list[str]]:
        return [[item.session for item in call] for call in self.calls]


@contextlib.asynccontextmanager
async def run_rig(items: int = 4, coalesce: bool = True) -> AsyncIterator[Rig]:
    limits = step_queue.CallLimits(items, 32)
    settings = coalescer.CoalescerSettings(limits=limits, coalesce=coalesce)
    rig = Rig(settings)
    await rig.coalescer.start()
    yield rig
    await rig.coalescer.close()


@pytest.mark.parametrize(
    ("token_s", "layer_count", "tokens"),
    [(0.0001, 5, 80), (0.0001, 20, 20), (0.001, 20, 16), (0.0, 5, 4 * 10**7)],
    ids=["fast", "many layers", "slow", "in no time"],
)
def test_call_limits_follow_the_engine(
    token_s: float, layer_count: int, tokens: int
) -> None:
    engine = endpoints.EndpointDescription(
        "e1", "i1", "fast", 20, 0.01, token_s, 48, 64
    )
    limits = step_queue.limits_for(engine, layer_count)

    assert limits.items == 48
    assert limits.tokens == tokens


@pytest.mark.parametrize(
    ("coalesce", "items", "sizes"),
    [(True, 4, [4, 4, 2]), (True, 64, [10]), (False, 4, [1] * 10)],
    ids=["bounded", "all in one", "off"],
)
@asynchronous.run
async def test_steps_are_batched(
    coalesce: bool, items: int, sizes: list[int]
) -> None:
    async with run_rig(items, coalesce) as rig:
        tasks = [rig.submit(make_item(f"s{n}")) for n in range(10)]
        await rig.wait_for_calls(1)
        rig.finish_all()
        for task in tasks:
            assert (await task).ok.outputs == (1000,)

        assert rig.most_running <= 2
        assert [len(call) for call in rig.calls] == sizes
        assert [timing.items for timing in rig.timings] == sizes


@asynchronous.run
async def test_steps_arriving_during_calls_join_the_next_call() -> None:
    async with run_rig() as rig:
        await rig.fill_calls()
        late = [
            rig.submit(make_item("c")),
            rig.submit(make_item("d")),
            rig.submit(make_item("e", priority=0)),
        ]
        await asyncio.sleep(0)
        rig.finish_all()
        await asyncio.gather(*late)

        assert rig.sessions() == [["x1"], ["x2"], ["e", "c", "d"]]


@asynchronous.run
async def test_long_input_does_not_delay_short_ones() -> None:
    """A token of a running request waits for at most one small call.

    A prompt of 1,000 tokens is being processed when a streaming request
    submits its next step. Sent in one call, the prompt would block the
    engine for many times the target time between tokens.
    """
    async with run_rig() as rig:
        prompt = rig.submit(make_item("long", 1000))
        await rig.wait_for_calls(1)
        token = rig.submit(make_item("short"))
        await rig.wait_for_calls(2)
        rig.finish(0)
        await rig.wait_for_calls(3)
        more = [rig.submit(make_item(f"s{n}")) for n in range(8)]
        await asyncio.sleep(0)
        rig.finish(2)
        await rig.wait_for_calls(4)
        rig.finish_all()
        result = (await prompt).ok
        shorts = await asyncio.gather(token, *more)

        assert all(outcome.is_ok() for outcome in shorts)
        assert rig.sessions()[1] == ["short"]
        assert [len(item.inputs) for item in rig.calls[3]] == [1, 1, 1, 29]
        assert result.answers(make_item("long", 1000))
        assert result.outputs == tuple(range(1000, 2000))
        assert all(timing.tokens <= 32 for timing in rig.timings)


@asynchronous.run
async def test_portions_of_one_input_never_overlap() -> None:
    async with run_rig() as rig:
        task = rig.submit(make_item("long", 100))
        await rig.wait_for_calls(1)
        rig.finish_all()
        await task

        assert rig.most_running == 1
        assert [call[0].position for call in rig.calls] == [0, 32, 64, 96]


@pytest.mark.parametrize(
    ("failure", "kind"),
    [
        (errors.EndpointRefused("No."), "endpoint_refused"),
        (errors.EndpointUnreachable("Away."), "endpoint_unreachable"),
        (errors.EndpointOutcomeUnknown("Cut."), "endpoint_outcome_unknown"),
        (Status.BUSY, "busy"),
    ],
)
@pytest.mark.parametrize("ran_before", [False, True])
@asynchronous.run
async def test_failed_call_fails_its_items(
    failure: engines.EngineError | Status,
    kind: str,
    ran_before: bool,
) -> None:
    """All items of a failed call get its error, unless they ran in part.

    If a portion of a long input ran before the call failed, "not run" would
    be wrong for that input.
    """
    async with run_rig() as rig:
        task = rig.submit(make_item("long", 64))
        await rig.wait_for_calls(1)
        if ran_before:
            rig.finish(0)
            await rig.wait_for_calls(2)
        result: expression.Result[Any, Any] = expression.Error(failure)
        if isinstance(failure, Status):
            result = expression.Ok([make_result(rig.calls[-1][0], failure)])
        rig.gates[-1].set_result(result)
        outcome = await task

        if ran_before:
            assert isinstance(outcome.error, errors.EndpointOutcomeUnknown)
        elif outcome.is_ok():
            assert (outcome.ok.status, outcome.ok.position) == (kind, 0)
        else:
            assert outcome.error.kind == rig.timings[-1].error == kind


@pytest.mark.parametrize(
    "changes",
    [
        None,
        *({"session": "b"}, {"request_id": "x"}, {"epoch": 2}),
        *({"position": 1}, {"layers": layers.LayerRange(0, 5)}),
        *({"model": "n"}, {"version": 2}, {"adapter": "x"}),
        *({"outputs": ()}, {"outputs": (1, 2)}),
    ],
    ids=str,
)
@asynchronous.run
async def test_result_of_another_item_is_dropped(
    changes: dict[str, Any] | None,
) -> None:
    """No caller gets the result of another step.

    The engine returns a result that doesn't match its item. That caller gets
    an unknown outcome, the other caller gets its own result, and the dropped
    result is counted. If a result is missing, results can't be assigned to
    items, and all are dropped.
    """
    async with run_rig() as rig:
        tasks = [rig.submit(make_item(name)) for name in "ac"]
        await rig.wait_for_calls(1)
        first, second = (make_result(item) for item in rig.calls[0])
        results = [second]
        if changes:
            results = [dataclasses.replace(first, **changes), second]
        rig.gates[0].set_result(expression.Ok(results))
        outcomes = await asyncio.gather(*tasks)

        assert outcomes[1].is_ok() == bool(changes)
        assert isinstance(outcomes[0].error, errors.EndpointOutcomeUnknown)
        assert rig.coalescer.mismatched_results == (1 if changes else 2)


@pytest.mark.parametrize(
    ("is_sent", "sessions"),
    [(True, [["gone", "stays"]]), (False, [["x1"], ["x2"], ["stays"]])],
)
@asynchronous.run
async def test_cancelled_waiter_does_not_affect_others(
    is_sent: bool, sessions: list[list[str]]
) -> None:
    async with run_rig() as rig:
        if not is_sent:
            await rig.fill_calls()
        gone = rig.submit(make_item("gone"))
        stays = rig.submit(make_item("stays"))
        await asyncio.sleep(0)
        await rig.wait_for_calls(1)
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        rig.finish_all()

        assert (await stays).is_ok()
        assert rig.sessions() == sessions


@pytest.mark.parametrize(
    ("is_sent", "error"),
    [
        (True, errors.EndpointOutcomeUnknown),
        (False, errors.EndpointUnreachable),
    ],
)
@pytest.mark.parametrize("ending", ["timeout", "close", "closed before"])
@asynchronous.run
async def test_unanswered_item_reports_whether_it_was_sent(
    is_sent: bool, error: type[errors.AlmondshiftError], ending: str
) -> None:
    async with run_rig() as rig:
        if ending == "timeout":
            rig.call_timeout_s = 0.1
        if not is_sent:
            await rig.fill_calls()
        if ending == "closed before":
            await rig.coalescer.close()
            error = errors.EndpointUnreachable
        task = rig.submit(make_item("a"))
        for _ in range(10):
            await asyncio.sleep(0)
        if ending == "close":
            await rig.coalescer.close()

        assert isinstance((await task).error, error)
