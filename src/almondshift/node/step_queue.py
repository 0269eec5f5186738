"""Chooses which steps travel to an engine in the next call.

Answers of a call come when all of its items have run, so a long prompt in it
would hold back every token that other requests wait for. Long inputs are
therefore cut into portions, and a call carries a bounded number of tokens:
first the items of one token, then portions of long ones in what is left.
"""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

import expression

from almondshift.model import steps
from almondshift.ports import engines

if TYPE_CHECKING:
    import asyncio

    from almondshift.model import endpoints

SHORT_TOKENS = 1
SMALLEST_PORTION = 16
"""Tokens of a long input that travel even in a call that is full of short
ones; else long inputs would wait for as long as the engine is busy."""

CALL_TARGET_S = 0.05
"""Longest time of a call: below the 63 ms that callers may wait between
tokens, less what the way takes."""

SHORTEST_TOKEN_S = 1e-9

StepOutcome = expression.Result[steps.StepResult, engines.EngineError]


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """What fits in one call.

    Attributes:
        items: Items in a call.
        tokens: Tokens in a call, beside ``SMALLEST_PORTION``.
    """

    items: int = 32
    tokens: int = 64


def limits_for(
    engine: endpoints.EndpointDescription, layer_count: int
) -> CallLimits:
    """Returns limits under which a call takes about ``CALL_TARGET_S``.

    Args:
        engine: What the engine says of itself.
        layer_count: Layers that it runs for each token.
    """
    token_s = max(engine.per_layer_token_s * layer_count, SHORTEST_TOKEN_S)
    tokens = round((CALL_TARGET_S - engine.fixed_s) / token_s)
    return CallLimits(engine.max_batch, max(tokens, SMALLEST_PORTION))


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A submitted item.

    Attributes:
        sequence: Grows with each item submitted.
        submitted_at: Monotonic time.
        done: Resolved with the outcome of the whole item.
        outputs: Outputs of the portions that ran.
        is_sent: Whether a portion was given to the engine.
    """

    item: steps.StepItem
    sequence: int
    submitted_at: float
    done: asyncio.Future[StepOutcome]
    outputs: list[int] = dataclasses.field(default_factory=list)
    is_sent: bool = False

    @property
    def is_short(self) -> bool:
        """Whether the item goes before the portions of long ones."""
        return len(self.item.inputs) <= SHORT_TOKENS

    @property
    def left(self) -> int:
        """Number of inputs that have not run."""
        return len(self.item.inputs) - len(self.outputs)

    def cut(self, size: int) -> Portion:
        """Returns the next inputs as an item of their own."""
        self.is_sent = True
        ran = len(self.outputs)
        if ran == 0 and size >= self.left:
            return Portion(self, self.item)
        inputs = self.item.inputs[ran : ran + size]
        position = self.item.position + ran
        item = dataclasses.replace(self.item, position=position, inputs=inputs)
        return Portion(self, item)


@dataclasses.dataclass(frozen=True, slots=True)
class Portion:
    """A part of a waiter's item, or all of it."""

    waiter: Waiter
    item: steps.StepItem


Entry = tuple[int, int, Waiter]
"""Priority, sequence and waiter: a tuple, since heaps compare those fast."""


class StepQueue:
    """Waiting items; urgent ones first, then in order of arrival."""

    def __init__(self, limits: CallLimits) -> None:
        self.limits = limits
        self.short: list[Entry] = []
        self.long: list[Entry] = []

    def push(self, waiter: Waiter) -> None:
        """Adds a waiter, or puts one back that has inputs left."""
        queue = self.short if waiter.is_short else self.long
        entry = (waiter.item.priority, waiter.sequence, waiter)
        heapq.heappush(queue, entry)

    def take(self) -> list[Portion]:
        """Takes what travels in the next call; empty if nothing waits."""
        self._drop_finished()
        if self.limits.items == 1:
            return self._take_one()
        reserved = 1 if self.long else 0
        portions = self._take_short(self.limits.items - reserved)
        self._take_long(portions)
        return portions

    def drain(self) -> list[Waiter]:
        """Removes and returns all waiters."""
        waiters = [waiter for _, _, waiter in (*self.short, *self.long)]
        self.short.clear()
        self.long.clear()
        return waiters

    def _take_one(self) -> list[Portion]:
        heads = [queue for queue in (self.short, self.long) if queue]
        if not heads:
            return []
        first = min(heads, key=lambda queue: queue[0])
        _, _, waiter = heapq.heappop(first)
        return [waiter.cut(self.limits.tokens)]

    def _take_short(self, count: int) -> list[Portion]:
        portions: list[Portion] = []
        while self.short and len(portions) < count:
            _, _, waiter = heapq.heappop(self.short)
            if not waiter.done.done():
                portions.append(waiter.cut(SHORT_TOKENS))
        return portions

    def _take_long(self, portions: list[Portion]) -> None:
        budget = max(self.limits.tokens - len(portions), SMALLEST_PORTION)
        while self.long and budget > 0 and len(portions) < self.limits.items:
            _, _, waiter = heapq.heappop(self.long)
            if waiter.done.done():
                continue
            portion = waiter.cut(budget)
            budget -= len(portion.item.inputs)
            portions.append(portion)

    def _drop_finished(self) -> None:
        for queue in (self.short, self.long):
            while queue and queue[0][2].done.done():
                heapq.heappop(queue)
