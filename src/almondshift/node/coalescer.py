"""Sends steps of many requests to one engine in few calls.

A call costs the node about the same whether it carries one step or many, so
what arrives while calls are in flight travels together in the next one.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.model import steps
from almondshift.node import step_queue

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.ports import clocks
    from almondshift.ports import engines


@dataclasses.dataclass(frozen=True, slots=True)
class CoalescerSettings:
    """How steps travel.

    Attributes:
        max_calls: Calls in flight: one that the engine runs and one that
            waits there, so that it never idles between batches.
        limits: What fits in one call.
        coalesce: False to send each step in a call of its own.
    """

    max_calls: int = 2
    limits: step_queue.CallLimits = dataclasses.field(
        default_factory=step_queue.CallLimits
    )
    coalesce: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class CallTiming:
    """One call to the engine.

    Attributes:
        items: Items that it carried.
        tokens: Their tokens.
        layers: Layers that the longest range among them has.
        seconds: From sending to the whole answer.
        waited_s: How long its oldest item waited before.
        error: Kind of the error, ``""`` if it was answered.
    """

    items: int
    tokens: int
    layers: int
    seconds: float
    waited_s: float
    error: str


class Coalescer:
    """Steps to one engine.

    Attributes:
        mismatched_echoes: Results that did not echo their item; dropped.
    """

    def __init__(
        self,
        engine: engines.Engine,
        clock: clocks.Clock,
        settings: CoalescerSettings,
        on_call: Callable[[CallTiming], None],
        call_limit_s: Callable[[], float],
    ) -> None:
        self.engine = engine
        self.clock = clock
        self.settings = settings
        self.on_call = on_call
        self.call_limit_s = call_limit_s
        self.mismatched_echoes = 0
        limits = settings.limits
        if not settings.coalesce:
            limits = dataclasses.replace(limits, items=1)
        self.queue = step_queue.StepQueue(limits)
        self.sequence = 0
        self.calls: set[asyncio.Task[None]] = set()
        self.is_open = False
        self.pump_is_due = False

    async def start(self) -> None:
        """Accepts steps."""
        self.is_open = True

    async def close(self) -> None:
        """Fails what waits as not sent, and what is in flight as unknown."""
        self.is_open = False
        calls = list(self.calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        for waiter in self.queue.drain():
            resolve(waiter, give_up(waiter, "the connection was closed"))

    async def submit(self, item: steps.StepItem) -> step_queue.StepOutcome:
        """Runs one item; ends when its call ends, which is limited.

        Time in the queue doesn't count against the limit: under a burst a
        healthy engine's queue is long, and taking that for a dead engine
        would replay the work elsewhere when all are busiest. When a call
        gets no answer, all that waits is given back as not sent.

        Args:
            item: The item; a long one may travel in portions.

        Returns:
            The result, whose status may say that it was not run; or
            ``EndpointUnreachable`` and ``EndpointRefused`` if it was not
            run, ``EndpointOutcomeUnknown`` if it, or a part, may have run.
        """
        waiter = self._enqueue(item)
        if not self.is_open:
            return give_up(waiter, "the connection is closed")
        return await waiter.done

    def _enqueue(self, item: steps.StepItem) -> step_queue.Waiter:
        self.sequence += 1
        waiter = step_queue.Waiter(
            item,
            self.sequence,
            self.clock.monotonic(),
            asyncio.get_running_loop().create_future(),
        )
        if self.is_open:
            self.queue.push(waiter)
            self._schedule_pump()
        return waiter

    def _schedule_pump(self) -> None:
        """Sends in the loop's next round, with all that comes until then."""
        if self.pump_is_due or len(self.calls) >= self.settings.max_calls:
            return
        self.pump_is_due = True
        asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self.pump_is_due = False
        while self.is_open and len(self.calls) < self.settings.max_calls:
            portions = self.queue.take()
            if not portions:
                return
            call = asyncio.create_task(self._call(portions))
            self.calls.add(call)
            call.add_done_callback(self._end_call)

    def _end_call(self, call: asyncio.Task[None]) -> None:
        self.calls.discard(call)
        self._schedule_pump()

    async def _call(self, portions: list[step_queue.Portion]) -> None:
        begun_at = self.clock.monotonic()
        try:
            outcome = await self._step([portion.item for portion in portions])
        except asyncio.CancelledError:
            for portion in portions:
                resolve(
                    portion.waiter,
                    give_up(portion.waiter, "the connection was closed"),
                )
            raise
        self._report(portions, begun_at, outcome)
        if outcome.is_error():
            self._fail(portions, outcome.error)
            self._give_back_waiting(outcome.error)
            return
        self._answer(portions, outcome.ok)

    async def _step(
        self, items: list[steps.StepItem]
    ) -> expression.Result[list[steps.StepResult], engines.EngineError]:
        limit_s = self.call_limit_s()
        try:
            async with asyncio.timeout(limit_s):
                return await self.engine.step(items, limit_s)
        except TimeoutError:
            detail = f"No answer came to a call within {limit_s:.2f} s."
            return expression.Error(errors.EndpointOutcomeUnknown(detail))

    def _give_back_waiting(self, error: engines.EngineError) -> None:
        """Ends what waits behind a call that got no answer.

        Behind a frozen engine each waiting step would else wait for one
        more call to time out, and recovery would take several limits.
        """
        if isinstance(error, errors.EndpointRefused):
            return
        for waiter in self.queue.drain():
            resolve(waiter, give_up(waiter, "a call got no answer"))

    def _report(
        self,
        portions: list[step_queue.Portion],
        begun_at: float,
        outcome: expression.Result[list[steps.StepResult], engines.EngineError],
    ) -> None:
        oldest = min(portion.waiter.submitted_at for portion in portions)
        tokens = sum(len(portion.item.inputs) for portion in portions)
        self.on_call(
            CallTiming(
                len(portions),
                tokens,
                max(portion.item.layers.count for portion in portions),
                self.clock.monotonic() - begun_at,
                begun_at - oldest,
                outcome.error.kind if outcome.is_error() else "",
            )
        )

    def _fail(
        self,
        portions: list[step_queue.Portion],
        error: engines.EngineError,
    ) -> None:
        for portion in portions:
            resolve(portion.waiter, failure(portion.waiter, error))

    def _answer(
        self,
        portions: list[step_queue.Portion],
        results: list[steps.StepResult],
    ) -> None:
        if len(results) != len(portions):
            self.mismatched_echoes += len(portions)
            detail = f"{len(results)} results came for {len(portions)} items."
            self._fail(portions, errors.EndpointOutcomeUnknown(detail))
            return
        for portion, result in zip(portions, results, strict=True):
            self._take_result(portion, result)

    def _take_result(
        self, portion: step_queue.Portion, result: steps.StepResult
    ) -> None:
        waiter = portion.waiter
        if not result.answers(portion.item):
            self.mismatched_echoes += 1
            detail = "A result came that answers another item."
            error = errors.EndpointOutcomeUnknown(detail)
            resolve(waiter, expression.Error(error))
            return
        if result.status is not steps.StepStatus.OK:
            resolve(waiter, refusal(waiter, result))
            return
        if portion.item is waiter.item:
            resolve(waiter, expression.Ok(result))
            return
        waiter.outputs.extend(result.outputs)
        self._continue(waiter, result)

    def _continue(
        self, waiter: step_queue.Waiter, result: steps.StepResult
    ) -> None:
        if waiter.left:
            self.queue.push(waiter)
            return
        whole = dataclasses.replace(
            result,
            position=waiter.item.position,
            outputs=tuple(waiter.outputs),
        )
        resolve(waiter, expression.Ok(whole))


