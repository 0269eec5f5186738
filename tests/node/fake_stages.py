"""In-memory engines that fail at chosen steps."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.model import chains
from almondshift.model import layers
from almondshift.model import steps
from almondshift.node import pipeline

if TYPE_CHECKING:
    from almondshift.policy import events
    from almondshift.ports import engines


def mix_hash(*parts: object) -> int:
    content = "/".join(str(part) for part in parts).encode()
    return int.from_bytes(hashlib.blake2b(content, digest_size=8).digest())


def reference_tokens(
    layer_count: int, prompt: tuple[int, ...], count: int
) -> list[int]:
    """Computes the expected tokens directly."""
    memory = [0] * layer_count
    tokens: list[int] = []
    pending = list(prompt)
    position = 0
    while len(tokens) < count:
        value = 0
        for value in pending:
            for layer in range(layer_count):
                memory[layer] = mix_hash(memory[layer], layer, position, value)
                value = memory[layer]
            position += 1
        tokens.append(value % 1000)
        pending = [tokens[-1]]
    return tokens


@dataclasses.dataclass
class Session:
    length: int = 0
    memory: dict[int, int] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(int)
    )


class FakeStages(pipeline.StageCalls):
    """Replaces endpoints that fail by spare ones ``s1``, ``s2``...

    Attributes:
        failures: The kind of failure by step number, counted from 0:
            ``unknown`` (ran, response lost), ``unreachable``, ``leaving``,
            ``refused`` (does not hold the layers), ``wrong`` (session
            unknown) or ``split`` (as ``unknown``, and two endpoints replace
            the failed one).
        ran: How often each position ran, by session and position.
        items: All items in the order sent.
        may_reopen: Cancelled sessions that a late step may open again.
    """

    def __init__(self, layer_count: int, failures: dict[int, str]) -> None:
        self.layer_count = layer_count
        self.failures = failures
        self.sessions: dict[tuple[str, str], Session] = {}
        self.ran: collections.Counter[tuple[str, int]] = collections.Counter()
        self.items: list[steps.StepItem] = []
        self.cancelled: list[str] = []
        self.may_reopen: list[str] = []
        self.step_count = 0
        self.spares = 0
        self.move_ok = True
        self.leaving: set[str] = set()
        self._split = False

    async def step(
        self, endpoint: str, item: steps.StepItem
    ) -> expression.Result[steps.StepResult, engines.EngineError]:
        failure = self.failures.get(self.step_count, "")
        self.step_count += 1
        self.items.append(item)
        if failure == "unreachable":
            return expression.Error(errors.EndpointUnreachable("gone"))
        if failure in ("leaving", "wrong", "refused"):
            status = {
                "leaving": steps.StepStatus.LEAVING,
                "refused": steps.StepStatus.WRONG_MODEL,
                "wrong": steps.StepStatus.UNKNOWN_SESSION,
            }[failure]
            return expression.Ok(item.answer(status))
        outputs = self._run(endpoint, item)
        if failure in ("unknown", "split"):
            self._split = failure == "split"
            return expression.Error(errors.EndpointOutcomeUnknown("lost"))
        return expression.Ok(item.answer(steps.StepStatus.OK, outputs))

    def _run(self, endpoint: str, item: steps.StepItem) -> tuple[int, ...]:
        session = self.sessions.setdefault((endpoint, item.session), Session())
        assert session.length == item.position, "step out of order"
        outputs = []
        for offset, value in enumerate(item.inputs):
            position = item.position + offset
            self.ran[item.session, position] += 1
            for layer in range(item.layers.start, item.layers.end):
                before = session.memory[layer]
                value = mix_hash(before, layer, position, value)
                session.memory[layer] = value
            last = item.layers.end == self.layer_count
            outputs.append(value % 1000 if last else value)
        session.length += len(item.inputs)
        return tuple(outputs)

    async def replace(
        self, failure: events.StageFailed
    ) -> expression.Result[tuple[chains.Stage, ...], errors.AlmondshiftError]:
        lost = failure.chain.stages[failure.index]
        middle = (lost.layers.start + lost.layers.end) // 2
        if self._split and middle > lost.layers.start:
            self._split = False
            return expression.Ok(
                (
                    self._spare(lost.layers.start, middle),
                    self._spare(middle, lost.layers.end),
                )
            )
        return expression.Ok((self._spare(lost.layers.start, lost.layers.end),))

    def _spare(self, start: int, end: int) -> chains.Stage:
        self.spares += 1
        return chains.Stage(f"s{self.spares}", layers.LayerRange(start, end))

    def cancel_session(
        self, endpoint: str, session: str, *, may_reopen: bool = False
    ) -> None:
        self.cancelled.append(session)
        if may_reopen:
            self.may_reopen.append(session)

    async def move_kv(
        self, source: str, session: str, target: str, new_session: str
    ) -> int:
        if not self.move_ok:
            return 0
        held = self.sessions[source, session]
        self.sessions[target, new_session] = Session(
            held.length, held.memory.copy()
        )
        return held.length

    def is_leaving(self, endpoint: str) -> bool:
        return endpoint in self.leaving
