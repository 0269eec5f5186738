"""How long a stream may wait for its first event before it is run elsewhere.

An endpoint may run requests and lose the responses, or hang, while its health
check succeeds and its reports look normal. A caller then gets nothing and
disconnects, seconds after other streams had their first event.

So a stream whose first event is overdue, compared with the usual time at this
node, is run again over another path. When all streams are late, as in a burst,
the usual time grows and they are not run twice, since an abandoned stream is
included with the time that it waited.
"""

from __future__ import annotations

SMOOTHING = 0.25
"""Weight of the newest stream in the moving average."""

OVERDUE_FACTOR = 3.0
"""Multiple of the usual time after which a first event is overdue."""

OBJECTIVE_SHARE = 0.5
"""Minimum wait as a share of the objective: the rest is enough for a second run
when endpoints are not loaded."""


class FirstEventWait:
    """Tracks how long first events take, per service.

    Attributes:
        usual_s: Smoothed time to the first event, by service.
    """

    def __init__(self) -> None:
        self.usual_s: dict[str, float] = {}

    def note(self, service: str, seconds: float) -> None:
        """Records the time to a first event, or to the end of the wait."""
        usual_s = self.usual_s.get(service, seconds)
        self.usual_s[service] = usual_s + SMOOTHING * (seconds - usual_s)

    def overdue_s(self, service: str, objective_s: float) -> float:
        """Returns the time after which a first event is overdue.

        Args:
            service: The service of the stream.
            objective_s: The objective for the time to the first event.
        """
        usual_s = self.usual_s.get(service, objective_s)
        return max(OBJECTIVE_SHARE * objective_s, OVERDUE_FACTOR * usual_s)


def create_first_event_wait() -> FirstEventWait:
    """Creates a tracker without any times."""
    return FirstEventWait()
