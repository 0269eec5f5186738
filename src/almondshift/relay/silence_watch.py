"""Finds streams that stand still, and the engine behind it.

Work that depends on a dead engine stands still for seconds, while callers
leave after two. A stream says nothing of which engine it waits for, but the
first engine of its path does. So a pause beyond what is usual brings one
question to that engine, for all streams over it together.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.model import relayed
from almondshift.policy import engine_book
from almondshift.relay import stream_run

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

    from almondshift.relay import context

TICK_S = 0.05

SILENT_S = 0.25
"""Pause that brings a question: above the pauses that count as on time,
since reports are 200 ms old and can't help sooner."""

FIRST_SILENT_S = 0.5
"""The same before the first event, when prompts are read."""

REPORT_TIMEOUT_S = 0.3
"""An engine that lives answers within some ms."""

REPORT_GAP_S = 0.2
"""Pause between questions to one engine."""

LOST_REPORTS = 2
"""Unanswered questions until an engine counts as lost; one may be lost with
its connection."""

SLOW_AGAIN_S = 2.0
"""Pause between questions to an engine that is known to be slow: half of
the time for which its word is believed."""

LEAVE_EACH_S = 0.2
LEAVE_BY_S = 1.6
"""An engine that leaves serves for two seconds after its notice at least;
streams that are still on it then are cut."""

USED_GAP_S = 0.5
"""Pause between questions about memory to one engine: twice in the time for
which an answer is believed."""

MAX_QUESTIONS = 24
"""Questions and moves under way at once; more wait for the next look."""

SLOW_GAP_S = 1.0
"""Pause between questions about slowness to one engine."""


logger = logging.getLogger(__name__)


