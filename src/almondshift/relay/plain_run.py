"""Requests that one endpoint serves alone; responses are buffered whole."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from almondshift.model import not_run
from almondshift.model import relayed
from almondshift.policy import engine_tracker
from almondshift.policy import request_sends
from almondshift.ports import path_engines
from almondshift.relay import attempts
from almondshift.relay import guarded
from almondshift.relay import runs

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from almondshift.model import registered_engines
    from almondshift.model import routed_requests
    from almondshift.ports import relays
    from almondshift.relay import context

SERVER_ERROR = 500
MAX_BODY_BYTES = 16_000_000
"""Maximum response body; responses are buffered before they are forwarded."""

SLOW_FACTOR = 2.0
"""Multiple of the route's latency objective after which an idempotent request
is sent to another endpoint."""

LEAVE_MARGIN_S = 0.1
"""Time for which an endpoint may still work on a request after the request
should have been sent to another one, in seconds."""


class PlainAttempt(attempts.Attempt):
    """One attempt to run a request on an endpoint."""

    def __init__(
        self, run: PlainRun, endpoint: registered_engines.RegisteredEngine
    ) -> None:
        self.run = run
        self.endpoint = endpoint
        self.send = run.all_sends.begin(endpoint.instance)
        self.sent_at = run.loop.time()
        self.head: relayed.ForwardedHead | None = None
        self.body = bytearray()
        self.forwarded: path_engines.ForwardedRequest | None = None
        self.is_over = False
        self.buffers = run.shared.buffers

    def buffered_bytes(self) -> int:
        """Returns the size of the buffered body."""
        return len(self.body)

    def give_up_buffer(self) -> None:
        """Ends the attempt, or drops its response if it has ended."""
        if self.is_over:
            self.run.drop_failure(self)
        else:
            self.abort(attempts.BUFFERS_FULL)

    def on_head(self, head: relayed.ForwardedHead) -> None:
        """Stores the head."""
        self.head = head

    def on_data(self, data: bytes) -> None:
        """Appends a part of the body."""
        self.body += data
        self.buffers.note(self)
        if len(self.body) > MAX_BODY_BYTES:
            self.abort("response body too large")

    def abort(self, reason: str) -> None:
        """Aborts an attempt whose response can't be kept."""
        if self.forwarded is not None:
            self.forwarded.cancel()
        self.on_end(path_engines.Ending.SPOILT, reason)
        self.body.clear()

    def on_end(self, ending: path_engines.Ending, reason: str) -> None:
        """Passes the response to the run."""
        if not self.is_over:
            self.is_over = True
            self.run.attempt_ended(self, ending, reason)


