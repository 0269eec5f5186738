"""Runs one completion over a chain, position by position.

Each stage keeps its inputs. When a stage is lost, a replacement with a new
session replays these inputs from position 0. Later stages are not touched,
since the replay yields the outputs that they have already received.
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

PREFILL_CHUNK_POSITIONS = 256
"""Maximum positions in one step; longer prompts are split, so that decode
steps of other requests are delayed by at most one such step."""

MAX_BUSY_ATTEMPTS = 6
BUSY_BACKOFF_S = 0.02
REFUSED_BACKOFF_S = 0.05
MAX_REFUSED_BACKOFF_S = 0.8

PARTIAL_RESPONSE_REMEDY = (
    "Discard the tokens received and send the request again; it is idempotent."
)

_REASONS = {
    steps.StepStatus.LEAVING: events.FailureReason.LEAVING,
    steps.StepStatus.BUSY: events.FailureReason.REFUSED,
    steps.StepStatus.WRONG_MODEL: events.FailureReason.NOT_SERVED,
    steps.StepStatus.UNKNOWN_SESSION: events.FailureReason.BROKEN,
    steps.StepStatus.POSITION_MISMATCH: events.FailureReason.BROKEN,
}

_REFUSALS = (events.FailureReason.REFUSED, events.FailureReason.NOT_SERVED)


class StageLost(Exception):
    """The session of a stage can no longer run steps."""

    def __init__(self, reason: events.FailureReason) -> None:
        self.reason = reason
        super().__init__(reason)


class StageCalls(abc.ABC):
    """Interface of a pipeline to the endpoints and the router."""

    @abc.abstractmethod
    async def step(
        self, endpoint: str, item: steps.StepItem
    ) -> expression.Result[steps.StepResult, engines.EngineError]:
        """Runs one item on an endpoint, with its own time-out."""

    @abc.abstractmethod
    async def replace(
        self, failure: events.StageFailed
    ) -> expression.Result[tuple[chains.Stage, ...], errors.AlmondshiftError]:
        """Returns the stages that replace a lost one."""

    @abc.abstractmethod
    def cancel_session(
        self, endpoint: str, session: str, *, may_reopen: bool = False
    ) -> None:
        """Cancels a session without waiting for the response.

        Args:
            endpoint: The endpoint.
            session: The session.
            may_reopen: Whether a step may still reach the endpoint and open
                the session again.
        """

    @abc.abstractmethod
    async def move_kv(
        self, source: str, session: str, target: str, new_session: str
    ) -> int:
        """Copies a KV cache; returns the positions in it, 0 on failure."""

    @abc.abstractmethod
    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether an endpoint is leaving."""


@dataclasses.dataclass(slots=True)
class _PendingRecovery:
    """A recovery in progress, from the first failure to the next token."""

    at: float
    endpoint: str
    replacement: tuple[str, ...] = ()
    replayed: int = 0
    restarted: bool = False


