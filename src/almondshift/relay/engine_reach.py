"""Detects services of which this node reaches no endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.policy import isolation
from almondshift.relay import background
from almondshift.relay import runs

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import registered_engines
    from almondshift.relay import context

CHECK_INTERVAL_S = 0.05
CHECKED_ENDPOINTS = 4
"""Number of random endpoints that are queried in a round."""

IDLE_CHECKED_ENDPOINTS = 2
"""Number of endpoints that an idle node queries; if none responds, more follow
at once."""

QUERY_TIMEOUT_S = 0.12
"""Time-out of a query, in seconds; live endpoints in the region respond within
milliseconds."""

CONNECT_TIMEOUT_S = 0.5
"""Time-out of a connection that is opened to check the link, in seconds; that
of connections for requests."""

CONNECT_TRIES = 2
"""Number of times that connections are opened before a link counts as lost. The
queues of several busy endpoints may be full at once, but not for long."""


class EngineReach:
    """Checks the links to endpoints when they seem to fail.

    Attributes:
        checking: Services that are being checked.
        connecting: Services to whose endpoints connections are being opened.
        on_isolated: Called with a service of which this node has lost all
            endpoints.
        on_restored: Called with a service when an endpoint responds again.
    """

    def __init__(self, shared: context.RelayContext) -> None:
        self.shared = shared
        self.work = background.Background()
        self.checking: set[str] = set()
        self.connecting: set[str] = set()
        self.on_isolated: Callable[[str], None] = lambda service: None
        self.on_restored: Callable[[str], None] = lambda service: None
        shared.links.judged_by = self.judged_by

    async def start(self) -> None:
        """Starts to watch the links."""
        self.work.repeat(
            CHECK_INTERVAL_S, self.check_if_due, "check of links failed"
        )

    async def close(self) -> None:
        """Stops checks."""
        await self.work.close()

    def check_if_due(self) -> None:
        """Checks each service whose links seem to fail."""
        now = asyncio.get_running_loop().time()
        waiting = self.waiting_since()
        services = self.services()
        self.want_check_if_idle(services, now)
        self.want_checks_of_others(services, now)
        for service, links in services.items():
            waiting_since = waiting.get(service)
            reason = links.check_reason(waiting_since, now)
            if not self.can_query(service):
                self.infer_state(service, links, waiting_since, reason)
            elif service not in self.checking and reason is not None:
                self.start_check(service, links, waiting_since, reason)

    def services(self) -> dict[str, isolation.Isolation]:
        """Returns the links of all services, with or without requests."""
        links = self.shared.links
        config = self.shared.catalogue.config
        for name in config.services if config is not None else ():
            links.of(name)
        return links.by_service

    def want_check_if_idle(
        self, services: dict[str, isolation.Isolation], now: float
    ) -> None:
        """Checks one service if no endpoint of any has sent data lately.

        A node without requests would learn of lost links only from its next
        callers, and its peers would pass theirs to it. One service will do, as
        links are lost together, and the others are checked if it is silent.
        """
        if any(
            now - max(links.last_response_at, links.checked_at)
            < isolation.IDLE_S
            for links in services.values()
        ):
            return
        candidates = [
            name
            for name in services
            if self.can_query(name) and self.idle_sample(name)
        ]
        if not candidates:
            return
        links = services[max(candidates, key=self.idle_rank)]
        if not links.is_isolated and links.is_check_due(now):
            links.want_check(now, isolation.CheckReason.IDLE)

    def idle_rank(self, service: str) -> tuple[bool, int]:
        """Returns by how much a service's endpoints bear queries best.

        An engine's report needs no slot, unlike a plain endpoint's health
        check; more endpoints share the queries.
        """
        catalogue = self.shared.catalogue
        has_reports = catalogue.view(service) is not None
        return has_reports, len(catalogue.of_service(service))

    def idle_sample(
        self, service: str
    ) -> list[registered_engines.RegisteredEngine]:
        """Returns random endpoints that may be queried without a need."""
        shared = self.shared
        now = shared.clock.monotonic()
        usable = [
            endpoint
            for endpoint in shared.catalogue.of_service(service)
            if not endpoint.leaving
            and not shared.tracker.is_suspect(endpoint.instance)
            and not shared.tracker.is_in_backoff(endpoint.instance, now)
            and not shared.limits.is_limited(endpoint.instance)
        ]
        count = min(IDLE_CHECKED_ENDPOINTS, len(usable))
        return shared.rng.sample(usable, count)

    def want_checks_of_others(
        self, services: dict[str, isolation.Isolation], now: float
    ) -> None:
        """Checks the other services if one can't be reached."""
        if not any(links.is_isolated for links in services.values()):
            return
        for name, links in services.items():
            if not links.is_isolated and self.can_query(name):
                links.want_check_if_silent(
                    now, isolation.CheckReason.OTHER_SERVICE
                )

    def waiting_since(self) -> dict[str, float]:
        """Returns since when requests have had no data, by service.

        For each service, that of the request that has waited longest.
        """
        waiting: dict[str, float] = {}
        for run in self.shared.running:
            if isinstance(run, runs.Run) and run.waiting_since is not None:
                service = run.routed.service
                known = waiting.get(service, run.waiting_since)
                waiting[service] = min(known, run.waiting_since)
        return waiting

    def start_check(
        self,
        service: str,
        links: isolation.Isolation,
        waiting_since: float | None,
        reason: isolation.CheckReason,
    ) -> None:
        """Starts a round if the service has endpoints."""
        endpoints = [
            endpoint
            for endpoint in self.shared.catalogue.of_service(service)
            if not endpoint.leaving
        ]
        links.endpoints = len(endpoints)
        if endpoints:
            now = asyncio.get_running_loop().time()
            links.begin_round(waiting_since, now, reason)
            self.checking.add(service)
            queried = self.sample(service, endpoints, reason)
            self.work.run(self.check(service, links, endpoints, queried))

    def sample(
        self,
        service: str,
        endpoints: list[registered_engines.RegisteredEngine],
        reason: isolation.CheckReason,
    ) -> list[registered_engines.RegisteredEngine]:
        """Returns the endpoints that are queried in a round."""
        if reason is isolation.CheckReason.IDLE:
            queried = self.idle_sample(service)
            if queried:
                return queried
        count = min(CHECKED_ENDPOINTS, len(endpoints))
        return self.shared.rng.sample(endpoints, count)

    def infer_state(
        self,
        service: str,
        links: isolation.Isolation,
        waiting_since: float | None,
        reason: isolation.CheckReason | None,
    ) -> None:
        """Updates the state of a service whose endpoints can't be queried.

        A node that is isolated from all other services has lost its links, so
        it is isolated from this one too, unless data arrives. If no request
        waits for this service, the endpoints of the others may be at fault
        instead. Then no peer reaches them either.

        Args:
            service: The service.
            links: Its links.
            waiting_since: As for ``check_reason``.
            reason: Why the links should be checked; None if they need not.
        """
        if reason is None and links.is_isolated:
            return
        now = asyncio.get_running_loop().time()
        others = self.queried_services()
        if reason is not None:
            for state in others.values():
                state.want_check_if_silent(
                    now, isolation.CheckReason.OTHER_SERVICE
                )
        isolated_since = links.isolated_since
        is_lost = bool(others) and all(o.is_isolated for o in others.values())
        if is_lost and (reason is None or links.is_assumed):
            is_lost = all(
                state.has_heard_peers(now) and self.is_reached_by_peers(name)
                for name, state in others.items()
            )
        cause = reason or isolation.CheckReason.OTHER_SERVICE
        if links.infer(is_lost, waiting_since, now, cause):
            links.endpoints = len(self.shared.catalogue.of_service(service))
            self.report_change(service, links, isolated_since)

    def queried_services(self) -> dict[str, isolation.Isolation]:
        """Returns the links of the services whose endpoints can be queried."""
        return {
            name: state
            for name, state in self.shared.links.by_service.items()
            if self.can_query(name) and self.shared.catalogue.of_service(name)
        }

    def judged_by(self, service: str) -> list[isolation.Isolation]:
        """Returns the states that are checked to judge a service's links."""
        if self.can_query(service):
            return [self.shared.links.of(service)]
        return list(self.queried_services().values())

    def is_reached_by_peers(self, service: str) -> bool:
        """Returns whether a peer probably reaches a service."""
        return self.shared.peer_paths.choose(service, frozenset()) is not None

    async def check(
        self,
        service: str,
        links: isolation.Isolation,
        endpoints: list[registered_engines.RegisteredEngine],
        queried: list[registered_engines.RegisteredEngine],
    ) -> None:
        """Queries some endpoints of a service; updates the state.

        A round that ends late counts too: time-outs expire only after what has
        arrived in the meantime was read. Otherwise a node that is always late
        would never learn that it is isolated.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            await asyncio.gather(*(self.query(e) for e in queried))
        finally:
            self.checking.discard(service)
        now = loop.time()
        isolated_since = links.isolated_since
        changed = links.end_round(started_at, now)
        self.record_round(service, links, len(queried), started_at)
        if links.failed_rounds == 1 and service not in self.connecting:
            self.connecting.add(service)
            self.work.run(self.check_connections(service, links, endpoints))
        if changed:
            self.report_change(service, links, isolated_since)
        elif not links.is_isolated:
            self.check_if_due()

    def record_round(
        self,
        service: str,
        links: isolation.Isolation,
        queried: int,
        started_at: float,
    ) -> None:
        """Counts a round, and logs it if a node that isn't isolated is silent.

        An isolated node logs its isolation and its end.
        """
        if links.last_response_at >= started_at:
            self.shared.observer.link_checks.labels("responded").inc()
            return
        self.shared.observer.link_checks.labels("silent").inc()
        if links.failed_rounds > isolation.ROUNDS:
            return
        took_s = asyncio.get_running_loop().time() - started_at
        self.shared.observer.emit(
            log_events.EndpointsSilent(
                service,
                queried,
                round(took_s, 3),
                round(max(0.0, took_s - QUERY_TIMEOUT_S), 3),
                links.failed_rounds,
            )
        )

    async def check_connections(
        self,
        service: str,
        links: isolation.Isolation,
        endpoints: list[registered_engines.RegisteredEngine],
    ) -> None:
        """Opens connections to endpoints; records if none is accepted.

        Each try prefers endpoints that were not asked yet and are not
        suspected: one that was suspended for a while accepts no more
        connections once its queue is full.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        asked: set[str] = set()
        accepted: list[bool | None] = []
        try:
            for _ in range(CONNECT_TRIES):
                sample = self.choose_to_connect(endpoints, asked)
                asked.update(endpoint.instance for endpoint in sample)
                accepted += await asyncio.gather(
                    *(self.accepts_connection(e) for e in sample)
                )
                if any(accepted):
                    break
        finally:
            self.connecting.discard(service)
        self.shared.observer.emit(
            log_events.ConnectionsChecked(
                service,
                accepted.count(True),
                accepted.count(False),
                accepted.count(None),
            )
        )
        if not any(accepted):
            links.note_no_connection(started_at, loop.time())

    def choose_to_connect(
        self,
        endpoints: list[registered_engines.RegisteredEngine],
        asked: set[str],
    ) -> list[registered_engines.RegisteredEngine]:
        """Returns the endpoints to which connections are opened next."""
        tracker = self.shared.tracker
        shuffled = self.shared.rng.sample(endpoints, len(endpoints))
        shuffled.sort(
            key=lambda endpoint: (
                endpoint.instance in asked,
                tracker.is_suspect(endpoint.instance),
            )
        )
        return shuffled[:CHECKED_ENDPOINTS]

    async def accepts_connection(
        self, endpoint: registered_engines.RegisteredEngine
    ) -> bool | None:
        """Returns whether an endpoint accepts connections; None if unknown."""
        return await self.shared.engines.is_listening(
            endpoint.address, CONNECT_TIMEOUT_S
        )

    def can_query(self, service: str) -> bool:
        """Returns whether endpoints answer reports or health checks."""
        return (
            self.shared.catalogue.view(service) is not None
            or self.health_path(service) != ""
        )

    def health_path(self, service: str) -> str:
        """Returns the path of a service's health check; "" for none."""
        config = self.shared.catalogue.config
        found = config.services.get(service) if config else None
        return found.health_path if found is not None else ""

    async def query(
        self, endpoint: registered_engines.RegisteredEngine
    ) -> None:
        """Queries an endpoint; any response shows that the link works.

        An engine's report needs no slot, unlike a plain endpoint's health
        check.
        """
        if self.shared.catalogue.view(endpoint.service) is not None:
            await self.shared.engines.report(endpoint.address, QUERY_TIMEOUT_S)
            return
        await self.shared.engines.is_healthy(
            endpoint.address,
            self.health_path(endpoint.service),
            QUERY_TIMEOUT_S,
        )

    def report_change(
        self,
        service: str,
        links: isolation.Isolation,
        isolated_since: float | None,
    ) -> None:
        """Logs that the node is isolated from a service or no longer is."""
        states = self.shared.links.by_service.values()
        isolated = sum(state.is_isolated for state in states)
        self.shared.observer.isolated.set(isolated)
        if links.is_isolated:
            self.shared.observer.emit(
                log_events.EndpointsUnreachable(
                    service,
                    links.endpoints,
                    links.suspected_for.value,
                    rounded(links.silent_s(links.checked_at)),
                )
            )
            self.on_isolated(service)
            return
        seconds = links.checked_at - (isolated_since or links.checked_at)
        cut = links.latest_cut
        was_cut_off = cut is not None and cut.ended_at == links.checked_at
        self.shared.observer.emit(
            log_events.EndpointsReachable(
                service, round(seconds, 3), was_cut_off
            )
        )
        self.on_restored(service)


def rounded(seconds: float | None) -> float | None:
    """Returns seconds as they are logged."""
    return None if seconds is None else round(seconds, 3)
