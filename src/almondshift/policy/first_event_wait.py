"""How long a stream may be without a first event before it runs elsewhere.

Load pattern: an endpoint runs requests and loses their answers, or hangs,
while its health check and its reports are good. Such a caller waits in
silence until it leaves, seconds after other streams had their first event.

So a stream whose first event is overdue by what is usual here is run again
over another path. When all streams are late, as in a burst, the usual time
grows with them and nothing is run twice for it: a stream that was given up
counts with the time that it waited.
"""

from __future__ import annotations

SMOOTHING = 0.25
"""Weight of the newest stream."""

OVERDUE_FACTOR = 3.0
"""Multiple of the usual time after which a first event is overdue."""

OBJECTIVE_SHARE = 0.5
"""Share of the objective that is waited at least: the rest is enough for a
second run when endpoints are not loaded."""


class FirstEventWait:
    """Learns how long first events take, per service.

    Attributes:
        usual_s: Smoothed time to the first event.
    """

    def __init__(self) -> None:
        self.usual_s: dict[str, float] = {}

    def note(self, service: str, seconds: float) -> None:
        """Notes the time to a first event, or until one was given up."""
        usual_s = self.usual_s.get(service, seconds)
        self.usual_s[service] = usual_s + SMOOTHING * (seconds - usual_s)

    def overdue_s(self, service: str, objective_s: float) -> float:
        """Returns after how long a first event is overdue.

        Args:
            service: Where the stream was sent.
            objective_s: Time within which a first event is on time.
        """
        usual_s = self.usual_s.get(service, objective_s)
        return max(OBJECTIVE_SHARE * objective_s, OVERDUE_FACTOR * usual_s)


def create_first_event_wait() -> FirstEventWait:
    """Creates a wait that has seen no stream."""
    return FirstEventWait()
