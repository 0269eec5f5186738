"""Generates requests of simulated callers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import fleet
from almondshift.policy import events

if TYPE_CHECKING:
    import random

    from bench.virtual import clusters

ACCOUNTS = tuple(f"a{i}" for i in range(10))


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size, deadline and priority of one kind of request.

    Attributes:
        deadline_s: How long the caller waits for the whole answer.
        prefix: Digest of the prompt prefix that all share, or 0 for none.
    """

    prompt_tokens: int = 32
    max_tokens: int = 32
    deadline_s: float = 8.0
    priority: fleet.Priority = fleet.Priority.NORMAL
    prefix: int = 0

    @property
    def cost(self) -> int:
        """Prompt and generated tokens."""
        return self.prompt_tokens + self.max_tokens


SHORT = Shape()
LONG = Shape(64, 512, 60.0, fleet.Priority.NORMAL)


def steady(
    cluster: clusters.Cluster,
    rng: random.Random,
    tokens_per_s: float,
    start: float,
    end: float,
    *,
    shape: Shape = SHORT,
    accounts: tuple[str, ...] = ACCOUNTS,
    prefixes: int = 0,
) -> None:
    """Sends requests at random times, at a mean rate of output tokens."""
    rate = tokens_per_s / shape.max_tokens
    at = start + rng.expovariate(rate)
    while at < end:
        own_prefix = (rng.randrange(1, prefixes + 1),) if prefixes else ()
        shared_prefix = (shape.prefix,) if shape.prefix else ()
        cluster.send(
            at,
            _arrival(shape, rng.choice(accounts), shared_prefix or own_prefix),
        )
        at += rng.expovariate(rate)


def burst(
    cluster: clusters.Cluster,
    rng: random.Random,
    count: int,
    at: float,
    *,
    shape: Shape = SHORT,
    accounts: tuple[str, ...] = ACCOUNTS,
) -> None:
    """Sends many requests within a tenth of a second."""
    for _ in range(count):
        cluster.send(
            at + 0.1 * rng.random(), _arrival(shape, rng.choice(accounts), ())
        )


def _arrival(
    shape: Shape, account: str, prefixes: tuple[int, ...]
) -> events.Arrival:
    return events.Arrival(
        0.0,
        "",
        account,
        "chat",
        shape.priority,
        shape.prompt_tokens,
        shape.max_tokens,
        shape.deadline_s,
        True,
        prefixes,
    )
