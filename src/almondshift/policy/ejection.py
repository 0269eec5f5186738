"""Ejection of endpoints that are slower than their like, or that fail.

Load pattern: one engine that answers, but slowly (a throttled card, a
degraded link). It holds up every chain that runs through it, and with
several stages a chain most requests meet it. Choice by expected time alone
sends it less, but never learns that it has recovered.

Grounds: an engine is compared with the median of those with the same kind
of accelerator and the same layers (of the same service, for plain ones),
since mismatched accelerators differ by more than a slow one differs from
its like. What is compared is the least time of a call in the last window of
half a second and five calls, by the time that the engine's description gives
for its present load. A call's mean time is mostly waiting behind others'
work, which differs tenfold between healthy engines (comparing smoothed times
ejected healthy engines some fifteen times a second in the bench at 1x),
while the least time of a slow engine is as slow as it is. Three times the
median is beyond what a wrongly estimated batch makes, and an engine that is
ten times slow still answers five calls of a node in about a second. Nothing
is judged before half of the group is measured.

At most a fifth of a group, and at least one of it, may be out: if more are
slow, the load is the cause and ejecting makes it worse. A group of one has
nothing to be compared with and is left in.

An ejected endpoint is probed after one second, then after twice as long
each time up to thirty; once a probe is as fast as its like, it gets two
requests at once for a window; if that is good, its full share.
An endpoint that can't be reached, or fails twice with no answer between, is
ejected whatever the cap says.
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
MIN_CALLS = 5
TRIAL_REQUESTS = 2
FAILURES = 2
MAX_EJECTED_SHARE = 0.2
SMOOTHING = 0.3
FIRST_PROBE_S = 1.0
LAST_PROBE_S = 30.0
PROBE_TIMEOUT_S = 5.0
MEDIAN_HOLDS_S = 0.1
WINDOW_S = 0.5


class State(enum.Enum):
    """Whether an endpoint gets work."""

    IN = "in"
    TRIAL = "trial"
    OUT = "out"


@dataclasses.dataclass(slots=True)
class _Health:
    group: Hashable
    state: State = State.IN
    ratio: float = 1.0
    calls: int = 0
    failures: int = 0
    wait_s: float = FIRST_PROBE_S
    window_at: float = float("-inf")
    window_calls: int = 0
    least: float = math.inf
    least_before: float = math.inf

    @property
    def floor(self) -> float:
        """The least ratio in the last one to two windows, 0 if unknown."""
        if self.least_before == math.inf:
            return 0.0
        return min(self.least, self.least_before)

    def note(self, at: float, ratio: float) -> None:
        """Takes the ratio of a call's time to the usual one."""
        if self.calls == 0:
            self.ratio = ratio
        self.ratio += SMOOTHING * (ratio - self.ratio)
        self.calls += 1
        if self.calls == 1:
            self.window_at = at
        full = self.window_calls >= MIN_CALLS
        if full and at - self.window_at >= WINDOW_S:
            self.least_before = self.least
            self.least = math.inf
            self.window_calls = 0
            self.window_at = at
        self.least = min(self.least, ratio)
        self.window_calls += 1

    def start_over(self) -> None:
        """Forgets what was measured."""
        self.calls = 0
        self.failures = 0
        self.window_at = float("-inf")
        self.window_calls = 0
        self.least = self.least_before = math.inf


@dataclasses.dataclass(slots=True)
class _Group:
    members: dict[str, _Health] = dataclasses.field(default_factory=dict)
    median: float = 1.0
    floor: float = 1.0
    measured: bool = False
    median_at: float = float("-inf")

    def refresh(self, at: float) -> None:
        if at - self.median_at < MEDIAN_HOLDS_S:
            return
        known = [h.ratio for h in self.members.values() if h.calls]
        if known:
            self.median = statistics.median_low(known)
        floors = [h.floor for h in self.members.values() if h.floor > 0.0]
        self.floor = max(1.0, statistics.median_low(floors)) if floors else 1.0
        self.measured = len(floors) >= max(2, len(known) / 2)
        self.median_at = at

    def may_eject(self) -> bool:
        out = sum(h.state is not State.IN for h in self.members.values())
        most = max(1, int(len(self.members) * MAX_EJECTED_SHARE))
        return out < most and out + 1 < len(self.members)


