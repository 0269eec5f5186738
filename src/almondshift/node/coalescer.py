"""Batches the steps of many requests into few calls to one engine.

A call costs the node about the same for one step as for many, so steps that
arrive while calls are in flight are sent together in the next call.
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
    """How steps are batched.

    Attributes:
        max_calls: Maximum calls in flight: one that the engine runs and one
            queued there, so that it never idles between batches.
        limits: Size limits of one call.
        coalesce: False to send each step in its own call.
    """

    max_calls: int = 2
    limits: step_queue.CallLimits = dataclasses.field(
        default_factory=step_queue.CallLimits
    )
    coalesce: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class CallTiming:
    """Statistics of one call to the engine.

    Attributes:
        items: Number of items in the call.
        tokens: Total tokens of the items.
        layers: Number of layers in the longest layer range among the items.
        seconds: Time from sending to the complete response.
        waited_s: Queueing time of the oldest item.
        error: Kind of the error, ``""`` if the call succeeded.
    """

    items: int
    tokens: int
    layers: int
    seconds: float
    waited_s: float
    error: str


class Coalescer:
    """Queues and batches the steps for one engine.

    Attributes:
        mismatched_results: Number of results dropped because they did not
            match their item.
    """

    def __init__(
        self,
        engine: engines.Engine,
        clock: clocks.Clock,
        settings: CoalescerSettings,
        on_call: Callable[[CallTiming], None],
        call_timeout_s: Callable[[], float],
    ) -> None:
        self.engine = engine
        self.clock = clock
        self.settings = settings
        self.on_call = on_call
        self.call_timeout_s = call_timeout_s
        self.mismatched_results = 0
        limits = settings.limits
        if not settings.coalesce:
            limits = dataclasses.replace(limits, items=1)
        self.queue = step_queue.StepQueue(limits)
        self.sequence = 0
        self.calls: set[asyncio.Task[None]] = set()
        self.is_open = False
        self.is_send_scheduled = False

    async def start(self) -> None:
        """Starts accepting steps."""
        self.is_open = True

    async def close(self) -> None:
        """Fails queued items as not sent and items in flight as unknown."""
        self.is_open = False
        calls = list(self.calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        for waiter in self.queue.drain():
            resolve(
                waiter, unanswered_outcome(waiter, "the connection was closed")
            )

    async def submit(self, item: steps.StepItem) -> step_queue.StepOutcome:
        """Runs one item; waits until its calls have ended or timed out.

        Time in the queue doesn't count towards the time-out: under a burst
        a healthy engine's queue is long, and treating that engine as dead
        would replay the work elsewhere at peak load. When a call gets no
        response, all queued items fail too; those of which no portion was
        sent fail as not sent.

        Args:
            item: The item; a long one may be split into portions.

        Returns:
            The result, whose status may say that it was not run; or
            ``EndpointUnreachable`` or ``EndpointRefused`` if it was not
            run, ``EndpointOutcomeUnknown`` if it, or a part, may have run.
        """
        waiter = self._enqueue(item)
        if not self.is_open:
            return unanswered_outcome(waiter, "the connection is closed")
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
            self._schedule_send()
        return waiter

    def _schedule_send(self) -> None:
        """Sends at the loop's next iteration, batching what arrives by then."""
        if self.is_send_scheduled or len(self.calls) >= self.settings.max_calls:
            return
        self.is_send_scheduled = True
        asyncio.get_running_loop().call_soon(self._send_queued)

    def _send_queued(self) -> None:
        self.is_send_scheduled = False
        while self.is_open and len(self.calls) < self.settings.max_calls:
            portions = self.queue.take()
            if not portions:
                return
            call = asyncio.create_task(self._call(portions))
            self.calls.add(call)
            call.add_done_callback(self._end_call)

    def _end_call(self, call: asyncio.Task[None]) -> None:
        self.calls.discard(call)
        self._schedule_send()

    async def _call(self, portions: list[step_queue.Portion]) -> None:
        sent_at = self.clock.monotonic()
        try:
            outcome = await self._step([portion.item for portion in portions])
        except asyncio.CancelledError:
            for portion in portions:
                resolve(
                    portion.waiter,
                    unanswered_outcome(
                        portion.waiter, "the connection was closed"
                    ),
                )
            raise
        self._report(portions, sent_at, outcome)
        if outcome.is_error():
            self._fail(portions, outcome.error)
            self._fail_queued(outcome.error)
            return
        self._take_results(portions, outcome.ok)

    async def _step(
        self, items: list[steps.StepItem]
    ) -> expression.Result[list[steps.StepResult], engines.EngineError]:
        timeout_s = self.call_timeout_s()
        try:
            async with asyncio.timeout(timeout_s):
                return await self.engine.step(items, timeout_s)
        except TimeoutError:
            detail = f"The engine did not answer within {timeout_s:.2f} s."
            return expression.Error(errors.EndpointOutcomeUnknown(detail))

    def _fail_queued(self, error: engines.EngineError) -> None:
        """Fails the queued items after a call that got no response.

        Otherwise each step queued for a frozen engine would wait for one
        more call to time out, and recovery would take several time-outs.
        """
        if isinstance(error, errors.EndpointRefused):
            return
        for waiter in self.queue.drain():
            resolve(waiter, unanswered_outcome(waiter, "a call got no answer"))

    def _report(
        self,
        portions: list[step_queue.Portion],
        sent_at: float,
        outcome: expression.Result[list[steps.StepResult], engines.EngineError],
    ) -> None:
        oldest = min(portion.waiter.submitted_at for portion in portions)
        tokens = sum(len(portion.item.inputs) for portion in portions)
        self.on_call(
            CallTiming(
                len(portions),
                tokens,
                max(portion.item.layers.count for portion in portions),
                self.clock.monotonic() - sent_at,
                sent_at - oldest,
                outcome.error.kind if outcome.is_error() else "",
            )
        )

    def _fail(
        self,
        portions: list[step_queue.Portion],
        error: engines.EngineError,
    ) -> None:
        for portion in portions:
            resolve(portion.waiter, failed_outcome(portion.waiter, error))

    def _take_results(
        self,
        portions: list[step_queue.Portion],
        results: list[steps.StepResult],
    ) -> None:
        if len(results) != len(portions):
            self.mismatched_results += len(portions)
            detail = f"Got {len(results)} results for {len(portions)} items."
            self._fail(portions, errors.EndpointOutcomeUnknown(detail))
            return
        for portion, result in zip(portions, results, strict=True):
            self._take_result(portion, result)

    def _take_result(
        self, portion: step_queue.Portion, result: steps.StepResult
    ) -> None:
        waiter = portion.waiter
        if not result.answers(portion.item):
            self.mismatched_results += 1
            detail = "The engine returned a result for another item."
            error = errors.EndpointOutcomeUnknown(detail)
            resolve(waiter, expression.Error(error))
            return
        if result.status is not steps.StepStatus.OK:
            resolve(waiter, refused_outcome(waiter, result))
            return
        if portion.item is waiter.item:
            resolve(waiter, expression.Ok(result))
            return
        waiter.outputs.extend(result.outputs)
        self._continue(waiter, result)

    def _continue(
        self, waiter: step_queue.Waiter, result: steps.StepResult
    ) -> None:
        if waiter.remaining:
            self.queue.push(waiter)
            return
        whole = dataclasses.replace(
            result,
            position=waiter.item.position,
            outputs=tuple(waiter.outputs),
        )
        resolve(waiter, expression.Ok(whole))


