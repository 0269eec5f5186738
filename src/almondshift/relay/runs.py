"""What streams and plain requests have in common: time, end and log."""

from __future__ import annotations

import abc
import asyncio
import dataclasses
from typing import TYPE_CHECKING

from almondshift import errors
from almondshift import log_events
from almondshift.ports import relays

if TYPE_CHECKING:
    from almondshift.model import relayed
    from almondshift.model import routes
    from almondshift.relay import context

MAX_SENDS = 4
"""Endpoints tried for one request that none of them ran: with four of a few
dozen engines refusing, the service is full and says so."""

RETRY_FLOOR_S = 0.6
RETRY_CEILING_S = 1.6
"""When a refused caller comes back: a lost engine's layers are loaded again
within about two seconds, and a burst drains in a few. Drawn between the two,
so that those refused together don't return together."""

ANSWERED = "ok"
SENT_ELSEWHERE = "sent elsewhere"
WAITS = "waits for room"
GIVEN_UP = "given up"


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with what was decided from the configuration.

    Attributes:
        account: Name of the client account; empty for none.
        priority: 0 is the most urgent.
        config_version: The configuration that decided.
    """

    request: relayed.RelayedRequest
    route: routes.Route
    service: str
    account: str
    priority: int
    config_version: int


class Run(relays.Relaying):
    """A request that is being served.

    Attributes:
        started_at: Loop time of its arrival.
        deadline_at: Loop time at which its answer is due.
        sends: How often it was sent.
        ran_on: Live endpoints that may have run it.
        may_have_run: Whether any endpoint may have begun to run it.
    """

    def __init__(
        self,
        routed: RoutedRequest,
        responder: relays.Responder,
        shared: context.RelayContext,
    ) -> None:
        self.routed = routed
        self.responder = responder
        self.shared = shared
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        wait_s = routed.route.timeout_s
        if routed.request.wait_s is not None:
            wait_s = min(wait_s, routed.request.wait_s)
        self.deadline_at = self.started_at + wait_s
        self.caller_until = self.started_at + (
            routed.request.wait_s or routed.route.timeout_s
        )
        self.sends = 0
        self.ran_on = 0
        self.may_have_run = False
        self.ended = False
        self.timer = self.loop.call_at(self.deadline_at, self.time_out)
        shared.running.add(self)

    @abc.abstractmethod
    def begin(self) -> None:
        """Sends the request."""

    @abc.abstractmethod
    def cancel_work(self) -> None:
        """Stops what endpoints do for it."""

    @abc.abstractmethod
    def size(self) -> int:
        """Returns how much of an answer was sent, for the log."""

    def remaining_s(self) -> float:
        """Returns what is left of the caller's time."""
        return max(0.0, self.caller_until - self.loop.time())

    def close(self) -> bool:
        """Ends the run; returns whether it had not ended before."""
        if self.ended:
            return False
        self.ended = True
        self.timer.cancel()
        self.cancel_work()
        self.shared.running.discard(self)
        return True

    def answered(self) -> None:
        """Ends a run whose answer is whole."""
        if not self.close():
            return
        self.shared.observer.ended.labels(ANSWERED).inc()
        self.shared.observer.emit(
            log_events.RequestAnswered(
                request_id=self.routed.request.request_id,
                account=self.routed.account,
                service=self.routed.service,
                tokens=self.size(),
                seconds=self.elapsed_s(),
                recoveries=max(0, self.sends - 1),
            )
        )

    def refuse(self, error: errors.AlmondshiftError) -> None:
        """Ends a run with an error, or by breaking its answer off."""
        if not self.close():
            return
        observer = self.shared.observer
        observer.ended.labels(error.kind).inc()
        if self.responder.head_sent:
            observer.emit(self.abandoned(error.kind))
            self.responder.break_off()
            return
        observer.emit(
            log_events.RequestRefused(
                request_id=self.routed.request.request_id,
                account=self.routed.account,
                service=self.routed.service,
                kind=error.kind,
                execution=error.execution.value,
                seconds=self.elapsed_s(),
            )
        )
        self.responder.fail(error)

    def abandoned(self, kind: str) -> log_events.RequestAbandoned:
        """Returns the event of an answer that was cut."""
        return log_events.RequestAbandoned(
            request_id=self.routed.request.request_id,
            account=self.routed.account,
            service=self.routed.service,
            kind=kind,
            tokens=self.size(),
        )

    def refuse_full(self, reason: str) -> None:
        """Ends a run that found no room, or a run that may have begun."""
        if self.may_have_run:
            self.refuse(errors.UpstreamFailed(reason))
            return
        self.refuse(errors.Overloaded(reason, retry_after_s=self.retry_s()))

    def retry_s(self) -> float:
        """Returns when a refused caller should come back."""
        return self.shared.rng.uniform(RETRY_FLOOR_S, RETRY_CEILING_S)

    def caller_gone(self) -> None:
        """Stops the work: nobody waits for the answer any more."""
        if not self.close():
            return
        self.responder.ended = True
        self.shared.observer.ended.labels("abandoned").inc()
        self.shared.observer.emit(self.abandoned("caller_gone"))

    def time_out(self) -> None:
        """Ends a run whose time is over."""
        detail = "The time for this request is over."
        if self.may_have_run:
            self.refuse(errors.DeadlineExceeded(detail))
        else:
            self.refuse(errors.DeadlinePast(detail))

    def note_forwarded(self, path: str, instances: str, load: float) -> None:
        """Logs that the request is sent to an endpoint or over a path."""
        self.shared.observer.emit(
            log_events.RequestForwarded(
                request_id=self.routed.request.request_id,
                service=self.routed.service,
                path=path,
                instances=instances,
                attempt=self.sends,
                load=load,
                config_version=self.routed.config_version,
                registry_age_s=round(self.shared.registry_age_s(), 2),
            )
        )

    def note_failed(
        self, instance: str, reason: str, is_not_run: bool, next_step: str
    ) -> None:
        """Logs and counts a send that brought no answer."""
        self.shared.observer.attempts.labels("failed").inc()
        self.shared.observer.emit(
            log_events.AttemptFailed(
                request_id=self.routed.request.request_id,
                endpoint=instance,
                reason=reason,
                not_run=is_not_run,
                events_sent=self.size(),
                next_step=next_step,
            )
        )

    def elapsed_s(self) -> float:
        """Returns seconds since the arrival, for the log."""
        return round(self.loop.time() - self.started_at, 4)

    def could_run_elsewhere(self) -> bool:
        """Returns whether a running request could be run once more."""
        route = self.routed.route
        return (
            route.may_repeat
            and self.sends < MAX_SENDS
            and self.ran_on + 1 < route.max_attempts
            and self.shared.budget.has_room(
                self.routed.service, self.shared.clock.monotonic()
            )
        )

    def may_repeat(self, is_not_run: bool) -> bool:
        """Returns whether the request may be sent once more.

        What may have run goes again only if its kind allows it, and to no
        more live endpoints than operators allow.
        """
        route = self.routed.route
        if self.sends >= MAX_SENDS:
            return False
        if self.shared.crashes.is_refused(self.routed):
            return False
        if not is_not_run and not route.may_repeat:
            return False
        if not is_not_run and self.ran_on >= route.max_attempts:
            return False
        return self.shared.budget.spend(
            self.routed.service, self.shared.clock.monotonic()
        )