class Ejection:
    """Keeps the health of endpoints."""

    def __init__(self) -> None:
        self._healths: dict[str, _Health] = {}
        self._groups: dict[Hashable, _Group] = {}
        self._due: list[tuple[float, str]] = []

    def place(self, name: str, group: Hashable) -> None:
        """Notes which endpoints an endpoint is compared with."""
        health = self._healths.get(name)
        if health is None:
            health = self._healths[name] = _Health(group)
        elif health.group == group:
            return
        else:
            self._groups[health.group].members.pop(name, None)
            health.group = group
            health.start_over()
        self._groups.setdefault(group, _Group()).members[name] = health

    def forget(self, name: str) -> None:
        """Forgets an endpoint that is gone."""
        health = self._healths.pop(name, None)
        if health is None:
            return
        group = self._groups[health.group]
        group.members.pop(name, None)
        if not group.members:
            del self._groups[health.group]

    def state(self, name: str) -> State:
        """Returns whether an endpoint gets work."""
        health = self._healths.get(name)
        return health.state if health else State.IN

    def slowness(self, name: str) -> float:
        """Returns how much slower it is than its like; 1.0 if unknown."""
        health = self._healths.get(name)
        if health is None or not health.calls:
            return 1.0
        median = self._groups[health.group].median
        return min(10.0, max(0.5, health.ratio / max(median, 1e-9)))

    def timed(self, name: str, at: float, seconds: float, usual: float) -> bool:
        """Takes the time of a call and the time that was to be expected.

        Returns:
            Whether the endpoint's state changed.
        """
        health = self._healths.get(name)
        if health is None:
            return False
        health.note(at, seconds / max(usual, 1e-9))
        health.failures = 0
        group = self._groups[health.group]
        group.refresh(at)
        if health.state is State.TRIAL:
            return self._judge_trial(name, health, at)
        if health.state is State.IN and _is_slow(health, group):
            return self._eject(name, health, at)
        return False

    def failed(self, name: str, at: float, *, certain: bool) -> bool:
        """Takes a failed call.

        The cap doesn't hold here: when an availability zone is lost, a
        third of a group is gone at once, and what does not answer serves
        nobody.

        Args:
            name: The endpoint.
            at: Now.
            certain: Whether it can't be reached at all.

        Returns:
            Whether the endpoint's state changed.
        """
        health = self._healths.get(name)
        if health is None or health.state is State.OUT:
            return False
        health.failures += 1
        if (
            certain
            or health.state is State.TRIAL
            or health.failures >= FAILURES
        ):
            return self._put_out(name, health, at)
        return False

    def probes_due(self, at: float) -> list[str]:
        """Returns the endpoints to be probed now."""
        due = []
        while self._due and self._due[0][0] <= at:
            _, name = heapq.heappop(self._due)
            health = self._healths.get(name)
            if health is not None and health.state is State.OUT:
                due.append(name)
                # A probe whose answer never comes would keep the endpoint
                # out for good; it is sent again.
                self._schedule(name, at + health.wait_s + PROBE_TIMEOUT_S)
        return due

    def probed(self, name: str, at: float, ok: bool, ratio: float) -> bool:
        """Takes a probe's answer; returns whether the state changed."""
        health = self._healths.get(name)
        if health is None or health.state is not State.OUT:
            return False
        median = self._groups[health.group].median
        if ok and ratio <= SLOW_RATIO * max(median, 1.0):
            health.state = State.TRIAL
            health.start_over()
            return True
        health.wait_s = min(LAST_PROBE_S, health.wait_s * 2.0)
        self._schedule(name, at + health.wait_s)
        return False

    def _judge_trial(self, name: str, health: _Health, at: float) -> bool:
        """Ends a trial once it was long enough to tell."""
        if health.floor == 0.0:
            return False
        if _is_slow(health, self._groups[health.group]):
            health.wait_s = min(LAST_PROBE_S, health.wait_s * 2.0)
            return self._put_out(name, health, at)
        health.state = State.IN
        health.wait_s = FIRST_PROBE_S
        return True

    def _eject(self, name: str, health: _Health, at: float) -> bool:
        if not self._groups[health.group].may_eject():
            return False
        return self._put_out(name, health, at)

    def _put_out(self, name: str, health: _Health, at: float) -> bool:
        health.state = State.OUT
        self._schedule(name, at + health.wait_s)
        return True

    def _schedule(self, name: str, at: float) -> None:
        heapq.heappush(self._due, (at, name))


def _is_slow(health: _Health, group: _Group) -> bool:
    return group.measured and health.floor > SLOW_RATIO * group.floor
