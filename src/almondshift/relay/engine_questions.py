"""Queries engines that are slow, nearly full or suspect.

Polling every engine from every node would dominate the traffic of a large
fleet, so queries are triggered by what requests observe.

A suspect engine gets no new work until it responds again. A suspect that is not
draining also counts as lost, as it seems dead. An engine is gone if its
instance certainly no longer runs.
"""

from __future__ import annotations

import asyncio
import logging
import math
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.policy import engine_tracker
from almondshift.policy import pooled_load

if TYPE_CHECKING:
    from almondshift.model import registered_engines
    from almondshift.model import relayed
    from almondshift.relay import background
    from almondshift.relay import context
    from almondshift.relay import stream_moves

REPORT_TIMEOUT_S = 0.3
"""Time-out of a query, in seconds; live engines respond within milliseconds."""

PACE_QUERY_GAP_S = 1.0
"""Minimum interval between queries for one engine's pace, in seconds."""

SLOW_ENGINE_QUERY_GAP_S = 2.0
"""Minimum interval between queries to an engine that is known to be slow, in
seconds; half the validity of its report."""

MEMORY_QUERY_GAP_S = 0.5
"""Minimum interval between queries for one engine's memory use, in seconds;
half the validity of its report."""

MAX_QUERIES = 24
"""Number of concurrent background tasks, queries and moves together, at which
no more memory queries are started and peers' reports of dead engines are
ignored."""


logger = logging.getLogger(__name__)


