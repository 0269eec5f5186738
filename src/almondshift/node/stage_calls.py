"""Connects a pipeline to the directory and the router."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.model import steps
from almondshift.node import directory
from almondshift.node import pipeline
from almondshift.node import recovery_log
from almondshift.node import refusals
from almondshift.policy import actions
from almondshift.policy import events

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from almondshift.model import chains
    from almondshift.node import coalescer
    from almondshift.node import crash_guard
    from almondshift.node import router_driver
    from almondshift.ports import engines


CANCEL_REPEAT_DELAYS_S = (0.2, 0.5, 1.0, 2.0, 4.0, 8.0)
"""Delays between the cancels of one session, in seconds."""


class NodeStageCalls(pipeline.StageCalls):
    """Reaches endpoints through the node's directory."""

    def __init__(
        self,
        endpoint_directory: directory.Directory,
        driver: router_driver.RouterDriver,
        guard: crash_guard.CrashGuard,
    ) -> None:
        self.directory = endpoint_directory
        self.driver = driver
        self.guard = guard
        self._background: set[asyncio.Task[Any]] = set()

    async def step(
        self, endpoint: str, item: steps.StepItem
    ) -> expression.Result[steps.StepResult, engines.EngineError]:
        """Runs one item through the endpoint's coalescer."""
        calls = self.directory.coalescer_for(endpoint)
        if calls is None:
            return expression.Error(directory.unreachable(endpoint))
        async with self.guard.call_slot(endpoint, item.request_id, item):
            return await self._submit(calls, endpoint, item)

    async def _submit(
        self, calls: coalescer.Coalescer, endpoint: str, item: steps.StepItem
    ) -> expression.Result[steps.StepResult, engines.EngineError]:
        try:
            outcome = await calls.submit(item)
        except asyncio.CancelledError:
            self.guard.call_abandoned(endpoint, item.request_id)
            raise
        self._note_leaving(endpoint, outcome)
        await self.guard.step_ended(endpoint, item, outcome)
        return outcome

    def _note_leaving(
        self,
        endpoint: str,
        outcome: expression.Result[steps.StepResult, engines.EngineError],
    ) -> None:
        """Records that an endpoint refused a step because it is leaving.

        Only such a refusal counts as the endpoint's own report. A stage is
        also moved off an endpoint that only the VM list or a peer reports as
        leaving. When such moves counted too, a new instance that an outdated
        list showed as leaving got no work long after the list was correct.
        """
        if outcome.is_ok() and outcome.ok.status is steps.StepStatus.LEAVING:
            self.directory.endpoint_reported_leaving(endpoint)

    async def replace(
        self, failure: events.StageFailed
    ) -> expression.Result[tuple[chains.Stage, ...], errors.AlmondshiftError]:
        """Asks the router for the replacement stages."""
        allowed = await self.guard.admit_retry(failure.request_id)
        if allowed.is_error():
            return expression.Error(allowed.error)
        if failure.reason is events.FailureReason.LEAVING:
            endpoint = failure.chain.stages[failure.index].endpoint
            self.directory.note_move_from_leaving(endpoint)
        decision = await self.driver.decide(failure)
        if isinstance(decision, actions.Replace):
            seconds = self.driver.clock.monotonic() - failure.at
            recovery_log.replaced(failure, decision.replacement, seconds)
            return expression.Ok(decision.replacement)
        if isinstance(decision, actions.Refuse):
            error = refusals.to_error(decision)
            error.execution = errors.Execution.UNKNOWN
            return expression.Error(error)
        return expression.Error(
            errors.UpstreamFailed("No replacement for the stage was found.")
        )

    def cancel_session(
        self, endpoint: str, session: str, *, may_reopen: bool = False
    ) -> None:
        """Cancels a session in the background."""
        engine = self.directory.engine(endpoint)
        if engine is not None:
            self._spawn(self._cancel(endpoint, engine, session, may_reopen))

    async def _cancel(
        self,
        endpoint: str,
        engine: engines.Engine,
        session: str,
        may_reopen: bool,
    ) -> None:
        """Cancels a session; repeats it while the engine is in use.

        An engine that keeps a session is not emptied, so that it can't load
        another version of the model. A cancel may be lost, and a step that
        timed out may reach a paused engine after the cancel and open the
        session again.
        """
        for delay_s in CANCEL_REPEAT_DELAYS_S:
            cancelled = await engine.cancel([session])
            if cancelled.is_ok() and not may_reopen:
                return
            await self.driver.clock.sleep(delay_s)
            if self.directory.engine(endpoint) is not engine:
                return
        await engine.cancel([session])

    async def move_kv(
        self, source: str, session: str, target: str, new_session: str
    ) -> int:
        """Exports a KV cache from one engine and imports it into another."""
        origin = self.directory.engine(source)
        destination = self.directory.engine(target)
        if origin is None or destination is None:
            return 0
        match await origin.export_kv(session):
            case expression.Result(tag="ok", ok=snapshot):
                moved = dataclasses.replace(snapshot, session=new_session)
            case _:
                return 0
        imported = await destination.import_kv(moved)
        return moved.length if imported.is_ok() else 0

    def is_leaving(self, endpoint: str) -> bool:
        """Returns whether the directory knows that an endpoint is leaving."""
        return self.directory.is_leaving(endpoint)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
