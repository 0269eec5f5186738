"""Requests to endpoints that serve alone; answers are passed on whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.model import relayed
from almondshift.policy import engine_book
from almondshift.ports import path_engines
from almondshift.relay import runs

if TYPE_CHECKING:
    import asyncio

    from almondshift.model import registered_engines
    from almondshift.model import routed_requests
    from almondshift.ports import relays
    from almondshift.relay import context

SERVER_ERROR = 500
MAX_BODY_BYTES = 16_000_000
"""Maximum answer; answers are buffered whole before they are forwarded."""

PATIENCE_FACTOR = 2.0
"""Multiple of the route's objective after which an idempotent request is sent
to another endpoint."""


class PlainAttempt(path_engines.AnswerListener):
    """One send of a request."""

    def __init__(
        self, run: PlainRun, endpoint: registered_engines.RegisteredEngine
    ) -> None:
        self.run = run
        self.endpoint = endpoint
        self.sent_at = run.loop.time()
        self.head: relayed.ForwardedHead | None = None
        self.body = bytearray()
        self.forwarded: path_engines.ForwardedRequest | None = None
        self.over = False

    def on_head(self, head: relayed.ForwardedHead) -> None:
        """Keeps the head."""
        self.head = head

    def on_data(self, data: bytes) -> None:
        """Keeps a part of the body."""
        self.body += data
        if len(self.body) > MAX_BODY_BYTES and self.forwarded is not None:
            self.forwarded.cancel()
            self.on_end(path_engines.Ending.SPOILT, "answer over the limit")

    def on_end(self, ending: path_engines.Ending, reason: str) -> None:
        """Hands the answer to the run."""
        if not self.over:
            self.over = True
            self.run.attempt_ended(self, ending, reason)


class PlainRun(runs.Run):
    """A request to a plain service.

    Attributes:
        tried: Endpoints that it was sent to.
        last_failure: An endpoint's own failure, passed on if none does
            better.
    """

    def __init__(
        self,
        routed: routed_requests.RoutedRequest,
        responder: relays.Responder,
        shared: context.RelayContext,
    ) -> None:
        super().__init__(routed, responder, shared)
        self.attempt: PlainAttempt | None = None
        self.patience: asyncio.TimerHandle | None = None
        self.tried: frozenset[str] = frozenset()
        self.last_failure: PlainAttempt | None = None

    def dispatch(self) -> None:
        """Sends the request to an endpoint."""
        now = self.shared.clock.monotonic()
        chosen = self.shared.endpoints.choose(
            self.untried(), self.shared.zone, now
        )
        if chosen is None:
            self.give_up("No endpoint of the service can take the request.")
            return
        self.tried |= {chosen.instance}
        self.sends += 1
        self.shared.endpoints.started(chosen.instance)
        self.attempt = PlainAttempt(self, chosen)
        self.note_forwarded(
            chosen.address,
            chosen.instance,
            self.shared.endpoints.record(chosen.instance).in_flight,
        )
        self.unrefused += 1
        self.attempt.forwarded = self.shared.engines.forward(
            self.routed.request,
            relayed.Forwarding(
                address=chosen.address,
                instance=chosen.instance,
                path=(),
                remaining_s=self.remaining_s(),
                account=self.routed.account,
                priority=None,
                last_event_id=self.routed.request.last_event_id,
            ),
            self.attempt,
        )
        self.watch_patience()

    def untried(self) -> list[registered_engines.RegisteredEngine]:
        """Returns the endpoints that the request may be sent to yet."""
        return [
            e
            for e in self.shared.catalogue.of_service(self.routed.service)
            if not e.leaving
            and e.instance not in self.tried
            and not self.shared.book.is_suspect(e.instance)
        ]

    def watch_patience(self) -> None:
        """Sets a limit for an idempotent request's first endpoint."""
        route = self.routed.route
        if not route.may_repeat or self.sends >= route.max_attempts:
            return
        if self.sends > 1:
            return
        self.patience = self.loop.call_later(
            route.objective_s * PATIENCE_FACTOR, self.lose_patience
        )

    def lose_patience(self) -> None:
        """Sends an idempotent request elsewhere."""
        attempt = self.attempt
        if attempt is None or self.ended or attempt.over:
            return
        if not self.can_end_in_time():
            # This node stops before a repeat would be answered; the first
            # endpoint, which has had its second, may answer yet.
            return
        if not self.untried() or not self.may_repeat_after(False):
            return
        self.note_failed(
            attempt.endpoint.instance, "too slow", False, runs.SENT_ELSEWHERE
        )
        self.drop_attempt(failed=True)
        self.begin()

    def may_repeat_after(self, is_not_run: bool) -> bool:
        """Counts the present endpoint and asks whether another may follow."""
        if not is_not_run:
            self.ran_on += 1
        return self.may_repeat(is_not_run)

    def attempt_ended(
        self,
        attempt: PlainAttempt,
        ending: path_engines.Ending,
        reason: str,
    ) -> None:
        """Passes an answer on, or goes on elsewhere, or gives up."""
        if attempt is not self.attempt:
            return
        self.stop_patience()
        self.attempt = None
        now = self.shared.clock.monotonic()
        instance = attempt.endpoint.instance
        head = attempt.head
        if ending is path_engines.Ending.WHOLE and head is not None:
            if head.not_run:
                self.take_refusal(attempt, head)
                return
            seconds = self.loop.time() - attempt.sent_at
            if head.status < SERVER_ERROR and head.genuine:
                self.shared.endpoints.answered(instance, seconds, now)
                self.shared.crashes.note_answered(self.routed)
                self.note_time()
                self.pass_on(attempt, head)
                return
            self.shared.endpoints.failed(instance, now)
            self.take_failure(attempt, f"status {head.status}")
            return
        if ending is path_engines.Ending.NOT_SENT:
            self.shared.endpoints.missed(instance, now)
            self.go_on(attempt, reason, is_not_run=True)
            return
        self.shared.endpoints.failed(instance, now)
        if ending is path_engines.Ending.BROKEN:
            self.shared.crashes.note_broken(self.routed, self.sends, instance)
        self.go_on(attempt, reason, is_not_run=False)

    def take_refusal(
        self, attempt: PlainAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Goes on after an endpoint that says that it ran nothing."""
        instance = attempt.endpoint.instance
        now = self.shared.clock.monotonic()
        if head.status == 421:
            self.shared.book.suspect(instance, engine_book.Suspicion.GONE, now)
        self.shared.endpoints.failed(instance, now)
        self.go_on(attempt, f"refused with {head.status}", is_not_run=True)

    def take_failure(self, attempt: PlainAttempt, reason: str) -> None:
        """Tries elsewhere, else passes the endpoint's own failure on."""
        head = attempt.head
        assert head is not None
        if self.routed.route.may_repeat and self.may_repeat_after(False):
            self.last_failure = attempt
            self.note_failed(
                attempt.endpoint.instance, reason, False, runs.SENT_ELSEWHERE
            )
            self.begin()
            return
        if head.status < SERVER_ERROR or not head.genuine:
            self.refuse(self.unknown_error(reason))
            return
        self.pass_on(attempt, head)

    def go_on(
        self, attempt: PlainAttempt, reason: str, is_not_run: bool
    ) -> None:
        """Sends elsewhere if that is allowed, else gives up."""
        if is_not_run:
            self.unrefused -= 1
        instance = attempt.endpoint.instance
        if self.may_repeat_after(is_not_run):
            self.note_failed(instance, reason, is_not_run, runs.SENT_ELSEWHERE)
            self.begin()
            return
        self.note_failed(instance, reason, is_not_run, runs.GIVEN_UP)
        if is_not_run and self.ran_on == 0:
            self.give_up(reason)
            return
        self.refuse(self.unknown_error(reason))

    def give_up(self, reason: str) -> None:
        """Ends without an endpoint's answer, or with the last failure."""
        failure = self.last_failure
        if failure is not None and failure.head is not None:
            self.pass_on(failure, failure.head)
            return
        if self.ran_on:
            self.refuse(self.unknown_error(reason))
            return
        self.refuse_full(reason)

    def pass_on(
        self, attempt: PlainAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Passes an endpoint's answer on unchanged."""
        self.shared.observer.attempts.labels("answered").inc()
        self.shared.observer.first_seconds.observe(self.elapsed_s())
        self.responder.send_whole(
            head.status, head.headers, bytes(attempt.body)
        )
        self.answered()

    def stop_patience(self) -> None:
        """Ends the wait for the first endpoint."""
        if self.patience is not None:
            self.patience.cancel()
            self.patience = None

    def drop_attempt(self, failed: bool) -> None:
        """Cancels the present send."""
        attempt = self.attempt
        self.attempt = None
        if attempt is None:
            return
        attempt.over = True
        if attempt.forwarded is not None:
            attempt.forwarded.cancel()
        instance = attempt.endpoint.instance
        if failed:
            now = self.shared.clock.monotonic()
            self.shared.endpoints.failed(instance, now)
        else:
            self.shared.endpoints.cancelled(instance)

    def cancel_work(self) -> None:
        """Stops what the endpoint does."""
        self.stop_patience()
        self.drop_attempt(failed=False)

    def length(self) -> float:
        """Returns 0: plain answers have no tokens."""
        return 0.0

    def size(self) -> int:
        """Returns 0: plain answers have no tokens."""
        return 0
