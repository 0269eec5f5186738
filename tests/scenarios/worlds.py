"""State shared by the steps of one scenario."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from tests.faults import systems

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from almondshift.adapters import http_caller

T = TypeVar("T")


@dataclasses.dataclass
class Request:
    """A request and, once received, its answer."""

    prompt: list[int]
    count: int
    task: asyncio.Task[http_caller.CallerAnswer]
    tokens: list[int] = dataclasses.field(default_factory=list)


class World:
    """A system under test on its own event loop.

    Attributes:
        requests: Requests by their name in the scenario.
        notes: Values that steps store for later steps.
    """

    def __init__(
        self, system: systems.RealSystem, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.system = system
        self.loop = loop
        self.requests: dict[str, Request] = {}
        self.notes: dict[str, Any] = {}

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine to completion, alongside the scenario's tasks."""
        return self.loop.run_until_complete(work)

    def send(
        self,
        name: str,
        count: int,
        *,
        node: str | None = None,
        service: str = "chat",
        prompt: list[int] | None = None,
        **options: Any,
    ) -> Request:
        """Starts a streamed completion without waiting for it."""
        return self.run(self._send(name, count, node, service, prompt, options))

    async def _send(
        self,
        name: str,
        count: int,
        node: str | None,
        service: str,
        prompt: list[int] | None,
        options: dict[str, Any],
    ) -> Request:
        caller = await self.system.caller()
        address = self.system.nodes[node].address if node else None
        prompt_tokens = prompt or [ord(c) for c in f"prompt of {name}"]
        tokens: list[int] = []
        task = asyncio.create_task(
            caller.complete(
                service,
                prompt_tokens,
                count,
                address=address,
                on_token=tokens.append,
                **options,
            )
        )
        self.requests[name] = Request(prompt_tokens, count, task, tokens)
        return self.requests[name]

    def answer(self, name: str) -> http_caller.CallerAnswer:
        """Waits for the answer to a request."""
        return self.run(self._answer(name))

    async def _answer(self, name: str) -> http_caller.CallerAnswer:
        return await self.requests[name].task

    def wait_tokens(self, name: str, count: int) -> None:
        """Waits until a request has received ``count`` tokens."""
        request = self.requests[name]

        async def received() -> bool:
            return len(request.tokens) >= count or request.task.done()

        self.run(self.system.wait_for(received, f"{count} tokens of {name}"))

    def check_answer(self, name: str, version: int = 1) -> None:
        """Checks that an answer is complete and equals the reference."""
        request = self.requests[name]
        answer = self.answer(name)
        assert answer.whole, (name, answer.problem, answer.tokens)
        expected = systems.expected(request.prompt, request.count, version)
        assert tuple(answer.tokens) == expected
