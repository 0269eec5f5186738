from __future__ import annotations

import json

import pydantic
import pytest

from almondshift.node import objectives
from almondshift.policy import burn
from almondshift.ports import clocks
from tests import samples

SNAPSHOT = pydantic.TypeAdapter(burn.Snapshot)


class ManualClock(clocks.Clock):
    def __init__(self) -> None:
        self.now = 5_000_000.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def sleep(self, seconds: float) -> None:
        self.now += seconds


def _counts() -> tuple[ManualClock, objectives.ObjectiveCounts]:
    clock = ManualClock()
    counts = objectives.create_objective_counts(clock)
    counts.use(samples.sample_fleet())
    return clock, counts


def _bad_counts(counts: objectives.ObjectiveCounts) -> list[int]:
    snapshot = SNAPSHOT.validate_json(json.dumps(counts.snapshot()))
    return [
        sum(c.count for c in window.counts if c.cause)
        for window in snapshot.windows
    ]


@pytest.mark.parametrize(
    ("age_s", "seen"),
    [
        (0, [1, 1, 1, 1]),
        (200, [1, 1, 1, 1]),
        (299, [1, 1, 1, 1]),
        (1000, [0, 1, 1, 1]),
        (3 * 3600, [0, 0, 1, 1]),
        (2 * 86400, [0, 0, 0, 1]),
        (4 * 86400, [0, 0, 0, 0]),
    ],
)
def test_windows_slide(age_s: float, seen: list[int]) -> None:
    clock, counts = _counts()
    counts.record_whole("advice", "members-app", "overloaded")
    clock.now += age_s
    assert _bad_counts(counts) == seen
    counts.record_whole("advice", "members-app")
    assert _bad_counts(counts) == seen


def test_latencies_are_compared_with_the_service_objectives() -> None:
    _, counts = _counts()
    for seconds in (0.39, 0.41):
        counts.record_first_token("advice", "members-app", seconds)
    for seconds in (0.05, 0.07, 0.08):
        counts.record_between_tokens("advice", "members-app", seconds)
    counts.record_first_token("removed", "members-app", 9.0)
    burns = burn.compute([SNAPSHOT.validate_python(counts.snapshot())])
    rates = {(b.service, b.objective.value): b.rates[0] for b in burns}
    assert rates["advice", "first_token"].bad == 1
    assert rates["advice", "between_tokens"].bad == 2
    assert rates["advice", "between_tokens"].good == 1
    assert ("portal", "first_token") not in rates
    assert len(rates) == 2 * 3 + 2


def test_memory_is_bounded_by_keys_and_buckets() -> None:
    clock, counts = _counts()
    for i in range(objectives.MAX_KEYS * 3):
        counts.record_whole("advice", f"account-{i}", "overloaded")
    (bucket,) = counts.fine.buckets
    assert len(bucket.counts) <= objectives.MAX_KEYS + 1
    assert _bad_counts(counts) == [objectives.MAX_KEYS * 3] * 4
    for _ in range(objectives.COARSE_BUCKETS * 2):
        clock.now += objectives.COARSE_BUCKET_S
        counts.record_whole("advice", "members-app")
    assert len(counts.fine.buckets) == objectives.FINE_BUCKETS
    assert len(counts.coarse.buckets) == objectives.COARSE_BUCKETS
