"""Burn rates of service-level error budgets, merged over many nodes.

A fault may consume the budget fast (in minutes) or slowly (in days). An alarm
on a short window alone fires for passing spikes; one on a long window alone
fires hours late and stays on long after the fault has ended.

The windows and thresholds are those of the Google SRE Workbook, chapter 5, for
a 30-day budget: 14.4 times the allowed rate over 1 h and 5 min uses 2% of the
budget in the hour; 1 times over 3 d and 6 h uses 10%.
"""

from __future__ import annotations

import collections
import dataclasses
import enum

FAST_WINDOWS_S = (300.0, 3600.0)
SLOW_WINDOWS_S = (21_600.0, 259_200.0)
WINDOWS_S = FAST_WINDOWS_S + SLOW_WINDOWS_S
FAST_THRESHOLD = 14.4
SLOW_THRESHOLD = 1.0

LATENCY_SHARE = 0.95
"""Latency objectives apply to 95% of requests."""


class Objective(enum.StrEnum):
    """Kind of service-level objective."""

    WHOLE = "whole"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"


class Alarm(enum.StrEnum):
    """Active burn-rate alarm."""

    NONE = "none"
    FAST = "fast"
    SLOW = "slow"


@dataclasses.dataclass(frozen=True, slots=True)
class Count:
    """Number of events of one service, account, objective and cause.

    Attributes:
        cause: Why the objective was missed; empty if it was met.
    """

    service: str
    account: str
    objective: Objective
    cause: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """Counts of the last ``seconds``, with data for ``covered_s`` of them."""

    seconds: float
    covered_s: float
    counts: tuple[Count, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """A bucket of the plotted series; ``age_s`` is the age of its start."""

    age_s: float
    service: str
    objective: Objective
    good: int
    bad: int


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The share of events that have to be good."""

    service: str
    objective: Objective
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Counts of one node."""

    windows: tuple[Window, ...]
    series: tuple[Point, ...]
    series_bucket_s: float
    targets: tuple[Target, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Burn rate over one window.

    Attributes:
        burn: Share of bad events divided by the allowed share; 1 uses up the
            budget exactly within its period. 0 without events.
        covered_s: The longest time for which any node has data.
    """

    window_s: float
    covered_s: float
    good: int
    bad: int
    burn: float


@dataclasses.dataclass(frozen=True, slots=True)
class Contribution:
    """Budget use by an account and a cause in the longest window.

    Attributes:
        share: Share of the objective's bad events.
    """

    account: str
    cause: str
    bad: int
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Burn:
    """Burn rates of one service's objective.

    Attributes:
        budget_left: Remaining share of the budget for the events of the
            longest window: 1 untouched, 0 used up, negative if overspent.
    """

    service: str
    objective: Objective
    target: float
    rates: tuple[Rate, ...]
    budget_left: float
    alarm: Alarm
    contributions: tuple[Contribution, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SeriesPoint:
    """Burn rate in one bucket of the plot, merged over nodes."""

    age_s: float
    service: str
    objective: Objective
    burn: float


def compute(snapshots: list[Snapshot]) -> list[Burn]:
    """Merges the counts of nodes and computes the burn of each objective.

    Targets are taken from the snapshots. If nodes differ, as they do for
    seconds after a change, the strictest target applies.
    """
    targets = merge_targets(snapshots)
    windows = {w: _merge_window(snapshots, w) for w in WINDOWS_S}
    covered_by_window = {w: _covered_s(snapshots, w) for w in WINDOWS_S}
    return [
        _burn(service, objective, share, windows, covered_by_window)
        for (service, objective), share in sorted(targets.items())
    ]


def compute_series(snapshots: list[Snapshot]) -> list[SeriesPoint]:
    """Returns the burn rate in each bucket of the plot, oldest first."""
    targets = merge_targets(snapshots)
    totals: dict[tuple[float, str, Objective], list[int]] = {}
    for snapshot in snapshots:
        for point in snapshot.series:
            step = snapshot.series_bucket_s
            age = point.age_s // step * step
            key = (age, point.service, point.objective)
            total = totals.setdefault(key, [0, 0])
            total[0] += point.good
            total[1] += point.bad
    return [
        SeriesPoint(age, service, objective, burn_rate(good, bad, share))
        for (age, service, objective), (good, bad) in sorted(
            totals.items(), key=lambda item: (-item[0][0], item[0][1:])
        )
        if (share := targets.get((service, objective))) is not None
    ]


def merge_targets(
    snapshots: list[Snapshot],
) -> dict[tuple[str, Objective], float]:
    """Returns the strictest target share by service and objective."""
    targets: dict[tuple[str, Objective], float] = {}
    for snapshot in snapshots:
        for target in snapshot.targets:
            key = (target.service, target.objective)
            targets[key] = max(target.share, targets.get(key, 0.0))
    return targets


def burn_rate(good: int, bad: int, target: float) -> float:
    """Returns the share of bad events divided by the allowed share."""
    total = good + bad
    allowed = 1.0 - target
    if not total or allowed <= 0:
        return 0.0
    return bad / total / allowed


def _merge_window(
    snapshots: list[Snapshot], seconds: float
) -> collections.Counter[tuple[str, Objective, str, str]]:
    merged: collections.Counter[tuple[str, Objective, str, str]]
    merged = collections.Counter()
    for snapshot in snapshots:
        for window in snapshot.windows:
            if window.seconds != seconds:
                continue
            for c in window.counts:
                merged[c.service, c.objective, c.account, c.cause] += c.count
    return merged


def _covered_s(snapshots: list[Snapshot], seconds: float) -> float:
    durations = [
        window.covered_s
        for snapshot in snapshots
        for window in snapshot.windows
        if window.seconds == seconds
    ]
    return max(durations, default=0.0)


def _burn(
    service: str,
    objective: Objective,
    target: float,
    windows: dict[float, collections.Counter[tuple[str, Objective, str, str]]],
    covered_by_window: dict[float, float],
) -> Burn:
    rates = []
    for seconds, counts in windows.items():
        good, bad = _totals(counts, service, objective)
        rate = burn_rate(good, bad, target)
        rates.append(Rate(seconds, covered_by_window[seconds], good, bad, rate))
    longest = windows[WINDOWS_S[-1]]
    return Burn(
        service=service,
        objective=objective,
        target=target,
        rates=tuple(rates),
        budget_left=1.0 - rates[-1].burn,
        alarm=_alarm({rate.window_s: rate.burn for rate in rates}),
        contributions=_contributions(longest, service, objective),
    )


def _totals(
    counts: collections.Counter[tuple[str, Objective, str, str]],
    service: str,
    objective: Objective,
) -> tuple[int, int]:
    good = 0
    bad = 0
    for (name, kind, _, cause), count in counts.items():
        if (name, kind) != (service, objective):
            continue
        if cause:
            bad += count
        else:
            good += count
    return good, bad


def _alarm(burns: dict[float, float]) -> Alarm:
    if all(burns[w] >= FAST_THRESHOLD for w in FAST_WINDOWS_S):
        return Alarm.FAST
    if all(burns[w] >= SLOW_THRESHOLD for w in SLOW_WINDOWS_S):
        return Alarm.SLOW
    return Alarm.NONE


def _contributions(
    counts: collections.Counter[tuple[str, Objective, str, str]],
    service: str,
    objective: Objective,
) -> tuple[Contribution, ...]:
    bad = {
        (account, cause): count
        for (name, kind, account, cause), count in counts.items()
        if (name, kind) == (service, objective) and cause and count
    }
    total = sum(bad.values())
    ranked = sorted(bad.items(), key=lambda item: (-item[1], item[0]))
    return tuple(
        Contribution(account, cause, count, count / total)
        for (account, cause), count in ranked
    )
