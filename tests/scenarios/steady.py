"""Background load of callers that send requests one after another."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from tests.faults import systems

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from almondshift.adapters import http_caller

CALLER_COUNT = 3
ANSWER_TOKENS = 10
MODEL_VERSIONS = (1, 2)
MAX_RETRY_DELAY_S = 0.3
RETRY_TIMEOUT_S = 30.0


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Outcomes of the callers' requests.

    Attributes:
        succeeded: Complete and correct answers.
        refusals: Problems with ``not_run``, after which a caller retried.
        unreachable: Failed connection attempts.
        failures: Descriptions of all other outcomes.
    """

    succeeded: int = 0
    unreachable: int = 0
    refusals: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    failures: list[str] = dataclasses.field(default_factory=list)


class SteadyLoad:
    """Callers that send chat requests until they are stopped.

    After ``not_run`` a caller retries, as the documentation for callers says.
    Anything else but a complete and correct answer is a failure.
    """

    def __init__(
        self,
        caller: http_caller.Caller,
        choose_address: Callable[[], Awaitable[str]],
    ) -> None:
        self.caller = caller
        self.choose_address = choose_address
        self.result = LoadResult()
        self.stopping = False
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the callers."""
        self.tasks = [
            asyncio.create_task(self._run(number))
            for number in range(CALLER_COUNT)
        ]

    async def stop(self) -> LoadResult:
        """Stops the callers after their current requests."""
        self.stopping = True
        await asyncio.gather(*self.tasks)
        return self.result

    async def _run(self, number: int) -> None:
        sent = 0
        while not self.stopping:
            sent += 1
            await self._send(f"caller {number}, request {sent}")

    async def _send(self, name: str) -> None:
        prompt = [ord(letter) for letter in name]
        loop = asyncio.get_running_loop()
        end = loop.time() + RETRY_TIMEOUT_S
        while loop.time() < end:
            answer = await self.caller.complete(
                "chat",
                prompt,
                ANSWER_TOKENS,
                address=await self.choose_address(),
            )
            if not self._is_refusal(answer):
                self._record(name, prompt, answer)
                return
            self.caller.forget_entries()
            await asyncio.sleep(_retry_delay_s(answer))
        self.result.failures.append(f"{name}: refused for {RETRY_TIMEOUT_S} s")

    def _is_refusal(self, answer: http_caller.CallerAnswer) -> bool:
        if answer.unreachable:
            self.result.unreachable += 1
            return True
        if answer.problem is not None and answer.execution == "not_run":
            self.result.refusals.append(answer.problem)
            return True
        return False

    def _record(
        self, name: str, prompt: list[int], answer: http_caller.CallerAnswer
    ) -> None:
        expected = {
            systems.expected(prompt, ANSWER_TOKENS, version)
            for version in MODEL_VERSIONS
        }
        if answer.whole and tuple(answer.tokens) in expected:
            self.result.succeeded += 1
        else:
            self.result.failures.append(_describe(name, answer))


def _describe(name: str, answer: http_caller.CallerAnswer) -> str:
    return (
        f"{name}: status {answer.status} after {answer.seconds:.3f} s, "
        f"{len(answer.tokens)} tokens, problem {answer.problem}"
    )


def _retry_delay_s(answer: http_caller.CallerAnswer) -> float:
    if answer.problem is None:
        return 0.0
    retry_after_s = float(answer.problem.get("retry_after_s") or 0.0)
    return min(retry_after_s, MAX_RETRY_DELAY_S)
