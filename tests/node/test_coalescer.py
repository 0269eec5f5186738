from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import Any

import expression
import pytest

from almondshift import errors
from almondshift.model import layers
from almondshift.model import steps
from almondshift.node import coalescer
from almondshift.node import step_queue
from almondshift.ports import clocks
from almondshift.ports import engines

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Sequence

TIMEOUT_S = 10.0
Calls = "list[list[steps.StepItem]]"


class LoopClock(clocks.Clock):
    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


def make_item(
    session: str, size: int = 1, position: int = 0, priority: int = 1
) -> steps.StepItem:
    return steps.StepItem(
        "r",
        session,
        1,
        position,
        layers.LayerRange(0, 4),
        "m",
        1,
        "",
        priority,
        tuple(range(position, position + size)),
    )


def answer(
    item: steps.StepItem, status: steps.StepStatus = steps.StepStatus.OK
) -> steps.StepResult:
    """Answers an item; each output is its input plus 1,000."""
    outputs = tuple(value + 1000 for value in item.inputs)
    return steps.StepResult(
        item.request_id,
        item.session,
        item.epoch,
        item.position,
        item.layers,
        item.model,
        item.version,
        item.adapter,
        status,
        outputs if status is steps.StepStatus.OK else (),
    )


class FakeEngine(engines.Engine):
    """Holds each call until the test lets it go.

    Attributes:
        calls: Items of each call, in order.
        gates: One for each call; its result is what the call returns.
    """

    def __init__(self) -> None:
        self.calls: list[list[steps.StepItem]] = []
        self.gates: list[asyncio.Future[Any]] = []
        self.is_open = False
        self.running = 0
        self.most_running = 0

    async def step(
        self, items: Sequence[steps.StepItem], timeout_s: float
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

    def finish(self, index: int) -> None:
        results = [answer(item) for item in self.calls[index]]
        self.gates[index].set_result(expression.Ok(results))

    async def wait_for(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.calls) < count:
                await asyncio.sleep(0)

    def finish_all(self) -> None:
        """Lets all calls go, also those that come later."""
        self.is_open = True
        for index, gate in enumerate(self.gates):
            if not gate.done():
                self.finish(index)

    async def start(self) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        raise NotImplementedError

    async def describe(self) -> Any:
        raise NotImplementedError

    async def cancel(self, sessions: Sequence[str]) -> Any:
        raise NotImplementedError

    async def export_kv(self, session: str) -> Any:
        raise NotImplementedError

    async def import_kv(self, snapshot: steps.KvSnapshot) -> Any:
        raise NotImplementedError

    async def load(self) -> Any:
        raise NotImplementedError

    async def cache_events(self, after: int) -> Any:
        raise NotImplementedError

    async def order(self, order: Any) -> Any:
        raise NotImplementedError


class Rig:
    """A coalescer before a fake engine."""

    def __init__(self, settings: coalescer.CoalescerSettings) -> None:
        self.engine = FakeEngine()
        self.timings: list[coalescer.CallTiming] = []
        self.coalescer = coalescer.create_coalescer(
            self.engine, LoopClock(), settings, self.timings.append
        )

    def submit(
        self, item: steps.StepItem, timeout_s: float = TIMEOUT_S
    ) -> asyncio.Task[step_queue.StepOutcome]:
        return asyncio.create_task(self.coalescer.submit(item, timeout_s))


def run_rig(
    use: Callable[[Rig], Coroutine[Any, Any, Any]],
    items: int = 4,
    tokens: int = 32,
    **settings: Any,
) -> Any:
    limits = step_queue.CallLimits(items, tokens)

    async def run() -> Any:
        rig = Rig(coalescer.CoalescerSettings(limits=limits, **settings))
        await rig.coalescer.start()
        try:
            return await use(rig)
        finally:
            await rig.coalescer.close()

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("coalesce", "items", "sizes"),
    [(True, 4, [4, 4, 2]), (True, 64, [10]), (False, 4, [1] * 10)],
    ids=["bounded", "all in one", "off"],
)
def test_steps_travel_together(
    coalesce: bool, items: int, sizes: list[int]
) -> None:
    async def use(rig: Rig) -> list[int]:
        tasks = [rig.submit(make_item(f"s{n}")) for n in range(10)]
        await rig.engine.wait_for(1)
        rig.engine.finish_all()
        for task in tasks:
            assert (await task).ok.outputs == (1000,)
        assert rig.engine.most_running <= 2
        assert [timing.items for timing in rig.timings] == sizes
        return [len(call) for call in rig.engine.calls]

    assert run_rig(use, items=items, coalesce=coalesce) == sizes


