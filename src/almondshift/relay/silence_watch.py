"""Detects stalled streams and the engine that causes the stall.

A request that depends on a dead engine stalls for seconds, while callers
disconnect after two. The stream itself does not show which engine it waits for,
but the first engine of its path reports it. Therefore unusual silence triggers
one query to that engine, for all streams through it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.model import relayed
from almondshift.policy import engine_tracker
from almondshift.relay import background
from almondshift.relay import engine_questions
from almondshift.relay import path_probe
from almondshift.relay import stream_moves

if TYPE_CHECKING:
    from almondshift.model import registered_engines
    from almondshift.relay import context

ENGINE_CHECK_INTERVAL_S = 0.1
"""Interval between checks of the states of all engines, in seconds; longer than
the interval for streams, since the cost grows with the fleet."""

SILENT_S = 0.25
"""Silence that triggers a query, in seconds; longer than the delay of reports,
which cannot show a stall sooner."""

FIRST_SILENT_S = 0.5
"""Silence before the first event that triggers a query, in seconds; longer, as
the prompt is prefilled."""

QUERY_GAP_S = 0.2
"""Minimum interval between queries to one engine, in seconds."""

REPORT_DELAY_S = 0.25
"""Time after which an engine's report no longer shows what was before, in
seconds."""

MAX_UNANSWERED = 2
"""Unanswered queries in a row after which an engine counts as lost; a single
one may be lost with its connection."""


class SilenceWatch:
    """Checks all streams of a node periodically.

    Attributes:
        moves: Moves streams off engines.
        queries: Queries engines for reports.
        probe: Finds dead engines behind silent streams.
        unanswered: Unanswered queries in a row, by instance.
        checking: Engines for which a first engine waits, while they are
            checked.
    """

    def __init__(self, shared: context.RelayContext) -> None:
        self.shared = shared
        self.work = background.Background()
        self.moves = stream_moves.StreamMoves(shared, self.work)
        self.queries = engine_questions.EngineQueries(
            shared, self.work, self.moves
        )
        self.probe = path_probe.PathProbe(
            shared, self.work, self.moves, self.queries
        )
        self.next_engine_check_at = 0.0
        self.queried_at: dict[str, float] = {}
        self.unanswered: dict[str, int] = {}
        self.checking: set[str] = set()

    async def start(self) -> None:
        """Starts to check streams and engines that peers report as dead."""
        self.shared.lost_engines.on_peer_report = self.check_reported
        self.shared.lost_engines.is_streaming = self.moves.is_streaming
        self.work.repeat(
            stream_moves.CHECK_INTERVAL_S,
            self.check_all,
            "check of silent streams failed",
        )

    async def close(self) -> None:
        """Stops the checks, and cancels queries and moves."""
        await self.work.close()

    def forget(self, instance: str) -> None:
        """Drops an engine that is gone."""
        self.queried_at.pop(instance, None)
        self.unanswered.pop(instance, None)
        self.queries.forget(instance)
        self.probe.forget(instance)

    def check_all(self) -> None:
        """Checks streams and engines, and starts queries and moves."""
        self.moves.record_check()
        self.probe.start_due_round(asyncio.get_running_loop().time())
        self.query_first_engines()
        self.moves.move_off_leaving()
        now = asyncio.get_running_loop().time()
        if now >= self.next_engine_check_at:
            self.next_engine_check_at = now + ENGINE_CHECK_INTERVAL_S
            self.queries.query_due()
            self.moves.leave_silent_engines()

    def check_reported(
        self, engine: registered_engines.RegisteredEngine, peer: str
    ) -> None:
        """Starts a check of an engine that a peer found dead."""
        if len(self.work) < engine_questions.MAX_QUERIES:
            self.work.run(self.check(engine, peer))

    async def check(
        self, engine: registered_engines.RegisteredEngine, peer: str
    ) -> None:
        """Checks an engine that a peer found dead, and logs the result."""
        part = relayed.PathPart(engine.instance, engine.address, 0, 0)
        probe_round = self.create_round()
        await probe_round.check(part, is_peer_report=True)
        self.shared.observer.emit(
            log_events.EndpointRechecked(
                engine.instance,
                peer,
                bool(probe_round.lost),
                round(probe_round.loop.time() - probe_round.started_at, 3),
            )
        )

    def query_first_engines(self) -> None:
        """Queries the first engines of silent streams."""
        now = asyncio.get_running_loop().time()
        for run in self.moves.streams():
            attempt = run.attempt
            if attempt is None or attempt.is_moving:
                continue
            limit = SILENT_S if run.events_sent else FIRST_SILENT_S
            if now - attempt.active_at < limit:
                continue
            first = attempt.first
            if now - self.queried_at.get(first.instance, -1.0) < QUERY_GAP_S:
                continue
            self.queried_at[first.instance] = now
            self.work.run(self.query_first_engine(first))

    async def query_first_engine(self, first: relayed.PathPart) -> None:
        """Queries an engine; ejects the engines that its streams wait for."""
        queried_at = asyncio.get_running_loop().time()
        report = await self.queries.report(first.instance, first.address)
        if report is None:
            if not self.queries.may_have_stalled(queried_at):
                self.count_unanswered(first)
            return
        self.unanswered.pop(first.instance, None)
        now = self.shared.clock.monotonic()
        self.shared.tracker.note_pace(first.instance, report.pace, now)
        addresses = {stalled.address for stalled in report.stalled}
        for address in addresses:
            engine = self.shared.catalogue.by_address(address)
            if engine is not None and engine.instance not in self.checking:
                self.checking.add(engine.instance)
                self.work.run(self.check_stalled(engine, first))
        if not addresses:
            self.queries.query_paces(self.engines_behind(first))

    async def check_stalled(
        self,
        engine: registered_engines.RegisteredEngine,
        first: relayed.PathPart,
    ) -> None:
        """Ejects an engine for which a first engine waits.

        One that responds to this node either has lost its link to the first
        engine, which then still waits a moment later, or has just continued
        after a pause, as reports are delayed.
        """
        try:
            part = relayed.PathPart(engine.instance, engine.address, 0, 0)
            probe_round = self.create_round()
            if not await probe_round.responds(part):
                reason = engine_tracker.Suspicion.UNREACHABLE
            elif await self.still_waits(first, engine.address):
                reason = engine_tracker.Suspicion.STALLED
            else:
                return
            self.moves.on_engine_lost(
                engine.instance, reason, engine_tracker.Evidence.SILENCE
            )
        finally:
            self.checking.discard(engine.instance)

    async def still_waits(self, first: relayed.PathPart, address: str) -> bool:
        """Returns whether a first engine reports again that it waits."""
        await asyncio.sleep(REPORT_DELAY_S)
        report = await self.queries.report(first.instance, first.address)
        return report is not None and any(
            stalled.address == address for stalled in report.stalled
        )

    def create_round(self) -> path_probe.ProbeRound:
        """Creates a round of queries."""
        return path_probe.ProbeRound(
            self.shared, self.work, self.queries, self.moves
        )

    def count_unanswered(self, first: relayed.PathPart) -> None:
        """Counts an unanswered query; ejects the engine after several."""
        count = self.unanswered.get(first.instance, 0) + 1
        self.unanswered[first.instance] = count
        if count >= MAX_UNANSWERED:
            self.unanswered.pop(first.instance, None)
            self.moves.on_engine_lost(
                first.instance,
                engine_tracker.Suspicion.UNREACHABLE,
                engine_tracker.Evidence.SILENCE,
            )

    def engines_behind(
        self, first: relayed.PathPart
    ) -> dict[str, relayed.PathPart]:
        """Returns the engines of silent streams that share a first engine."""
        now = asyncio.get_running_loop().time()
        parts: dict[str, relayed.PathPart] = {}
        for run in self.moves.streams():
            attempt = run.attempt
            if attempt is None or attempt.first.instance != first.instance:
                continue
            if now - attempt.active_at >= SILENT_S:
                parts.update({part.instance: part for part in attempt.path})
        return parts
