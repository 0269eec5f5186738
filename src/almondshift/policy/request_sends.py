"""All sends of one request, each with the evidence that it did not run."""

from __future__ import annotations

import dataclasses

from almondshift.model import not_run

OPEN = "open"
"""Outcome of a send that has not ended."""

ANSWERED = "answered"
FAILED = "failed"
CANCELLED = "cancelled"

MAX_LISTED = 8
"""Maximum number of sends in a log line; the latest ones."""


@dataclasses.dataclass(slots=True)
class Send:
    """One send of a request.

    Attributes:
        target: Instance of the endpoint, or name of the peer.
        outcome: How it ended; ``OPEN`` until then.
        evidence: Why it did not run the request; None if it may have.
        earlier_calls: Number of calls that its connection carried before; None
            for no connection.
        may_have_arrived: Whether an endpoint may have received it.
    """

    target: str
    outcome: str = OPEN
    evidence: not_run.NotRun | None = None
    earlier_calls: int | None = None
    may_have_arrived: bool = True

    def end(
        self,
        outcome: str,
        earlier_calls: int | None,
        evidence: not_run.NotRun | None = None,
    ) -> None:
        """Records how it ended."""
        self.outcome = outcome
        self.earlier_calls = earlier_calls
        self.evidence = evidence
        if evidence is not_run.NotRun.NO_CONNECTION:
            self.may_have_arrived = False

    @property
    def connection(self) -> str:
        """Describes its connection for the log."""
        if self.earlier_calls is None:
            return "none"
        return f"reused {self.earlier_calls}" if self.earlier_calls else "new"

    def __str__(self) -> str:
        """Describes it for the log."""
        outcome = self.outcome if self.evidence is None else self.evidence.value
        return f"{self.target} ({self.connection}): {outcome}"


class RequestSends:
    """The sends of one request, in order.

    Attributes:
        repeats_spent: Repeats that the retry budget granted for it.
    """

    def __init__(self) -> None:
        self.sends: list[Send] = []
        self.repeats_spent = 0

    def begin(self, target: str) -> Send:
        """Records a send that may run the request until it is known not to."""
        send = Send(target)
        self.sends.append(send)
        return send

    @property
    def may_have_run(self) -> bool:
        """Whether some send may have run the request."""
        return any(send.evidence is None for send in self.sends)

    @property
    def arrivals(self) -> int:
        """Number of sends that may have reached an endpoint."""
        return sum(send.may_have_arrived for send in self.sends)

    @property
    def is_next_covered(self) -> bool:
        """Whether another send needs no more of the retry budget.

        The first arrival of a request needs none.
        """
        return self.repeats_spent >= self.arrivals

    @property
    def is_open(self) -> bool:
        """Whether some send has not ended."""
        return any(send.outcome == OPEN for send in self.sends)

    def __str__(self) -> str:
        """Lists the latest sends for the log."""
        return "; ".join(str(send) for send in self.sends[-MAX_LISTED:])
