"""Lanes: groups of requests that wait for the same engines.

Two services use different models or endpoints, and one of them is overloaded.
In a shared queue, head-of-line blocking by one service would delay the other.

Requests for one model and adapter, or for one plain service, compete for the
same endpoints. They form one lane with its own fair queue, drain rate and time
estimates. A blocked lane does not mean that another one is blocked.

Run times are learned from observed requests with an exponential moving average
(a weight of a tenth for each new value, so over about ten requests). Prompt
processing and token generation are estimated separately, because requests
differ more in their mix of the two than engines differ in speed.
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
LONG_RETRY_INTERVAL_S = 1.0
"""Interval at which a long job is tried even without new capacity, in seconds:
the share of sessions for long jobs also grows while no short ones arrive."""


@dataclasses.dataclass(frozen=True, slots=True)
class LaneKey:
    """Identifies the endpoints that a lane's requests compete for."""

    plain: bool
    name: str
    adapter: str


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request that is waiting or in flight.

    Attributes:
        charged: Tokens charged to its client account.
        expires_at: Time at which it is refused if it is still waiting.
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
class RunningRequest:
    """A request that was dispatched.

    Attributes:
        chain: The chain in use, or None for a plain service.
        endpoint: The plain endpoint, or ``""`` for a chain.
        stages: Stages on which it counts as in flight.
        rate: Its cost divided by its expected run time. Their sum over a lane
            is the first estimate of the rate at which the lane serves work.
    """

    request: Request
    started_at: float
    chain: chains.Chain | None = None
    endpoint: str = ""
    stages: tuple[chains.Stage, ...] = ()
    rate: float = 0.0
    first_token_at: float | None = None
    tokens: int = 0
    retries: int = 0
    failed_endpoints: set[str] = dataclasses.field(default_factory=set)


class Lane:
    """A fair queue with its drain rate and time estimates.

    Attributes:
        per_prompt_token_s: Mean time per prompt token in seconds. For a plain
            service, mean run time per unit of cost.
        per_token_s: Mean time per generated token after the first, in seconds.
        generated_share: Mean share of the maximum tokens that requests
            generate.
        blocked_generation: The chooser's ``capacity_generation`` when nothing
            could be dispatched; a new attempt is pointless until it grows.
    """

    def __init__(self, key: LaneKey, rng: random.Random) -> None:
        self.key = key
        self.queue: fair_queue.FairQueue[Request] = fair_queue.FairQueue()
        self.drain = drain_rate.DrainRate()
        self.retry_delays = retry_after.RetryAfter(rng)
        self.per_prompt_token_s = 0.0
        self.per_token_s = 0.0
        self.generated_share = 1.0
        self.blocked_generation = -1
        self.long_blocked_generation = -1
        self._long_tried_at = float("-inf")

    def expected_tokens(self, max_tokens: int) -> float:
        """Returns the number of tokens that a request is likely to generate."""
        return max_tokens * self.generated_share

    def run_s(self, job: chain_choice.Job) -> float:
        """Returns the expected run time of a job."""
        return (
            job.prompt_tokens * self.per_prompt_token_s
            + job.tokens * self.per_token_s
        )

    def predicted_wait_s(self, request: Request, weight: float) -> float:
        """Returns the expected wait of a new request."""
        arrival = request.arrival
        ahead = self.queue.cost_ahead(arrival.account, arrival.priority, weight)
        drain = self.drain.per_second(arrival.at)
        return admission.predicted_wait_s(ahead, drain)

    def record_refusal(self, request: Request, at: float) -> float:
        """Records a refusal and returns its Retry-After."""
        drain = self.drain.per_second(at)
        return self.retry_delays.after_refusal(
            at, request.cost, self.queue.cost, drain
        )

    def is_blocked(self, capacity_generation: int) -> bool:
        """Returns whether no capacity was gained since dispatch failed."""
        return self.blocked_generation == capacity_generation

    def may_try_long(self, capacity_generation: int, at: float) -> bool:
        """Returns whether a long job should be tried now."""
        if self.long_blocked_generation != capacity_generation:
            return True
        return at - self._long_tried_at >= LONG_RETRY_INTERVAL_S

    def block_long(self, capacity_generation: int, at: float) -> None:
        """Records that no long job can be dispatched for now."""
        self.long_blocked_generation = capacity_generation
        self._long_tried_at = at

    def started(self, running: RunningRequest, seconds: float) -> None:
        """Records a dispatch with an expected run time of ``seconds``."""
        running.rate = running.request.cost / max(seconds, 1e-3)
        self.drain.in_flight_rate += running.rate

    def progressed(
        self, running: RunningRequest, at: float, tokens: int
    ) -> None:
        """Records generated tokens."""
        served = float(tokens)
        if running.first_token_at is None:
            running.first_token_at = at
            prompt = max(1, running.request.job.prompt_tokens)
            served += prompt
            per_token = (at - running.started_at) / prompt
            self.per_prompt_token_s = _smoothed(
                self.per_prompt_token_s, per_token
            )
        running.tokens += tokens
        self.drain.record_served(at, served)

    def ended(
        self, running: RunningRequest, at: float, *, completed: bool
    ) -> None:
        """Records that a request has left its endpoints."""
        self.drain.in_flight_rate -= running.rate
        if self.drain.in_flight_rate < 1e-6:
            self.drain.in_flight_rate = 0.0
        if not completed:
            return
        arrival = running.request.arrival
        if running.first_token_at is None:
            self._plain_ended(running, at)
            return
        if running.tokens > 1:
            per_token = (at - running.first_token_at) / (running.tokens - 1)
            self.per_token_s = _smoothed(self.per_token_s, per_token)
        if arrival.max_tokens > 0:
            share = min(1.0, running.tokens / arrival.max_tokens)
            self.generated_share += SMOOTHING * (share - self.generated_share)

    def _plain_ended(self, running: RunningRequest, at: float) -> None:
        """Records the cost that a plain endpoint served, and its run time."""
        cost = max(1.0, running.request.cost)
        self.drain.record_served(at, cost)
        per_token = (at - running.started_at) / cost
        self.per_prompt_token_s = _smoothed(self.per_prompt_token_s, per_token)


def _smoothed(before: float, value: float) -> float:
    if before == 0.0:
        return value
    return before + SMOOTHING * (value - before)
