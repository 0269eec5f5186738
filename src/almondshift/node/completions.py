"""Admits, dispatches and streams completions."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import struct
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.coordination import quarantine_verdicts
from almondshift.node import pipeline
from almondshift.node import refusals
from almondshift.policy import actions
from almondshift.policy import events
from almondshift.ports import gateway

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from almondshift.model import chains
    from almondshift.model import completions
    from almondshift.node import crash_guard
    from almondshift.node import kept_inputs
    from almondshift.node import router_driver
    from almondshift.ports import clocks


RestartCallback = Callable[
    [pipeline.Pipeline],
    Awaitable[expression.Result[pipeline.Pipeline, errors.AlmondshiftError]],
]


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionSettings:
    """Settings of the pipeline.

    Attributes:
        keep_inputs: Whether stage inputs are kept for replay; without them
            every recovery recomputes from the tokens.
    """

    keep_inputs: bool = True


class RunningCompletion(gateway.CompletionStream):
    """A completion that was dispatched to a chain.

    Attributes:
        pipeline: Runs the completion and holds its tokens so far.
        restart: Returns a pipeline over a new chain, or the error with which
            the router refused one.
    """

    def __init__(
        self,
        work: pipeline.Pipeline,
        driver: router_driver.RouterDriver,
        guard: crash_guard.CrashGuard,
        clock: clocks.Clock,
        restart: RestartCallback,
    ) -> None:
        self.pipeline = work
        self.driver = driver
        self.guard = guard
        self.clock = clock
        self.restart = restart
        self._ended = False

    async def tokens(self) -> AsyncGenerator[int]:
        """Yields the tokens; closing it early cancels the work.

        Raises:
            errors.AlmondshiftError: The completion failed.
        """
        request_id = self.pipeline.request.request_id
        try:
            async for token in self._tokens_with_restart():
                now = self.clock.monotonic()
                self.driver.notify(events.Progress(now, request_id, 1))
                yield token
            self._end(events.Completed(self.clock.monotonic(), request_id))
        finally:
            self.close()

    async def _tokens_with_restart(self) -> AsyncGenerator[int]:
        """Yields the tokens; starts over once if that loses none.

        While a model's version changes, the last engines of the old version
        may be reloaded before a failed stage is replaced. A request without
        tokens so far can run on the new version instead.
        """
        try:
            async with contextlib.aclosing(self.pipeline.generate()) as source:
                async for token in source:
                    yield token
            return
        except errors.NoReplacement:
            request = self.pipeline.request
            if self.pipeline.tokens or not request.idempotent:
                raise
            restarted = await self.restart(self.pipeline)
            if restarted.is_error():
                raise
        self.pipeline = restarted.ok
        async with contextlib.aclosing(self.pipeline.generate()) as source:
            async for token in source:
                yield token

    def close(self) -> None:
        """Cancels the work and notifies the router; idempotent."""
        self.pipeline.close()
        self._end(
            events.Abandoned(
                self.clock.monotonic(), self.pipeline.request.request_id
            )
        )

    def execution(self) -> errors.Execution:
        """Returns whether the completion ran, as the pipeline knows it."""
        return self.pipeline.known_execution()

    def chain(self) -> chains.Chain:
        """Returns the chain in use."""
        return self.pipeline.chain

    def summary(self) -> completions.CompletionSummary:
        """Returns the timings of the completion."""
        return self.pipeline.summary()

    def _end(self, event: events.Completed | events.Abandoned) -> None:
        if self._ended:
            return
        self._ended = True
        self.guard.forget(event.request_id)
        self.driver.notify(event)


class CompletionService:
    """Starts completions."""

    def __init__(
        self,
        calls: pipeline.StageCalls,
        driver: router_driver.RouterDriver,
        guard: crash_guard.CrashGuard,
        budget: kept_inputs.KeptInputsBudget,
        clock: clocks.Clock,
        settings: CompletionSettings,
    ) -> None:
        self.calls = calls
        self.driver = driver
        self.guard = guard
        self.budget = budget
        self.clock = clock
        self.settings = settings

    async def start(
        self, request: completions.CompletionRequest, prefixes: tuple[int, ...]
    ) -> expression.Result[RunningCompletion, errors.AlmondshiftError]:
        """Waits until the router assigns a chain or refuses the request."""
        now = self.clock.monotonic()
        if request.deadline <= now:
            return expression.Error(
                errors.DeadlinePast("The deadline had passed on arrival.")
            )
        admitted = self.guard.admit(request.request_id, _fingerprint(request))
        if admitted.is_error():
            return expression.Error(admitted.error)
        started = await self._start(request, _arrival(request, prefixes, now))
        if started.is_error():
            self.guard.forget(request.request_id)
        return started

    async def _start(
        self, request: completions.CompletionRequest, arrival: events.Arrival
    ) -> expression.Result[RunningCompletion, errors.AlmondshiftError]:
        try:
            decision = await asyncio.wait_for(
                self.driver.decide(arrival), request.deadline - arrival.at
            )
        except TimeoutError:
            return expression.Error(
                errors.DeadlinePast("The deadline passed in the queue.")
            )
        except asyncio.CancelledError:
            self.guard.forget(request.request_id)
            raise
        return self._begin(request, decision)

    def _begin(
        self,
        request: completions.CompletionRequest,
        decision: router_driver.Decision,
    ) -> expression.Result[RunningCompletion, errors.AlmondshiftError]:
        if isinstance(decision, actions.Refuse):
            return expression.Error(refusals.to_error(decision))
        if not isinstance(decision, actions.Dispatch):
            return expression.Error(
                errors.UnknownService("This service takes no completions.")
            )
        work = self._create_pipeline(request, decision.chain)
        return expression.Ok(
            RunningCompletion(
                work, self.driver, self.guard, self.clock, self._restart
            )
        )

    async def _restart(
        self, failed: pipeline.Pipeline
    ) -> expression.Result[pipeline.Pipeline, errors.AlmondshiftError]:
        """Starts a request over; its sessions get ids of a new epoch."""
        request = failed.request
        now = self.clock.monotonic()
        left_s = request.deadline - now
        try:
            decision = await asyncio.wait_for(
                self.driver.decide(_arrival(request, (), now)), left_s
            )
        except TimeoutError:
            return expression.Error(
                errors.DeadlinePast("The deadline passed in the queue.")
            )
        if isinstance(decision, actions.Refuse):
            return expression.Error(refusals.to_error(decision))
        if not isinstance(decision, actions.Dispatch):
            return expression.Error(
                errors.UnknownService("This service takes no completions.")
            )
        work = self._create_pipeline(
            request, decision.chain, epoch=failed.epoch + 1
        )
        work.execution = failed.execution
        return expression.Ok(work)

    def _create_pipeline(
        self,
        request: completions.CompletionRequest,
        chain: chains.Chain,
        epoch: int = 0,
    ) -> pipeline.Pipeline:
        return pipeline.Pipeline(
            request,
            chain,
            self.calls,
            self.budget,
            self.clock,
            keep_inputs=self.settings.keep_inputs,
            epoch=epoch,
        )


def _fingerprint(request: completions.CompletionRequest) -> str:
    content = struct.pack(f"<{len(request.prompt)}Q", *request.prompt)
    return quarantine_verdicts.fingerprint_of(request.service, content)


def _arrival(
    request: completions.CompletionRequest,
    prefixes: tuple[int, ...],
    now: float,
) -> events.Arrival:
    return events.Arrival(
        at=now,
        request_id=request.request_id,
        account=request.account,
        service=request.service,
        priority=request.priority,
        prompt_tokens=len(request.prompt),
        max_tokens=request.max_tokens,
        deadline=request.deadline,
        idempotent=request.idempotent,
        prefixes=prefixes,
    )
