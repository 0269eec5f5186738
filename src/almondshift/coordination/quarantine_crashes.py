"""Crashes that implicate requests, excluding failures of a rack or zone."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet

    from almondshift.coordination import quarantine_verdicts
    from almondshift.ports import clocks

MAX_FINGERPRINTS_PER_FACT = 50
"""16 hex digits each; keeps a fact within the exchange's maximum value size."""

EMPTY_CRASH_RETENTION_S = 60.0
"""How long a crash with nothing in flight is kept; longer than any window."""


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash seen by this node or reported by a peer.

    Attributes:
        at: Monotonic time of the crash, on this node's clock.
        alone: Whether the request ran alone.
        firm: Whether it counts even during a failure of a rack or zone.
        excluded: Whether it is considered a failure of a rack or zone.
        replaying: Requests that only replayed there what had run before.
        culprits: Requests that were convicted since; they no longer count as
            suspects, but explain the crash.
    """

    endpoint: str
    zone: str
    at: float
    fingerprints: set[str]
    alone: bool
    firm: bool = False
    excluded: bool = False
    replaying: frozenset[str] = frozenset()
    culprits: set[str] = dataclasses.field(default_factory=set)


class Crashes:
    """Crashes seen by this node and reported by peers.

    Attributes:
        by_key: Crashes by the key of their fact.
        cleared: When each suspect was last cleared.
        on_excluded: Called with the key of an own crash once it is excluded.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        settings: quarantine_verdicts.QuarantineSettings,
        node: str,
        on_excluded: Callable[[str], None],
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.node = node
        self.on_excluded = on_excluded
        self.by_key: dict[str, Crash] = {}
        self.cleared: dict[str, float] = {}
        self.key_numbers = itertools.count(int(clock.wall() * 1000))

    def add_own(
        self, crash: Crash, fingerprints: AbstractSet[str]
    ) -> list[str]:
        """Adds an own crash, split to fit into facts; returns the keys."""
        ordered = sorted(fingerprints)
        keys = []
        for start in range(0, max(1, len(ordered)), MAX_FINGERPRINTS_PER_FACT):
            part = ordered[start : start + MAX_FINGERPRINTS_PER_FACT]
            key = f"crash/{self.node}/{next(self.key_numbers)}"
            self.by_key[key] = dataclasses.replace(
                crash,
                fingerprints=set(part),
                replaying=crash.replaying & set(part),
                culprits=set(),
            )
            keys.append(key)
        return keys

    def add_from_peer(self, key: str, crash: Crash) -> None:
        """Adds a peer's crash, without suspects that were cleared since."""
        crash.fingerprints = self.without_cleared(crash.fingerprints, crash.at)
        self.by_key[key] = crash
        self.exclude_if_infrastructure(crash)

    def was_excluded_before(self, fingerprint: str, started: float) -> bool:
        """Returns whether a request was restarted after an excluded crash."""
        return any(
            crash.excluded and fingerprint in crash.fingerprints
            for crash in self.by_key.values()
            if crash.at <= started
        )

    def exclude_if_infrastructure(self, reference: Crash) -> None:
        """Excludes the crashes near one if a rack or zone failed then."""
        nearby = {
            key: crash
            for key, crash in self.by_key.items()
            if crash.zone == reference.zone
            and abs(crash.at - reference.at) <= self.settings.window_s
        }
        endpoints = {crash.endpoint for crash in nearby.values()}
        if len(endpoints) < self.settings.infrastructure_min_endpoints:
            return
        for key, crash in nearby.items():
            if not crash.excluded and not crash.firm:
                crash.excluded = True
                if key.startswith(f"crash/{self.node}/"):
                    self.on_excluded(key)

    def exclude(self, key: str) -> None:
        """Excludes a crash that its origin withdrew.

        It is kept in order to evaluate other crashes in its window: without
        it the fourth endpoint of a failed rack would look like a single crash.
        """
        crash = self.by_key.get(key)
        if crash is not None:
            crash.excluded = True

    def crashes_against(self, fingerprint: str) -> list[Crash]:
        """Returns the crashes that implicate a request."""
        since = self.clock.monotonic() - self.settings.suspicion_s
        return [
            crash
            for crash in self.by_key.values()
            if fingerprint in crash.fingerprints
            and not crash.excluded
            and crash.at > since
        ]

    def is_explained(self, fingerprint: str) -> bool:
        """Returns whether another request explains a request's crashes.

        Two suspects may be in flight at two crashes, because nodes retry their
        suspects without waiting for each other. If one of them only replayed
        steps that had run before, and the other was at the step at which it
        was when the first endpoint crashed, the latter is at fault.
        """
        crashes = self.crashes_against(fingerprint)
        if not any(fingerprint in crash.replaying for crash in crashes):
            return False
        present = [self._not_replaying_at(crash) for crash in crashes]
        return bool(frozenset.intersection(*present) - {fingerprint})

    def _not_replaying_at(self, reference: Crash) -> frozenset[str]:
        """Returns the requests of all nodes that a crash may be due to."""
        return frozenset(
            fingerprint
            for crash in self.by_key.values()
            if crash.endpoint == reference.endpoint
            and abs(crash.at - reference.at) <= self.settings.window_s
            for fingerprint in crash.fingerprints | crash.culprits
            if fingerprint not in crash.replaying
        )

    def suspects(self) -> list[str]:
        """Returns the fingerprints that are implicated by any crash."""
        return sorted(
            {
                fingerprint
                for crash in self.by_key.values()
                if not crash.excluded
                for fingerprint in crash.fingerprints
            }
        )

    def without_cleared(
        self, fingerprints: AbstractSet[str], at: float
    ) -> set[str]:
        """Returns the fingerprints that were not cleared after ``at``.

        The fact about a crash may arrive after its suspects were cleared.
        """
        return {f for f in fingerprints if self.cleared.get(f, at - 1) < at}

    def clear(self, fingerprint: str, at: float) -> None:
        """Clears a request of all crashes before a time."""
        self.cleared[fingerprint] = at
        self.drop(fingerprint)

    def convict(self, fingerprint: str) -> None:
        """Removes a convicted request from the suspects of its crashes."""
        for crash in self.by_key.values():
            if fingerprint in crash.fingerprints:
                crash.culprits.add(fingerprint)
        self.drop(fingerprint)

    def drop(self, fingerprint: str) -> None:
        """Removes a request from the crashes known here."""
        for crash in self.by_key.values():
            crash.fingerprints.discard(fingerprint)

    def expire(self) -> None:
        """Removes expired crashes and clearances."""
        now = self.clock.monotonic()
        since = now - self.settings.suspicion_s
        self.by_key = {
            key: crash
            for key, crash in self.by_key.items()
            if crash.at > since
            and (crash.fingerprints or crash.at > now - EMPTY_CRASH_RETENTION_S)
        }
        self.cleared = {f: at for f, at in self.cleared.items() if at > since}


def justifies_conviction(crashes: list[Crash]) -> bool:
    """Returns whether two endpoints crashed, or one in a trial."""
    lost = {crash.endpoint for crash in crashes}
    return len(lost) > 1 or any(crash.alone for crash in crashes)
