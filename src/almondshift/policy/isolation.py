"""Tells whether this node has lost its links to all endpoints of a service.

If a node loses its links while other nodes keep theirs, all endpoints of a
service seem dead to it at once: connections are reset, refused or just silent.
A node that judges each endpoint by itself either ejects all of them, and
refuses its callers as if the service were overloaded, or waits for responses
until its callers' deadlines.

So failures at several endpoints within a moment, silence of all of them while
requests wait, or a node that has heard of no endpoint for a while start a check
of random endpoints. The node is isolated from the service once no endpoint has
responded to two rounds. A service whose endpoints can't be queried is judged by
the others. Single endpoints that crash
or fall silent don't start a check, as data from the others keeps arriving. A
short stall of all links ends before the second round does.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MIN_FAILED = 3
"""Number of different endpoints whose connections fail within ``FAILURE_S``
that suggests a fault of this node's link."""

FAILURE_S = 0.3

SILENT_S = 0.25
"""Time without data from any endpoint, while requests wait, that starts a
check, in seconds; twice as long as the stalls of a busy VM."""

ROUNDS = 2
"""Number of rounds in a row that no endpoint responds to."""

IDLE_S = 1.0
"""Time without data from any endpoint of any service after which an idle node
checks its links, in seconds."""

CHECK_GAP_S = 1.0
"""Minimum interval between checks that found an endpoint, in seconds."""

RECHECK_GAP_S = 0.2
"""Interval between checks of an isolated node, in seconds."""

PEERS_HEARD_S = 0.3
"""Time in which peers that are isolated too announce it, in seconds."""

MAX_CUTS = 16
"""Maximum number of cuts that are remembered."""


class CheckReason(enum.StrEnum):
    """Why links are checked, or taken for lost without a check.

    Attributes:
        ISOLATED: The node is isolated and looks for the end of that.
        UNDECIDED: The round before this one had no response.
        REQUESTED: A stream that may have lost its engine depends on it.
        REQUEST_WAITS: A request waits, and no endpoint sends data.
        CONNECTIONS_FAILED: Connections to several endpoints failed.
        OTHER_SERVICE: Another service is out of reach or being checked.
        IDLE: The node has heard of no endpoint for a while.
        PEER_REQUEST: A peer that lost its links passed a request on.
    """

    ISOLATED = "isolated"
    UNDECIDED = "undecided"
    REQUESTED = "requested"
    REQUEST_WAITS = "request waits"
    CONNECTIONS_FAILED = "connections failed"
    OTHER_SERVICE = "other service"
    IDLE = "idle"
    PEER_REQUEST = "peer request"


@dataclasses.dataclass(slots=True)
class Cut:
    """A time in which this node had no links to a service's endpoints.

    Attributes:
        began_at: When the first connection failed.
        ended_at: When an endpoint responded again; infinite until then.
    """

    began_at: float
    ended_at: float = math.inf


