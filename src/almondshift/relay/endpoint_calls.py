"""Passes on what calls to endpoints show."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.ports import path_engines

if TYPE_CHECKING:
    from almondshift.model import endpoint_notices
    from almondshift.model import rate_limits
    from almondshift.policy import engine_tracker
    from almondshift.policy import isolation
    from almondshift.ports import clocks
    from almondshift.relay import catalogue
    from almondshift.relay import endpoint_limits
    from almondshift.relay import observer
    from almondshift.relay import refusing_engines


class EndpointCalls(path_engines.CallObserver):
    """Observes all calls of a node to endpoints."""

    def __init__(
        self,
        limits: endpoint_limits.EndpointLimits,
        registry: catalogue.Catalogue,
        tracker: engine_tracker.EngineTracker,
        refusing: refusing_engines.RefusingEngines,
        links: isolation.ServiceLinks,
        relay_observer: observer.RelayObserver,
        clock: clocks.Clock,
    ) -> None:
        self.limits = limits
        self.catalogue = registry
        self.tracker = tracker
        self.refusing_engines = refusing
        self.clock = clock
        self.links = links
        self.observer = relay_observer

    def on_call(self, purpose: rate_limits.CallPurpose, address: str) -> None:
        """Counts a call, also against the endpoint's limit."""
        self.observer.endpoint_calls.labels(purpose.value).inc()
        self.limits.on_call(purpose, address)

    def on_response(self, address: str) -> None:
        """Records that an endpoint was reached."""
        engine = self.catalogue.by_address(address)
        if engine is not None:
            now = asyncio.get_running_loop().time()
            self.links.of(engine.service).note_response(now)

    def on_limit(self, notice: rate_limits.LimitNotice) -> None:
        """Records what a response says about its endpoint's limit."""
        self.limits.on_limit(notice)

    def on_notice(self, notice: endpoint_notices.EndpointNotice) -> None:
        """Records what an endpoint says of itself."""
        instance = notice.instance or self.limits.instance_at(notice.address)
        if not instance:
            return
        self.note_backoff(instance, notice.backoff_s)
        if notice.is_leaving:
            self.refusing_engines.note_leaving(instance)

    def note_backoff(self, instance: str, backoff_s: float) -> None:
        """Records for how long an endpoint asks for no requests."""
        if backoff_s <= 0:
            return
        now = self.clock.monotonic()
        was_in_backoff = self.tracker.is_in_backoff(instance, now)
        self.tracker.note_backoff(instance, backoff_s, now)
        if not was_in_backoff:
            self.observer.emit(log_events.EndpointBackoff(instance, backoff_s))
