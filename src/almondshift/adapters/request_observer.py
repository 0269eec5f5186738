"""Records requests in metrics, objective counts and log events."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from almondshift import errors
from almondshift import log_events
from almondshift.adapters import metrics as metric_parts

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import completions
    from almondshift.node import objectives
    from almondshift.ports import clocks

    CompletionCallback = Callable[[str, float, float], None]

logger = logging.getLogger(__name__)

EXCLUDED_FROM_OBJECTIVES = (
    errors.MalformedRequest,
    errors.IdempotencyKeyRequired,
    errors.IdempotencyKeyReused,
    errors.MissingKey,
    errors.WrongKey,
    errors.UnknownService,
    errors.BodyTooLarge,
    errors.PromptTooLong,
    errors.AccountLimited,
    errors.Quarantined,
)
"""Refusals that do not count against the service objectives."""


class RequestRecord:
    """One request, from authentication to its end.

    Attributes:
        tokens: Tokens sent so far.
    """

    def __init__(
        self,
        observer: RequestObserver,
        request_id: str,
        account: str,
        service: str,
        arrived: float,
    ) -> None:
        self.observer = observer
        self.request_id = request_id
        self.account = account
        self.service = service
        self.arrived = arrived
        self.tokens = 0
        self._last_token_at = arrived
        self._ended = False

    def token(self) -> None:
        """Records a token that is sent to the caller."""
        now = self.observer.clock.monotonic()
        seconds = now - self._last_token_at
        if self.tokens == 0:
            self.observer.metrics.first_token(self.service, seconds)
            self.observer.counts.record_first_token(
                self.service, self.account, seconds
            )
        else:
            self.observer.metrics.between_tokens(self.service, seconds)
            self.observer.counts.record_between_tokens(
                self.service, self.account, seconds
            )
        self.tokens += 1
        self._last_token_at = now

    def answered(
        self, recoveries: tuple[completions.Recovery, ...] = ()
    ) -> None:
        """Records a complete response."""
        for recovery in recoveries:
            self._recovered(recovery)
        if not self._end(metric_parts.OK):
            return
        self.observer.counts.record_whole(self.service, self.account)
        self.observer.on_complete(self.service, self.tokens, self._elapsed_s())
        log_events.emit(
            logger,
            log_events.RequestAnswered(
                request_id=self.request_id,
                account=self.account,
                service=self.service,
                tokens=self.tokens,
                seconds=round(self._elapsed_s(), 4),
                recoveries=len(recoveries),
            ),
        )

    def failed(self, error: errors.AlmondshiftError) -> None:
        """Records a request that ended with an error."""
        if not self._end(error.kind):
            return
        seconds = self._elapsed_s()
        self.observer.metrics.request_refused(error.kind, seconds)
        if not isinstance(error, EXCLUDED_FROM_OBJECTIVES):
            self.observer.counts.record_whole(
                self.service, self.account, error.kind
            )
        log_events.emit(
            logger,
            log_events.RequestRefused(
                request_id=self.request_id,
                account=self.account,
                service=self.service,
                kind=error.kind,
                execution=error.execution.value,
                seconds=round(seconds, 4),
            ),
        )

    def abandoned(self) -> None:
        """Records that the caller disconnected before the end."""
        if not self._end(metric_parts.ABANDONED):
            return
        log_events.emit(
            logger,
            log_events.RequestAbandoned(
                request_id=self.request_id,
                account=self.account,
                service=self.service,
                kind=metric_parts.ABANDONED,
                tokens=self.tokens,
            ),
        )

    def _end(self, kind: str) -> bool:
        if self._ended:
            return False
        self._ended = True
        self.observer.end(self.service, self.account, kind)
        return True

    def _elapsed_s(self) -> float:
        return self.observer.clock.monotonic() - self.arrived

    def _recovered(self, recovery: completions.Recovery) -> None:
        self.observer.metrics.recovered(recovery.seconds)
        log_events.emit(
            logger,
            log_events.RequestRecovered(
                request_id=self.request_id,
                endpoint=recovery.endpoint,
                replacement=",".join(recovery.replacement),
                seconds=round(recovery.seconds, 4),
                replayed_positions=recovery.replayed_positions,
            ),
        )


class RequestObserver:
    """Creates request records and counts the open ones.

    Attributes:
        in_flight: Requests that were accepted and have not ended.
        on_complete: Called with the service, tokens and seconds of each
            complete response.
    """

    def __init__(
        self,
        metrics: metric_parts.Metrics,
        counts: objectives.ObjectiveCounts,
        clock: clocks.Clock,
        on_complete: CompletionCallback,
    ) -> None:
        self.metrics = metrics
        self.counts = counts
        self.clock = clock
        self.on_complete = on_complete
        self.in_flight = 0

    def begin(
        self, request_id: str, account: str, service: str, arrived: float
    ) -> RequestRecord:
        """Opens a record for a request that passed the first checks."""
        self.in_flight += 1
        self.metrics.in_flight.set(self.in_flight)
        log_events.emit(
            logger,
            log_events.RequestReceived(
                request_id=request_id, account=account, service=service
            ),
        )
        return RequestRecord(self, request_id, account, service, arrived)

    def end(self, service: str, account: str, kind: str) -> None:
        """Counts a request that ended."""
        self.in_flight -= 1
        self.metrics.in_flight.set(self.in_flight)
        self.metrics.request_ended(service, account, kind)


def create_request_observer(
    metrics: metric_parts.Metrics,
    counts: objectives.ObjectiveCounts,
    clock: clocks.Clock,
    on_complete: CompletionCallback,
) -> RequestObserver:
    """Builds an observer."""
    return RequestObserver(metrics, counts, clock, on_complete)
