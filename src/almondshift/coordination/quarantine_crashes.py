"""Crashes that count against requests, and those of a rack or zone."""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet

    from almondshift.coordination import quarantine_verdicts
    from almondshift.ports import clocks

FINGERPRINTS_PER_FACT = 50
"""16 hex digits each; keeps a fact within the exchange's longest value."""

EMPTY_CRASH_S = 60.0
"""How long a crash with nothing in flight is kept; over any window."""


@dataclasses.dataclass(slots=True)
class Crash:
    """A crash that counts, own or a peer's.

    Attributes:
        at: Monotonic time at which it was seen or heard of here.
        alone: Whether the request ran alone.
        firm: Whether it counts whatever else died with it.
        void: Whether it is taken for a failure of a rack or zone.
    """

    endpoint: str
    zone: str
    at: float
    fingerprints: set[str]
    alone: bool
    firm: bool = False
    void: bool = False


class Crashes:
    """Crashes that count, own and peers'.

    Attributes:
        by_key: Crashes by the key of their fact.
        cleared: When each suspect was last cleared.
        on_void: Called with the key of an own crash that counts no more.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        settings: quarantine_verdicts.QuarantineSettings,
        node: str,
        on_void: Callable[[str], None],
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.node = node
        self.on_void = on_void
        self.by_key: dict[str, Crash] = {}
        self.cleared: dict[str, float] = {}
        self.numbers = itertools.count(int(clock.wall() * 1000))

    def note_own(
        self, crash: Crash, fingerprints: AbstractSet[str]
    ) -> list[str]:
        """Adds an own crash, in parts that fit a fact; returns the keys."""
        ordered = sorted(fingerprints)
        keys = []
        for start in range(0, max(1, len(ordered)), FINGERPRINTS_PER_FACT):
            part = ordered[start : start + FINGERPRINTS_PER_FACT]
            key = f"crash/{self.node}/{next(self.numbers)}"
            self.by_key[key] = dataclasses.replace(
                crash, fingerprints=set(part)
            )
            keys.append(key)
        return keys

    def note(self, key: str, crash: Crash) -> None:
        """Adds a peer's crash, without what was cleared since."""
        crash.fingerprints = self.not_cleared(crash.fingerprints, crash.at)
        self.by_key[key] = crash
        self.judge_window(crash)

    def was_passed_over(self, fingerprint: str, started: float) -> bool:
        """Returns whether a request began after a crash passed over."""
        return any(
            crash.void and fingerprint in crash.fingerprints
            for crash in self.by_key.values()
            if crash.at <= started
        )

    def judge_window(self, judged: Crash) -> None:
        """Voids the crashes around one if they are of a rack or zone."""
        near = {
            key: crash
            for key, crash in self.by_key.items()
            if crash.zone == judged.zone
            and abs(crash.at - judged.at) <= self.settings.window_s
        }
        endpoints = {crash.endpoint for crash in near.values()}
        if len(endpoints) < self.settings.mass_endpoints:
            return
        for key, crash in near.items():
            if not crash.void and not crash.firm:
                crash.void = True
                if key.startswith(f"crash/{self.node}/"):
                    self.on_void(key)

    def void(self, key: str) -> None:
        """Ends a crash that its origin took back.

        It is kept for the judgement of others in its window: without it the
        fourth endpoint of a dead rack would look like a single crash.
        """
        crash = self.by_key.get(key)
        if crash is not None:
            crash.void = True

    def counting(self, fingerprint: str) -> list[Crash]:
        """Returns the crashes that count against a request."""
        since = self.clock.monotonic() - self.settings.suspicion_s
        return [
            crash
            for crash in self.by_key.values()
            if fingerprint in crash.fingerprints
            and not crash.void
            and crash.at > since
        ]

    def suspects(self) -> list[str]:
        """Returns the fingerprints that some crash speaks against."""
        return sorted(
            {
                fingerprint
                for crash in self.by_key.values()
                if not crash.void
                for fingerprint in crash.fingerprints
            }
        )

    def not_cleared(
        self, fingerprints: AbstractSet[str], at: float
    ) -> set[str]:
        """Returns the fingerprints not cleared since; facts may be late."""
        return {f for f in fingerprints if self.cleared.get(f, at - 1) < at}

    def clear(self, fingerprint: str, at: float) -> None:
        """Ends all suspicion of a request raised until a time."""
        self.cleared[fingerprint] = at
        self.drop(fingerprint)

    def drop(self, fingerprint: str) -> None:
        """Takes a request out of the crashes known here."""
        for crash in self.by_key.values():
            crash.fingerprints.discard(fingerprint)

    def expire(self) -> None:
        """Forgets what no longer counts."""
        now = self.clock.monotonic()
        since = now - self.settings.suspicion_s
        self.by_key = {
            key: crash
            for key, crash in self.by_key.items()
            if crash.at > since
            and (crash.fingerprints or crash.at > now - EMPTY_CRASH_S)
        }
        self.cleared = {f: at for f, at in self.cleared.items() if at > since}


def is_guilty(crashes: list[Crash]) -> bool:
    """Returns whether two endpoints, or one alone, were lost to a request."""
    lost = {crash.endpoint for crash in crashes}
    return len(lost) > 1 or any(crash.alone for crash in crashes)
