"""Covers each send of a request beyond its first arrival by retry budget.

Endpoints count every arrival beyond a request's first one as a repeat, whether
they run it or not, and whichever node sent it. A peer takes the first send of
a request that was passed to it for the first arrival. So the node that the
caller asked covers that send, like its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift import log_events

if TYPE_CHECKING:
    from almondshift.model import routed_requests
    from almondshift.policy import request_sends
    from almondshift.relay import context

COVERED = "budget"
UNCOVERED = "none"
"""Metric labels of repeats."""


class RetryCover:
    """The retry budget for the sends of one request.

    Attributes:
        sends: The sends of the request, which count what was spent.
    """

    def __init__(
        self,
        routed: routed_requests.RoutedRequest,
        sends: request_sends.RequestSends,
        shared: context.RelayContext,
    ) -> None:
        self.routed = routed
        self.sends = sends
        self.shared = shared

    def is_available(self) -> bool:
        """Returns whether the next send is covered, or could be now."""
        return self.sends.is_next_covered or self.shared.budget.has_room(
            self.routed.service, self.shared.clock.monotonic()
        )

    def obtain(self) -> bool:
        """Covers the next send; returns whether it is covered.

        Spends retry budget unless the request has not arrived anywhere, or
        budget was spent for a send that did not arrive.
        """
        if self.sends.is_next_covered:
            return True
        service = self.routed.service
        now = self.shared.clock.monotonic()
        if self.shared.budget.spend(service, now):
            self.sends.repeats_spent += 1
            return True
        self.log_denied(service, now)
        return False

    def log_denied(self, service: str, now: float) -> None:
        """Logs the state of the budget, once in each window."""
        state = self.shared.budget.denied(service, now)
        if state is None:
            return
        self.shared.observer.emit(
            log_events.RetryBudgetSpent(
                service=service,
                denials=state.denials,
                requests=state.requests,
                repeats=state.repeats,
                limit=round(state.limit, 2),
                nodes=state.nodes,
                age_s=round(state.age_s, 2),
            )
        )

    def record_send(self, target: str) -> None:
        """Counts the send that is about to begin, if it is a repeat.

        One that is not covered is a fault of this program, and is logged.
        """
        if not self.sends.arrivals:
            return
        is_covered = self.sends.is_next_covered
        label = COVERED if is_covered else UNCOVERED
        self.shared.observer.repeats.labels(label).inc()
        if not is_covered:
            self.shared.observer.emit(
                log_events.RepeatUncovered(
                    request_id=self.routed.request.request_id,
                    service=self.routed.service,
                    target=target,
                    arrivals=self.sends.arrivals,
                    spent=self.sends.repeats_spent,
                    sends=str(self.sends),
                )
            )
