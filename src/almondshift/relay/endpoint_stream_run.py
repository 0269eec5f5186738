"""Streams that one endpoint of a plain service runs alone."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import relayed
from almondshift.policy import engine_tracker
from almondshift.policy import path_choice
from almondshift.ports import path_engines
from almondshift.relay import guarded
from almondshift.relay import plain_run
from almondshift.relay import runs
from almondshift.relay import stream_attempt
from almondshift.relay import stream_run

if TYPE_CHECKING:
    import asyncio

    from almondshift.model import registered_engines
    from almondshift.model import routed_requests
    from almondshift.ports import relays
    from almondshift.relay import context


class EndpointStreamRun(stream_run.StreamRun):
    """A request on a streaming route, to a service without layers.

    Events are passed on, and the stream is resumed, as with model engines. An
    endpoint has no reports, so only missing data shows that it hangs.
    """

    def __init__(
        self,
        routed: routed_requests.RoutedRequest,
        responder: relays.Responder,
        shared: context.RelayContext,
    ) -> None:
        super().__init__(routed, responder, shared)
        self.uses_path = False
        self.no_path_reason = "No endpoint of the service can accept it."
        self.silence_timer: asyncio.TimerHandle | None = None

    def choose_path(
        self, avoid: frozenset[str]
    ) -> path_choice.ChosenPath | None:
        """Returns an available endpoint that is not in ``avoid``."""
        shared = self.shared
        now = shared.clock.monotonic()
        usable = [
            endpoint
            for endpoint in self.entrances()
            if not endpoint.leaving
            and endpoint.instance not in avoid
            and not shared.tracker.is_suspect(endpoint.instance)
            and not shared.tracker.is_in_backoff(endpoint.instance, now)
        ]
        preferred = [
            endpoint
            for endpoint in usable
            if not shared.tracker.lacks_first_events(endpoint.instance, now)
        ]
        found = shared.endpoints.choose(preferred or usable, shared.zone, now)
        return None if found is None else self.create_path(found)

    def create_path(
        self, endpoint: registered_engines.RegisteredEngine
    ) -> path_choice.ChosenPath:
        """Returns a path of a single endpoint."""
        part = relayed.PathPart(endpoint.instance, endpoint.address, 0, 0)
        in_flight = self.shared.endpoints.record(endpoint.instance).in_flight
        return path_choice.ChosenPath(
            path=(part,),
            used=(),
            zone=endpoint.zone,
            cost_ms=0.0,
            load=float(in_flight),
            zone_changes=0,
            rooms=(),
        )

    def entrances(self) -> list[registered_engines.RegisteredEngine]:
        """Returns the endpoints of the service."""
        return self.shared.catalogue.of_service(self.routed.service)

    def create_forwarding(
        self, attempt: stream_attempt.StreamAttempt
    ) -> relayed.Forwarding:
        """Returns how an attempt forwards the request, without a path."""
        return dataclasses.replace(
            super().create_forwarding(attempt), path=(), priority=None
        )

    def send(self, chosen: path_choice.ChosenPath) -> None:
        """Sends the request to an endpoint."""
        super().send(chosen)
        if self.attempt is None:
            return
        self.shared.endpoints.started(self.attempt.first.instance)
        self.watch_silence()

    @guarded.ends_run_on_exception
    def watch_silence(self) -> None:
        """Leaves the endpoint once no data has arrived for some time."""
        attempt = self.attempt
        if attempt is None or self.is_ended:
            return
        limit_s = stream_attempt.LEAVE_SHARE * self.routed.route.abandon_after_s
        if self.loop.time() - attempt.active_at >= limit_s:
            self.resume_elsewhere("no data")
        if self.attempt is not None:
            self.silence_timer = self.loop.call_later(
                runs.LINKS_RETRY_S, self.watch_silence
            )

    def handle_failure(
        self, attempt: stream_attempt.StreamAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Repeats the request after a server error if that is allowed."""
        if (
            head.not_run
            or head.status < plain_run.SERVER_ERROR
            or not self.repeat_after_failure(attempt, head)
        ):
            super().handle_failure(attempt, head)

    def avoid_refusing_engine(
        self, attempt: stream_attempt.StreamAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Avoids an endpoint that did not run the request."""
        instance = attempt.first.instance
        self.failed_engines |= {instance}
        if head.status == 421:
            # The address now belongs to another endpoint.
            self.shared.tracker.suspect(
                instance,
                engine_tracker.Suspicion.GONE,
                self.shared.clock.monotonic(),
            )
            self.shared.crash_watch.endpoint_replaced(instance)

    def note_unreachable(self, instance: str) -> None:
        """Does nothing, as ``record_outcome`` has done so."""

    def release_attempt(self) -> None:
        """Drops the current attempt, and records how it went."""
        attempt = self.attempt
        if self.silence_timer is not None:
            self.silence_timer.cancel()
            self.silence_timer = None
        super().release_attempt()
        if attempt is not None:
            self.record_outcome(attempt)

    def record_outcome(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Records an attempt for the choice among endpoints."""
        endpoints = self.shared.endpoints
        instance = attempt.first.instance
        now = self.shared.clock.monotonic()
        if self.is_ended:
            endpoints.cancelled(instance)
        elif attempt.ending is path_engines.Ending.NOT_SENT:
            endpoints.missed(instance, now)
        elif (
            attempt.ending is path_engines.Ending.WHOLE
            and attempt.is_stream
            and attempt.first_event_at is not None
            and not attempt.splitter.partial
        ):
            seconds = attempt.first_event_at - attempt.sent_at
            endpoints.answered(instance, seconds, now)
        else:
            endpoints.failed(instance, now)