class Isolation:
    """State of this node's links to the endpoints of a service.

    Attributes:
        endpoints: Number of endpoints of the service.
        last_response_at: Time of the latest data from any endpoint.
        awaited_since: Since when requests had waited for data at the first of
            the latest rounds without a response.
        failures: Time of the latest failed connection, by instance.
        failure_count: Number of failed connections so far.
        failed_rounds: Rounds in a row without a response.
        isolated_since: Since when the node is isolated; None if it is not.
        checked_at: End of the latest round; not of one of an idle node that had
            a response, so that it delays no check for another reason.
        round_reason: Why the latest round was started.
        round_started_at: Start of the latest round that has ended.
        check_wanted_at: Since when a check should start at once; None if none
            is wanted.
        wanted_for: Why that check is wanted.
        suspected_for: Why the first of the latest rounds without a response was
            started.
        suspected_at: When connections last failed as in a cut.
        suspected_from: When the first of these failed, or was opened in a
            check.
        cuts: The latest cuts that rounds have confirmed, the oldest first.
    """

    def __init__(self) -> None:
        self.endpoints = MIN_FAILED
        self.last_response_at = -math.inf
        self.awaited_since = -math.inf
        self.failures: dict[str, float] = {}
        self.failure_count = 0
        self.failed_rounds = 0
        self.isolated_since: float | None = None
        self.checked_at = -math.inf
        self.round_started_at = -math.inf
        self.check_wanted_at: float | None = None
        self.wanted_for = CheckReason.REQUESTED
        self.round_reason = CheckReason.REQUESTED
        self.suspected_for = CheckReason.REQUESTED
        self.suspected_at = -math.inf
        self.suspected_from = -math.inf
        self.cuts: collections.deque[Cut] = collections.deque(maxlen=MAX_CUTS)

    @property
    def latest_cut(self) -> Cut | None:
        """The latest cut that rounds have confirmed; None for none."""
        return self.cuts[-1] if self.cuts else None

    @property
    def is_isolated(self) -> bool:
        """Whether no endpoint can be reached."""
        return self.isolated_since is not None

    @property
    def is_cut_off(self) -> bool:
        """Whether the links are cut: connections failed, no endpoint responds.

        Endpoints that pause at the same time break no connection.
        """
        cut = self.latest_cut
        return cut is not None and cut.ended_at == math.inf

    def is_undecided(self, since: float) -> bool:
        """Returns whether rounds are to tell whether links were lost by then.

        A round that began earlier may have had responses from before.
        """
        return not self.is_isolated and (
            self.failed_rounds > 0 or self.round_started_at < since
        )

    def is_isolated_for(self, seconds: float, now: float) -> bool:
        """Returns whether the node is isolated and got no data for a time.

        Only the time in which requests waited for data counts.
        """
        silent_since = max(self.last_response_at, self.awaited_since)
        return self.is_isolated and now - silent_since >= seconds

    def has_heard_peers(self, now: float) -> bool:
        """Returns whether peers may be taken to reach what this node doesn't.

        Endpoints that pause isolate all nodes at once, before these hear of
        each other. If connections fail, the fault is that of the node's links.
        """
        return self.is_cut_off or (
            self.isolated_since is not None
            and now - self.isolated_since >= PEERS_HEARD_S
        )

    def note_response(self, now: float) -> None:
        """Records data from an endpoint."""
        self.last_response_at = now

    def note_failure(self, instance: str, now: float) -> None:
        """Records a connection that was refused, reset or not established."""
        self.failures[instance] = now
        self.failure_count += 1
        if not self.is_link_suspect(now):
            return
        if now - self.suspected_at > CHECK_GAP_S:
            self.suspected_from = min(self.failures.values())
        self.suspected_at = now
        if self.is_isolated and not self.is_cut_off:
            self.cuts.append(Cut(self.suspected_from))

    def note_no_connection(self, began_at: float, now: float) -> None:
        """Records that no connection to any of several endpoints was made.

        The host of a suspended endpoint accepts connections.

        Args:
            began_at: When the connections were opened.
            now: When all of them had failed.
        """
        if self.last_response_at >= began_at:
            return
        if now - self.suspected_at > CHECK_GAP_S:
            self.suspected_from = began_at
        self.suspected_at = now
        if self.is_isolated and not self.is_cut_off:
            self.cuts.append(Cut(self.suspected_from))

    def want_check(
        self, now: float, reason: CheckReason = CheckReason.REQUESTED
    ) -> None:
        """Makes a check start at once."""
        self.check_wanted_at = now
        self.wanted_for = reason

    def silent_s(self, now: float) -> float | None:
        """Returns the seconds since the latest data; None for none ever."""
        if self.last_response_at == -math.inf:
            return None
        return now - self.last_response_at

    def has_heard_lately(self, now: float) -> bool:
        """Returns whether an endpoint has just sent data."""
        return now - self.last_response_at < SILENT_S

    def is_check_due(self, now: float) -> bool:
        """Returns whether no check has ended lately, nor is one wanted."""
        return (
            self.check_wanted_at is None
            and now - self.checked_at >= CHECK_GAP_S
        )

    def want_check_if_silent(self, now: float, reason: CheckReason) -> None:
        """Makes a check start if there was neither data nor a check lately."""
        if now - self.last_response_at >= SILENT_S and self.is_check_due(now):
            self.want_check(now, reason)

    @property
    def is_assumed(self) -> bool:
        """Whether it is isolated only since other services are out of reach."""
        return (
            self.is_isolated and self.suspected_for is CheckReason.OTHER_SERVICE
        )

    def infer(
        self,
        is_lost: bool,
        waiting_since: float | None,
        now: float,
        reason: CheckReason,
    ) -> bool:
        """Records the state of links that can't be checked by queries.

        Args:
            is_lost: Whether the node has lost its links to other services.
            waiting_since: As for ``check_reason``.
            now: Seconds on the clock of all times here.
            reason: Why the links may be lost.

        Returns:
            Whether the state changed.
        """
        self.check_wanted_at = None
        if self.isolated_since is None:
            if not is_lost or now - self.last_response_at < SILENT_S:
                return False
            self.awaited_since = now if waiting_since is None else waiting_since
            self.isolated_since = self.checked_at = now
            self.suspected_for = reason
            return True
        self.checked_at = now
        if is_lost and self.last_response_at < self.isolated_since:
            return False
        self.isolated_since = None
        if self.latest_cut is not None and self.is_cut_off:
            self.latest_cut.ended_at = now
        return True

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
        """Returns whether endpoints should be checked now."""
        return self.check_reason(waiting_since, now) is not None

    def check_reason(
        self, waiting_since: float | None, now: float
    ) -> CheckReason | None:
        """Returns why endpoints should be checked now; None if they need not.

        Args:
            waiting_since: Since when the longest waiting request has not
                received any data; None if none waits.
            now: Seconds on the clock of all times here.
        """
        if self.is_isolated:
            is_due = now - self.checked_at >= RECHECK_GAP_S
            return CheckReason.ISOLATED if is_due else None
        if self.failed_rounds:
            return CheckReason.UNDECIDED
        if self.check_wanted_at is not None:
            return self.wanted_for
        if now - self.checked_at < CHECK_GAP_S:
            return None
        if (
            waiting_since is not None
            and now - waiting_since >= SILENT_S
            and now - self.last_response_at >= SILENT_S
        ):
            return CheckReason.REQUEST_WAITS
        if self.is_link_suspect(now):
            return CheckReason.CONNECTIONS_FAILED
        return None

    def begin_round(
        self,
        waiting_since: float | None,
        now: float,
        reason: CheckReason = CheckReason.REQUESTED,
    ) -> None:
        """Records the start of a round.

        Args:
            waiting_since: As for ``check_reason``.
            now: Seconds on the clock of all times here.
            reason: Why the round is started.
        """
        self.round_reason = reason
        if not self.failed_rounds:
            self.awaited_since = now if waiting_since is None else waiting_since
            self.suspected_for = reason

    def end_round(self, started_at: float, now: float) -> bool:
        """Records the end of a round; returns whether the state changed.

        Args:
            started_at: When the queries were sent.
            now: When all of them were answered, refused or timed out.
        """
        has_response = self.last_response_at >= started_at
        if not has_response or self.round_reason is not CheckReason.IDLE:
            self.checked_at = now
        self.round_started_at = started_at
        wanted_at = self.check_wanted_at
        if wanted_at is not None and wanted_at <= started_at:
            self.check_wanted_at = None
        if has_response:
            self.failed_rounds = 0
            was_isolated = self.is_isolated
            self.isolated_since = None
            if self.latest_cut is not None and self.is_cut_off:
                self.latest_cut.ended_at = now
            return was_isolated
        self.failed_rounds += 1
        if self.is_isolated or self.failed_rounds < ROUNDS:
            return False
        self.isolated_since = now
        if now - self.suspected_at <= CHECK_GAP_S:
            self.cuts.append(Cut(self.suspected_from))
        return True


class ServiceLinks:
    """States of the links to the endpoints of each service.

    Attributes:
        by_service: States by the name of the service.
        judged_by: Returns the states that are checked to judge a service: its
            own, or those of the others if its endpoints can't be queried.
    """

    def __init__(self) -> None:
        self.by_service: dict[str, Isolation] = {}
        self.judged_by: Callable[[str], list[Isolation]] = lambda service: [
            self.of(service)
        ]

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
