"""Moves streams off engines that are lost, leaving or slow."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.policy import engine_book
from almondshift.relay import path_probe
from almondshift.relay import stream_run

if TYPE_CHECKING:
    from almondshift.relay import background
    from almondshift.relay import context

ANSWERING_S = 2 * path_probe.ANSWER_S
"""Maximum age of a stream's last event that proves its engine alive, in
seconds. An engine found dead by two unanswered queries is silent for longer."""

LOOK_S = 0.02
"""Interval between checks of all streams, in seconds; well below the shortest
silence that triggers a probe."""

LEAVE_EACH_S = 0.2
"""Interval between moves of streams off leaving engines, in seconds."""

LEAVE_MARGIN_S = 0.4
"""Time before a leaving engine may stop from which its streams also move to
other zones, in seconds; covers the delay until its notice arrives."""

LEAVE_FORGET_S = 1.0
"""Time for which such moves are still tried, in seconds."""


class StreamMoves:
    """Moves a node's streams.

    Attributes:
        leaving: Loop time at which it became known that an engine leaves, by
            instance.
        left_at: Loop time of the last moves off leaving engines.
        looked_at: Loop time of the last check of all streams.
        late_s: Delay of that check, in seconds.
    """

    def __init__(
        self, shared: context.RelayContext, work: background.Background
    ) -> None:
        self.shared = shared
        self.work = work
        self.leaving: dict[str, float] = {}
        self.left_at = 0.0
        self.looked_at = math.inf
        self.late_s = 0.0

    def streams(self) -> list[stream_run.StreamRun]:
        """Returns the streams that have not ended."""
        return [
            run
            for run in self.shared.running
            if isinstance(run, stream_run.StreamRun)
        ]

    def engine_lost(self, instance: str, reason: engine_book.Suspicion) -> None:
        """Ejects an engine that seems dead, and moves all streams off it."""
        self.shared.lost.suspect(instance, reason)
        if not self.shared.book.is_lost(instance):
            return
        for run in self.streams():
            attempt = run.attempt
            if attempt is None:
                continue
            if any(part.instance == instance for part in attempt.path):
                self.shared.crashes.note_broken(run.routed, run.sends, instance)
            if attempt.first.instance == instance:
                is_gone = reason is engine_book.Suspicion.GONE
                run.resume_elsewhere("first engine lost", is_gone)
        self.move_from(instance, must=True)

    def is_heard(self, instance: str) -> bool:
        """Returns whether streams currently receive events from an engine.

        Only streams whose first engine it is count: a crash closes their
        connections at once, so waiting for that costs nothing. Streams over
        slow engines have long gaps; silence counts once it would start a probe.
        """
        now = asyncio.get_running_loop().time() - self.stalled_s()
        heard = [
            (now - attempt.active_at, path_probe.patience_s(run))
            for run in self.streams()
            if (attempt := run.attempt) is not None
            and attempt.first.instance == instance
            and attempt.active_at > attempt.sent_at
        ]
        if not heard:
            return False
        youngest_s = min(age_s for age_s, _ in heard)
        return youngest_s < ANSWERING_S or all(
            age_s < patience_s for age_s, patience_s in heard
        )

    def note_look(self) -> None:
        """Records the time of a check of all streams, and its delay."""
        now = asyncio.get_running_loop().time()
        self.late_s = max(0.0, now - self.looked_at - LOOK_S)
        self.looked_at = now

    def stalled_s(self) -> float:
        """Returns for how long this process was recently not scheduled.

        Events that arrived in the meantime have not been read yet.
        """
        now = asyncio.get_running_loop().time()
        return max(self.late_s, now - self.looked_at - LOOK_S)

    def engine_slow(self, instance: str, pace: float) -> None:
        """Moves streams off an engine that has just become slow.

        Must not be called for each report of an engine that is still slow: with
        several slow engines, streams would move back and forth, and each move
        makes engines prefill all tokens again.
        """
        self.shared.observer.emit(
            log_events.EndpointEjected(
                instance, f"slow by {pace:.1f}", engine_book.PACE_MEMORY_S
            )
        )
        self.move_from(instance, must=False)

    def engine_leaving(self, instance: str) -> None:
        """Starts to move streams off a leaving engine."""
        self.leaving[instance] = asyncio.get_running_loop().time()
        self.move_from(instance, must=False)

    def leave_in_time(self) -> None:
        """Moves streams off leaving engines once their zone has replacements.

        Other engines of the zone load the layers while the leaving engine still
        serves. Streams wait for them rather than move to another zone, until
        the notice period is nearly over.
        """
        now = asyncio.get_running_loop().time()
        if now - self.left_at < LEAVE_EACH_S:
            return
        self.left_at = now
        due_s = max(0.0, self.shared.engine_notice_s - LEAVE_MARGIN_S)
        for instance, since in list(self.leaving.items()):
            self.move_from(instance, must=now - since > due_s)
            if now - since > due_s + LEAVE_FORGET_S:
                del self.leaving[instance]

    def move_from(self, instance: str, must: bool) -> None:
        """Moves streams off an engine of their path.

        Streams whose first engine it is stay: it holds their connection, and
        they continue for as long as it serves.

        Args:
            instance: The engine.
            must: Whether the streams would be cut otherwise.
        """
        for run in self.streams():
            attempt = run.attempt
            if attempt is None or attempt.first.instance == instance:
                continue
            if any(part.instance == instance for part in attempt.path):
                self.work.run(run.move(instance, must))