class PlainRun(runs.Run):
    """A request to a plain service.

    Attributes:
        tried: Instances of the endpoints that it was sent to.
        last_failure: The last error response of an endpoint, which is passed on
            if no other endpoint succeeds.
    """

    def __init__(
        self,
        routed: routed_requests.RoutedRequest,
        responder: relays.Responder,
        shared: context.RelayContext,
    ) -> None:
        super().__init__(routed, responder, shared)
        self.attempt: PlainAttempt | None = None
        self.slow_timer: asyncio.TimerHandle | None = None
        self.tried: frozenset[str] = frozenset()
        self.last_failure: PlainAttempt | None = None

    @property
    def waiting_since(self) -> float | None:
        """Loop time at which the current attempt was sent."""
        return None if self.attempt is None else self.attempt.sent_at

    def dispatch(self) -> None:
        """Sends the request to an endpoint."""
        if self.links.is_isolated:
            if self.pass_to_peer() or self.all_sends.is_open:
                return
            if self.may_await_endpoints():
                self.await_endpoints()
            else:
                self.give_up("No endpoint can be reached.")
            return
        limits = self.shared.limits
        withheld = limits.withheld(self.routed.priority)
        untried = self.untried()
        usable = [e for e in untried if e.instance not in withheld]
        chosen = self.shared.endpoints.choose(
            usable, self.shared.zone, self.shared.clock.monotonic()
        )
        if chosen is None or self.denied_permits >= runs.MAX_DENIED_PERMITS:
            self.handle_no_endpoint(is_limited=bool(untried))
            return
        self.send_with_permit(
            chosen.instance, functools.partial(self.send, chosen)
        )

    def await_endpoints(self) -> None:
        """Waits for endpoints; any may be tried again, as none responded."""
        self.tried = frozenset()
        super().await_endpoints()

    def handle_no_endpoint(self, is_limited: bool) -> None:
        """Ends the run.

        Args:
            is_limited: Whether only rate-limited endpoints are left.
        """
        if not self.may_have_run and self.pass_to_peer_if_cut_off():
            return
        if is_limited and not self.may_have_run:
            self.refuse_limited()
            return
        self.give_up("No endpoint of the service can accept the request.")

    def handle_spent_budget(self) -> None:
        """Ends the run."""
        self.give_up(runs.SPENT_BUDGET)

    def send(self, chosen: registered_engines.RegisteredEngine) -> None:
        """Sends the request to an endpoint."""
        if not self.may_send_to_endpoint():
            return
        self.cover.record_send(chosen.instance)
        self.tried |= {chosen.instance}
        self.sends += 1
        self.shared.endpoints.started(chosen.instance)
        self.attempt = PlainAttempt(self, chosen)
        handed_s = self.handed_s()
        self.log_forwarded(
            chosen.address,
            chosen.instance,
            self.shared.endpoints.record(chosen.instance).in_flight,
            handed_s,
        )
        self.attempt.forwarded = self.shared.engines.forward(
            self.routed.request,
            relayed.Forwarding(
                address=chosen.address,
                instance=chosen.instance,
                path=(),
                remaining_s=handed_s,
                account=self.routed.account,
                priority=None,
                last_event_id=self.routed.request.last_event_id,
            ),
            self.attempt,
        )
        if self.sends == 1:
            self.start_slow_timer(self.retry_if_slow)

    def handed_s(self) -> float:
        """Returns the seconds for which the current endpoint may work on it.

        One that is silent may read the request late, after another endpoint was
        sent it, and can't be told so. It should not work on it for long then.
        """
        left_s = self.remaining_s()
        if self.sends > 1 or not self.may_leave_if_slow():
            return left_s
        return min(left_s, self.slow_s() + LEAVE_MARGIN_S)

    def may_leave_if_slow(self) -> bool:
        """Returns whether the request could be sent to another endpoint now."""
        return (
            self.can_retry_while_running()
            and self.can_end_in_time()
            and bool(self.unlimited())
        )

    def unlimited(self) -> list[registered_engines.RegisteredEngine]:
        """Returns the untried endpoints that name no rate limit."""
        limits = self.shared.limits
        return [e for e in self.untried() if not limits.is_limited(e.instance)]

    def slow_s(self) -> float:
        """Returns the time after which the first attempt is too slow."""
        return self.routed.route.objective_s * SLOW_FACTOR

    def untried(self) -> list[registered_engines.RegisteredEngine]:
        """Returns the available endpoints that have not been tried yet."""
        now = self.shared.clock.monotonic()
        return [
            e
            for e in self.shared.catalogue.of_service(self.routed.service)
            if not e.leaving
            and e.instance not in self.tried
            and not self.shared.tracker.is_suspect(e.instance)
            and not self.shared.tracker.is_in_backoff(e.instance, now)
        ]

    def pass_to_peer(self) -> bool:
        """Has a peer serve the request; returns False if none can."""
        if not super().pass_to_peer():
            return False
        if len(self.tried_peers) == 1:
            self.start_slow_timer(self.retry_if_peer_slow)
        return True

    def release_peer_attempt(self) -> None:
        """Drops the current attempt of a peer."""
        self.cancel_slow_timer()
        super().release_peer_attempt()

    def start_slow_timer(self, retry: Callable[[], None]) -> None:
        """Starts a timer for the first attempt of an idempotent request.

        Args:
            retry: Sends the request elsewhere if that is allowed.
        """
        route = self.routed.route
        if route.may_repeat and route.max_attempts > 1:
            self.slow_timer = self.loop.call_later(self.slow_s(), retry)

    @guarded.ends_run_on_exception
    def retry_if_peer_slow(self) -> None:
        """Passes the request to another peer, as the first one is slow.

        The first one may only run it on one endpoint.
        """
        attempt = self.peer_attempt
        if (
            attempt is None
            or self.is_ended
            or not self.can_end_in_time()
            or not self.can_pass_to_peer()
            or not self.can_retry(attempt.granted_runs)
        ):
            return
        attempt.cancel()
        self.release_peer_attempt()
        self.continue_after_peer(
            attempt, "too slow", evidence=None, is_unreached=False
        )

    @guarded.ends_run_on_exception
    def retry_if_slow(self) -> None:
        """Sends the request to another endpoint, as the first one is slow."""
        attempt = self.attempt
        if attempt is None or self.is_ended or attempt.is_over:
            return
        if not self.can_end_in_time():
            # This node stops before a retry would complete; the first
            # endpoint, which already had time to work, may still respond.
            return
        if not self.unlimited() or not self.spend_retry_while_running():
            return
        self.drop_attempt(failed=True)
        self.log_failed_attempt(attempt.send, "too slow", runs.SENT_ELSEWHERE)
        self.begin()

    def spend_retry_while_running(self) -> bool:
        """Counts the current attempt if another may follow, and spends a retry.

        An attempt that goes on counts once it has ended.
        """
        return (
            self.can_retry_while_running()
            and self.record_attempt_and_spend_retry(False)
        )

    def record_attempt_and_spend_retry(self, is_not_run: bool) -> bool:
        """Counts an attempt that may have run, then tries to spend a retry.

        Returns:
            Whether the request may be sent again.
        """
        if not is_not_run:
            self.ended_runs.add_settled()
        return self.try_spend_retry(is_not_run)

    @guarded.ends_run_on_exception
    def attempt_ended(
        self,
        attempt: PlainAttempt,
        ending: path_engines.Ending,
        reason: str,
    ) -> None:
        """Passes the response on, retries elsewhere or gives up."""
        if attempt is not self.attempt:
            return
        self.cancel_slow_timer()
        self.attempt = None
        now = self.shared.clock.monotonic()
        instance = attempt.endpoint.instance
        head = attempt.head
        if ending is path_engines.Ending.WHOLE and head is not None:
            if head.evidence is not None:
                self.handle_refusal(attempt, head, head.evidence)
                return
            seconds = self.loop.time() - attempt.sent_at
            if head.status < SERVER_ERROR and self.may_pass_on(head):
                self.shared.endpoints.answered(instance, seconds, now)
                self.shared.crash_watch.note_answered(self.routed)
                self.record_response_time()
                self.pass_on(attempt, head)
                return
            self.shared.endpoints.failed(instance, now)
            self.handle_failure(attempt, f"status {head.status}")
            return
        if ending is not path_engines.Ending.SPOILT:
            self.links.note_failure(instance, self.loop.time())
        if ending is path_engines.Ending.NOT_SENT:
            self.shared.endpoints.missed(instance, now)
            self.retry_or_end(attempt, reason, not_run.NotRun.NO_CONNECTION)
            return
        self.shared.endpoints.failed(instance, now)
        if ending is path_engines.Ending.BROKEN:
            self.shared.crash_watch.note_broken(
                self.routed, self.sends, instance, attempt.endpoint.address
            )
        self.retry_or_end(attempt, reason, None)

    def handle_refusal(
        self,
        attempt: PlainAttempt,
        head: relayed.ForwardedHead,
        evidence: not_run.NotRun,
    ) -> None:
        """Continues after an endpoint that did not run the request."""
        instance = attempt.endpoint.instance
        now = self.shared.clock.monotonic()
        if head.status == 421:
            # The address now belongs to another engine.
            self.shared.tracker.suspect(
                instance, engine_tracker.Suspicion.GONE, now
            )
            self.shared.crash_watch.endpoint_replaced(instance)
        self.shared.endpoints.failed(instance, now)
        self.retry_or_end(attempt, f"refused with {head.status}", evidence)

    def handle_failure(self, attempt: PlainAttempt, reason: str) -> None:
        """Retries elsewhere, or passes the endpoint's error response on."""
        head = attempt.head
        assert head is not None
        if self.routed.route.may_repeat and self.record_attempt_and_spend_retry(
            False
        ):
            attempt.end_send(request_sends.FAILED)
            if self.may_pass_on(head):
                self.keep_failure(attempt)
            self.log_failed_attempt(attempt.send, reason, runs.SENT_ELSEWHERE)
            self.begin()
            return
        if head.status < SERVER_ERROR or not self.may_pass_on(head):
            attempt.end_send(request_sends.FAILED)
            self.log_failed_attempt(attempt.send, reason, runs.GIVEN_UP, head)
            self.refuse(self.may_have_run_error(reason))
            return
        self.pass_on(attempt, head)

    def keep_failure(self, attempt: PlainAttempt) -> None:
        """Keeps an error response in place of the last one."""
        if self.last_failure is not None:
            self.drop_failure(self.last_failure)
        self.last_failure = attempt
        attempt.buffers.note(attempt)

    def drop_failure(self, attempt: PlainAttempt) -> None:
        """Drops an error response that was kept."""
        attempt.buffers.release(attempt)
        if self.last_failure is attempt:
            self.last_failure = None

    def retry_or_end(
        self,
        attempt: PlainAttempt,
        reason: str,
        evidence: not_run.NotRun | None,
    ) -> None:
        """Retries elsewhere if that is allowed, or gives up.

        Args:
            attempt: The attempt, which has ended.
            reason: Why it failed.
            evidence: Why it did not run the request; None if it may have.
        """
        is_not_run = evidence is not None
        attempt.end_send(request_sends.FAILED, evidence)
        if self.record_attempt_and_spend_retry(is_not_run):
            self.log_failed_attempt(
                attempt.send, reason, runs.SENT_ELSEWHERE, attempt.head
            )
            self.begin()
            return
        self.log_failed_attempt(
            attempt.send, reason, runs.GIVEN_UP, attempt.head
        )
        if is_not_run and not self.may_have_run:
            if not self.pass_to_peer_if_cut_off():
                self.give_up(reason)
            return
        self.refuse(self.may_have_run_error(reason))

    def give_up(self, reason: str) -> None:
        """Ends with the last error response, or with an error of this node."""
        failure = self.last_failure
        if failure is not None and failure.head is not None:
            self.pass_on(failure, failure.head)
            return
        if self.may_have_run:
            self.refuse(self.may_have_run_error(reason))
            return
        self.refuse_no_capacity(reason)

    def pass_on(
        self, attempt: PlainAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Passes an endpoint's response on unchanged."""
        attempt.end_send(request_sends.ANSWERED)
        self.shared.observer.attempts.labels("answered").inc()
        self.shared.observer.first_seconds.observe(self.elapsed_s())
        self.responder.send_whole(
            head.status, head.headers, bytes(attempt.body)
        )
        self.complete()

    def leave_endpoint(self) -> None:
        """Sends the request to a peer, if it may run again."""
        if self.attempt is None or not self.routed.route.may_repeat:
            return
        send = self.attempt.send
        if not self.spend_retry_while_running():
            return
        self.drop_attempt(failed=True)
        self.log_failed_attempt(
            send, "no endpoint responds", runs.SENT_ELSEWHERE
        )
        self.begin()

    def cancel_slow_timer(self) -> None:
        """Cancels the timer for the first endpoint."""
        if self.slow_timer is not None:
            self.slow_timer.cancel()
            self.slow_timer = None

    def drop_attempt(self, failed: bool) -> None:
        """Cancels the current attempt.

        Args:
            failed: Whether it counts as a failure of the endpoint.
        """
        attempt = self.attempt
        self.attempt = None
        if attempt is None:
            return
        attempt.is_over = True
        attempt.end_send(request_sends.CANCELLED)
        if attempt.forwarded is not None:
            attempt.forwarded.cancel()
        instance = attempt.endpoint.instance
        if failed:
            now = self.shared.clock.monotonic()
            self.shared.endpoints.failed(instance, now)
            self.shared.crash_watch.note_unanswered(
                self.routed, self.sends, instance
            )
        else:
            self.shared.endpoints.cancelled(instance)

    def cancel_work(self) -> None:
        """Cancels the work of the endpoint."""
        self.cancel_slow_timer()
        if self.last_failure is not None:
            self.drop_failure(self.last_failure)
        self.drop_attempt(failed=False)

    def time_out(self) -> None:
        """Ends the run; its endpoint may have crashed without a reset."""
        if self.attempt is not None:
            self.shared.crash_watch.note_unanswered(
                self.routed, self.sends, self.attempt.endpoint.instance
            )
        super().time_out()

    def expected_response_tokens(self) -> float:
        """Returns 0, as plain responses have no tokens."""
        return 0.0

    def sent_event_count(self) -> int:
        """Returns 0, as plain responses have no tokens."""
        return 0
