"""Compares the router with the baseline under load, in virtual time.

Run with ``python -m bench.load``. Each pattern is run once with the
baseline and once with the router, with the same seed and the same requests.
"""

from __future__ import annotations

import dataclasses
import json
import random
import time
from typing import TYPE_CHECKING
from typing import Any

from almondshift.model import fleet as fleets
from almondshift.policy import actions
from almondshift.policy import events
from almondshift.policy import router as router_module
from bench.virtual import clusters
from bench.virtual import patterns
from bench.virtual import results
from bench.virtual import simulation

if TYPE_CHECKING:
    from collections.abc import Callable

SEED = 1
ROUTERS = {
    "baseline": clusters.create_baseline,
    "router": clusters.create_router,
}
PATTERNS: tuple[
    tuple[str, Callable[[patterns.Factory], patterns.PatternRun]], ...
] = (
    ("steady 1x", lambda f: patterns.steady(f, SEED, 1.0)),
    ("steady 2x", lambda f: patterns.steady(f, SEED, 2.0)),
    ("steady 4x", lambda f: patterns.steady(f, SEED, 4.0)),
    ("burst", lambda f: patterns.burst(f, SEED)),
    ("others alone", lambda f: patterns.hot_account(f, SEED, 0.0)),
    ("hot account 10x", lambda f: patterns.hot_account(f, SEED, 10.0)),
    ("hot prefix", lambda f: patterns.hot_prefix(f, SEED)),
    ("slow endpoint", lambda f: patterns.slow_endpoint(f, SEED)),
    ("degraded link", lambda f: patterns.degraded_link(f, SEED)),
    ("short alone", lambda f: patterns.long_among_short(f, SEED, 0.0)),
    ("long among short", lambda f: patterns.long_among_short(f, SEED, 1.5)),
    ("critical among bulk", lambda f: patterns.critical_among_bulk(f, SEED)),
    ("overload ends", lambda f: patterns.overload_ends(f, SEED)),
    ("lost zone", lambda f: patterns.lost_zone(f, SEED)),
)
HEADINGS = (
    ("pattern", 20),
    ("with", 9),
    ("goodput", 8),
    ("/bound", 7),
    ("in time", 8),
    ("first token p50/95/99", 24),
    ("between p50/95/99", 22),
    ("whole p99", 10),
    ("worst/best", 12),
    ("refused", 8),
    ("<50ms", 6),
    ("retries", 7),
)
"""Columns of the table: heading and width."""
SIZES = ((8, 30, 10), (80, 270, 300), (390, 820, 1700))
"""Peers, engines and accounts."""
ARRIVALS = 2000
TICKS = 2000


def figures(run: patterns.PatternRun) -> dict[str, Any]:
    """Returns the figures of a pattern run, times in seconds."""
    part = run.results.between(run.start, run.end)
    shares = part.account_shares()
    refusals = part.refusals()
    prompt_refusals = [s for s in refusals if s <= results.PROMPT_REFUSAL_S]
    return {
        "goodput_tokens_per_s": round(run.goodput, 1),
        "bound_tokens_per_s": round(run.bound, 1),
        "goodput_by_bound": round(run.goodput / run.bound_after, 3),
        "in_time_share": round(part.share_in_time(), 4),
        "first_token_s": results.percentiles(part.first_token_s()),
        "between_tokens_s": results.percentiles(part.gaps()),
        "whole_s": results.percentiles(part.whole_s()),
        "worst_account_share": round(min(shares.values()), 3),
        "best_account_share": round(max(shares.values()), 3),
        "refusals": len(refusals),
        "refusals_within_50_ms": (
            round(len(prompt_refusals) / len(refusals), 3) if refusals else None
        ),
        "retries_per_request": round(part.retries(), 3),
        "stages_replaced": sum(o.stages_replaced for o in part.outcomes),
    }


