"""Outlier ejection: removes slow and failing endpoints from service.

An engine may answer, but slowly (a throttled accelerator, a degraded link). It
delays every chain that includes it, and with several stages per chain that
affects most requests. Selection by expected time alone sends it less work, but
never learns that it has recovered.

An engine is compared with the median of the engines with the same kind of
accelerator and the same layers (for plain endpoints, of the same service),
because the speeds of two kinds of accelerator differ by more than those of a
slow and a healthy engine of one kind. The compared value is the minimum call
time in a window of at least half a second and five calls, divided by the time
expected from the engine's description at its current load. The mean time of a
call is mostly queueing behind other work, which differs tenfold between healthy
engines (comparing smoothed times ejected healthy engines about fifteen times a
second in a benchmark at the specified load, 1x), while the minimum of a slow
engine is as slow as the engine. The threshold is three times the median: a
wrong estimate of the batch size changes the ratio by less, and an engine that
is ten times slower still answers five calls of a node in about a second. No
endpoint is ejected as slow before half of its group is measured.

At most a fifth of a group, or one endpoint if that is more, may be ejected or
on trial: if more are slow, the load is the cause and ejection makes it worse.
The only endpoint of a group has nothing to be compared with and stays in
service.

An ejected endpoint is probed after one second, then with exponential backoff up
to thirty seconds. Once a probe is as fast as the group, the endpoint gets two
concurrent requests for a trial window, and its full share if the trial
succeeds. An endpoint that can't be reached, or fails twice without a successful
call in between, is ejected regardless of the limit on ejected endpoints. If
this leaves none in service, the first that answers its probe is on trial
however slow it is, and a slow trial doesn't end its service.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import math
import statistics
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

SLOW_RATIO = 3.0
"""Ratio to the median of the group above which an endpoint is slow."""
MIN_WINDOW_CALLS = 5
MAX_TRIAL_REQUESTS = 2
EJECT_AFTER_FAILURES = 2
MAX_EJECTED_SHARE = 0.2
SMOOTHING = 0.3
"""Weight of a new ratio in the moving average of an endpoint."""
MIN_PROBE_DELAY_S = 1.0
MAX_PROBE_DELAY_S = 30.0
PROBE_TIMEOUT_S = 5.0
"""Time to wait for the response to a probe, in seconds. A probe without a
response is repeated after this time plus the probe delay."""
MEDIAN_REFRESH_S = 0.1
"""Minimum interval between updates of the medians of a group, in seconds."""
WINDOW_S = 0.5
"""Minimum length of the window for the minimum call time, in seconds."""


class State(enum.Enum):
    """Whether an endpoint receives work."""

    ACTIVE = "in"
    TRIAL = "trial"
    EJECTED = "out"


@dataclasses.dataclass(slots=True)
class _Health:
    group: Hashable
    state: State = State.ACTIVE
    ratio: float = 1.0
    calls: int = 0
    failures: int = 0
    probe_delay_s: float = MIN_PROBE_DELAY_S
    next_probe_at: float = math.inf
    window_started_at: float = float("-inf")
    window_calls: int = 0
    window_min: float = math.inf
    previous_min: float = math.inf

    @property
    def recent_min(self) -> float:
        """The minimum ratio in the last one to two windows, 0 if unknown."""
        if self.previous_min == math.inf:
            return 0.0
        return min(self.window_min, self.previous_min)

    def record(self, at: float, ratio: float) -> None:
        """Records the ratio of a call's time to the expected time."""
        if self.calls == 0:
            self.ratio = ratio
        self.ratio += SMOOTHING * (ratio - self.ratio)
        self.calls += 1
        if self.calls == 1:
            self.window_started_at = at
        window_complete = self.window_calls >= MIN_WINDOW_CALLS
        if window_complete and at - self.window_started_at >= WINDOW_S:
            self.previous_min = self.window_min
            self.window_min = math.inf
            self.window_calls = 0
            self.window_started_at = at
        self.window_min = min(self.window_min, ratio)
        self.window_calls += 1

    def reset(self) -> None:
        """Discards all measurements."""
        self.calls = 0
        self.failures = 0
        self.window_started_at = float("-inf")
        self.window_calls = 0
        self.window_min = self.previous_min = math.inf


@dataclasses.dataclass(slots=True)
class _Group:
    members: dict[str, _Health] = dataclasses.field(default_factory=dict)
    median: float = 1.0
    typical_min: float = 1.0
    measured: bool = False
    refreshed_at: float = float("-inf")

    def refresh(self, at: float) -> None:
        if at - self.refreshed_at < MEDIAN_REFRESH_S:
            return
        ratios = [h.ratio for h in self.members.values() if h.calls]
        if ratios:
            self.median = statistics.median_low(ratios)
        recent_mins = [
            h.recent_min for h in self.members.values() if h.recent_min > 0.0
        ]
        self.typical_min = (
            max(1.0, statistics.median_low(recent_mins)) if recent_mins else 1.0
        )
        self.measured = len(recent_mins) >= max(2, len(ratios) / 2)
        self.refreshed_at = at

    def may_eject(self) -> bool:
        """Returns whether one more endpoint may be ejected as slow.

        Endpoints on trial count as ejected.
        """
        not_active = sum(
            h.state is not State.ACTIVE for h in self.members.values()
        )
        max_ejected = max(1, int(len(self.members) * MAX_EJECTED_SHARE))
        return not_active < max_ejected and not_active + 1 < len(self.members)

    def has_other_in_service(self, health: _Health) -> bool:
        """Returns whether another endpoint is active or on trial."""
        return any(
            other is not health and other.state is not State.EJECTED
            for other in self.members.values()
        )


