"""Load patterns, each run against a router in virtual time."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from almondshift.model import fleet
from bench.virtual import clusters
from bench.virtual import loads
from bench.virtual import results

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.policy import router_interface

    Factory = Callable[[random.Random, str, str], router_interface.Router]

NORMAL_LOAD = 0.8
"""Share of the hardware bound that counts as 1x."""
LIGHT_LOAD = 0.4
PREFIX_LOAD = 1.6
"""Share of the bound; above 1 because the bound ignores the prefix cache."""
LONG_TAIL_S = 25.0
MEASURE_START_S = 3.0
LOAD_END_S = 10.0
STEADY_START_S = 8.0
STEADY_END_S = 18.0
"""End of the measured interval. An overload that starts from idle first fills
the engines beyond their limits; with the answers to these requests, goodput
would exceed what the hardware can do. So the interval starts late."""
TAIL_S = 4.0
"""Time after the last request in which answers still arrive."""
HOT_ACCOUNT = "hot"
SLOW_ENGINE = "e5-medium"
SLOW_FACTOR = 10.0
DEGRADED_ZONE = "z2"
DEGRADED_S = 0.03
LOST_ZONE = "z3"
FAULT_AT_S = 4.0
OVERLOAD_END_S = 6.0


@dataclasses.dataclass(slots=True)
class PatternRun:
    """The results of a pattern run.

    Attributes:
        bound: Hardware bound in generated tokens per second, before faults.
        bound_after: Hardware bound after the pattern's fault.
        start: Start of the measured interval, in virtual seconds.
        end: End of the measured interval.
    """

    name: str
    results: results.Results
    bound: float
    bound_after: float
    start: float = MEASURE_START_S
    end: float = LOAD_END_S

    @property
    def goodput(self) -> float:
        """Generated tokens per second of answers within their deadline."""
        return self.results.goodput(self.start, self.end)


def _run_pattern(
    name: str,
    cluster: clusters.Cluster,
    bound: float,
    start: float = MEASURE_START_S,
    end: float = LOAD_END_S,
    tail: float = TAIL_S,
) -> PatternRun:
    share = bound / cluster.bound()
    run_results = cluster.run(end + tail)
    return PatternRun(
        name, run_results, bound, cluster.bound() * share, start, end
    )


def steady(factory: Factory, seed: int, times: float) -> PatternRun:
    """Runs a steady load of ``times`` the normal one."""
    cluster = clusters.Cluster(factory, seed=seed)
    bound = cluster.bound()
    rate = bound * NORMAL_LOAD * times
    loads.steady(cluster, random.Random(seed), rate, 0.0, STEADY_END_S)
    return _run_pattern(
        f"steady {times:g}x", cluster, bound, STEADY_START_S, STEADY_END_S
    )


def burst(factory: Factory, seed: int) -> PatternRun:
    """Runs a light load and a burst of 1.5 seconds' work at the bound."""
    cluster = clusters.Cluster(factory, seed=seed)
    bound = cluster.bound()
    rng = random.Random(seed)
    loads.steady(cluster, rng, bound * LIGHT_LOAD, 0.0, LOAD_END_S)
    count = int(1.5 * bound / loads.SHORT.max_tokens)
    loads.burst(cluster, rng, count, FAULT_AT_S)
    return _run_pattern("burst", cluster, bound)


def hot_account(factory: Factory, seed: int, times: float) -> PatternRun:
    """Runs ten accounts, one of which sends ``times`` its share."""
    cluster = clusters.Cluster(factory, seed=seed)
    bound = cluster.bound()
    share = bound * NORMAL_LOAD / len(loads.ACCOUNTS)
    others = loads.ACCOUNTS[1:]
    rng = random.Random(seed)
    loads.steady(
        cluster, rng, share * len(others), 0.0, LOAD_END_S, accounts=others
    )
    if times > 0.0:
        rng = random.Random(seed + 1)
        loads.steady(
            cluster,
            rng,
            share * times,
            0.0,
            LOAD_END_S,
            accounts=(HOT_ACCOUNT,),
        )
    return _run_pattern(f"hot account {times:g}x", cluster, bound)