class Pipeline:
    """A running completion.

    Attributes:
        chain: The chain in use; changes with each recovery.
        tokens: Tokens generated so far.
        recoveries: Recoveries so far.
        execution: Whether any engine ran any part of the request.
    """

    def __init__(
        self,
        request: completions.CompletionRequest,
        chain: chains.Chain,
        calls: StageCalls,
        budget: kept_inputs.KeptInputsBudget,
        clock: clocks.Clock,
        *,
        keep_inputs: bool = True,
        epoch: int = 0,
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
        self.epoch = epoch
        self.runs: list[stage_run.StageRun] = []
        self.retired: list[stage_run.StageRun] = []
        self._pending_recovery: _PendingRecovery | None = None
        self._sampled: int | None = None
        self._move_attempted: set[str] = set()
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
            raise self._to_final_error(error) from error
        finally:
            self.close()

    def _to_final_error(
        self, error: errors.AlmondshiftError
    ) -> errors.AlmondshiftError:
        """Returns the error with this pipeline's knowledge of execution.

        The router's error only says that no endpoint is left. Whether the
        caller may be told "not run" depends on whether an engine ran a step,
        which follows from the responses received here.
        """
        error.execution = self.execution
        repeatable = self.request.idempotent
        if not isinstance(error, errors.UpstreamFailed):
            return error
        if repeatable and self.tokens:
            error.remedy = PARTIAL_RESPONSE_REMEDY
        if repeatable or self.execution is errors.Execution.NOT_RUN:
            return error
        return errors.OutcomeUnknown(error.detail, execution=self.execution)

    def close(self) -> None:
        """Cancels all sessions and releases kept inputs; idempotent."""
        for run in self.runs:
            self._cancel(run)
            run.release()
        self.retired.extend(self.runs)
        self.runs = []

    def known_execution(self) -> errors.Execution:
        """Returns what is known of execution at this moment.

        A step that got no response yet may be running.
        """
        if self._is_stepping and self.execution is errors.Execution.NOT_RUN:
            return errors.Execution.UNKNOWN
        return self.execution

    def summary(self) -> completions.CompletionSummary:
        """Returns the timings of every stage used."""
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
            keeps_inputs=self.keep_inputs and stage.layers.start > 0,
        )

    async def _next_token(self) -> int:
        end = len(self.request.prompt) + len(self.tokens)
        self._sampled = None
        index = 0
        while index < len(self.runs):
            await self._move_off_leaving(index)
            try:
                await self._run_to(index, end)
            except StageLost as lost:
                index = await self._recover(index, lost.reason, end)
            else:
                index += 1
        if self._sampled is None:
            raise errors.UpstreamFailed("The last stage returned no token.")
        return self._sampled

    async def _run_to(self, index: int, end: int) -> None:
        run = self.runs[index]
        while run.done < end:
            values = run.pending(end, PREFILL_CHUNK_POSITIONS)
            position = run.done
            outputs = await self._step(run, position, values)
            run.mark_processed(len(values))
            if index + 1 < len(self.runs):
                self.runs[index + 1].add_outputs(position, outputs)
            else:
                self._sampled = outputs[-1]

    async def _step(
        self, run: stage_run.StageRun, position: int, values: tuple[int, ...]
    ) -> tuple[int, ...]:
        item = self._item(run, position, values)
        for attempt in range(MAX_BUSY_ATTEMPTS):
            result = await self._timed_step(run, item)
            if result.status is steps.StepStatus.OK:
                self._refusals = 0
                return result.outputs
            if result.status is not steps.StepStatus.BUSY:
                break
            await self.clock.sleep(BUSY_BACKOFF_S * (attempt + 1))
        raise StageLost(_REASONS[result.status])

    async def _timed_step(
        self, run: stage_run.StageRun, item: steps.StepItem
    ) -> steps.StepResult:
        started = self.clock.monotonic()
        if started >= self.request.deadline:
            raise errors.DeadlineExceeded("The deadline passed.")
        self._is_stepping = True
        run.is_unanswered = True
        outcome = await self.calls.step(run.stage.endpoint, item)
        self._is_stepping = False
        run.is_unanswered = outcome.is_error()
        run.calls += 1
        run.seconds += self.clock.monotonic() - started
        self._note_execution(outcome)
        match outcome:
            case expression.Result(tag="ok", ok=result):
                return result
            case expression.Result(error=error):
                if self.clock.monotonic() >= self.request.deadline:
                    raise errors.DeadlineExceeded("The deadline passed.")
                raise StageLost(_reason(error))

    def _note_execution(
        self, outcome: expression.Result[steps.StepResult, engines.EngineError]
    ) -> None:
        if self.execution is errors.Execution.RAN:
            return
        if outcome.is_ok():
            if outcome.ok.status is steps.StepStatus.OK:
                self.execution = errors.Execution.RAN
        elif isinstance(outcome.error, errors.EndpointOutcomeUnknown):
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
        """Replaces the stage at ``index``; returns the index to resume at.

        The old session is never used again: after an unknown outcome a
        second step might append to its KV cache twice, and every later token
        would be silently wrong.
        """
        failed = self.runs[index]
        await self._back_off_after_refusal(reason)
        if self._pending_recovery is None:
            self._pending_recovery = _PendingRecovery(
                self.clock.monotonic(), failed.stage.endpoint
            )
        first = self._last_replayable(index)
        positions = sum(run.done for run in self.runs[first : index + 1])
        replacement = await self._replacement(index, reason, positions)
        self.epoch += 1
        self.chain = self.chain.replace(index, replacement)
        fresh = [self._open(stage) for stage in replacement]
        for run in fresh:
            run.replayed_until = failed.done
        if first == index:
            self._seed_inputs(failed, fresh[0])
        rerun = [self._reopen(run) for run in self.runs[first:index]]
        for run in self.runs[first : index + 1]:
            self._retire(run)
        self.runs[first : index + 1] = [*rerun, *fresh]
        self._pending_recovery.replacement = tuple(
            s.endpoint for s in replacement
        )
        self._pending_recovery.replayed += positions
        self._pending_recovery.restarted |= first < index
        return first

    async def _back_off_after_refusal(
        self, reason: events.FailureReason
    ) -> None:
        """Backs off exponentially after consecutive refusals.

        While engines are being replaced, all engines known to hold a stage
        may refuse it until their reports catch up, a fraction of a second
        later. Immediate retries exhausted the request's retries within 0.1 s.
        """
        if reason not in _REFUSALS:
            self._refusals = 0
            return
        pause_s = REFUSED_BACKOFF_S * 2**self._refusals
        self._refusals += 1
        await self.clock.sleep(min(pause_s, MAX_REFUSED_BACKOFF_S))

    def _last_replayable(self, index: int) -> int:
        while index > 0 and not self.runs[index].replayable:
            index -= 1
        return index

    def _reopen(self, run: stage_run.StageRun) -> stage_run.StageRun:
        fresh = self._open(run.stage)
        fresh.replayed_until = run.done
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
        new.keeps_inputs = old.keeps_inputs
        old.inputs = []
        old.reserved = 0

    def _retire(self, run: stage_run.StageRun) -> None:
        self._cancel(run)
        run.release()
        run.inputs = []
        self.retired.append(run)

    def _cancel(self, run: stage_run.StageRun) -> None:
        self.calls.cancel_session(
            run.stage.endpoint, run.session, may_reopen=run.is_unanswered
        )

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
            replaced = await asyncio.wait_for(self.calls.replace(failure), left)
        except TimeoutError:
            raise errors.DeadlineExceeded("The deadline passed.") from None
        match replaced:
            case expression.Result(tag="ok", ok=replacement):
                return replacement
            case expression.Result(error=error):
                raise error

    async def _move_off_leaving(self, index: int) -> None:
        """Moves a stage off an endpoint that is leaving, if possible.

        Copying the KV cache is cheaper than a replay. If the copy fails, the
        stage continues until its endpoint is gone and is replayed then.
        """
        run = self.runs[index]
        endpoint = run.stage.endpoint
        if run.done == 0 or endpoint in self._move_attempted:
            return
        if not self.calls.is_leaving(endpoint):
            return
        self._move_attempted.add(endpoint)
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
        copied_positions = await self.calls.move_kv(
            endpoint, run.session, target[0].endpoint, moved.session
        )
        if copied_positions != run.done:
            self.calls.cancel_session(target[0].endpoint, moved.session)
            return
        moved.done = run.done
        moved.base = run.base
        self._hand_over_inputs(run, moved)
        self.chain = self.chain.replace(index, target)
        self._retire(run)
        self.runs[index] = moved

    def _note_recovery(self) -> None:
        recovery = self._pending_recovery
        if recovery is None:
            return
        self._pending_recovery = None
        self.recoveries.append(
            completions.Recovery(
                endpoint=recovery.endpoint,
                replacement=recovery.replacement,
                seconds=self.clock.monotonic() - recovery.at,
                replayed_positions=recovery.replayed,
                restarted=recovery.restarted,
            )
        )


def _reason(error: engines.EngineError) -> events.FailureReason:
    if isinstance(error, errors.EndpointUnreachable):
        return events.FailureReason.UNREACHABLE
    if isinstance(error, errors.EndpointRefused):
        return events.FailureReason.REFUSED
    return events.FailureReason.BROKEN
