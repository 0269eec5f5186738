"""Requests with a single response that run over paths of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.policy import request_sends
from almondshift.relay import plain_run
from almondshift.relay import stream_run

if TYPE_CHECKING:
    from almondshift.model import relayed
    from almondshift.relay import events
    from almondshift.relay import stream_attempt


class PathRun(stream_run.StreamRun):
    """A request on a route that is no stream, to a service of model engines.

    The response is buffered whole, whatever its content, and passed on
    unchanged.
    """

    @property
    def expects_stream(self) -> bool:
        """Whether a successful response is a stream of events."""
        return False

    def start_first_event_timer(self) -> None:
        """Starts a timer to send an idempotent request elsewhere."""
        route = self.routed.route
        if route.may_repeat:
            self.first_event_timer = self.loop.call_later(
                route.objective_s * plain_run.SLOW_FACTOR,
                self.retry_if_no_first_event,
            )

    def record_first_event_wait(self, attempt: events.EventSource) -> None:
        """Does nothing, as the response has no events."""

    def record_no_first_event(
        self, attempt: stream_attempt.StreamAttempt
    ) -> None:
        """Does nothing, as the response has no events."""

    def handle_failure(
        self, attempt: stream_attempt.StreamAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Passes a usable response on, or continues after a failure."""
        if head.not_run or not self.may_pass_on(head):
            super().handle_failure(attempt, head)
        elif head.status < plain_run.SERVER_ERROR:
            self.pass_on(attempt, head)
        elif not self.repeat_after_failure(attempt, head):
            super().handle_failure(attempt, head)

    def pass_on(
        self, attempt: stream_attempt.StreamAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Passes the response on unchanged."""
        attempt.end_send(request_sends.ANSWERED)
        self.shared.observer.attempts.labels("answered").inc()
        self.shared.observer.first_seconds.observe(self.elapsed_s())
        self.shared.crash_watch.note_answered(self.routed)
        self.record_response_time()
        self.responder.send_whole(
            head.status, head.headers, bytes(attempt.body)
        )
        self.complete()
