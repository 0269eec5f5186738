"""Measures the counters behind the error-budget burn report when full.

Run as ``python -m bench.objective_counts``. Prints the memory of full
buckets and the time of a snapshot and of recording a value.
"""

from __future__ import annotations

import importlib.resources
import time
import tracemalloc

from almondshift.adapters import fleet_text
from almondshift.node import objectives
from almondshift.ports import clocks

HOURS = 75
MINUTES = 60
FILLED_FINE_HOURS = 2
ACCOUNT_COUNT = objectives.MAX_KEYS + 100
RECORDS = 100_000


class ManualClock(clocks.Clock):
    """A clock that is advanced manually."""

    def __init__(self) -> None:
        self.now = 1e7

    def monotonic(self) -> float:
        """Returns the time set."""
        return self.now

    def wall(self) -> float:
        """Returns the time set."""
        return self.now

    async def sleep(self, seconds: float) -> None:
        """Advances the clock."""
        self.now += seconds


def fill_buckets(
    clock: ManualClock, counts: objectives.ObjectiveCounts
) -> None:
    """Fills every bucket with more keys than it can hold.

    Fine buckets older than an hour are dropped, so that before the last hours
    one minute per hour is enough: it fills the coarse bucket.
    """
    for hour in range(HOURS):
        for minute in range(MINUTES):
            clock.now += objectives.FINE_BUCKET_S
            if minute and hour < HOURS - FILLED_FINE_HOURS:
                continue
            for i in range(ACCOUNT_COUNT):
                counts.record_whole("advice", f"account-{i}", "overloaded")


def main() -> None:
    """Prints the figures."""
    sample = importlib.resources.files("almondshift.data") / "sample.ini"
    clock = ManualClock()
    counts = objectives.create_objective_counts(clock)
    counts.use(fleet_text.parse(sample.read_text(), 1).ok)
    tracemalloc.start()
    fill_buckets(clock, counts)
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    print(f"memory of full buckets: {megabytes:.1f} MB")
    start = time.perf_counter()
    counts.snapshot()
    print(f"snapshot: {(time.perf_counter() - start) * 1e3:.1f} ms")
    start = time.perf_counter()
    for _ in range(RECORDS):
        counts.record_between_tokens("advice", "members-app", 0.01)
    per_record_s = (time.perf_counter() - start) / RECORDS
    print(f"record: {per_record_s * 1e6:.2f} us")


if __name__ == "__main__":
    main()
