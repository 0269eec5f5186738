"""Finds the dead engine behind silent streams before event gaps grow too long.

A stream stalls if an engine on its path dies. The first engine reports which
engine it waits for, but its reports are 200 ms old, and a gap of 200 ms between
events is already too long for callers. Therefore, as soon as streams are silent
for a few times their usual interval, all engines on their paths are queried at
once. A crashed engine refuses the connection; one that lost power or its
network does not respond, while the others respond within milliseconds.

A query may be lost, and this process may not have been scheduled. An engine
counts as dead only if two overlapping queries fail, this node has just heard
from another engine, and this process had the time to read a response. With a
packet loss of one in forty, both queries are lost in one round in 1,600.

If this node received no data for a while during the queries, its own link or
process may have stalled. The engine is then queried again, along with another
engine. Another round would start only after the engine's backoff, and callers
would wait several times as long as the stall. If that shows no better, the
engine stays in service, unless the other one responded in each try: a process
that is always late would never find a dead engine.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from almondshift.model import relayed
from almondshift.policy import engine_tracker
from almondshift.policy import pooled_load
from almondshift.policy import probe_timing

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import registered_engines
    from almondshift.relay import background
    from almondshift.relay import context
    from almondshift.relay import engine_questions
    from almondshift.relay import stream_moves
    from almondshift.relay import stream_run

QUERY_TIMEOUT_S = 0.05
"""Time-out of a query, in seconds; live engines in the region respond within
milliseconds."""

SECOND_QUERY_S = 0.02
"""Time after which a second query is sent while the first one is pending, in
seconds."""

PROMPT_RESPONSE_S = 0.02
"""Maximum time of a response that shows that this node's own link works, in
seconds."""

AFTER_STALL_S = 0.2
"""Time after a stall of the link during which queries may still be late, as
they wait behind the data that has piled up, in seconds."""

MAX_OVERRUN_S = 0.04
"""Overrun of the time-outs, in seconds, beyond which this process was not
scheduled. Responses count as missing only if it has been scheduled for
``PROMPT_RESPONSE_S`` since."""

MAX_TRIES = 3
"""Number of times that a round queries an engine while stalls of this node's
link or process leave open whether it responds."""


class PathProbe:
    """Queries the engines behind silent streams.

    Attributes:
        backoffs: When engines may be probed again, by instance.
    """

    def __init__(
        self,
        shared: context.RelayContext,
        work: background.Background,
        moves: stream_moves.StreamMoves,
        queries: engine_questions.EngineQueries,
    ) -> None:
        self.shared = shared
        self.work = work
        self.moves = moves
        self.queries = queries
        self.backoffs: dict[str, probe_timing.ProbeBackoff] = {}

    def start_due_round(self, now: float) -> None:
        """Starts a round if streams are silent and an engine is due.

        Backoff is per engine: a stream that waits for a busy engine must not
        delay the probe of another stream's dead engine. A round queries all
        engines behind silent streams, since those that respond show that this
        node's own link works.
        """
        parts = self.silent_parts(self.moves.streams(), now)
        due = [b for b in map(self.backoff, parts) if b.is_due(now)]
        if not due:
            return
        factor = pooled_load.query_interval_factor(self.shared.paths.nodes)
        for backoff in due:
            backoff.note_probe(now, factor)
        self.work.run(self.probe(parts))

    def backoff(self, instance: str) -> probe_timing.ProbeBackoff:
        """Returns the backoff of an engine."""
        return self.backoffs.setdefault(instance, probe_timing.ProbeBackoff())

    def forget(self, instance: str) -> None:
        """Drops an engine that is gone."""
        self.backoffs.pop(instance, None)

    def silent_parts(
        self, streams: Iterable[stream_run.StreamRun], now: float
    ) -> dict[str, relayed.PathPart]:
        """Returns the engines behind silent streams, by instance.

        Skips engines that another stream shows to be alive: most gaps concern
        a single stream and start no query. Live engines are collected only if
        some stream is silent, since the check runs 50 times a second and
        collecting them would be the largest cost of streams besides forwarding
        their events.
        """
        not_moving = [
            (run, attempt)
            for run in streams
            if (attempt := run.attempt) is not None and not attempt.is_moving
        ]
        silent = [
            (run, attempt)
            for run, attempt in not_moving
            if now - attempt.active_at >= probe_timing.MIN_SILENT_S
            and now - attempt.active_at >= silence_limit_s(run)
        ]
        if not silent:
            return {}
        silent_runs = {run for run, _ in silent}
        alive = {
            part.instance
            for run, attempt in not_moving
            if run.events_sent and run not in silent_runs
            for part in attempt.path
        }
        return {
            part.instance: part
            for _, attempt in silent
            for part in attempt.path
            if part.instance not in alive
            and not self.shared.tracker.is_lost(part.instance)
        }

    async def probe(self, parts: dict[str, relayed.PathPart]) -> None:
        """Runs a round over some engines."""
        probe_round = ProbeRound(
            self.shared, self.work, self.queries, self.moves
        )
        await probe_round.run(list(parts.values()))


class ProbeRound:
    """One round of queries.

    Attributes:
        any_responded: Set once any engine has responded.
        responses: Loop times at which engines responded.
        lost: Instances that were found dead.
    """

    def __init__(
        self,
        shared: context.RelayContext,
        work: background.Background,
        queries: engine_questions.EngineQueries,
        moves: stream_moves.StreamMoves,
    ) -> None:
        self.shared = shared
        self.work = work
        self.queries = queries
        self.moves = moves
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.any_responded = asyncio.Event()
        self.responses: list[float] = []
        self.lost: list[str] = []

    async def run(self, parts: list[relayed.PathPart]) -> None:
        """Checks all engines concurrently."""
        await asyncio.gather(*(self.check(part) for part in parts))

    async def check(
        self, part: relayed.PathPart, is_peer_report: bool = False
    ) -> None:
        """Checks one engine and moves streams off it if it is dead.

        A refused connection is known within milliseconds, so the streams of
        that engine do not wait for the responses of the others.

        Args:
            part: The engine.
            is_peer_report: Whether another node found it dead too. Then a
                refused connection is enough; no other engine has to respond.
        """
        references: list[str] = []
        for number in range(MAX_TRIES):
            started_at = self.loop.time()
            if number:
                self.query_reference(part, references)
            if await self.responds(part):
                return
            responses = self.responses if number else ()
            if self.may_have_stalled(started_at, responses):
                continue
            if not is_peer_report and not await self.is_own_link_up():
                return
            if self.had_time_to_read(started_at):
                break
        else:
            if len(references) < MAX_TRIES - 1:
                return
        self.moves.on_engine_lost(
            part.instance,
            engine_tracker.Suspicion.UNREACHABLE,
            engine_tracker.Evidence.PEER
            if is_peer_report
            else engine_tracker.Evidence.PROBE,
        )
        if self.shared.tracker.is_lost(part.instance):
            self.lost.append(part.instance)

    def had_time_to_read(self, started_at: float) -> bool:
        """Returns whether this process would have read a response by now.

        Args:
            started_at: Loop time of the first query.
        """
        # The second query and the wait for another engine each take up to
        # ``QUERY_TIMEOUT_S``.
        limit_s = SECOND_QUERY_S + 2 * QUERY_TIMEOUT_S + MAX_OVERRUN_S
        if self.loop.time() - started_at <= limit_s:
            return True
        return self.moves.scheduled_s() >= PROMPT_RESPONSE_S

    def query_reference(
        self, part: relayed.PathPart, responded: list[str]
    ) -> None:
        """Queries another engine, whose response shows that the link works.

        Args:
            part: The engine that is checked.
            responded: Gets the other one's instance once it responds.
        """
        catalogue = self.shared.catalogue
        queried = catalogue.engines.get(part.instance)
        if queried is None:
            return
        others = [
            engine
            for engine in catalogue.of_service(queried.service)
            if engine is not queried
            and not self.shared.tracker.is_suspect(engine.instance)
        ]
        if others:
            other = self.shared.rng.choice(others)
            self.work.run(self.note_response(other, responded))

    async def note_response(
        self,
        engine: registered_engines.RegisteredEngine,
        responded: list[str],
    ) -> None:
        """Queries an engine; a response counts as evidence of the link."""
        part = relayed.PathPart(engine.instance, engine.address, 0, 0)
        if await self.responds(part):
            responded.append(engine.instance)

    def may_have_stalled(
        self, started_at: float, responses: Iterable[float] = ()
    ) -> bool:
        """Returns whether queries may have timed out for this node's reasons.

        Refused connections fail before the time-out and are conclusive.

        Args:
            started_at: Loop time of the first query.
            responses: Loop times of responses by other engines. Prompt ones
                show that the link works; after a stall they trickle in.
        """
        now = self.loop.time()
        if now - started_at < QUERY_TIMEOUT_S:
            return False
        if self.shared.link.is_active_since(started_at - AFTER_STALL_S, now):
            return False
        return not any(
            started_at <= at <= started_at + PROMPT_RESPONSE_S
            for at in responses
        )

    async def responds(self, part: relayed.PathPart) -> bool:
        """Returns whether an engine responds to either of two queries."""
        if not await self.query_twice(part):
            return False
        self.any_responded.set()
        self.responses.append(self.loop.time())
        return True

    async def query_twice(self, part: relayed.PathPart) -> bool:
        """Sends two overlapping queries; returns whether one is answered."""
        pending = {asyncio.ensure_future(self.query(part))}
        try:
            done, _ = await asyncio.wait(pending, timeout=SECOND_QUERY_S)
            if any(query.result() for query in done):
                return True
            pending.add(asyncio.ensure_future(self.query(part)))
            for completed in asyncio.as_completed(pending):
                if await completed:
                    return True
            return False
        finally:
            for query in pending:
                query.cancel()

    async def query(self, part: relayed.PathPart) -> bool:
        """Queries an engine; records its pace if it responds."""
        report = await self.queries.report(
            part.instance, part.address, QUERY_TIMEOUT_S
        )
        if report is None:
            return False
        now = self.shared.clock.monotonic()
        self.shared.tracker.note_pace(part.instance, report.pace, now)
        return True

    async def is_own_link_up(self) -> bool:
        """Returns whether any engine currently responds or sends events."""
        if self.shared.link.is_active(self.loop.time()):
            return True
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                await self.any_responded.wait()
        except TimeoutError:
            return False
        return True


def silence_limit_s(run: stream_run.StreamRun) -> float:
    """Returns the silence of a stream that starts a round, in seconds."""
    return probe_timing.silence_limit_s(
        run.events_sent, run.progress_at - run.first_at
    )
