"""The router against the baseline, judged by what callers receive."""

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
"""The slow engine's rate by that of all engines with its layers."""


@functools.cache
def _steady(factory: patterns.Factory, times: float) -> patterns.Played:
    return patterns.steady(factory, SEED, times)


def _good_share(played: patterns.Played) -> float:
    part = played.results.between(played.start, played.end)
    return part.good_share()


def _others(played: patterns.Played) -> results.Results:
    part = played.results.between(played.start, played.end)
    return part.where(lambda o: o.arrival.account != patterns.HOT_ACCOUNT)


def _p99(part: results.Results) -> float:
    return results.percentiles(part.whole_s())[2]


@pytest.mark.parametrize(
    ("play", "least"),
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
    play: Callable[[patterns.Factory, int], patterns.Played], least: float
) -> None:
    """Under each pattern nearly all callers get a whole answer in time.

    The load alone could be served; a burst, a fault or the end of an
    overload comes on top. What is counted is whole answers before the
    callers' deadline, and never fewer than with the baseline.
    """
    played = play(clusters.create_router, SEED)
    share = _good_share(played)
    assert share >= least
    assert share >= _good_share(play(clusters.create_baseline, SEED)) - 0.01


@pytest.mark.parametrize("times", [2.0, 4.0])
def test_overload_costs_no_goodput(times: float) -> None:
    """At two and four times the load, as much is answered in time.

    The baseline sends everything on, so that all callers get slow answers
    and most give up; the router refuses what can't be served in time.
    """
    normal = _steady(clusters.create_router, 1.0)
    over = _steady(clusters.create_router, times)
    base = _steady(clusters.create_baseline, times)
    assert over.goodput >= 0.9 * normal.goodput
    assert over.goodput >= 1.2 * base.goodput
    assert over.goodput >= 0.8 * over.bound


def test_refusals_come_at_once_or_when_the_wait_is_up() -> None:
    """A refused caller is told within 50 ms of the decision.

    Most are refused on arrival. The others were let in to wait for at
    most two seconds, and are refused when those are up, long before the
    eight seconds of their deadline.
    """
    over = _steady(clusters.create_router, 4.0)
    refusals = over.results.refusals()
    late = [s for s in refusals if s > results.PROMPT_REFUSAL_S]
    assert len(late) < 0.2 * len(refusals)
    assert max(refusals) < 4.1


def test_a_hot_account_waits_for_itself() -> None:
    """Others lose at most five in a hundred answers to a hot account.

    One account of ten sends ten times its share. With the baseline, all
    accounts lose alike.
    """
    alone = patterns.hot_account(clusters.create_router, SEED, 0.0)
    hot = patterns.hot_account(clusters.create_router, SEED, 10.0)
    base = patterns.hot_account(clusters.create_baseline, SEED, 10.0)
    before = _others(alone).good_share()
    assert _others(hot).good_share() >= 0.95 * before
    assert _others(base).good_share() < 0.6


def test_long_jobs_do_not_hold_up_short_ones() -> None:
    """Short requests take at most twice as long beside long ones.

    Drafts of 512 tokens are asked for at one and a half times what the
    hardware can do, with short requests among them.
    """

    def short(factory: patterns.Factory, load: float) -> results.Results:
        played = patterns.long_among_short(factory, SEED, load)
        part = played.results.between(played.start, played.end)
        return part.where(lambda o: o.arrival.account != "drafts")

    alone = short(clusters.create_router, 0.0)
    among = short(clusters.create_router, 1.5)
    base = short(clusters.create_baseline, 1.5)
    assert among.good_share() >= 0.99
    assert _p99(among) <= 2.0 * _p99(alone)
    assert _p99(among) < _p99(base)


def test_critical_requests_are_not_behind_drafts() -> None:
    """Pause notices are answered while drafts alone would fill everything.

    Drafts come at twice the load. All critical requests are answered in
    time, and drafts still get what is left.
    """
    played = patterns.critical_among_bulk(clusters.create_router, SEED)
    part = played.results.between(played.start, played.end)
    critical = part.where(lambda o: o.arrival.priority == 0)
    drafts = part.where(lambda o: o.arrival.priority == 2)
    assert critical.good_share() >= 0.99
    assert drafts.good_share() >= 0.4


def test_a_slow_endpoint_costs_its_own_share() -> None:
    """Throughput falls by no more than the slow engine's part.

    An engine becomes ten times slower. Two seconds later, answers come at
    the rate that the other engines allow.
    """
    normal = _steady(clusters.create_router, 1.0)
    slow = patterns.slow_endpoint(clusters.create_router, SEED)
    base = patterns.slow_endpoint(clusters.create_baseline, SEED)
    assert slow.goodput >= (1.0 - SLOW_SHARE) * normal.goodput
    assert slow.goodput > base.goodput
