"""Takes streams off engines that are lost, leaving or slow."""

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
"""Age up to which a stream's last event proves its engine alive, in seconds; an
engine found dead by two unanswered queries has been silent for longer."""

LOOK_S = 0.02
"""Interval between looks at all streams, in seconds; well below the shortest
silence that is acted on."""

LEAVE_EACH_S = 0.2
"""Interval between moves of streams off engines that leave, in seconds."""

LEAVE_MARGIN_S = 0.4
"""Time before a leaving engine may stop at which its streams move at any cost,
in seconds; covers the delay until its notice is known."""

LEAVE_FORGET_S = 1.0
"""Time after that for which moves are still tried, in seconds."""


class StreamMoves:
    """Moves a node's streams.

    Attributes:
        leaving: When it became known that engines leave, by instance.
        looked_at: Loop time of the last look at all streams.
        late_s: By how much that look was late.
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
        """Takes all streams off an engine that seems dead."""
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
        """Returns whether streams get events from an engine at this moment.

        Only streams for which it is first count: a crash ends their connections
        at once, so that waiting for that costs nothing. Streams over slow
        engines have long pauses; silence counts once it starts a probe.
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
        """Notes a look at all streams, which follow each other in steps."""
        now = asyncio.get_running_loop().time()
        self.late_s = max(0.0, now - self.looked_at - LOOK_S)
        self.looked_at = now

    def stalled_s(self) -> float:
        """Returns for how long this process was just not scheduled.

        Events that arrived meanwhile are not read yet.
        """
        now = asyncio.get_running_loop().time()
        return max(self.late_s, now - self.looked_at - LOOK_S)

    def engine_slow(self, instance: str, pace: float) -> None:
        """Takes streams off an engine that has turned slow, once.

        Only the news does so: with several slow engines, streams that were
        moved at each report of slowness went to and fro, and engines read all
        their tokens again each time.
        """
        self.shared.observer.emit(
            log_events.EndpointEjected(
                instance, f"slow by {pace:.1f}", engine_book.PACE_MEMORY_S
            )
        )
        self.move_from(instance, must=False)

    def engine_leaving(self, instance: str) -> None:
        """Begins to take streams off an engine that leaves."""
        self.leaving[instance] = asyncio.get_running_loop().time()
        self.move_from(instance, must=False)

    def leave_in_time(self) -> None:
        """Takes streams off leaving engines as soon as their zone allows it.

        Other engines of the zone load the layers while the leaving engine
        still serves. Streams wait for that rather than move over the links
        between zones, until the notice is nearly over.
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

        Streams for which it is first stay: they have its connection, and
        they go on for as long as it serves.

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