class EngineQueries:
    """Queries engines and records their reports."""

    def __init__(
        self,
        shared: context.RelayContext,
        work: background.Background,
        moves: stream_moves.StreamMoves,
    ) -> None:
        self.shared = shared
        self.work = work
        self.moves = moves
        self.pace_queried_at: dict[str, float] = {}
        self.memory_queried_at: dict[str, float] = {}

    def forget(self, instance: str) -> None:
        """Drops an engine that is gone."""
        self.pace_queried_at.pop(instance, None)
        self.memory_queried_at.pop(instance, None)

    async def report(
        self, instance: str, address: str, timeout_s: float = REPORT_TIMEOUT_S
    ) -> relayed.EngineReport | None:
        """Returns an engine's report; None if this instance does not respond.

        The address may already belong to a newer instance that the registry
        does not list yet. If its report were attributed to this instance, the
        restart would go unnoticed and streams would wait for an engine that no
        longer runs them.
        """
        report = await self.shared.engines.report(address, timeout_s)
        if report is None:
            return None
        self.shared.link.note(asyncio.get_running_loop().time())
        known = self.shared.catalogue.engines.get(instance)
        if known is None:
            return report
        if report.born_ms in (0, known.born_ms):
            self.shared.tracker.note_alive(instance)
            return report
        if known.born_ms < report.born_ms and not self.shared.tracker.is_lost(
            instance
        ):
            log_events.emit(
                logger, log_events.EndpointRestarted(instance, "report")
            )
            self.moves.on_engine_lost(
                instance,
                engine_tracker.Suspicion.GONE,
                engine_tracker.Evidence.SILENCE,
            )
        return None

    def query_paces(self, parts: dict[str, relayed.PathPart]) -> None:
        """Queries the pace of the engines behind silent streams."""
        for instance, part in parts.items():
            self.query_pace(instance, part.address, PACE_QUERY_GAP_S)

    def query_due(self) -> None:
        """Queries slow, nearly full and suspect engines that are due."""
        now = self.shared.clock.monotonic()
        for instance in self.shared.tracker.slow_engines(now):
            engine = self.shared.catalogue.engines.get(instance)
            if engine is not None:
                self.query_pace(
                    instance, engine.address, SLOW_ENGINE_QUERY_GAP_S
                )
        self.query_nearly_full()
        self.query_suspects(now)

    def query_pace(self, instance: str, address: str, gap_s: float) -> None:
        """Queries one engine's pace, at most once in ``gap_s``."""
        now = asyncio.get_running_loop().time()
        if now - self.pace_queried_at.get(instance, -gap_s) < gap_s:
            return
        self.pace_queried_at[instance] = now
        self.work.run(self.record_pace(instance, address))

    async def record_pace(self, instance: str, address: str) -> None:
        """Records an engine's pace; moves streams off it if it became slow."""
        report = await self.report(instance, address)
        if report is None:
            return
        now = self.shared.clock.monotonic()
        was_slow = self.shared.tracker.is_slow(instance, now)
        self.shared.tracker.note_pace(instance, report.pace, now)
        if self.shared.tracker.is_slow(instance, now) and not was_slow:
            self.moves.on_engine_slow(instance, report.pace)

    def query_nearly_full(self) -> None:
        """Queries the memory use of engines that seem nearly full."""
        now = asyncio.get_running_loop().time()
        gap_s = MEMORY_QUERY_GAP_S * pooled_load.query_interval_factor(
            self.shared.paths.nodes
        )
        nearly_full = list(self.shared.paths.nearly_full.items())
        self.shared.paths.nearly_full.clear()
        for instance, address in nearly_full:
            if len(self.work) >= MAX_QUERIES:
                return
            if now - self.memory_queried_at.get(instance, -math.inf) < gap_s:
                continue
            self.memory_queried_at[instance] = now
            self.work.run(self.record_memory_use(instance, address))

    async def record_memory_use(self, instance: str, address: str) -> None:
        """Records an engine's memory use."""
        report = await self.report(instance, address)
        retried_at = asyncio.get_running_loop().time()
        if report is None:
            # Retried at once: the connection alone may have failed.
            report = await self.report(instance, address)
        if report is None and self.may_have_stalled(retried_at):
            return
        if report is None:
            self.moves.on_engine_lost(
                instance,
                engine_tracker.Suspicion.UNREACHABLE,
                engine_tracker.Evidence.MEMORY_QUERY,
            )
            return
        now = self.shared.clock.monotonic()
        self.shared.tracker.note_used(instance, report.used, now)
        self.shared.tracker.note_pace(instance, report.pace, now)

    def may_have_stalled(self, queried_at: float) -> bool:
        """Returns whether a query may be unanswered for this node's reasons.

        Refused connections fail before the time-out and are conclusive.

        Args:
            queried_at: Loop time at which the query was sent.
        """
        now = asyncio.get_running_loop().time()
        if now - queried_at < REPORT_TIMEOUT_S:
            return False
        return not self.shared.link.is_active_since(queried_at, now)

    def query_suspects(self, now: float) -> None:
        """Queries the suspect engines that are due for it.

        None of a service that this node is isolated from, since their return
        is noticed by other means.
        """
        for instance in self.shared.tracker.due_for_query(now):
            engine = self.shared.catalogue.engines.get(instance)
            if engine is None:
                self.shared.tracker.forget(instance)
                continue
            if self.shared.links.is_isolated(engine.service):
                continue
            state = self.shared.tracker.state(instance)
            is_draining = state.reason is engine_tracker.Suspicion.DRAINING
            gap_s = self.shared.tracker.query_gap_s(instance, now)
            state.suspect_until = now + gap_s
            self.work.run(self.query_suspect(engine, is_draining))

    async def query_suspect(
        self, engine: registered_engines.RegisteredEngine, is_draining: bool
    ) -> None:
        """Clears a suspicion if the engine responds to a query.

        For a draining engine its health check decides instead.
        """
        if is_draining:
            is_back = await self.shared.refusing_engines.is_healthy(engine)
        else:
            is_back = await self.answers(engine)
        if is_back:
            self.shared.lost_engines.restore(engine.instance)

    async def answers(
        self, engine: registered_engines.RegisteredEngine
    ) -> bool:
        """Queries a suspect engine, and records that it stays silent."""
        report = await self.report(engine.instance, engine.address)
        if report is not None:
            return True
        now = self.shared.clock.monotonic()
        self.shared.tracker.note_silent(engine.instance, now)
        return False