def _format_row(name: str, router_name: str, found: dict[str, Any]) -> str:
    def format_percentiles(values: list[float]) -> str:
        return "/".join(f"{value:.3f}" for value in values)

    prompt_share = found["refusals_within_50_ms"]
    worst, best = found["worst_account_share"], found["best_account_share"]
    cells = (
        name,
        router_name,
        f"{found['goodput_tokens_per_s']:.0f}",
        f"{found['goodput_by_bound']:.2f}",
        f"{found['in_time_share']:.3f}",
        format_percentiles(found["first_token_s"]),
        format_percentiles(found["between_tokens_s"]),
        f"{found['whole_s'][2]:.2f}",
        f"{worst:.2f}/{best:.2f}",
        str(found["refusals"]),
        "-" if prompt_share is None else f"{prompt_share:.2f}",
        f"{found['retries_per_request']:.2f}",
    )
    return _format_line(cells)


def _format_line(cells: tuple[str, ...]) -> str:
    widths = (width for _, width in HEADINGS)
    return " ".join(f"{c:<{w}}" for c, w in zip(cells, widths, strict=True))


def run_patterns() -> dict[str, dict[str, dict[str, Any]]]:
    """Runs every pattern, prints the table and returns its figures."""
    print(_format_line(tuple(heading for heading, _ in HEADINGS)))
    found: dict[str, dict[str, dict[str, Any]]] = {}
    for name, run_pattern in PATTERNS:
        found[name] = {}
        for router_name, factory in ROUTERS.items():
            found[name][router_name] = figures(run_pattern(factory))
            print(
                _format_row(name, router_name, found[name][router_name]),
                flush=True,
            )
    return found


def target_values(
    found: dict[str, dict[str, dict[str, Any]]],
) -> dict[str, Any]:
    """Returns the measured values of the performance targets."""

    def router_figures(pattern: str) -> dict[str, Any]:
        return found[pattern]["router"]

    short = _short_request_p99_ratio()
    hot = patterns.hot_account(clusters.create_router, SEED, 10.0)
    part = hot.results.between(hot.start, hot.end)
    others = part.select(lambda o: o.arrival.account != patterns.HOT_ACCOUNT)
    goodput_1x = router_figures("steady 1x")["goodput_tokens_per_s"]
    return {
        "goodput_4x_by_1x": (
            router_figures("steady 4x")["goodput_tokens_per_s"] / goodput_1x
        ),
        "others_in_time_beside_hot_account": (
            others.share_in_time()
            / router_figures("others alone")["in_time_share"]
        ),
        "short_p99_among_long_by_alone": short,
        "goodput_with_slow_endpoint_by_1x": (
            router_figures("slow endpoint")["goodput_tokens_per_s"] / goodput_1x
        ),
        "refusals_within_50_ms_at_4x": router_figures("steady 4x")[
            "refusals_within_50_ms"
        ],
    }


