"""Tells whether this node has lost its links to all endpoints of a service.

If a node loses its links while other nodes keep theirs, all endpoints of a
service seem dead to it at once: connections are reset, refused or just silent.
A node that judges each endpoint by itself either ejects all of them, and
refuses its callers as if the service were overloaded, or waits for responses
until its callers' deadlines.

So failures at several endpoints within a moment, or silence of all of them
while requests wait, start a check of random endpoints. The node is isolated
from the service once no endpoint has responded to two rounds. Single endpoints
that crash or fall silent don't start a check, as data from the others keeps
arriving. A short stall of all links ends before the second round does.
"""

from __future__ import annotations

import math

MIN_FAILED = 3
"""Number of different endpoints whose connections fail within ``FAILURE_S``
that suggests a fault of this node's link."""

FAILURE_S = 0.3

SILENT_S = 0.25
"""Time without data from any endpoint, while requests wait, that starts a
check, in seconds; twice as long as the stalls of a busy VM."""

ROUNDS = 2
"""Number of rounds in a row that no endpoint responds to."""

CHECK_GAP_S = 1.0
"""Minimum interval between checks that found an endpoint, in seconds."""

RECHECK_GAP_S = 0.2
"""Interval between checks of an isolated node, in seconds."""


class Isolation:
    """State of this node's links to the endpoints of a service.

    Attributes:
        endpoints: Number of endpoints of the service.
        last_response_at: Time of the latest data from any endpoint.
        failures: Time of the latest failed connection, by instance.
        failure_count: Number of failed connections so far.
        failed_rounds: Rounds in a row without a response.
        isolated_since: Since when the node is isolated; None if it is not.
        checked_at: End of the latest round.
        is_check_wanted: Whether a check should start at once.
    """

    def __init__(self) -> None:
        self.endpoints = MIN_FAILED
        self.last_response_at = -math.inf
        self.failures: dict[str, float] = {}
        self.failure_count = 0
        self.failed_rounds = 0
        self.isolated_since: float | None = None
        self.checked_at = -math.inf
        self.is_check_wanted = False

    @property
    def is_isolated(self) -> bool:
        """Whether no endpoint can be reached."""
        return self.isolated_since is not None

    def is_isolated_for(self, seconds: float, now: float) -> bool:
        """Returns whether the node is isolated and got no data for a time."""
        return self.is_isolated and now - self.last_response_at >= seconds

    def note_response(self, now: float) -> None:
        """Records data from an endpoint."""
        self.last_response_at = now

    def note_failure(self, instance: str, now: float) -> None:
        """Records a connection that was refused, reset or not established."""
        self.failures[instance] = now
        self.failure_count += 1

    def is_link_suspect(self, now: float) -> bool:
        """Returns whether connections to several endpoints just failed.

        If the service has few, to all of them.
        """
        needed = min(MIN_FAILED, max(1, self.endpoints))
        if len(self.failures) < needed:
            return False
        self.failures = {
            instance: at
            for instance, at in self.failures.items()
            if now - at < FAILURE_S
        }
        return len(self.failures) >= needed

    def needs_check(self, waiting_since: float | None, now: float) -> bool:
        """Returns whether endpoints should be checked now.

        Args:
            waiting_since: Since when the longest waiting request has not
                received any data; None if none waits.
            now: Seconds on the clock of all times here.
        """
        if self.is_isolated:
            return now - self.checked_at >= RECHECK_GAP_S
        if self.failed_rounds or self.is_check_wanted:
            return True
        if now - self.checked_at < CHECK_GAP_S:
            return False
        is_silent = (
            waiting_since is not None
            and now - waiting_since >= SILENT_S
            and now - self.last_response_at >= SILENT_S
        )
        return is_silent or self.is_link_suspect(now)

    def end_round(self, started_at: float, now: float) -> bool:
        """Records the end of a round; returns whether the state changed.

        Args:
            started_at: When the queries were sent.
            now: When all of them were answered, refused or timed out.
        """
        self.checked_at = now
        self.is_check_wanted = False
        if self.last_response_at >= started_at:
            self.failed_rounds = 0
            was_isolated = self.is_isolated
            self.isolated_since = None
            return was_isolated
        self.failed_rounds += 1
        if self.is_isolated or self.failed_rounds < ROUNDS:
            return False
        self.isolated_since = now
        return True


class ServiceLinks:
    """States of the links to the endpoints of each service.

    Attributes:
        by_service: States by the name of the service.
    """

    def __init__(self) -> None:
        self.by_service: dict[str, Isolation] = {}

    def of(self, service: str) -> Isolation:
        """Returns the state of a service; creates it if needed."""
        found = self.by_service.get(service)
        if found is None:
            found = self.by_service[service] = Isolation()
        return found

    def is_isolated(self, service: str) -> bool:
        """Returns whether no endpoint of a service can be reached."""
        found = self.by_service.get(service)
        return found is not None and found.is_isolated
