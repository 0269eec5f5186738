"""Detects that this node reaches no endpoint, or few of a service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.relay import background
from almondshift.relay import runs

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import registered_engines
    from almondshift.relay import context

CHECK_INTERVAL_S = 0.05
CHECKED_ENDPOINTS = 4
"""Number of random endpoints that are queried in a round."""

QUERY_TIMEOUT_S = 0.12
"""Time-out of a query, in seconds; live endpoints in the region respond within
milliseconds."""

MAX_OVERRUN_S = 0.04
"""Maximum overrun of a round's time-out, in seconds. Beyond it the result is
discarded, as this process was not scheduled."""


class EngineReach:
    """Checks the links to endpoints when they seem to fail.

    Attributes:
        state: The evidence, on the event loop's clock.
        on_isolated: Called when this node has lost all endpoints.
        on_restored: Called when an endpoint responds again.
    """

    def __init__(self, shared: context.RelayContext) -> None:
        self.shared = shared
        self.state = shared.isolation
        self.work = background.Background()
        self.is_checking = False
        self.on_isolated: Callable[[], None] = lambda: None
        self.on_restored: Callable[[], None] = lambda: None

    async def start(self) -> None:
        """Starts to watch the links."""
        self.work.repeat(
            CHECK_INTERVAL_S, self.check_if_due, "check of links failed"
        )

    async def close(self) -> None:
        """Stops checks."""
        await self.work.close()

    def check_if_due(self) -> None:
        """Starts a round if the links seem to fail."""
        now = asyncio.get_running_loop().time()
        if not self.shared.catalogue.engines:
            return
        if not self.is_checking and self.state.needs_check(
            self.waiting_since(), now
        ):
            self.is_checking = True
            self.work.run(self.check())

    def waiting_since(self) -> float | None:
        """Returns since when the longest waiting request has had no data."""
        waits = [
            run.waiting_since
            for run in self.shared.running
            if isinstance(run, runs.Run) and run.waiting_since is not None
        ]
        return min(waits, default=None)

    async def check(self) -> None:
        """Queries random endpoints; updates the state."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            await asyncio.gather(*(self.query(e) for e in self.sample()))
        finally:
            self.is_checking = False
        now = loop.time()
        is_late = now - started_at > QUERY_TIMEOUT_S + MAX_OVERRUN_S
        if is_late and self.state.last_response_at < started_at:
            return
        if self.state.end_round(started_at, now):
            self.report_change()

    def sample(self) -> list[registered_engines.RegisteredEngine]:
        """Returns random endpoints; engines, if there are any.

        Their reports need no slot, unlike health checks of plain endpoints.
        """
        endpoints = [
            e for e in self.shared.catalogue.engines.values() if not e.leaving
        ]
        engines = [e for e in endpoints if self.is_engine(e)]
        candidates = engines or endpoints
        count = min(CHECKED_ENDPOINTS, len(candidates))
        return self.shared.rng.sample(candidates, count)

    def is_engine(self, endpoint: registered_engines.RegisteredEngine) -> bool:
        """Returns whether an endpoint holds layers of a model."""
        return self.shared.catalogue.view(endpoint.service) is not None

    async def query(
        self, endpoint: registered_engines.RegisteredEngine
    ) -> None:
        """Queries an endpoint; any response shows that the link works."""
        if self.is_engine(endpoint):
            await self.shared.engines.report(endpoint.address, QUERY_TIMEOUT_S)
            return
        config = self.shared.catalogue.config
        service = config.services.get(endpoint.service) if config else None
        if service is not None:
            await self.shared.engines.is_healthy(
                endpoint.address, service.health_path, QUERY_TIMEOUT_S
            )

    def report_change(self) -> None:
        """Logs that the node is isolated or no longer is."""
        is_isolated = self.state.is_isolated
        self.shared.observer.isolated.set(1 if is_isolated else 0)
        self.shared.observer.emit(
            log_events.EndpointsUnreachable(len(self.shared.catalogue.engines))
            if is_isolated
            else log_events.EndpointsReachable(
                len(self.shared.catalogue.engines)
            )
        )
        (self.on_isolated if is_isolated else self.on_restored)()