def _short_request_p99_ratio() -> float:
    p99 = []
    for load in (0.0, 1.5):
        run = patterns.long_among_short(clusters.create_router, SEED, load)
        part = run.results.between(run.start, run.end)
        short = part.select(lambda o: o.arrival.account != "drafts")
        p99.append(results.percentiles(short.whole_s())[2])
    return p99[1] / p99[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Cluster size at which the cost of decisions is measured."""

    peers: int
    engines: int
    accounts: int


def create_sized_router(size: Size) -> router_module.LoadRouter:
    """Returns a router that knows all engines, accounts and peers of a size."""
    settings = router_module.RouterSettings(zone="z1")
    router = router_module.create_router(random.Random(SEED), "n0", settings)
    accounts = {
        f"a{i}": fleets.Account(f"a{i}", "") for i in range(size.accounts)
    }
    router.handle(events.FleetChanged(0.0, clusters.make_fleet(accounts)))
    for index in range(size.engines):
        for event in _engine_events(index):
            router.handle(event)
    for index in range(size.peers):
        router.handle(_peer_load(index, size, 0.0))
    return router


def _engine_events(index: int) -> list[events.Event]:
    names = sorted(clusters.ACCELERATORS)
    accelerator = names[index % len(names)]
    span = ((0, 6), (6, 12), (0, 4), (4, 8), (8, 12))[index % 5]
    spec = clusters.EngineSpec(accelerator, span, f"z{index % 3 + 1}")
    engine = clusters.make_engine(simulation.Simulation(), index, spec)
    return [
        events.EndpointSeen(0.0, engine.vm, engine.description),
        events.LoadReported(0.0, engine.report(0.3)),
    ]


def _peer_load(index: int, size: Size, at: float) -> events.PeerLoad:
    # At the target size a node accepts about 8 requests per second. Each is
    # in flight for a few seconds on three engines, and a third of them ends
    # or starts between two exchanges.
    rng = random.Random(index)
    names = sorted(clusters.ACCELERATORS)
    engines = [rng.randrange(size.engines) for _ in range(60)]
    for place in range(0, 20 if at > 0.0 else 0):
        engines[place] = (engines[place] + 7) % size.engines
    in_flight = {f"e{i}-{names[i % len(names)]}": 1 for i in engines}
    used = {f"a{rng.randrange(size.accounts)}": 50.0 for _ in range(20)}
    return events.PeerLoad(at, f"p{index}", in_flight, used)


def measure_cost(size: Size) -> dict[str, Any]:
    """Measures processor time per decision, in microseconds."""
    router = create_sized_router(size)
    found: dict[str, Any] = dataclasses.asdict(size)
    found["arrival_us"] = _arrivals_us(router, size)
    found["tick_us"] = _ticks_us(router, 100.0)
    found["tick_waiting_us"] = _ticks_waiting_us(router, size)
    found["report_us"] = _reports_us(router, size)
    found["peer_load_us"] = _peer_loads_us(router, size)
    return found


def _arrival(number: int, at: float, size: Size) -> events.Arrival:
    return events.Arrival(
        at,
        f"r{number}",
        f"a{number % size.accounts}",
        "chat",
        fleets.Priority.NORMAL,
        32,
        32,
        at + 8.0,
        True,
        (number % 50,),
    )


def _arrivals_us(router: router_module.LoadRouter, size: Size) -> float:
    """Times dispatched arrivals; each completes before the next."""
    spent = 0.0
    for number in range(ARRIVALS):
        at = 10.0 + number * 0.01
        event = _arrival(number, at, size)
        start = time.process_time()
        decided = router.handle(event)
        spent += time.process_time() - start
        assert isinstance(decided[0], actions.Dispatch)
        router.handle(events.Completed(at, event.request_id))
    return round(spent / ARRIVALS * 1e6, 1)


def _ticks_us(router: router_module.LoadRouter, at: float) -> float:
    start = time.process_time()
    for number in range(TICKS):
        router.handle(events.Tick(at + number * 1e-4))
    return round((time.process_time() - start) / TICKS * 1e6, 1)


def _ticks_waiting_us(router: router_module.LoadRouter, size: Size) -> float:
    """Times ticks while requests of many accounts are queued."""
    number = ARRIVALS
    while len(router.waiting) < 50 and number < ARRIVALS + 100_000:
        router.handle(_arrival(number, 200.0, size))
        number += 1
    return _ticks_us(router, 200.1)


def _reports_us(router: router_module.LoadRouter, size: Size) -> float:
    reports = [_engine_events(i)[1] for i in range(size.engines)]
    later = [
        dataclasses.replace(report, at=300.0)
        for report in reports
        if isinstance(report, events.LoadReported)
    ]
    start = time.process_time()
    for report in later:
        router.handle(report)
    return round((time.process_time() - start) / len(later) * 1e6, 1)


def _peer_loads_us(router: router_module.LoadRouter, size: Size) -> float:
    loads = [_peer_load(i, size, 301.0) for i in range(size.peers)]
    start = time.process_time()
    for load in loads:
        router.handle(load)
    return round((time.process_time() - start) / len(loads) * 1e6, 1)


def measure_costs() -> list[dict[str, Any]]:
    """Measures the cost of decisions at each size and prints it."""
    found = [measure_cost(Size(*size)) for size in SIZES]
    for line in found:
        print(json.dumps(line))
    return found


def main() -> dict[str, Any]:
    """Runs the patterns and measures costs; returns all figures."""
    pattern_figures = run_patterns()
    values = target_values(pattern_figures)
    for name, value in values.items():
        print(f"{name}: {value:.3f}")
    return {
        "patterns": pattern_figures,
        "targets": values,
        "costs": measure_costs(),
    }


if __name__ == "__main__":
    main()