def hot_prefix(factory: Factory, seed: int) -> PatternRun:
    """Runs a load in which most prompts share a prefix."""
    cluster = clusters.Cluster(factory, seed=seed)
    shape = loads.Shape(prompt_tokens=128, prefix=7)
    bound = cluster.bound(shape.prompt_tokens, shape.max_tokens)
    rng = random.Random(seed)
    rate = bound * PREFIX_LOAD
    loads.steady(cluster, rng, rate * 0.7, 0.0, LOAD_END_S, shape=shape)
    other = dataclasses.replace(shape, prefix=0)
    loads.steady(
        cluster, rng, rate * 0.3, 0.0, LOAD_END_S, shape=other, prefixes=200
    )
    return _run_pattern("hot prefix", cluster, bound)


def slow_endpoint(
    factory: Factory, seed: int, factor: float = SLOW_FACTOR
) -> PatternRun:
    """Runs the normal load while one engine becomes slow."""
    cluster = clusters.Cluster(factory, seed=seed)
    bound = cluster.bound()
    loads.steady(
        cluster, random.Random(seed), bound * NORMAL_LOAD, 0.0, LOAD_END_S
    )
    engine = cluster.engines[SLOW_ENGINE]

    def slow_down() -> None:
        engine.slowdown = factor

    cluster.at(FAULT_AT_S, slow_down)
    return _run_pattern("slow endpoint", cluster, bound, FAULT_AT_S + 2.0)


def degraded_link(factory: Factory, seed: int) -> PatternRun:
    """Runs a light load while the links to one zone become slow."""
    cluster = clusters.Cluster(factory, seed=seed)
    bound = cluster.bound()
    loads.steady(
        cluster, random.Random(seed), bound * LIGHT_LOAD, 0.0, LOAD_END_S
    )

    def degrade() -> None:
        cluster.zone_extra_s[DEGRADED_ZONE] = DEGRADED_S

    cluster.at(FAULT_AT_S, degrade)
    return _run_pattern("degraded link", cluster, bound, FAULT_AT_S + 2.0)


def long_among_short(
    factory: Factory, seed: int, long_load: float
) -> PatternRun:
    """Runs short requests beside a ``long_load`` share of long ones."""
    cluster = clusters.Cluster(factory, seed=seed)
    bound = cluster.bound()
    rng = random.Random(seed)
    loads.steady(cluster, rng, bound * 0.3, 0.0, LOAD_END_S)
    if long_load > 0.0:
        loads.steady(
            cluster,
            random.Random(seed + 1),
            bound * long_load,
            0.0,
            LOAD_END_S,
            shape=loads.LONG,
            accounts=("drafts",),
        )
    return _run_pattern("long among short", cluster, bound, tail=LONG_TAIL_S)


def critical_among_bulk(factory: Factory, seed: int) -> PatternRun:
    """Runs a few critical requests among bulk ones at twice the load."""
    cluster = clusters.Cluster(factory, seed=seed)
    bound = cluster.bound()
    rng = random.Random(seed)
    bulk = loads.Shape(priority=fleet.Priority.BULK)
    critical = loads.Shape(16, 16, priority=fleet.Priority.CRITICAL)
    loads.steady(
        cluster, rng, bound * NORMAL_LOAD * 2.0, 0.0, LOAD_END_S, shape=bulk
    )
    loads.steady(cluster, rng, bound * 0.05, 0.0, LOAD_END_S, shape=critical)
    return _run_pattern("critical among bulk", cluster, bound)


def overload_ends(factory: Factory, seed: int) -> PatternRun:
    """Runs four times the normal load, then a light one."""
    cluster = clusters.Cluster(factory, seed=seed)
    bound = cluster.bound()
    rng = random.Random(seed)
    rate = bound * NORMAL_LOAD * 4.0
    loads.steady(cluster, rng, rate, 2.0, OVERLOAD_END_S)
    loads.steady(cluster, rng, bound * LIGHT_LOAD, OVERLOAD_END_S, LOAD_END_S)
    return _run_pattern("overload ends", cluster, bound, OVERLOAD_END_S + 2.0)


def lost_zone(factory: Factory, seed: int) -> PatternRun:
    """Runs a light load in which an availability zone is lost."""
    cluster = clusters.Cluster(factory, seed=seed)
    bound = cluster.bound()
    loads.steady(
        cluster, random.Random(seed), bound * LIGHT_LOAD, 0.0, LOAD_END_S
    )
    cluster.at(FAULT_AT_S, lambda: cluster.lose_zone(LOST_ZONE))
    return _run_pattern("lost zone", cluster, bound, FAULT_AT_S)