def resolve(waiter: step_queue.Waiter, outcome: step_queue.StepOutcome) -> None:
    """Resolves a waiter with its outcome, unless it is already done."""
    if not waiter.done.done():
        waiter.done.set_result(outcome)


def expire_waiter(waiter: step_queue.Waiter) -> None:
    """Ends the wait of a waiter whose time has run out."""
    resolve(waiter, unanswered_outcome(waiter, "the step timed out"))


def failed_outcome(
    waiter: step_queue.Waiter, error: engines.EngineError
) -> step_queue.StepOutcome:
    """Returns the outcome of a waiter whose call failed.

    An error that says "not run" applies only to the last portion.
    """
    if waiter.outputs:
        return partial_outcome(waiter, error.detail)
    return expression.Error(error)


def refused_outcome(
    waiter: step_queue.Waiter, result: steps.StepResult
) -> step_queue.StepOutcome:
    """Returns the outcome of a waiter whose portion was not run."""
    if waiter.outputs:
        return partial_outcome(waiter, f"the engine answered {result.status}")
    return expression.Ok(
        dataclasses.replace(result, position=waiter.item.position)
    )


def partial_outcome(
    waiter: step_queue.Waiter, reason: str
) -> step_queue.StepOutcome:
    """Returns the outcome of a waiter whose item ran only in part."""
    ran = len(waiter.outputs)
    detail = f"{ran} of {len(waiter.item.inputs)} inputs ran, then: {reason}."
    return expression.Error(errors.EndpointOutcomeUnknown(detail))


def unanswered_outcome(
    waiter: step_queue.Waiter, reason: str
) -> step_queue.StepOutcome:
    """Returns the outcome of a waiter that is given up without a response."""
    if waiter.is_sent:
        detail = f"The step got no answer: {reason}."
        return expression.Error(errors.EndpointOutcomeUnknown(detail))
    detail = f"The step was not sent: {reason}."
    return expression.Error(errors.EndpointUnreachable(detail))


def create_coalescer(
    engine: engines.Engine,
    clock: clocks.Clock,
    settings: CoalescerSettings,
    on_call: Callable[[CallTiming], None],
    call_timeout_s: Callable[[], float],
) -> Coalescer:
    """Creates a coalescer without starting it.

    Args:
        engine: A started client; the caller closes it.
        clock: Clock used to time calls.
        settings: ``step_queue.limits_for`` returns limits for an engine.
        on_call: Called after each call, including failed ones.
        call_timeout_s: Returns the time-out of the next call in seconds.
    """
    return Coalescer(engine, clock, settings, on_call, call_timeout_s)
