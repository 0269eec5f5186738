"""Counts met and missed objectives over sliding windows.

The counts are kept in memory only: a replaced node starts from zero, and the
burn report states how far each node's counts go back.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from almondshift.policy import burn

if TYPE_CHECKING:
    from collections.abc import Iterator

    from almondshift.model import fleet
    from almondshift.ports import clocks

FINE_BUCKET_S = 60.0
FINE_BUCKETS = 61
"""One hour, plus the bucket that is being filled."""

COARSE_BUCKET_S = 3600.0
COARSE_BUCKETS = 73
"""Three days, plus the bucket that is being filled."""

MAX_KEYS = 512
"""Maximum keys in a bucket: about 35 client accounts with 15 keys each."""

OTHER = "other"
SLOW = "slow"

Key = tuple[str, str, burn.Objective, str]


@dataclasses.dataclass(slots=True)
class Bucket:
    """Counts of one time span; ``index`` is the number of the span."""

    index: int
    counts: collections.Counter[Key] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, key: Key, count: int) -> None:
        """Adds to a key; beyond ``MAX_KEYS``, to the account ``other``."""
        if key not in self.counts and len(self.counts) >= MAX_KEYS:
            service, _, objective, cause = key
            key = (service, OTHER, objective, cause)
        self.counts[key] += count


class Ring:
    """The newest buckets of one width.

    A window that starts within a bucket includes that whole bucket, so it
    overlaps one bucket more than fit into its length.
    """

    def __init__(self, bucket_s: float, buckets: int) -> None:
        self.bucket_s = bucket_s
        self.buckets: collections.deque[Bucket] = collections.deque(
            maxlen=buckets
        )

    def at(self, now: float) -> Bucket:
        """Returns the bucket of ``now``, which must not decrease."""
        index = int(now // self.bucket_s)
        if not self.buckets or self.buckets[-1].index < index:
            self.buckets.append(Bucket(index))
        return self.buckets[-1]

    def since(self, now: float, seconds: float) -> Iterator[Bucket]:
        """Yields the buckets that overlap the last ``seconds``."""
        first = int((now - seconds) // self.bucket_s)
        return (b for b in self.buckets if b.index >= first)


class ObjectiveCounts:
    """Counts events against the objectives of the configuration."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.started = clock.monotonic()
        self.objectives: dict[str, fleet.Objectives] = {}
        self.model_services: frozenset[str] = frozenset()
        self.fine = Ring(FINE_BUCKET_S, FINE_BUCKETS)
        self.coarse = Ring(COARSE_BUCKET_S, COARSE_BUCKETS)
        self.open: Bucket | None = None

    def use(self, described: fleet.Fleet) -> None:
        """Applies the objectives of a configuration to future events."""
        services = described.services.values()
        self.objectives = {s.name: s.objectives for s in services}
        self.model_services = frozenset(s.name for s in services if s.model)

    def record_whole(self, service: str, account: str, cause: str = "") -> None:
        """Counts a request; ``cause`` is empty if it was answered completely.

        Failures caused by the caller, such as a wrong key, must not be
        recorded.
        """
        self.record(service, account, burn.Objective.WHOLE, cause)

    def record_first_token(
        self, service: str, account: str, seconds: float
    ) -> None:
        """Counts the time to the first token, in seconds from arrival."""
        limit = self.objectives.get(service)
        late = limit is not None and seconds > limit.first_token_s
        cause = SLOW if late else ""
        self.record(service, account, burn.Objective.FIRST_TOKEN, cause)

    def record_between_tokens(
        self, service: str, account: str, seconds: float, count: int = 1
    ) -> None:
        """Counts times between two tokens, in seconds."""
        limit = self.objectives.get(service)
        late = limit is not None and seconds > limit.between_tokens_s
        cause = SLOW if late else ""
        objective = burn.Objective.BETWEEN_TOKENS
        self.record(service, account, objective, cause, count)

    def record(
        self,
        service: str,
        account: str,
        objective: burn.Objective,
        cause: str,
        count: int = 1,
    ) -> None:
        """Counts events; ignores services not in the configuration."""
        if service not in self.objectives:
            return
        bucket = self.fine.at(self.clock.monotonic())
        if bucket is not self.open:
            self._close_open()
            self.open = bucket
        bucket.add((service, account, objective, cause), count)

    def snapshot(self) -> dict[str, Any]:
        """Returns a ``burn.Snapshot`` as a JSON object."""
        now = self.clock.monotonic()
        return dataclasses.asdict(
            burn.Snapshot(
                windows=tuple(self._window(now, w) for w in burn.WINDOWS_S),
                series=tuple(self._series(now)),
                series_bucket_s=COARSE_BUCKET_S,
                targets=tuple(self._targets()),
            )
        )

    def _close_open(self) -> None:
        """Adds the finished fine bucket to its coarse bucket."""
        if self.open is None:
            return
        coarse = self.coarse.at(self.open.index * FINE_BUCKET_S)
        for key, count in self.open.counts.items():
            coarse.add(key, count)

    def _window(self, now: float, seconds: float) -> burn.Window:
        merged: collections.Counter[Key] = collections.Counter()
        if seconds <= FINE_BUCKET_S * (FINE_BUCKETS - 1):
            buckets = self.fine.since(now, seconds)
        else:
            buckets = self._long(now, seconds)
        for bucket in buckets:
            merged.update(bucket.counts)
        counts = (burn.Count(*key, count) for key, count in merged.items())
        covered = min(seconds, now - self.started)
        return burn.Window(seconds, covered, tuple(counts))

    def _long(self, now: float, seconds: float) -> Iterator[Bucket]:
        """Yields the coarse buckets, and the open one as a coarse bucket."""
        yield from self.coarse.since(now, seconds)
        if self.open is not None:
            start = self.open.index * FINE_BUCKET_S
            index = int(start // COARSE_BUCKET_S)
            if index >= int((now - seconds) // COARSE_BUCKET_S):
                yield Bucket(index, self.open.counts)

    def _series(self, now: float) -> Iterator[burn.Point]:
        for bucket in self._long(now, burn.WINDOWS_S[-1]):
            totals: dict[tuple[str, burn.Objective], list[int]] = {}
            for (service, _, objective, cause), n in bucket.counts.items():
                total = totals.setdefault((service, objective), [0, 0])
                total[1 if cause else 0] += n
            age = now - bucket.index * self.coarse.bucket_s
            for (service, objective), (good, bad) in totals.items():
                yield burn.Point(age, service, objective, good, bad)

    def _targets(self) -> Iterator[burn.Target]:
        for name, objectives in self.objectives.items():
            whole = objectives.whole_share
            yield burn.Target(name, burn.Objective.WHOLE, whole)
            if name not in self.model_services:
                continue
            for objective in (
                burn.Objective.FIRST_TOKEN,
                burn.Objective.BETWEEN_TOKENS,
            ):
                yield burn.Target(name, objective, burn.LATENCY_SHARE)


def create_objective_counts(clock: clocks.Clock) -> ObjectiveCounts:
    """Returns empty counts."""
    return ObjectiveCounts(clock)
