"""Which requests have work outstanding at which endpoints, from one node."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.ports import clocks


class WorkInFlight:
    """Work outstanding, by the fingerprints of requests.

    Attributes:
        running: Fingerprints in flight from here, by endpoint, with counts.
        started: When each began, by endpoint and fingerprint.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.running: dict[str, collections.Counter[str]] = {}
        self.started: dict[tuple[str, str], float] = {}

    def begin(self, endpoint: str, fingerprint: str) -> None:
        """Notes that work of a request is outstanding at an endpoint."""
        counts = self.running.setdefault(endpoint, collections.Counter())
        counts[fingerprint] += 1
        now = self.clock.monotonic()
        self.started.setdefault((endpoint, fingerprint), now)

    def end(self, endpoint: str, fingerprint: str) -> bool:
        """Notes the end of some work; returns whether any was known there."""
        counts = self.running.get(endpoint)
        if counts is None:
            return False
        counts[fingerprint] -= 1
        if counts[fingerprint] <= 0:
            del counts[fingerprint]
            self.started.pop((endpoint, fingerprint), None)
        if not counts:
            del self.running[endpoint]
        return True

    def runs(self, fingerprint: str) -> bool:
        """Returns whether a request is in flight from this node."""
        return any(fingerprint in counts for counts in self.running.values())

    def take(self, endpoint: str) -> dict[str, float]:
        """Ends all work at an endpoint; returns when each request began."""
        fingerprints = self.running.pop(endpoint, ())
        return {f: self.started.pop((endpoint, f)) for f in fingerprints}
