"""Continuous batching: one batch at a time, urgent items first."""

from __future__ import annotations

import asyncio
import dataclasses
import heapq
from typing import TYPE_CHECKING

from almondshift.model import steps

if TYPE_CHECKING:
    from almondshift.standins.engine import runner as engine_runner
    from almondshift.standins.engine import settings as engine_settings
    from almondshift.standins.engine import switches


@dataclasses.dataclass(order=True, slots=True)
class Job:
    """An admitted item that awaits its result."""

    priority: int
    sequence: int
    arrived_at: float = dataclasses.field(compare=False)
    item: steps.StepItem = dataclasses.field(compare=False)
    done: asyncio.Future[steps.StepResult] = dataclasses.field(compare=False)


class Batcher:
    """Forms batches and emulates the time that they take.

    The end of a batch is computed from the end of the previous batch, not
    from the time at which the event loop woke up. Otherwise timer delays
    would add up and the engine would be slower than configured.
    """

    def __init__(
        self,
        settings: engine_settings.EngineSettings,
        runner: engine_runner.Runner,
        faults: switches.Switches,
    ) -> None:
        self.settings = settings
        self.runner = runner
        self.faults = faults
        self.queue: list[Job] = []
        self.work_arrived = asyncio.Event()
        self.sequence = 0
        self.busy_until = 0.0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts running batches."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops running batches and cancels queued items."""
        if self.task is None:
            return
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for job in self.queue:
            job.done.cancel()
        self.queue.clear()

    def submit(self, item: steps.StepItem) -> asyncio.Future[steps.StepResult]:
        """Queues an item and returns a future for its result."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[steps.StepResult] = loop.create_future()
        status = self.runner.admit(item)
        if status is not steps.StepStatus.OK:
            done.set_result(item.answer(status))
            return done
        self.sequence += 1
        job = Job(item.priority, self.sequence, loop.time(), item, done)
        heapq.heappush(self.queue, job)
        self.work_arrived.set()
        return done

    def cancel(self, sessions: set[str]) -> None:
        """Drops queued items of sessions; answers them ``UNKNOWN_SESSION``."""
        kept = []
        for job in self.queue:
            if job.item.session not in sessions:
                kept.append(job)
                continue
            self.runner.release(job.item)
            _resolve(job, steps.StepStatus.UNKNOWN_SESSION)
        heapq.heapify(kept)
        self.queue = kept

    async def _run(self) -> None:
        while True:
            await self.work_arrived.wait()
            self.work_arrived.clear()
            while self.queue:
                await self._run_batch(self._pop_batch())

    def _pop_batch(self) -> list[Job]:
        size = min(len(self.queue), self.settings.max_batch)
        return [heapq.heappop(self.queue) for _ in range(size)]

    async def _run_batch(self, batch: list[Job]) -> None:
        outcomes = [self.runner.run(job.item) for job in batch]
        layer_tokens = sum(outcome.layer_tokens for outcome in outcomes)
        batch_s = (
            self.settings.fixed_s
            + self.settings.per_layer_token_s * layer_tokens
        )
        started_at = max(self.busy_until, min(job.arrived_at for job in batch))
        self.busy_until = started_at + batch_s * self.faults.slow_factor
        remaining_s = self.busy_until - asyncio.get_running_loop().time()
        await asyncio.sleep(max(remaining_s, 0.0))
        for job, outcome in zip(batch, outcomes, strict=True):
            if not job.done.done():
                job.done.set_result(outcome.result)


def _resolve(job: Job, status: steps.StepStatus) -> None:
    if not job.done.done():
        job.done.set_result(job.item.answer(status))
