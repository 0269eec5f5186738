"""Runs one completion over a chain, position by position.

Each stage knows the inputs it was given. When a stage is lost, a replacement
is opened with a new session and is fed those inputs from position 0; stages
after it are left alone, since what comes out again is what they already have.
"""

from __future__ import annotations

import abc
import asyncio
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.model import completions
from almondshift.model import steps
from almondshift.node import stage_run
from almondshift.policy import events

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from almondshift.model import chains
    from almondshift.node import kept_inputs
    from almondshift.ports import clocks
    from almondshift.ports import engines

PREFILL_CHUNK = 256
"""Positions in one step; longer prompts are split, so that the decode steps
of other requests are not held back by more than one such step."""

BUSY_TRIES = 6
BUSY_WAIT_S = 0.02
REFUSED_WAIT_S = 0.05
LONGEST_REFUSED_WAIT_S = 0.8

_REASONS = {
    steps.StepStatus.LEAVING: events.FailureReason.LEAVING,
    steps.StepStatus.BUSY: events.FailureReason.REFUSED,
    steps.StepStatus.WRONG_MODEL: events.FailureReason.REFUSED,
    steps.StepStatus.UNKNOWN_SESSION: events.FailureReason.BROKEN,
    steps.StepStatus.POSITION_MISMATCH: events.FailureReason.BROKEN,
}


class StageLost(Exception):
    """A stage's session can't be stepped any more."""

    def __init__(self, reason: events.FailureReason) -> None:
        self.reason = reason
        super().__init__(reason)