class SilenceWatch:
    """Looks at all streams of a node in turn."""

    def __init__(self, shared: context.RelayContext) -> None:
        self.shared = shared
        self.asked_at: dict[str, float] = {}
        self.paced_at: dict[str, float] = {}
        self.used_at: dict[str, float] = {}
        self.leaving: dict[str, float] = {}
        self.left_at = 0.0
        self.lost: dict[str, int] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.task: asyncio.Task[None] | None = None
        self.on_suspect: Callable[[str], None] = lambda instance: None

    async def start(self) -> None:
        """Starts to look."""
        self.task = asyncio.get_running_loop().create_task(self._watch())

    async def close(self) -> None:
        """Stops."""
        for task in [*self.tasks, *([self.task] if self.task else [])]:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self.look()
            except Exception:
                # Streams would stand still behind dead engines for good.
                logger.exception("silent streams could not be looked at")

    def look(self) -> None:
        """Asks the first engines of silent streams how these are."""
        now = asyncio.get_running_loop().time()
        for run in self.streams():
            attempt = run.attempt
            if attempt is None or attempt.moving:
                continue
            limit = SILENT_S if run.events_sent else FIRST_SILENT_S
            if now - attempt.active_at < limit:
                continue
            first = attempt.first
            if now - self.asked_at.get(first.instance, -1.0) < REPORT_GAP_S:
                continue
            self.asked_at[first.instance] = now
            self.spawn(self.ask(first))
        self.try_suspects()

    def streams(self) -> list[stream_run.StreamRun]:
        """Returns the streams that have not ended."""
        return [
            run
            for run in self.shared.running
            if isinstance(run, stream_run.StreamRun)
        ]

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work beside the watch."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask(self, first: relayed.PathPart) -> None:
        """Asks an engine about its streams, and acts on what it says."""
        report = await self.shared.engines.report(
            first.address, REPORT_TIMEOUT_S
        )
        if report is None:
            self.not_answered(first)
            return
        self.lost.pop(first.instance, None)
        now = self.shared.clock.monotonic()
        self.shared.book.note_pace(first.instance, report.pace, now)
        addresses = {stalled.address for stalled in report.stalled}
        for address in addresses:
            engine = self.shared.catalogue.by_address(address)
            if engine is not None:
                self.engine_lost(engine.instance, engine_book.Suspicion.STALLED)
        if not addresses:
            await self.ask_pace(first)

    def not_answered(self, first: relayed.PathPart) -> None:
        """Counts an unanswered question."""
        count = self.lost.get(first.instance, 0) + 1
        self.lost[first.instance] = count
        if count >= LOST_REPORTS:
            self.lost.pop(first.instance, None)
            self.engine_lost(first.instance, engine_book.Suspicion.UNREACHABLE)

    def engine_lost(self, instance: str, reason: engine_book.Suspicion) -> None:
        """Moves all streams away from an engine that seems dead."""
        now = self.shared.clock.monotonic()
        if self.shared.book.suspect(instance, reason, now):
            self.shared.observer.emit(
                log_events.EndpointEjected(
                    instance, reason.value, engine_book.SUSPECT_S
                )
            )
            self.on_suspect(instance)
        self.leave_engine(instance)

    def leave_engine(self, instance: str) -> None:
        """Moves or resumes the streams that use an engine."""
        for run in self.streams():
            attempt = run.attempt
            if attempt is None:
                continue
            if attempt.first.instance == instance:
                run.resume_elsewhere("first engine lost")
            elif any(part.instance == instance for part in attempt.path):
                self.spawn(run.move(instance, must=True))

    def engine_leaving(self, instance: str) -> None:
        """Begins to move streams off an engine that leaves."""
        self.leaving[instance] = asyncio.get_running_loop().time()
        self.move_from(instance)

    def leave_in_time(self) -> None:
        """Moves streams off leaving engines as soon as their zone allows it.

        Neighbours load a leaving engine's layers within about a second, and
        it serves for two more; streams wait for that rather than for the
        links between zones, until the time is nearly over.
        """
        now = asyncio.get_running_loop().time()
        if now - self.left_at < LEAVE_EACH_S:
            return
        self.left_at = now
        for instance, since in list(self.leaving.items()):
            self.move_from(instance, must=now - since > LEAVE_BY_S)
            if now - since > LEAVE_BY_S + 1.0:
                del self.leaving[instance]

    def move_from(self, instance: str, must: bool = False) -> None:
        """Moves streams off an engine that leaves or is slow.

        Streams for which it is first stay: they have its connection, and it
        goes on for as long as its notice is.

        Args:
            instance: The engine.
            must: Whether streams may be moved to other zones for it.
        """
        for run in self.streams():
            attempt = run.attempt
            if attempt is None or attempt.first.instance == instance:
                continue
            if any(part.instance == instance for part in attempt.path):
                self.spawn(run.move(instance, must))

    async def ask_pace(self, first: relayed.PathPart) -> None:
        """Asks the engines behind a slow one's streams how slow they are."""
        now = asyncio.get_running_loop().time()
        parts: dict[str, relayed.PathPart] = {}
        for run in self.streams():
            attempt = run.attempt
            if attempt is None or attempt.first.instance != first.instance:
                continue
            if now - attempt.active_at < SILENT_S:
                continue
            for part in attempt.path:
                parts[part.instance] = part
        for instance, part in parts.items():
            if now - self.paced_at.get(instance, -SLOW_GAP_S) < SLOW_GAP_S:
                continue
            self.paced_at[instance] = now
            self.spawn(self.note_pace(part))

    async def note_pace(self, part: relayed.PathPart) -> None:
        """Asks one engine how slow it is; streams leave a very slow one."""
        report = await self.shared.engines.report(
            part.address, REPORT_TIMEOUT_S
        )
        if report is None:
            return
        now = self.shared.clock.monotonic()
        was_slow = self.shared.book.is_slow(part.instance, now)
        self.shared.book.note_pace(part.instance, report.pace, now)
        is_slow = self.shared.book.is_slow(part.instance, now)
        if is_slow and not was_slow:
            self.note_slow(part.instance, report.pace)

    def note_slow(self, instance: str, pace: float) -> None:
        """Moves streams off an engine that has turned slow, once.

        Only its first report does so: with several slow engines, streams
        that were moved at each report went to and fro and read all their
        tokens again each time.
        """
        self.shared.observer.emit(
            log_events.EndpointEjected(
                instance, f"slow by {pace:.1f}", engine_book.PACE_MEMORY_S
            )
        )
        self.move_from(instance)

    def try_suspects(self) -> None:
        """Asks suspects whose time is over whether they live."""
        now = self.shared.clock.monotonic()
        self.ask_slow_again(now)
        self.ask_tight()
        self.leave_in_time()
        for instance in self.shared.book.due_for_trial(now):
            engine = self.shared.catalogue.engines.get(instance)
            if engine is None:
                self.shared.book.forget(instance)
                continue
            self.shared.book.state(instance).suspect_until = now + 1.0
            self.spawn(self.try_suspect(instance, engine.address))

    def ask_slow_again(self, now: float) -> None:
        """Asks slow engines again before what they said is forgotten."""
        loop_now = asyncio.get_running_loop().time()
        for instance in self.shared.book.slow_engines(now):
            engine = self.shared.catalogue.engines.get(instance)
            asked_at = self.paced_at.get(instance, -SLOW_AGAIN_S)
            if engine is None or loop_now - asked_at < SLOW_AGAIN_S:
                continue
            self.paced_at[instance] = loop_now
            part = relayed.PathPart(instance, engine.address, 0, 0)
            self.spawn(self.note_pace(part))

    def ask_tight(self) -> None:
        """Asks engines that seem nearly full how much memory they use."""
        loop_now = asyncio.get_running_loop().time()
        tight = list(self.shared.paths.tight.items())
        self.shared.paths.tight.clear()
        for instance, address in tight:
            if len(self.tasks) >= MAX_QUESTIONS:
                return
            if loop_now - self.used_at.get(instance, -USED_GAP_S) < USED_GAP_S:
                continue
            self.used_at[instance] = loop_now
            self.spawn(self.note_used(instance, address))

    async def note_used(self, instance: str, address: str) -> None:
        """Asks one engine how much memory it uses."""
        report = await self.shared.engines.report(address, REPORT_TIMEOUT_S)
        if report is None:
            return
        now = self.shared.clock.monotonic()
        self.shared.book.note_used(instance, report.used, now)
        self.shared.book.note_pace(instance, report.pace, now)

    async def try_suspect(self, instance: str, address: str) -> None:
        """Trusts a suspect again if it answers."""
        report = await self.shared.engines.report(address, REPORT_TIMEOUT_S)
        if report is None:
            return
        self.shared.book.trust(instance)
        self.shared.observer.emit(
            log_events.EndpointRestored(instance, engine_book.SUSPECT_S)
        )
