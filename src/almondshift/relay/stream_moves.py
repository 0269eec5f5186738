"""Moves streams off engines that are lost, shutting down or slow."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.policy import engine_tracker
from almondshift.relay import path_probe
from almondshift.relay import stream_run

if TYPE_CHECKING:
    from almondshift.relay import background
    from almondshift.relay import context

MAX_LIVE_EVENT_AGE_S = 2 * path_probe.QUERY_TIMEOUT_S
"""Maximum age of a stream's last event that proves its engine alive, in
seconds. An engine found dead by two unanswered queries is silent for longer."""

CHECK_INTERVAL_S = 0.02
"""Interval between checks of all streams, in seconds; well below the shortest
silence that triggers a probe."""

MAX_LATE_S = 0.04
"""Delay of a check, in seconds, beyond which this process was not scheduled."""

LEAVE_INTERVAL_S = 0.2
"""Interval between moves of streams off engines that shut down, in seconds."""

LEAVE_MARGIN_S = 0.4
"""Time before the earliest stop of an engine that shuts down, in seconds. From
then on its streams may also move to other zones. Covers the delay until the
engine's notice arrives."""

LEAVE_EXTRA_S = 1.0
"""Time for which moves off the engine are still retried once its streams may
move to other zones, in seconds."""


class StreamMoves:
    """Moves a node's streams.

    Attributes:
        leaving: Loop time at which this node learnt that an engine shuts down,
            by instance.
        checked_at: Loop time of the last check of all streams.
        late_s: Delay of that check past its due time, in seconds.
        scheduled_since: Loop time of the last check that was late by more than
            ``MAX_LATE_S``.
    """

    def __init__(
        self, shared: context.RelayContext, work: background.Background
    ) -> None:
        self.shared = shared
        self.work = work
        self.leaving: dict[str, float] = {}
        self.last_leave_at = 0.0
        self.checked_at = math.inf
        self.late_s = 0.0
        self.scheduled_since = -math.inf

    def streams(self) -> list[stream_run.StreamRun]:
        """Returns the requests over paths that have not ended."""
        return [
            run
            for run in self.shared.running
            if isinstance(run, stream_run.StreamRun) and run.uses_path
        ]

    def on_engine_lost(
        self,
        instance: str,
        reason: engine_tracker.Suspicion,
        found_by: engine_tracker.Evidence,
    ) -> None:
        """Ejects an engine that seems dead, and moves all streams off it."""
        self.shared.lost_engines.suspect(instance, reason, found_by)
        if not self.shared.tracker.is_lost(instance):
            return
        engine = self.shared.catalogue.engines.get(instance)
        if reason is engine_tracker.Suspicion.UNREACHABLE and engine:
            self.shared.crash_watch.ports.start(instance, engine.address)
        for run in self.streams():
            attempt = run.attempt
            if attempt is None:
                continue
            if any(part.instance == instance for part in attempt.path):
                self.shared.crash_watch.note_unanswered(
                    run.routed, run.sends, instance, attempt.has_progressed()
                )
            if attempt.first.instance == instance:
                is_gone = reason is engine_tracker.Suspicion.GONE
                run.resume_elsewhere("first engine lost", is_gone)
        self.move_from(instance, is_forced=True)

    def leave_silent_engines(self) -> None:
        """Resumes streams elsewhere that had to wait for a silent engine.

        In the meantime another path may have got capacity, or an engine that
        counted against the route's limit may have turned out to have ended.
        """
        now = asyncio.get_running_loop().time()
        for run in self.streams():
            attempt = run.attempt
            if attempt is None or attempt.is_moving:
                continue
            if now - attempt.active_at < path_probe.silence_limit_s(run):
                continue
            if run.links.is_isolated:
                run.resume_elsewhere("no endpoint responds")
            elif self.shared.tracker.seems_dead(attempt.first.instance):
                run.resume_elsewhere("first engine lost")

    def is_streaming(self, instance: str) -> bool:
        """Returns whether streams currently receive events from an engine.

        Considers only streams connected directly to the engine. A crash closes
        their connections at once, so treating the engine as alive until then
        delays nothing. Streams over slow engines have long gaps between events,
        so silence counts only once it is long enough to start a probe.
        """
        now = asyncio.get_running_loop().time() - self.unscheduled_s()
        ages_and_limits = [
            (now - attempt.active_at, path_probe.silence_limit_s(run))
            for run in self.streams()
            if (attempt := run.attempt) is not None
            and attempt.first.instance == instance
            and attempt.active_at > attempt.sent_at
        ]
        if not ages_and_limits:
            return False
        youngest_s = min(age_s for age_s, _ in ages_and_limits)
        return youngest_s < MAX_LIVE_EVENT_AGE_S or all(
            age_s < limit_s for age_s, limit_s in ages_and_limits
        )

    def record_check(self) -> None:
        """Records the time of a check of all streams, and its delay."""
        now = asyncio.get_running_loop().time()
        self.late_s = max(0.0, now - self.checked_at - CHECK_INTERVAL_S)
        self.checked_at = now
        if self.late_s > MAX_LATE_S:
            self.shared.observer.loop_delay_seconds.observe(self.late_s)
            self.scheduled_since = now

    def scheduled_s(self) -> float:
        """Returns for how many seconds this process has been scheduled."""
        now = asyncio.get_running_loop().time()
        if now - self.checked_at - CHECK_INTERVAL_S > MAX_LATE_S:
            return 0.0
        return now - self.scheduled_since

    def unscheduled_s(self) -> float:
        """Returns for how many seconds this process was recently not scheduled.

        Events that arrived in the meantime have not been read yet.
        """
        now = asyncio.get_running_loop().time()
        return max(self.late_s, now - self.checked_at - CHECK_INTERVAL_S)

    def on_engine_slow(self, instance: str, pace: float) -> None:
        """Moves streams off an engine that has just become slow.

        Must not be called for each report of an engine that is still slow: with
        several slow engines, streams would move back and forth, and each move
        makes engines prefill all tokens again.
        """
        self.shared.observer.emit(
            log_events.EndpointEjected(
                instance,
                f"slow by {pace:.1f}",
                engine_tracker.PACE_VALID_S,
                engine_tracker.Evidence.SILENCE.value,
            )
        )
        self.move_from(instance, is_forced=False)

    def on_engine_leaving(self, instance: str) -> None:
        """Starts to move streams off an engine that shuts down."""
        self.leaving[instance] = asyncio.get_running_loop().time()
        self.move_from(instance, is_forced=False)

    def move_off_leaving(self) -> None:
        """Moves streams off engines that shut down, if possible in their zone.

        Other engines of the zone load the layers while such an engine still
        serves. Streams wait for them rather than move to another zone, until
        the notice period is nearly over.
        """
        now = asyncio.get_running_loop().time()
        if now - self.last_leave_at < LEAVE_INTERVAL_S:
            return
        self.last_leave_at = now
        forced_after_s = max(0.0, self.shared.engine_notice_s - LEAVE_MARGIN_S)
        for instance, since in list(self.leaving.items()):
            self.move_from(instance, is_forced=now - since > forced_after_s)
            if now - since > forced_after_s + LEAVE_EXTRA_S:
                del self.leaving[instance]

    def move_from(self, instance: str, is_forced: bool) -> None:
        """Moves streams off an engine of their path.

        Streams whose first engine it is stay: it holds their connection, and
        they continue for as long as it serves.

        Args:
            instance: The engine.
            is_forced: Whether the streams would be cut otherwise.
        """
        for run in self.streams():
            attempt = run.attempt
            if attempt is None or attempt.first.instance == instance:
                continue
            if any(part.instance == instance for part in attempt.path):
                self.work.run(run.move(instance, is_forced))