def test_steps_that_come_during_calls_wait_for_the_next_one() -> None:
    async def use(rig: Rig) -> list[list[str]]:
        for name in "ab":
            rig.submit(make_item(name))
            await rig.engine.wait_for(ord(name) - ord("a") + 1)
        late = [
            rig.submit(make_item("c")),
            rig.submit(make_item("d")),
            rig.submit(make_item("e", priority=0)),
        ]
        await asyncio.sleep(0)
        rig.engine.finish(0)
        await rig.engine.wait_for(3)
        rig.engine.finish(2)
        await asyncio.gather(*late)
        return [[item.session for item in call] for call in rig.engine.calls]

    assert run_rig(use) == [["a"], ["b"], ["e", "c", "d"]]


def test_long_input_does_not_hold_back_short_ones() -> None:
    """A token of a running request waits for one small call at most.

    A prompt of 1,000 tokens is being taken in when a request that already
    streams submits its next step. Sent whole, the prompt would hold the
    engine for many times the wanted time between tokens.
    """

    async def use(rig: Rig) -> None:
        prompt = rig.submit(make_item("long", 1000))
        await rig.engine.wait_for(1)
        token = rig.submit(make_item("short"))
        await rig.engine.wait_for(2)
        assert [item.session for item in rig.engine.calls[1]] == ["short"]
        rig.engine.finish(0)
        await rig.engine.wait_for(3)
        more = [rig.submit(make_item(f"s{n}")) for n in range(8)]
        await asyncio.sleep(0)
        rig.engine.finish(2)
        await rig.engine.wait_for(4)
        sizes = [len(item.inputs) for item in rig.engine.calls[3]]
        assert sizes == [1, 1, 1, 29]
        rig.engine.finish_all()
        result = (await prompt).ok
        assert result.answers(make_item("long", 1000))
        assert result.outputs == tuple(range(1000, 2000))
        assert all(outcome.is_ok() for outcome in await asyncio.gather(*more))
        assert (await token).is_ok()
        for call in rig.engine.calls:
            assert sum(len(item.inputs) for item in call) <= 32

    run_rig(use)


def test_portions_of_one_input_never_overlap() -> None:
    async def use(rig: Rig) -> list[int]:
        task = rig.submit(make_item("long", 100))
        await rig.engine.wait_for(1)
        rig.engine.finish_all()
        await task
        assert rig.engine.most_running == 1
        return [call[0].position for call in rig.engine.calls]

    assert run_rig(use) == [0, 32, 64, 96]


@pytest.mark.parametrize(
    ("failure", "kind"),
    [
        (errors.EndpointRefused("No."), "endpoint_refused"),
        (errors.EndpointUnreachable("Away."), "endpoint_unreachable"),
        (errors.EndpointOutcomeUnknown("Cut."), "endpoint_outcome_unknown"),
    ],
)
@pytest.mark.parametrize("ran_before", [False, True])
def test_failed_call_fails_its_items(
    failure: engines.EngineError, kind: str, ran_before: bool
) -> None:
    """Each caller of the call sees its error, if that is true for it.

    A long input of which one portion ran before the call failed did run in
    part. "Not run" would be false for it.
    """

    async def use(rig: Rig) -> list[str]:
        long = rig.submit(make_item("long", 64))
        await rig.engine.wait_for(1)
        last = 0
        if ran_before:
            rig.engine.finish(0)
            await rig.engine.wait_for(2)
            last = 1
        rig.engine.gates[last].set_result(expression.Error(failure))
        outcome = await long
        assert rig.timings[-1].error == kind
        return outcome.error.kind

    expected = "endpoint_outcome_unknown" if ran_before else kind
    assert run_rig(use) == expected


