"""Callers that send one request after the other, as a background load."""

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

CALLERS = 3
TOKENS = 10
VERSIONS = (1, 2)
LONGEST_PAUSE_S = 0.3
GIVE_UP_S = 30.0


@dataclasses.dataclass(slots=True)
class Tally:
    """What the callers met.

    Attributes:
        whole: Whole and right answers.
        refusals: Problems with ``not_run``, after which a caller asked again.
        unreachable: Times that no connection was made.
        failures: Whatever else came.
    """

    whole: int = 0
    unreachable: int = 0
    refusals: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    failures: list[str] = dataclasses.field(default_factory=list)


class SteadyLoad:
    """Callers of the chat service, until they are told to stop.

    A caller that hears ``not_run`` asks again, as the callers' page says; all
    else than a whole and right answer is a failure.
    """

    def __init__(
        self,
        caller: http_caller.Caller,
        choose: Callable[[], Awaitable[str]],
    ) -> None:
        self.caller = caller
        self.choose = choose
        self.tally = Tally()
        self.stopping = False
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the callers."""
        self.tasks = [
            asyncio.create_task(self._run(number)) for number in range(CALLERS)
        ]

    async def stop(self) -> Tally:
        """Lets each caller end what it has begun."""
        self.stopping = True
        await asyncio.gather(*self.tasks)
        return self.tally

    async def _run(self, number: int) -> None:
        sent = 0
        while not self.stopping:
            sent += 1
            await self._send(f"caller {number}, request {sent}")

    async def _send(self, name: str) -> None:
        prompt = [ord(letter) for letter in name]
        loop = asyncio.get_running_loop()
        end = loop.time() + GIVE_UP_S
        while loop.time() < end:
            answer = await self.caller.complete(
                "chat", prompt, TOKENS, address=await self.choose()
            )
            if not self._is_refusal(answer):
                self._judge(name, prompt, answer)
                return
            self.caller.forget_entries()
            await asyncio.sleep(_pause_s(answer))
        self.tally.failures.append(f"{name}: refused for {GIVE_UP_S} s")

    def _is_refusal(self, answer: http_caller.CallerAnswer) -> bool:
        if answer.unreachable:
            self.tally.unreachable += 1
            return True
        if answer.problem is not None and answer.execution == "not_run":
            self.tally.refusals.append(answer.problem)
            return True
        return False

    def _judge(
        self, name: str, prompt: list[int], answer: http_caller.CallerAnswer
    ) -> None:
        right = {
            systems.expected(prompt, TOKENS, version) for version in VERSIONS
        }
        if answer.whole and tuple(answer.tokens) in right:
            self.tally.whole += 1
        else:
            self.tally.failures.append(_describe(name, answer))


def _describe(name: str, answer: http_caller.CallerAnswer) -> str:
    return (
        f"{name}: status {answer.status} after {answer.seconds:.3f} s, "
        f"{len(answer.tokens)} tokens, problem {answer.problem}"
    )


def _pause_s(answer: http_caller.CallerAnswer) -> float:
    if answer.problem is None:
        return 0.0
    told = float(answer.problem.get("retry_after_s") or 0.0)
    return min(told, LONGEST_PAUSE_S)
