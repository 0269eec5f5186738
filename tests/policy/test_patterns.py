"""Router compared with the baseline, by the outcomes for callers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from bench.virtual import clusters
from bench.virtual import patterns
from bench.virtual import results
import pytest

if TYPE_CHECKING:
    from collections.abc import Callable


SEED = 1
SLOW_SHARE = 0.14
"""Share of the slow engine in the rate of all engines with its layers."""


@functools.cache
def _steady(factory: patterns.Factory, times: float) -> patterns.PatternRun:
    return patterns.steady(factory, SEED, times)


def _share_in_time(run: patterns.PatternRun) -> float:
    in_period = run.results.between(run.start, run.end)
    return in_period.share_in_time()


def _others(run: patterns.PatternRun) -> results.Results:
    in_period = run.results.between(run.start, run.end)
    return in_period.select(lambda o: o.arrival.account != patterns.HOT_ACCOUNT)


def _p99(in_period: results.Results) -> float:
    return results.percentiles(in_period.whole_s())[2]


@pytest.mark.parametrize(
    ("run_pattern", "least"),
    [
        (patterns.burst, 0.98),
        (patterns.hot_prefix, 0.98),
        (patterns.slow_endpoint, 0.98),
        (patterns.degraded_link, 0.99),
        (patterns.overload_ends, 0.98),
        (patterns.lost_zone, 0.99),
    ],
)
def test_callers_are_answered_in_time(
    run_pattern: Callable[[patterns.Factory, int], patterns.PatternRun],
    least: float,
) -> None:
    """Under each pattern, nearly all callers get a complete response in time.

    The base load is within capacity; a burst, a fault or the end of an
    overload is added to it. The share of complete responses before the callers'
    deadlines must also be at least about that of the baseline.
    """
    run = run_pattern(clusters.create_router, SEED)
    share = _share_in_time(run)
    assert share >= least
    assert (
        share
        >= _share_in_time(run_pattern(clusters.create_baseline, SEED)) - 0.01
    )


@pytest.mark.parametrize("times", [2.0, 4.0])
def test_overload_costs_no_goodput(times: float) -> None:
    """At two and four times the load, goodput is maintained.

    The baseline dispatches everything, so that all callers get slow responses
    and most give up. The router refuses what can't be served in time.
    """
    normal = _steady(clusters.create_router, 1.0)
    over = _steady(clusters.create_router, times)
    base = _steady(clusters.create_baseline, times)
    assert over.goodput >= 0.9 * normal.goodput
    assert over.goodput >= 1.2 * base.goodput
    assert over.goodput >= 0.8 * over.bound


def test_refusals_are_immediate_or_at_the_wait_limit() -> None:
    """A refused caller is notified within 50 ms of the decision.

    Most requests are refused on arrival. The others were admitted to wait for
    at most two seconds and are refused when these have passed, long before
    their deadline of eight seconds.
    """
    over = _steady(clusters.create_router, 4.0)
    refusals = over.results.refusals()
    late = [s for s in refusals if s > results.PROMPT_REFUSAL_S]
    assert len(late) < 0.2 * len(refusals)
    assert max(refusals) < 4.1


def test_a_hot_account_only_delays_itself() -> None:
    """A hot account costs the others at most 5% of their responses.

    One account of ten sends ten times its share. With the baseline, all
    accounts lose equally.
    """
    alone = patterns.hot_account(clusters.create_router, SEED, 0.0)
    hot = patterns.hot_account(clusters.create_router, SEED, 10.0)
    base = patterns.hot_account(clusters.create_baseline, SEED, 10.0)
    before = _others(alone).share_in_time()
    assert _others(hot).share_in_time() >= 0.95 * before
    assert _others(base).share_in_time() < 0.6


def test_long_jobs_do_not_hold_up_short_ones() -> None:
    """Short requests take at most twice as long alongside long ones.

    Drafts of 512 tokens are requested at one and a half times the capacity of
    the hardware, mixed with short requests.
    """

    def short(factory: patterns.Factory, load: float) -> results.Results:
        run = patterns.long_among_short(factory, SEED, load)
        in_period = run.results.between(run.start, run.end)
        return in_period.select(lambda o: o.arrival.account != "drafts")

    alone = short(clusters.create_router, 0.0)
    among = short(clusters.create_router, 1.5)
    base = short(clusters.create_baseline, 1.5)
    assert among.share_in_time() >= 0.99
    assert _p99(among) <= 2.0 * _p99(alone)
    assert _p99(among) < _p99(base)


def test_critical_requests_do_not_wait_for_drafts() -> None:
    """Critical requests are answered while drafts alone exceed capacity.

    Drafts arrive at twice the load. Critical requests (pause notices) are
    answered in time, and drafts still get the remaining capacity.
    """
    run = patterns.critical_among_bulk(clusters.create_router, SEED)
    in_period = run.results.between(run.start, run.end)
    critical = in_period.select(lambda o: o.arrival.priority == 0)
    drafts = in_period.select(lambda o: o.arrival.priority == 2)
    assert critical.share_in_time() >= 0.99
    assert drafts.share_in_time() >= 0.4


def test_a_slow_endpoint_only_costs_its_own_throughput() -> None:
    """Throughput falls by no more than the slow engine's share.

    An engine becomes ten times slower. Two seconds later, the throughput is
    what the other engines allow.
    """
    normal = _steady(clusters.create_router, 1.0)
    slow = patterns.slow_endpoint(clusters.create_router, SEED)
    base = patterns.slow_endpoint(clusters.create_baseline, SEED)
    assert slow.goodput >= (1.0 - SLOW_SHARE) * normal.goodput
    assert slow.goodput > base.goodput
