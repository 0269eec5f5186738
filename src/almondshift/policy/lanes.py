"""Requests that wait for the same engines, and how long they would wait.

Load pattern: two services on different models or endpoints, one of them
overloaded. In one queue the head of one service's line would hold up the
other's. Grounds: requests for one model and adapter, or for one plain
service, compete for the same endpoints, so they form one lane with its own
fair queue, drain rate and times; what blocks one lane says nothing of
another.

Run times are learned from what was seen (a tenth of each new value, so some
ten requests), apart for prompt and tokens, because requests differ in their
mix of the two by more than engines differ.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.policy import admission
from almondshift.policy import chain_choice
from almondshift.policy import drain_rate
from almondshift.policy import fair_queue
from almondshift.policy import retry_after

if TYPE_CHECKING:
    import random

    from almondshift.model import chains
    from almondshift.model import fleet as fleets
    from almondshift.policy import events

SMOOTHING = 0.1
TRY_LONG_S = 1.0
"""Time after which a long job is tried again without an opening."""


@dataclasses.dataclass(frozen=True, slots=True)
class LaneKey:
    """Which endpoints a lane's requests compete for."""

    plain: bool
    name: str
    adapter: str


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request that is waiting or in flight.

    Attributes:
        charged: Tokens charged to its account.
        expires_at: When it is refused if it still waits.
    """

    arrival: events.Arrival
    service: fleets.Service
    lane: Lane
    job: chain_choice.Job
    cost: float
    charged: float
    expires_at: float = 0.0
    entry: fair_queue.Entry[Request] | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Flight:
    """A request that was dispatched.

    Attributes:
        chain: The chain in use, None on a plain service.
        endpoint: The plain endpoint, ``""`` on a chain.
        stages: Stages on which it counts as in flight.
        rate: What it adds to its lane's implied drain rate.
    """

    request: Request
    started_at: float
    chain: chains.Chain | None = None
    endpoint: str = ""
    stages: tuple[chains.Stage, ...] = ()
    rate: float = 0.0
    first_at: float | None = None
    tokens: int = 0
    repeats: int = 0
    failed: set[str] = dataclasses.field(default_factory=set)


class Lane:
    """A fair queue with its drain rate and expected times.

    Attributes:
        blocked_at: Value of the chooser's ``openings`` when nothing could
            be dispatched; until it grows, trying again is of no use.
    """

    def __init__(self, key: LaneKey, rng: random.Random) -> None:
        self.key = key
        self.queue: fair_queue.FairQueue[Request] = fair_queue.FairQueue()
        self.drain = drain_rate.DrainRate()
        self.retry = retry_after.RetryAfter(rng)
        self.prompt_token_s = 0.0
        self.between_s = 0.0
        self.token_share = 1.0
        self.blocked_at = -1
        self.long_blocked_at = -1
        self._long_tried_at = float("-inf")

    def expected_tokens(self, max_tokens: int) -> float:
        """Returns how many tokens a request is likely to generate."""
        return max_tokens * self.token_share

    def run_s(self, job: chain_choice.Job) -> float:
        """Returns how long a job is likely to run."""
        return (
            job.prompt_tokens * self.prompt_token_s
            + job.tokens * self.between_s
        )

    def predicted_wait_s(self, request: Request, weight: float) -> float:
        """Returns how long a new request would wait."""
        arrival = request.arrival
        ahead = self.queue.cost_ahead(arrival.account, arrival.priority, weight)
        drain = self.drain.per_second(arrival.at)
        return admission.predicted_wait_s(ahead, drain)

    def refusal_s(self, request: Request, at: float) -> float:
        """Notes a refusal and returns its Retry-After."""
        drain = self.drain.per_second(at)
        return self.retry.after_refusal(
            at, request.cost, self.queue.cost, drain
        )

    def is_blocked(self, openings: int) -> bool:
        """Returns whether nothing has changed since nothing would go."""
        return self.blocked_at == openings

    def may_try_long(self, openings: int, at: float) -> bool:
        """Returns whether a long job might go now."""
        if self.long_blocked_at != openings:
            return True
        return at - self._long_tried_at >= TRY_LONG_S

    def block_long(self, openings: int, at: float) -> None:
        """Notes that no long job can go for now."""
        self.long_blocked_at = openings
        self._long_tried_at = at

    def started(self, flight: Flight, seconds: float) -> None:
        """Notes a dispatch whose run should take ``seconds``."""
        flight.rate = flight.request.cost / max(seconds, 1e-3)
        self.drain.in_flight_rate += flight.rate

    def progressed(self, flight: Flight, at: float, tokens: int) -> None:
        """Notes tokens that came out."""
        served = float(tokens)
        if flight.first_at is None:
            flight.first_at = at
            prompt = max(1, flight.request.job.prompt_tokens)
            served += prompt
            each = (at - flight.started_at) / prompt
            self.prompt_token_s = _smoothed(self.prompt_token_s, each)
        flight.tokens += tokens
        self.drain.note_served(at, served)

    def ended(self, flight: Flight, at: float, *, whole: bool) -> None:
        """Notes that a request left its endpoints."""
        self.drain.in_flight_rate -= flight.rate
        if self.drain.in_flight_rate < 1e-6:
            self.drain.in_flight_rate = 0.0
        if not whole:
            return
        arrival = flight.request.arrival
        if flight.first_at is None:
            self._plain_ended(flight, at)
            return
        if flight.tokens > 1:
            each = (at - flight.first_at) / (flight.tokens - 1)
            self.between_s = _smoothed(self.between_s, each)
        if arrival.max_tokens > 0:
            share = min(1.0, flight.tokens / arrival.max_tokens)
            self.token_share += SMOOTHING * (share - self.token_share)

    def _plain_ended(self, flight: Flight, at: float) -> None:
        cost = max(1.0, flight.request.cost)
        self.drain.note_served(at, cost)
        each = (at - flight.started_at) / cost
        self.prompt_token_s = _smoothed(self.prompt_token_s, each)


def _smoothed(before: float, value: float) -> float:
    if before == 0.0:
        return value
    return before + SMOOTHING * (value - before)
