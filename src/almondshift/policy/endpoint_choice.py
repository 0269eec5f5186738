"""Choice among the endpoints of a service that each run whole requests.

A service has a few endpoints with few slots, one of which may become slow,
hang, or fail some of its requests while it reports itself healthy. With
round-robin each third request would go to it. So the endpoint with the lowest
expected time is chosen: the smoothed time of its responses, multiplied by one
plus its requests in flight. Failures count as slow responses, and their effect
decays.

Responses take 20 to 90 ms and arrive about once a second at a node, so that an
average over about eight responses reacts within some seconds. Endpoints are
only compared with each other, so that none is ejected when all are busy.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    import random

    from almondshift.model import registered_engines

SMOOTHING = 0.25
"""Weight of the newest response in the moving average."""

INITIAL_S = 0.05
"""Expected time of an endpoint that has not responded yet, in seconds."""

FAILURE_S = 1.0
"""Time as which a failure counts, in seconds; ten times that of a usual
response."""

RECOVERY_S = 4.0
"""Half-life of the excess over ``INITIAL_S``, in seconds, so that an endpoint
that recovered is tried again within seconds."""

UNREACHABLE_S = 1.0
"""Time for which an unreachable endpoint is avoided, in seconds."""


@dataclasses.dataclass(slots=True)
class EndpointRecord:
    """What this node observed of an endpoint.

    Attributes:
        in_flight: Requests that were sent and have not ended.
        expected_s: Smoothed time of its responses.
        at: When that was updated; monotonic seconds.
        unreachable_until: End of the time for which it is avoided.
    """

    in_flight: int = 0
    expected_s: float = INITIAL_S
    at: float = 0.0
    unreachable_until: float = 0.0


class EndpointChooser:
    """Keeps records of endpoints and chooses among them."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.records: dict[str, EndpointRecord] = {}

    def record(self, instance: str) -> EndpointRecord:
        """Returns the record of an endpoint; creates it if needed."""
        found = self.records.get(instance)
        if found is None:
            found = self.records[instance] = EndpointRecord()
        return found

    def choose(
        self,
        endpoints: Sequence[registered_engines.RegisteredEngine],
        zone: str,
        now: float,
    ) -> registered_engines.RegisteredEngine | None:
        """Returns the endpoint with the least expected time, or None.

        Args:
            endpoints: The endpoints that may be used.
            zone: This node's zone, preferred among equal endpoints.
            now: Monotonic seconds.
        """
        best = None
        best_score = 0.0
        for endpoint in endpoints:
            record = self.record(endpoint.instance)
            if record.unreachable_until > now and len(endpoints) > 1:
                continue
            score = self.expected(record, now) * (1 + record.in_flight)
            score *= self.rng.uniform(1.0, 1.3)
            score *= 1.0 if endpoint.zone == zone else 1.1
            if best is None or score < best_score:
                best, best_score = endpoint, score
        return best

    def expected(self, record: EndpointRecord, now: float) -> float:
        """Returns the expected time of a response, with the excess decayed."""
        age = max(0.0, now - record.at)
        excess = max(0.0, record.expected_s - INITIAL_S)
        return INITIAL_S + excess * math.exp2(-age / RECOVERY_S)

    def started(self, instance: str) -> None:
        """Records that a request was sent."""
        self.record(instance).in_flight += 1

    def answered(self, instance: str, seconds: float, now: float) -> None:
        """Records a usable response."""
        self._note(instance, seconds, now)

    def failed(self, instance: str, now: float) -> None:
        """Records a failure."""
        self._note(instance, FAILURE_S, now)

    def missed(self, instance: str, now: float) -> None:
        """Records that the endpoint could not be reached."""
        self._note(instance, FAILURE_S, now)
        self.record(instance).unreachable_until = now + UNREACHABLE_S

    def cancelled(self, instance: str) -> None:
        """Records that a request was abandoned."""
        self.record(instance).in_flight -= 1

    def is_unreachable(self, instance: str, now: float) -> bool:
        """Returns whether an endpoint lately could not be reached."""
        found = self.records.get(instance)
        return found is not None and found.unreachable_until > now

    def forget(self, instance: str) -> None:
        """Drops an endpoint that is gone."""
        self.records.pop(instance, None)

    def _note(self, instance: str, seconds: float, now: float) -> None:
        record = self.record(instance)
        record.in_flight -= 1
        present = self.expected(record, now)
        record.expected_s = present + SMOOTHING * (seconds - present)
        record.at = now