class StageCalls(abc.ABC):
    """How a pipeline reaches endpoints and decisions."""

    @abc.abstractmethod
    async def step(
        self, endpoint: str, item: steps.StepItem
    ) -> expression.Result[steps.StepResult, engines.EngineError]:
        """Runs one item on an endpoint, within a limit of its own."""

    @abc.abstractmethod
    async def replace(
        self, failure: events.StageFailed
    ) -> expression.Result[tuple[chains.Stage, ...], errors.AlmondshiftError]:
        """Decides which stages take over from a lost one."""

    @abc.abstractmethod
    def abandon(self, endpoint: str, session: str) -> None:
        """Drops a session without waiting."""

    @abc.abstractmethod
    async def move_kv(
        self, source: str, session: str, target: str, new_session: str
    ) -> int:
        """Copies a KV cache; returns the positions it holds, 0 if failed."""

    @abc.abstractmethod
    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether an endpoint is leaving."""


@dataclasses.dataclass(slots=True)
class _Lost:
    """What is known of the latest failure until the next token."""

    at: float
    endpoint: str
    replacement: tuple[str, ...] = ()
    replayed: int = 0
    restarted: bool = False


class Pipeline:
    """A running completion.

    Attributes:
        chain: The chain in use; changes with each recovery.
        tokens: Tokens that came out so far.
        recoveries: Recoveries so far.
        execution: Whether any engine ran any part of it.
    """

    def __init__(
        self,
        request: completions.CompletionRequest,
        chain: chains.Chain,
        calls: StageCalls,
        budget: kept_inputs.KeptInputs,
        clock: clocks.Clock,
        *,
        keep_inputs: bool = True,
    ) -> None:
        self.request = request
        self.chain = chain
        self.calls = calls
        self.budget = budget
        self.clock = clock
        self.keep_inputs = keep_inputs
        self.tokens: list[int] = []
        self.recoveries: list[completions.Recovery] = []
        self.execution = errors.Execution.NOT_RUN
        self.epoch = 0
        self.runs: list[stage_run.StageRun] = []
        self.retired: list[stage_run.StageRun] = []
        self._lost: _Lost | None = None
        self._sampled: int | None = None
        self._staying: set[str] = set()
        self._refusals = 0
        self._is_stepping = False

    async def generate(self) -> AsyncGenerator[int]:
        """Yields each token once, in order.

        Raises:
            errors.AlmondshiftError: The request can't be completed.
        """
        self._open_first_chain()
        try:
            while len(self.tokens) < self.request.max_tokens:
                token = await self._next_token()
                self.tokens.append(token)
                self.runs[0].inputs.append(token)
                self._note_recovery()
                yield token
        except errors.AlmondshiftError as error:
            raise self._final(error) from error
        finally:
            self.close()

    def _final(self, error: errors.AlmondshiftError) -> errors.AlmondshiftError:
        """Returns an error that says what is known of execution here.

        The router that gave up knows only that no endpoint is left. Whether
        one ran a step, and so whether the caller may hear "not run", is
        known by the answers that came.
        """
        error.execution = self.execution
        repeatable = self.request.idempotent
        if repeatable or self.execution is errors.Execution.NOT_RUN:
            return error
        if not isinstance(error, errors.UpstreamFailed):
            return error
        return errors.OutcomeUnknown(error.detail, execution=self.execution)

    def close(self) -> None:
        """Drops all sessions and kept inputs; safe to call again."""
        for run in self.runs:
            self.calls.abandon(run.stage.endpoint, run.session)
            run.release()
        self.retired.extend(self.runs)
        self.runs = []

    def known_execution(self) -> errors.Execution:
        """Returns what can be said of execution at this moment.

        A step that has no answer yet may be running.
        """
        if self._is_stepping and self.execution is errors.Execution.NOT_RUN:
            return errors.Execution.UNKNOWN
        return self.execution

    def summary(self) -> completions.CompletionSummary:
        """Returns where the time went, for every stage used."""
        used = [*self.retired, *self.runs]
        timings = tuple(
            completions.StageTiming(
                endpoint=run.stage.endpoint,
                start=run.stage.layers.start,
                end=run.stage.layers.end,
                calls=run.calls,
                seconds=run.seconds,
                epoch=run.epoch,
            )
            for run in used
        )
        return completions.CompletionSummary(
            request_id=self.request.request_id,
            tokens=len(self.tokens),
            timings=timings,
            recoveries=tuple(self.recoveries),
        )

    def _open_first_chain(self) -> None:
        self.runs = [self._open(stage) for stage in self.chain.stages]
        self.runs[0].inputs = list(self.request.prompt)

    def _open(self, stage: chains.Stage) -> stage_run.StageRun:
        session = f"{self.request.request_id}.{self.epoch}.{stage.layers.start}"
        return stage_run.StageRun(
            stage=stage,
            session=session,
            epoch=self.epoch,
            budget=self.budget,
            keeping=self.keep_inputs and stage.layers.start > 0,
        )

    async def _next_token(self) -> int:
        end = len(self.request.prompt) + len(self.tokens)
        self._sampled = None
        index = 0
        while index < len(self.runs):
            await self._leave_leaving(index)
            try:
                await self._run_to(index, end)
            except StageLost as lost:
                index = await self._recover(index, lost.reason, end)
            else:
                index += 1
        if self._sampled is None:
            raise errors.UpstreamFailed("The last stage gave no token.")
        return self._sampled

    async def _run_to(self, index: int, end: int) -> None:
        run = self.runs[index]
        while run.done < end:
            values = run.pending(end, PREFILL_CHUNK)
            position = run.done
            outputs = await self._step(run, position, values)
            run.processed(len(values))
            if index + 1 < len(self.runs):
                self.runs[index + 1].add_outputs(position, outputs)
            else:
                self._sampled = outputs[-1]

    async def _step(
        self, run: stage_run.StageRun, position: int, values: tuple[int, ...]
    ) -> tuple[int, ...]:
        item = self._item(run, position, values)
        for attempt in range(BUSY_TRIES):
            result = await self._timed_step(run, item)
            if result.status is steps.StepStatus.OK:
                self._refusals = 0
                return result.outputs
            if result.status is not steps.StepStatus.BUSY:
                break
            await self.clock.sleep(BUSY_WAIT_S * (attempt + 1))
        raise StageLost(_REASONS[result.status])

    async def _timed_step(
        self, run: stage_run.StageRun, item: steps.StepItem
    ) -> steps.StepResult:
        started = self.clock.monotonic()
        if started >= self.request.deadline:
            raise errors.DeadlineExceeded("The deadline passed.")
        self._is_stepping = True
        answer = await self.calls.step(run.stage.endpoint, item)
        self._is_stepping = False
        run.calls += 1
        run.seconds += self.clock.monotonic() - started
        self._note_execution(answer)
        match answer:
            case expression.Result(tag="ok", ok=result):
                return result
            case expression.Result(error=error):
                if self.clock.monotonic() >= self.request.deadline:
                    raise errors.DeadlineExceeded("The deadline passed.")
                raise StageLost(_reason(error))

    def _note_execution(
        self, answer: expression.Result[steps.StepResult, engines.EngineError]
    ) -> None:
        if self.execution is errors.Execution.RAN:
            return
        if answer.is_ok():
            if answer.ok.status is steps.StepStatus.OK:
                self.execution = errors.Execution.RAN
        elif isinstance(answer.error, errors.EndpointOutcomeUnknown):
            self.execution = errors.Execution.UNKNOWN

    def _item(
        self, run: stage_run.StageRun, position: int, values: tuple[int, ...]
    ) -> steps.StepItem:
        return steps.StepItem(
            request_id=self.request.request_id,
            session=run.session,
            epoch=run.epoch,
            position=position,
            layers=run.stage.layers,
            model=self.chain.model,
            version=self.chain.version,
            adapter=self.chain.adapter,
            priority=int(self.request.priority),
            inputs=values,
        )

    async def _recover(
        self, index: int, reason: events.FailureReason, end: int
    ) -> int:
        """Replaces the stage at ``index``; returns where to go on.

        The old session is never stepped again: after an unknown outcome a
        second step might append twice to its KV cache, and every later token
        would be wrong without a sign of it.
        """
        failed = self.runs[index]
        await self._wait_after_refusal(reason)
        if self._lost is None:
            self._lost = _Lost(self.clock.monotonic(), failed.stage.endpoint)
        first = self._last_replayable(index)
        positions = sum(run.done for run in self.runs[first : index + 1])
        replacement = await self._replacement(index, reason, positions)
        self.epoch += 1
        self.chain = self.chain.replace(index, replacement)
        fresh = [self._open(stage) for stage in replacement]
        if first == index:
            self._seed_inputs(failed, fresh[0])
        rerun = [self._reopen(run) for run in self.runs[first:index]]
        for run in self.runs[first : index + 1]:
            self._retire(run)
        self.runs[first : index + 1] = [*rerun, *fresh]
        self._lost.replacement = tuple(s.endpoint for s in replacement)
        self._lost.replayed += positions
        self._lost.restarted |= first < index
        return first

    async def _wait_after_refusal(self, reason: events.FailureReason) -> None:
        """Waits longer after each refusal in a row.

        While engines are replaced, those that are known to hold a stage may
        all refuse it for the fraction of a second that their reports lag.
        Asked again at once, they used up the request's repeats within 0.1 s.
        """
        if reason is not events.FailureReason.REFUSED:
            self._refusals = 0
            return
        pause_s = REFUSED_WAIT_S * 2**self._refusals
        self._refusals += 1
        await self.clock.sleep(min(pause_s, LONGEST_REFUSED_WAIT_S))

    def _last_replayable(self, index: int) -> int:
        while index > 0 and not self.runs[index].replayable:
            index -= 1
        return index

    def _reopen(self, run: stage_run.StageRun) -> stage_run.StageRun:
        fresh = self._open(run.stage)
        self._seed_inputs(run, fresh)
        return fresh

    def _seed_inputs(
        self, old: stage_run.StageRun, new: stage_run.StageRun
    ) -> None:
        if new.stage.layers.start == 0:
            new.inputs = [*self.request.prompt, *self.tokens]
        elif old.replayable:
            self._hand_over_inputs(old, new)

    def _hand_over_inputs(
        self, old: stage_run.StageRun, new: stage_run.StageRun
    ) -> None:
        new.inputs = old.inputs
        new.reserved = old.reserved
        new.keeping = old.keeping
        old.inputs = []
        old.reserved = 0

    def _retire(self, run: stage_run.StageRun) -> None:
        self.calls.abandon(run.stage.endpoint, run.session)
        run.release()
        run.inputs = []
        self.retired.append(run)

    async def _replacement(
        self, index: int, reason: events.FailureReason, positions: int
    ) -> tuple[chains.Stage, ...]:
        failure = events.StageFailed(
            at=self.clock.monotonic(),
            request_id=self.request.request_id,
            chain=self.chain,
            index=index,
            reason=reason,
            positions=positions,
        )
        left = self.request.deadline - self.clock.monotonic()
        try:
            answer = await asyncio.wait_for(self.calls.replace(failure), left)
        except TimeoutError:
            raise errors.DeadlineExceeded("The deadline passed.") from None
        match answer:
            case expression.Result(tag="ok", ok=replacement):
                return replacement
            case expression.Result(error=error):
                raise error

    async def _leave_leaving(self, index: int) -> None:
        """Moves a stage off an endpoint that is leaving, if possible.

        Copying the KV cache is cheaper than a replay; where it fails, the
        stage goes on until its endpoint is gone, and is replayed then.
        """
        run = self.runs[index]
        endpoint = run.stage.endpoint
        if run.done == 0 or endpoint in self._staying:
            return
        if not self.calls.is_leaving(endpoint):
            return
        self._staying.add(endpoint)
        reason = events.FailureReason.LEAVING
        try:
            target = await self._replacement(index, reason, run.done)
        except errors.DeadlineExceeded:
            raise
        except errors.AlmondshiftError:
            return
        if len(target) != 1 or target[0].endpoint == endpoint:
            return
        self.epoch += 1
        moved = self._open(target[0])
        held = await self.calls.move_kv(
            endpoint, run.session, target[0].endpoint, moved.session
        )
        if held != run.done:
            self.calls.abandon(target[0].endpoint, moved.session)
            return
        moved.done = run.done
        moved.base = run.base
        self._hand_over_inputs(run, moved)
        self.chain = self.chain.replace(index, target)
        self._retire(run)
        self.runs[index] = moved

    def _note_recovery(self) -> None:
        lost = self._lost
        if lost is None:
            return
        self._lost = None
        self.recoveries.append(
            completions.Recovery(
                endpoint=lost.endpoint,
                replacement=lost.replacement,
                seconds=self.clock.monotonic() - lost.at,
                replayed_positions=lost.replayed,
                restarted=lost.restarted,
            )
        )


def _reason(error: engines.EngineError) -> events.FailureReason:
    if isinstance(error, errors.EndpointUnreachable):
        return events.FailureReason.UNREACHABLE
    if isinstance(error, errors.EndpointRefused):
        return events.FailureReason.REFUSED
    return events.FailureReason.BROKEN
