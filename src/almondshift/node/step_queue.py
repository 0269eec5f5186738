"""Selects the steps that are sent to an engine in the next call.

The results of a call arrive when all of its items have run, so a long prompt
would delay the tokens of all other requests in the call. Long inputs are
therefore split into portions, and the tokens of a call are limited: a call
takes items of one token first and fills the rest with portions of long ones.
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

MAX_SHORT_TOKENS = 1
MIN_PORTION_TOKENS = 16
"""Tokens of a long input that are sent even in a call full of short items;
otherwise long inputs would starve while the engine is busy."""

TARGET_CALL_S = 0.05
"""Target for the longest call: the 63 ms that callers may wait between two
tokens, less the network latency."""

MIN_TOKEN_S = 1e-9

StepOutcome = expression.Result[steps.StepResult, engines.EngineError]


@dataclasses.dataclass(frozen=True, slots=True)
class CallLimits:
    """Size limits of one call.

    Attributes:
        items: Maximum items in a call.
        tokens: Maximum tokens in a call, which ``MIN_PORTION_TOKENS`` may
            exceed.
    """

    items: int = 32
    tokens: int = 64


def limits_for(
    engine: endpoints.EndpointDescription, layer_count: int
) -> CallLimits:
    """Returns limits under which a call takes about ``TARGET_CALL_S``.

    Args:
        engine: The engine's description of itself.
        layer_count: Number of layers that it runs for each token.
    """
    token_s = max(engine.per_layer_token_s * layer_count, MIN_TOKEN_S)
    tokens = round((TARGET_CALL_S - engine.fixed_s) / token_s)
    return CallLimits(engine.max_batch, max(tokens, MIN_PORTION_TOKENS))


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A submitted item that waits for its outcome.

    Attributes:
        sequence: Increases with each submitted item.
        submitted_at: Monotonic time.
        done: Resolved with the outcome of the whole item.
        outputs: Outputs of the portions that ran.
        is_sent: Whether a portion was sent to the engine.
    """

    item: steps.StepItem
    sequence: int
    submitted_at: float
    done: asyncio.Future[StepOutcome]
    outputs: list[int] = dataclasses.field(default_factory=list)
    is_sent: bool = False

    @property
    def is_short(self) -> bool:
        """Whether the item takes precedence over portions of long items."""
        return len(self.item.inputs) <= MAX_SHORT_TOKENS

    @property
    def remaining(self) -> int:
        """Number of inputs that have not run."""
        return len(self.item.inputs) - len(self.outputs)

    def take_portion(self, size: int) -> Portion:
        """Returns up to ``size`` of the next inputs as a separate item."""
        self.is_sent = True
        ran = len(self.outputs)
        if ran == 0 and size >= self.remaining:
            return Portion(self, self.item)
        inputs = self.item.inputs[ran : ran + size]
        position = self.item.position + ran
        item = dataclasses.replace(self.item, position=position, inputs=inputs)
        return Portion(self, item)


@dataclasses.dataclass(frozen=True, slots=True)
class Portion:
    """A part of a waiter's item, or the whole item."""

    waiter: Waiter
    item: steps.StepItem


Entry = tuple[int, int, Waiter]
"""Priority, sequence and waiter; a tuple, since heaps compare tuples fast."""


class StepQueue:
    """Queue of items, ordered by priority, then by arrival."""

    def __init__(self, limits: CallLimits) -> None:
        self.limits = limits
        self.short: list[Entry] = []
        self.long: list[Entry] = []

    def push(self, waiter: Waiter) -> None:
        """Adds a waiter, or puts back one with remaining inputs."""
        queue = self.short if waiter.is_short else self.long
        entry = (waiter.item.priority, waiter.sequence, waiter)
        heapq.heappush(queue, entry)

    def take(self) -> list[Portion]:
        """Takes the portions for the next call; empty if nothing is queued."""
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
        return [waiter.take_portion(self.limits.tokens)]

    def _take_short(self, count: int) -> list[Portion]:
        portions: list[Portion] = []
        while self.short and len(portions) < count:
            _, _, waiter = heapq.heappop(self.short)
            if not waiter.done.done():
                portions.append(waiter.take_portion(MAX_SHORT_TOKENS))
        return portions

    def _take_long(self, portions: list[Portion]) -> None:
        budget = max(self.limits.tokens - len(portions), MIN_PORTION_TOKENS)
        while self.long and budget > 0 and len(portions) < self.limits.items:
            _, _, waiter = heapq.heappop(self.long)
            if waiter.done.done():
                continue
            portion = waiter.take_portion(budget)
            budget -= len(portion.item.inputs)
            portions.append(portion)

    def _drop_finished(self) -> None:
        for queue in (self.short, self.long):
            while queue and queue[0][2].done.done():
                heapq.heappop(queue)
