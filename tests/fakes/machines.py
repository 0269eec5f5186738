"""A base for hypothesis state machines that test asyncio code."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import hypothesis
from hypothesis import stateful

from tests.fakes import clocks

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")

MAX_CANCEL_ROUNDS = 3

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    stateful_step_count=40,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class LoopMachine(stateful.RuleBasedStateMachine):
    """Owns an event loop; tasks make progress only while a rule runs."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.tasks: list[asyncio.Task[Any]] = []
        self.clock = clocks.VirtualClock()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        return self.loop.run_until_complete(work)

    def begin(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Starts a task and runs it as far as it can go."""
        task = self.loop.create_task(work)
        self.tasks.append(task)
        self.settle()
        return task

    def settle(self) -> None:
        self.run(clocks.settle())

    def advance(self, seconds: float) -> None:
        self.run(self.clock.advance(seconds))

    def teardown(self) -> None:
        """Cancels all tasks, including those that the code under test began.

        Some of those wait for ever, e.g. for a paused store, and a cancelled
        one may begin another to undo its work.
        """
        for _ in range(MAX_CANCEL_ROUNDS):
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.settle()
        assert not asyncio.all_tasks(self.loop)
        self.loop.close()
