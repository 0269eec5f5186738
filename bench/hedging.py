"""Measures request hedging with several settings, in virtual time.

Run with ``python -m bench.hedging``. A request that has no first token
after the threshold is also sent through another node, and after each further
step through one more. The copy that gives the first token continues and the
others are cancelled. Baseline: the same router without hedging.
"""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING
from typing import Any

from bench.virtual import clusters
from bench.virtual import loads
from bench.virtual import patterns
from bench.virtual import results

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.policy import actions
    from bench.virtual import nodes

SEEDS = (1, 2)
CHECK_INTERVAL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Hedge:
    """When further copies of a request are sent.

    Attributes:
        threshold_s: Time without a first token before the second copy.
        step_s: Time before each further one.
        copies: Maximum number of copies, including the first.
    """

    threshold_s: float
    step_s: float
    copies: int


HEDGES: tuple[Hedge | None, ...] = (
    None,
    Hedge(0.3, 0.1, 3),
    Hedge(0.3, 0.1, 2),
    Hedge(0.6, 0.2, 2),
)
"""No hedging, the paper's example, and two settings with fewer copies."""


@dataclasses.dataclass(slots=True, eq=False)
class _Copies:
    """The copies of one request.

    Attributes:
        running: Node of each copy in flight, by the copy's request id.
        sent: Number of copies sent.
        settled: Whether a copy gave the first token or none is left; no
            further copies are sent then.
    """

    outcome: results.Outcome
    running: dict[str, nodes.VirtualNode] = dataclasses.field(
        default_factory=dict
    )
    sent: int = 0
    settled: bool = False


class HedgingCluster(clusters.Cluster):
    """A cluster whose requests are hedged.

    Attributes:
        hedge: Hedging settings, or None for no hedging.
        extra_sent: Copies sent beyond the first.
    """

    hedge: Hedge | None = None
    extra_sent = 0

    def attempt(self, outcome: results.Outcome) -> None:
        """Sends a request and hedges it."""
        copies = _Copies(outcome)
        outcome.attempts += 1
        self._send_copy(copies)
        if self.hedge is not None:
            self.sim.after(self.hedge.threshold_s, self._send_more, copies)
            self.sim.after(CHECK_INTERVAL_S, self._check_first_token, copies)

    def _send_copy(self, copies: _Copies) -> None:
        arrival = self.next_arrival(copies.outcome)
        used = list(copies.running.values())
        node = self.rng.choice([n for n in self.nodes if n not in used])
        copies.sent += 1
        copies.running[arrival.request_id] = node

        def on_end(
            outcome: results.Outcome, refusal: actions.Refuse | None
        ) -> None:
            copies.running.pop(arrival.request_id, None)
            if not copies.running:
                copies.settled = True
                self.on_end(outcome, refusal)

        node.submit(copies.outcome, arrival, on_end)

    def _send_more(self, copies: _Copies) -> None:
        assert self.hedge is not None
        is_waiting = copies.outcome.first_at is None and not copies.settled
        if not is_waiting or copies.sent >= self.hedge.copies:
            return
        self.extra_sent += 1
        self._send_copy(copies)
        self.sim.after(self.hedge.step_s, self._send_more, copies)

    def _check_first_token(self, copies: _Copies) -> None:
        if copies.settled:
            return
        if copies.outcome.first_at is not None:
            copies.settled = True
            self._cancel_others(copies)
            return
        self.sim.after(CHECK_INTERVAL_S, self._check_first_token, copies)

    def _cancel_others(self, copies: _Copies) -> None:
        winner = max(
            copies.running, key=lambda r: copies.running[r].tokens_of(r)
        )
        for request_id in [r for r in copies.running if r != winner]:
            copies.running.pop(request_id).abandon(request_id)


def _steady(times: float) -> Callable[[HedgingCluster, random.Random], None]:
    def add_load(cluster: HedgingCluster, rng: random.Random) -> None:
        rate = cluster.bound() * patterns.NORMAL_LOAD * times
        loads.steady(cluster, rng, rate, 0.0, patterns.LOAD_END_S)

    return add_load


def _slow_endpoint(cluster: HedgingCluster, rng: random.Random) -> None:
    _steady(0.5)(cluster, rng)

    def slow_down() -> None:
        engine = cluster.engines[patterns.SLOW_ENGINE]
        engine.slowdown = patterns.SLOW_FACTOR

    cluster.at(patterns.FAULT_AT_S, slow_down)


def _lost_zone(cluster: HedgingCluster, rng: random.Random) -> None:
    _steady(0.5)(cluster, rng)
    cluster.at(
        patterns.FAULT_AT_S, lambda: cluster.lose_zone(patterns.LOST_ZONE)
    )


PATTERNS = {
    "steady 0.5x": _steady(0.5),
    "steady 1x": _steady(1.0),
    "slow endpoint 0.5x": _slow_endpoint,
    "lost zone 0.5x": _lost_zone,
    "steady 2x": _steady(2.0),
    "steady 4x": _steady(4.0),
}


def measure(name: str, hedge: Hedge | None) -> dict[str, Any]:
    """Runs a pattern with all seeds and returns its figures."""
    merged = results.Results()
    extra_sent = 0
    for seed in SEEDS:
        cluster = HedgingCluster(clusters.create_router, seed=seed)
        cluster.hedge = hedge
        PATTERNS[name](cluster, random.Random(seed))
        cluster_results = cluster.run(patterns.LOAD_END_S + patterns.TAIL_S)
        part = cluster_results.between(
            patterns.MEASURE_START_S, patterns.LOAD_END_S
        )
        merged.outcomes += part.outcomes
        extra_sent += cluster.extra_sent
    good_tokens = sum(
        o.arrival.max_tokens for o in merged.outcomes if o.is_in_time
    )
    seconds = (patterns.LOAD_END_S - patterns.MEASURE_START_S) * len(SEEDS)
    return {
        "in_time_share": round(merged.share_in_time(), 3),
        "good_tokens_per_s": round(good_tokens / seconds),
        "first_token_s": results.percentiles(merged.first_token_s()),
        "whole_s": results.percentiles(merged.whole_s()),
        "extra_copies": extra_sent,
    }


def main() -> dict[str, Any]:
    """Measures all patterns and prints a line for each."""
    found: dict[str, Any] = {}
    for name in PATTERNS:
        for hedge in HEDGES:
            label = "none" if hedge is None else str(hedge)
            found[f"{name}, {label}"] = figures = measure(name, hedge)
            print(f"{name:20} {label:52} {figures}", flush=True)
    return found


if __name__ == "__main__":
    main()
