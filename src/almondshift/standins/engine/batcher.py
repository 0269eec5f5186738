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
    """An admitted item that waits for its result."""

    priority: int
    sequence: int
    arrived_at: float = dataclasses.field(compare=False)
    item: steps.StepItem = dataclasses.field(compare=False)
    done: asyncio.Future[steps.StepResult] = dataclasses.field(compare=False)


class Batcher:
    """Forms batches and takes the time that they would.

    A batch ends at a time counted from the end of the one before it, not
    from when the loop woke up; else the lateness of each timer would add up
    and the engine would be slower than its settings say.
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
        self.arrived = asyncio.Event()
        self.sequence = 0
        self.free_at = 0.0
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begins to run batches."""
        self.task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops, and drops what is queued."""
        if self.task is None:
            return
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        for job in self.queue:
            job.done.cancel()
        self.queue.clear()

    def submit(self, item: steps.StepItem) -> asyncio.Future[steps.StepResult]:
        """Queues an item and returns the future of its result."""
        loop = asyncio.get_running_loop()
        done: asyncio.Future[steps.StepResult] = loop.create_future()
        status = self.runner.admit(item)
        if status is not steps.StepStatus.OK:
            done.set_result(item.answer(status))
            return done
        self.sequence += 1
        job = Job(item.priority, self.sequence, loop.time(), item, done)
        heapq.heappush(self.queue, job)
        self.arrived.set()
        return done

    def cancel(self, sessions: set[str]) -> None:
        """Drops queued items of sessions; they are answered as not run."""
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
            await self.arrived.wait()
            self.arrived.clear()
            while self.queue:
                await self._run_batch(self._take())

    def _take(self) -> list[Job]:
        size = min(len(self.queue), self.settings.max_batch)
        return [heapq.heappop(self.queue) for _ in range(size)]

    async def _run_batch(self, batch: list[Job]) -> None:
        ran = [self.runner.run(job.item) for job in batch]
        work = sum(one.layer_tokens for one in ran)
        seconds = self.settings.fixed_s + self.settings.per_layer_token_s * work
        begun_at = max(self.free_at, min(job.arrived_at for job in batch))
        self.free_at = begun_at + seconds * self.faults.slow_factor
        left = self.free_at - asyncio.get_running_loop().time()
        await asyncio.sleep(max(left, 0.0))
        for job, one in zip(batch, ran, strict=True):
            if not job.done.done():
                job.done.set_result(one.result)


def _resolve(job: Job, status: steps.StepStatus) -> None:
    if not job.done.done():
        job.done.set_result(job.item.answer(status))