@pytest.mark.parametrize("ran_before", [False, True])
def test_refused_portion(ran_before: bool) -> None:
    async def use(rig: Rig) -> step_queue.StepOutcome:
        task = rig.submit(make_item("long", 64))
        await rig.engine.wait_for(1)
        last = 0
        if ran_before:
            rig.engine.finish(0)
            await rig.engine.wait_for(2)
            last = 1
        refused = answer(rig.engine.calls[last][0], steps.StepStatus.BUSY)
        rig.engine.gates[last].set_result(expression.Ok([refused]))
        return await task

    outcome = run_rig(use)

    if ran_before:
        assert isinstance(outcome.error, errors.EndpointOutcomeUnknown)
    else:
        assert outcome.ok.status is steps.StepStatus.BUSY
        assert outcome.ok.position == 0


@pytest.mark.parametrize(
    "changes",
    [
        {"session": "b"},
        {"request_id": "x"},
        {"epoch": 2},
        {"position": 1},
        {"layers": layers.LayerRange(0, 5)},
        {"model": "n"},
        {"version": 2},
        {"adapter": "x"},
        {"outputs": ()},
        {"outputs": (1, 2)},
    ],
    ids=str,
)
def test_result_of_another_item_is_dropped(changes: dict[str, Any]) -> None:
    """No caller gets what answers another step.

    The engine crosses an answer. Its caller sees an unknown outcome, the
    other caller in the call gets its own answer, and the drop is counted.
    """

    async def use(rig: Rig) -> None:
        first = rig.submit(make_item("a"))
        second = rig.submit(make_item("c"))
        await rig.engine.wait_for(1)
        results = [answer(item) for item in rig.engine.calls[0]]
        results[0] = dataclasses.replace(results[0], **changes)
        rig.engine.gates[0].set_result(expression.Ok(results))
        assert isinstance((await first).error, errors.EndpointOutcomeUnknown)
        assert (await second).is_ok()
        assert rig.coalescer.mismatched_echoes == 1

    run_rig(use)


def test_wrong_number_of_results_is_unknown_for_all() -> None:
    async def use(rig: Rig) -> None:
        tasks = [rig.submit(make_item(name)) for name in "ab"]
        await rig.engine.wait_for(1)
        results = [answer(rig.engine.calls[0][0])]
        rig.engine.gates[0].set_result(expression.Ok(results))
        for task in tasks:
            error = (await task).error
            assert isinstance(error, errors.EndpointOutcomeUnknown)

    run_rig(use)


@pytest.mark.parametrize("is_sent", [False, True])
def test_cancelled_waiter_leaves_others_alone(is_sent: bool) -> None:
    async def use(rig: Rig) -> list[list[str]]:
        if not is_sent:
            for number in (1, 2):
                rig.submit(make_item(f"x{number}"))
                await rig.engine.wait_for(number)
        gone = rig.submit(make_item("gone"))
        stays = rig.submit(make_item("stays"))
        await asyncio.sleep(0)
        if is_sent:
            await rig.engine.wait_for(1)
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        rig.engine.finish_all()
        assert (await stays).is_ok()
        return [[item.session for item in call] for call in rig.engine.calls]

    expected = [["gone", "stays"]] if is_sent else [["x1"], ["x2"], ["stays"]]
    assert run_rig(use) == expected


@pytest.mark.parametrize(
    ("is_sent", "error"),
    [
        (True, errors.EndpointOutcomeUnknown),
        (False, errors.EndpointUnreachable),
    ],
)
@pytest.mark.parametrize("ending", ["timeout", "close"])
def test_giving_up_says_whether_it_was_sent(
    is_sent: bool, error: type, ending: str
) -> None:
    async def use(rig: Rig) -> step_queue.StepOutcome:
        if not is_sent:
            for number in (1, 2):
                rig.submit(make_item(f"x{number}"))
                await rig.engine.wait_for(number)
        count = len(rig.engine.calls)
        timeout_s = 0.05 if ending == "timeout" else TIMEOUT_S
        task = rig.submit(make_item("a"), timeout_s)
        await asyncio.sleep(0)
        if is_sent:
            await rig.engine.wait_for(count + 1)
        if ending == "close":
            await rig.coalescer.close()
        return await task

    assert isinstance(run_rig(use).error, error)


def test_submit_after_close_was_not_sent() -> None:
    async def use(rig: Rig) -> step_queue.StepOutcome:
        await rig.coalescer.close()
        return await rig.coalescer.submit(make_item("a"), TIMEOUT_S)

    assert isinstance(run_rig(use).error, errors.EndpointUnreachable)
