"""Outcomes of callers' requests, and figures computed from them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from hdrh import histogram

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from almondshift.policy import actions
    from almondshift.policy import events

_MICROSECONDS_PER_S = 1_000_000
_MAX_RECORDED_S = 3600
PROMPT_REFUSAL_S = 0.05


@dataclasses.dataclass(slots=True)
class Outcome:
    """One caller's request over all of its attempts.

    Attributes:
        sent_at: When it was first sent.
        deadline: Time until which the caller waits for the answer.
        refusals: Seconds from each refused attempt to its refusal.
    """

    arrival: events.Arrival
    sent_at: float
    deadline: float
    attempts: int = 0
    first_at: float | None = None
    done_at: float | None = None
    gaps: list[float] = dataclasses.field(default_factory=list)
    refusals: list[float] = dataclasses.field(default_factory=list)
    refusal_reasons: list[actions.RefusalReason] = dataclasses.field(
        default_factory=list
    )
    stages_replaced: int = 0

    @property
    def is_in_time(self) -> bool:
        """Whether the whole answer arrived within the deadline."""
        return self.done_at is not None and self.done_at <= self.deadline

    @property
    def cost(self) -> int:
        """Prompt and generated tokens."""
        return self.arrival.prompt_tokens + self.arrival.max_tokens

    @property
    def late_refusals(self) -> list[float]:
        """Refusals more than 50 ms after the request was sent."""
        return [s for s in self.refusals if s > PROMPT_REFUSAL_S]


@dataclasses.dataclass(slots=True)
class Results:
    """All outcomes of a run."""

    outcomes: list[Outcome] = dataclasses.field(default_factory=list)

    def select(self, predicate: Callable[[Outcome], bool]) -> Results:
        """Returns the results that satisfy a predicate."""
        return Results([o for o in self.outcomes if predicate(o)])

    def between(self, start: float, end: float) -> Results:
        """Returns the results of requests first sent in ``[start, end)``."""
        return self.select(lambda o: start <= o.sent_at < end)

    def goodput(self, start: float, end: float) -> float:
        """Returns tokens per second of answers within deadline in a period."""
        tokens = sum(
            o.arrival.max_tokens
            for o in self.outcomes
            if o.is_in_time
            and o.done_at is not None
            and start <= o.done_at < end
        )
        return tokens / (end - start)

    def share_in_time(self) -> float:
        """Returns the share of requests answered in time."""
        if not self.outcomes:
            return 0.0
        return sum(o.is_in_time for o in self.outcomes) / len(self.outcomes)

    def first_token_s(self) -> list[float]:
        """Returns times to first token of answers within their deadline."""
        return [
            o.first_at - o.sent_at
            for o in self.outcomes
            if o.is_in_time and o.first_at is not None
        ]

    def whole_s(self) -> list[float]:
        """Returns times to completion of answers within their deadline."""
        return [
            o.done_at - o.sent_at
            for o in self.outcomes
            if o.is_in_time and o.done_at is not None
        ]

    def gaps(self) -> list[float]:
        """Returns times between tokens of answers within their deadline."""
        return [gap for o in self.outcomes if o.is_in_time for gap in o.gaps]

    def refusals(self) -> list[float]:
        """Returns the times from each refused attempt to its refusal."""
        return [s for o in self.outcomes for s in o.refusals]

    def retries(self) -> float:
        """Returns the mean number of retries per request."""
        if not self.outcomes:
            return 0.0
        extra = sum(max(0, o.attempts - 1) for o in self.outcomes)
        return extra / len(self.outcomes)

    def account_shares(self) -> dict[str, float]:
        """Returns the share of requests answered in time, by account."""
        parts: dict[str, Results] = {}
        for o in self.outcomes:
            parts.setdefault(o.arrival.account, Results()).outcomes.append(o)
        return {name: part.share_in_time() for name, part in parts.items()}


def percentiles(
    seconds: Iterable[float], percents: tuple[float, ...] = (50, 95, 99)
) -> list[float]:
    """Returns percentiles in seconds, or 0.0 if there are no values."""
    recorded = histogram.HdrHistogram(
        1, _MAX_RECORDED_S * _MICROSECONDS_PER_S, 3
    )
    for value in seconds:
        recorded.record_value(max(1, round(value * _MICROSECONDS_PER_S)))
    if recorded.total_count == 0:
        return [0.0 for _ in percents]
    return [
        recorded.get_value_at_percentile(point) / _MICROSECONDS_PER_S
        for point in percents
    ]