def resolve(waiter: step_queue.Waiter, outcome: step_queue.StepOutcome) -> None:
    """Gives a waiter its outcome, unless it left."""
    if not waiter.done.done():
        waiter.done.set_result(outcome)


def expire(waiter: step_queue.Waiter) -> None:
    """Ends the wait of a waiter whose time is over."""
    resolve(waiter, give_up(waiter, "the time was over"))


def failure(
    waiter: step_queue.Waiter, error: engines.EngineError
) -> step_queue.StepOutcome:
    """Returns the outcome of a waiter whose call failed.

    An error that says "not run" speaks of the last portion only.
    """
    if waiter.outputs:
        return partly_run(waiter, error.detail)
    return expression.Error(error)


def refusal(
    waiter: step_queue.Waiter, result: steps.StepResult
) -> step_queue.StepOutcome:
    """Returns the outcome of a waiter whose portion was not run."""
    if waiter.outputs:
        return partly_run(waiter, f"the engine answered {result.status}")
    return expression.Ok(
        dataclasses.replace(result, position=waiter.item.position)
    )


def partly_run(
    waiter: step_queue.Waiter, reason: str
) -> step_queue.StepOutcome:
    """Returns the outcome of a waiter of which some portions ran."""
    ran = len(waiter.outputs)
    detail = f"{ran} of {len(waiter.item.inputs)} inputs ran, then: {reason}."
    return expression.Error(errors.EndpointOutcomeUnknown(detail))


def give_up(waiter: step_queue.Waiter, reason: str) -> step_queue.StepOutcome:
    """Returns the outcome of a waiter that waits no longer."""
    if waiter.is_sent:
        detail = f"No answer came to a step: {reason}."
        return expression.Error(errors.EndpointOutcomeUnknown(detail))
    detail = f"A step was not sent: {reason}."
    return expression.Error(errors.EndpointUnreachable(detail))


def create_coalescer(
    engine: engines.Engine,
    clock: clocks.Clock,
    settings: CoalescerSettings,
    on_call: Callable[[CallTiming], None],
    call_limit_s: Callable[[], float],
) -> Coalescer:
    """Creates a coalescer; it is not started yet.

    Args:
        engine: A started connection; the caller closes it.
        clock: Measures calls.
        settings: ``step_queue.limits_for`` gives limits that fit an engine.
        on_call: Called after each call, also a failed one.
        call_limit_s: Gives the seconds that the next call may take.
    """
    return Coalescer(engine, clock, settings, on_call, call_limit_s)