class Ejection:
    """Tracks the health of endpoints, and ejects slow and failing ones."""

    def __init__(self) -> None:
        self._health_by_name: dict[str, _Health] = {}
        self._groups: dict[Hashable, _Group] = {}
        self._probe_queue: list[tuple[float, str]] = []

    def set_group(self, name: str, group: Hashable) -> None:
        """Sets the group of endpoints that an endpoint is compared with."""
        health = self._health_by_name.get(name)
        if health is None:
            health = self._health_by_name[name] = _Health(group)
        elif health.group == group:
            return
        else:
            self._groups[health.group].members.pop(name, None)
            health.group = group
            health.reset()
        self._groups.setdefault(group, _Group()).members[name] = health

    def forget(self, name: str) -> None:
        """Removes an endpoint that is gone."""
        health = self._health_by_name.pop(name, None)
        if health is None:
            return
        group = self._groups[health.group]
        group.members.pop(name, None)
        if not group.members:
            del self._groups[health.group]

    def state(self, name: str) -> State:
        """Returns whether an endpoint receives work."""
        health = self._health_by_name.get(name)
        return health.state if health else State.ACTIVE

    def slowness(self, name: str) -> float:
        """Returns its slowness relative to its group, between 0.5 and 10.0.

        It is 1.0 if unknown.
        """
        health = self._health_by_name.get(name)
        if health is None or not health.calls:
            return 1.0
        median = self._groups[health.group].median
        return min(10.0, max(0.5, health.ratio / max(median, 1e-9)))

    def record_call(
        self, name: str, at: float, seconds: float, expected_s: float
    ) -> bool:
        """Records the time of a call and the time that was expected.

        Returns:
            Whether the endpoint's state changed.
        """
        health = self._health_by_name.get(name)
        if health is None:
            return False
        health.record(at, seconds / max(expected_s, 1e-9))
        health.failures = 0
        group = self._groups[health.group]
        group.refresh(at)
        if health.state is State.TRIAL:
            return self._judge_trial(name, health, at)
        if health.state is State.ACTIVE and _is_slow(health, group):
            return self._try_eject(name, health, at)
        return False

    def record_failure(
        self, name: str, at: float, *, unreachable: bool
    ) -> bool:
        """Records a failed call.

        The limit on ejected endpoints doesn't apply here: when an availability
        zone is lost, a third of a group is gone at once, and endpoints that
        don't answer are of no use to callers.

        Args:
            name: Name of the endpoint.
            at: Current time.
            unreachable: Whether the endpoint can't be reached at all.

        Returns:
            Whether the endpoint's state changed.
        """
        health = self._health_by_name.get(name)
        if health is None or health.state is State.EJECTED:
            return False
        health.failures += 1
        if (
            unreachable
            or health.state is State.TRIAL
            or health.failures >= EJECT_AFTER_FAILURES
        ):
            return self._eject(name, health, at)
        return False

    def probes_due(self, at: float) -> list[str]:
        """Returns the endpoints that should be probed now."""
        due = []
        while self._probe_queue and self._probe_queue[0][0] <= at:
            due_at, name = heapq.heappop(self._probe_queue)
            health = self._health_by_name.get(name)
            if (
                health is not None
                and health.state is State.EJECTED
                and health.next_probe_at == due_at
            ):
                due.append(name)
                # Without a repeat, a probe that is never answered would keep
                # the endpoint ejected forever.
                repeat_at = at + health.probe_delay_s + PROBE_TIMEOUT_S
                self._schedule(name, health, repeat_at)
        return due

    def record_probe(
        self, name: str, at: float, ok: bool, ratio: float
    ) -> bool:
        """Records a probe's result; returns whether the state changed."""
        health = self._health_by_name.get(name)
        if health is None or health.state is not State.EJECTED:
            return False
        group = self._groups[health.group]
        is_fast = ratio <= SLOW_RATIO * max(group.median, 1.0)
        if ok and (is_fast or not group.has_other_in_service(health)):
            health.state = State.TRIAL
            health.reset()
            return True
        health.probe_delay_s = min(
            MAX_PROBE_DELAY_S, health.probe_delay_s * 2.0
        )
        self._schedule(name, health, at + health.probe_delay_s)
        return False

    def _judge_trial(self, name: str, health: _Health, at: float) -> bool:
        """Ends a trial once it has enough measurements."""
        if health.recent_min == 0.0:
            return False
        group = self._groups[health.group]
        if _is_slow(health, group) and group.has_other_in_service(health):
            health.probe_delay_s = min(
                MAX_PROBE_DELAY_S, health.probe_delay_s * 2.0
            )
            return self._eject(name, health, at)
        health.state = State.ACTIVE
        health.probe_delay_s = MIN_PROBE_DELAY_S
        return True

    def _try_eject(self, name: str, health: _Health, at: float) -> bool:
        if not self._groups[health.group].may_eject():
            return False
        return self._eject(name, health, at)

    def _eject(self, name: str, health: _Health, at: float) -> bool:
        health.state = State.EJECTED
        self._schedule(name, health, at + health.probe_delay_s)
        return True

    def _schedule(self, name: str, health: _Health, at: float) -> None:
        """Schedules the next probe in place of one scheduled before."""
        health.next_probe_at = at
        heapq.heappush(self._probe_queue, (at, name))


def _is_slow(health: _Health, group: _Group) -> bool:
    return group.measured and health.recent_min > SLOW_RATIO * group.typical_min
