"""A caller's request for a completion, after validation."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import fleet


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionRequest:
    """One completion to run.

    Attributes:
        prompt: Token ids.
        max_tokens: Number of tokens to generate.
        deadline: Monotonic time in seconds by which it must have ended.
        idempotency_key: The caller's key, or ``""``.
    """

    request_id: str
    account: str
    service: str
    prompt: tuple[int, ...]
    max_tokens: int
    priority: fleet.Priority
    deadline: float
    idempotent: bool
    idempotency_key: str
    stream: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StageTiming:
    """Time that a completion spent in one stage."""

    endpoint: str
    start: int
    end: int
    calls: int
    seconds: float
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """One recovery; ``seconds`` counts from the failure to the next token."""

    endpoint: str
    replacement: tuple[str, ...]
    seconds: float
    replayed_positions: int
    restarted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionSummary:
    """What the last event of a stream reports about the completion."""

    request_id: str
    tokens: int
    timings: tuple[StageTiming, ...]
    recoveries: tuple[Recovery, ...]
