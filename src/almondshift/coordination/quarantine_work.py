"""Outstanding work at endpoints, as sent by one node."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.ports import clocks


class WorkInFlight:
    """Outstanding work, by the fingerprints of requests.

    Attributes:
        running: Number of calls in flight per fingerprint, by endpoint.
        started: Start times, by endpoint and fingerprint.
        replaying: Endpoints and fingerprints whose work in flight only replays
            what has run before.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.running: dict[str, collections.Counter[str]] = {}
        self.started: dict[tuple[str, str], float] = {}
        self.replaying: set[tuple[str, str]] = set()

    def begin(
        self, endpoint: str, fingerprint: str, *, is_replay: bool = False
    ) -> None:
        """Records that a request has outstanding work at an endpoint."""
        counts = self.running.setdefault(endpoint, collections.Counter())
        if not is_replay:
            self.replaying.discard((endpoint, fingerprint))
        elif not counts[fingerprint]:
            self.replaying.add((endpoint, fingerprint))
        counts[fingerprint] += 1
        now = self.clock.monotonic()
        self.started.setdefault((endpoint, fingerprint), now)

    def end(self, endpoint: str, fingerprint: str) -> bool:
        """Records the end of work; returns whether the endpoint had any."""
        counts = self.running.get(endpoint)
        if counts is None:
            return False
        counts[fingerprint] -= 1
        if counts[fingerprint] <= 0:
            del counts[fingerprint]
            self.started.pop((endpoint, fingerprint), None)
            self.replaying.discard((endpoint, fingerprint))
        if not counts:
            del self.running[endpoint]
        return True

    def is_running(self, fingerprint: str) -> bool:
        """Returns whether a request is in flight from this node."""
        return any(fingerprint in counts for counts in self.running.values())

    def replaying_at(self, endpoint: str) -> frozenset[str]:
        """Returns the requests that only replay at an endpoint."""
        return frozenset(f for name, f in self.replaying if name == endpoint)

    def end_all(self, endpoint: str) -> dict[str, float]:
        """Ends all work at an endpoint; returns the requests' start times."""
        fingerprints = self.running.pop(endpoint, ())
        self.replaying -= {(endpoint, f) for f in fingerprints}
        return {f: self.started.pop((endpoint, f)) for f in fingerprints}
