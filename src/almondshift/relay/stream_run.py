"""Streams over paths of engines: resumed, moved, and joined without a seam."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift import errors
from almondshift import log_events
from almondshift.model import relayed
from almondshift.policy import engine_book
from almondshift.ports import path_engines
from almondshift.relay import runs
from almondshift.relay import stream_attempt

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from almondshift.model import routed_requests
    from almondshift.policy import path_choice
    from almondshift.ports import relays
    from almondshift.relay import context
    from almondshift.relay import events

RESUME_RETRY_S = 0.15
"""Interval between searches for a path for a broken stream, in seconds."""

UNHEARD_SHARE = 0.75
"""Share of the callers' patience after which an abandoned stream counts against
its first engine; earlier disconnects have other reasons."""

MOVE_TRIES = 4
"""Maximum orders per move. Each refusal identifies one more engine that is dead
or full, and several of a rack may die at once."""

MOVE_TIMEOUT_S = 0.4
"""Time for the answer to an order; live engines take milliseconds."""

HIGHEST_PRIORITY = 9


class StreamRun(runs.Run):
    """A stream for a caller, over one path after another.

    Attributes:
        last_id: Last event that the caller has; None for none.
        answer_tokens: How long the answer is expected to be.
        events_sent: Events passed on.
        first_at: Loop time of the first event, or of the arrival.
        progress_at: Loop time of the last event, or of the arrival.
        broken: First engines that broke off: one that is crashing resets
            each connection that it gets, and would use up all attempts.
    """

    def __init__(
        self,
        routed: routed_requests.RoutedRequest,
        responder: relays.Responder,
        shared: context.RelayContext,
    ) -> None:
        super().__init__(routed, responder, shared)
        request = self.routed.request
        self.attempt: stream_attempt.StreamAttempt | None = None
        self.retry: asyncio.TimerHandle | None = None
        self.overdue: asyncio.TimerHandle | None = None
        self.events_sent = 0
        self.first_at = self.started_at
        self.progress_at = self.started_at
        self.broken: frozenset[str] = frozenset()
        self.last_id: int | None = None
        if request.last_event_id.isdigit():
            self.last_id = int(request.last_event_id)
        expected = request.expected_tokens or request.output_tokens
        if request.output_tokens:
            expected = min(expected, request.output_tokens)
        self.answer_tokens = float(expected)
        self.tokens = float(request.prompt_tokens + expected)

    def dispatch(self) -> None:
        """Sends the request over a path with room, or refuses it."""
        chosen = self.choose_path(self.broken)
        if chosen is None:
            self.lack_path()
            return
        self.send(chosen)

    def choose_path(
        self, avoid: frozenset[str]
    ) -> path_choice.ChosenPath | None:
        """Returns a path with room whose first engine is not avoided."""
        view = self.shared.catalogue.view(self.routed.service)
        if view is None:
            return None
        now = self.shared.clock.monotonic()
        return self.shared.paths.choose(view, self.tokens, now, avoid)

    def lack_path(self) -> None:
        """Refuses a new request at once; lets a begun stream look again."""
        if not self.responder.head_sent:
            self.refuse_full("No path with room runs all layers now.")
            return
        self.look_later(self.begin)

    def look_later(self, look: Callable[[], None]) -> None:
        """Looks for a path again in a moment, while the caller waits."""
        waited_s = self.loop.time() - self.progress_at
        if waited_s + RESUME_RETRY_S >= self.routed.route.patience_s:
            self.refuse(errors.UpstreamFailed("No path can go on with it."))
            return
        self.retry = self.loop.call_later(RESUME_RETRY_S, look)

    def look_again(self) -> None:
        """Sends a begun stream once more as soon as repeats may be sent."""
        if self.ended:
            return
        if self.shared.budget.spend(
            self.routed.service, self.shared.clock.monotonic()
        ):
            self.begin()
        else:
            self.look_later(self.look_again)

    def may_wait(self, is_not_run: bool) -> bool:
        """Returns whether a begun stream may go on when there is room.

        Engines that are full refuse within some ms and run nothing, and on a
        node that has just started such refusals use up the budget of repeats.
        Had they ended the stream, its caller would lose what it has waited
        for, with an answer that is cut. A look each 0.15 s until callers
        leave is a dozen sends at the most, each within the budget.
        """
        route = self.routed.route
        return (
            self.responder.head_sent
            and route.may_repeat
            and (is_not_run or self.ran_on < route.max_attempts)
            and not self.shared.crashes.is_refused(self.routed)
        )

    def send(self, chosen: path_choice.ChosenPath) -> None:
        """Sends the request over a path."""
        self.sends += 1
        attempt = stream_attempt.StreamAttempt(self, chosen)
        self.attempt = attempt
        self.shared.book.add(attempt.used, self.tokens)
        self.note_forwarded(
            shown(chosen.path),
            ",".join(part.instance for part in chosen.path),
            round(chosen.load, 3),
        )
        self.unrefused += 1
        attempt.forwarded = self.shared.engines.forward(
            self.routed.request,
            relayed.Forwarding(
                address=attempt.first.address,
                instance=attempt.first.instance,
                path=attempt.path,
                remaining_s=self.remaining_s(),
                account=self.routed.account,
                priority=min(HIGHEST_PRIORITY, self.routed.priority),
                last_event_id="" if self.last_id is None else str(self.last_id),
            ),
            attempt,
        )
        self.watch_first_event()

    def watch_first_event(self) -> None:
        """Runs the request elsewhere if its first event is overdue."""
        route = self.routed.route
        if not self.responder.head_sent and route.may_repeat:
            wait_s = self.shared.first_waits.overdue_s(
                self.routed.service, route.objective_s
            )
            self.overdue = self.loop.call_later(wait_s, self.leave_silent)

    def leave_silent(self) -> None:
        """Leaves an engine that lives and sends nothing.

        A stream that can run nowhere else stays: it may only be queued.
        """
        attempt = self.attempt
        if attempt is None or self.ended or attempt.over or attempt.moving:
            return
        if self.responder.head_sent:
            return
        if not self.could_run_elsewhere():
            return
        avoid = self.broken | {attempt.first.instance}
        if self.choose_path(avoid) is None:
            return
        self.note_first_wait(attempt)
        self.note_unheard(attempt)
        self.broken = avoid
        self.resume_elsewhere("no first event")

    def note_first_wait(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Notes how long a first event took, or was waited for."""
        seconds = self.loop.time() - attempt.sent_at
        self.shared.first_waits.note(self.routed.service, seconds)

    def take_events(
        self,
        attempt: stream_attempt.StreamAttempt,
        whole: list[events.StreamEvent],
    ) -> bool:
        """Passes events on; returns False if one is missing before them."""
        fresh: list[bytes] = []
        for event in whole:
            if event.event_id is not None:
                if self.last_id is not None:
                    if event.event_id <= self.last_id:
                        continue
                    if event.event_id != self.last_id + 1:
                        return False
                self.last_id = event.event_id
            fresh.append(event.data)
        if not fresh:
            return True
        now = self.loop.time()
        if not self.responder.head_sent:
            assert attempt.head is not None
            self.first_at = now
            self.note_first_wait(attempt)
            self.shared.observer.first_seconds.observe(now - self.started_at)
            self.responder.send_head(attempt.head.status, attempt.head.headers)
        elif now - self.progress_at > self.routed.route.event_gap_s:
            self.shared.observer.silence_seconds.observe(now - self.progress_at)
        self.responder.send_data(b"".join(fresh))
        self.events_sent += len(fresh)
        self.progress_at = now
        return True

    def attempt_ended(
        self,
        attempt: stream_attempt.StreamAttempt,
        ending: path_engines.Ending,
        reason: str,
    ) -> None:
        """Finishes the stream, or goes on elsewhere."""
        if attempt is not self.attempt or self.ended:
            return
        self.release()
        whole = ending is path_engines.Ending.WHOLE
        if whole and attempt.stream and not attempt.splitter.rest:
            self.finish(attempt)
            return
        head = attempt.head
        if whole and head is not None and not attempt.stream:
            self.take_failure(attempt, head)
            return
        if whole:
            reason = "the stream ended in the middle of an event"
        is_not_run = ending is path_engines.Ending.NOT_SENT
        self.broken |= {attempt.first.instance}
        if ending is path_engines.Ending.BROKEN:
            self.shared.crashes.note_broken(
                self.routed, self.sends, attempt.first.instance
            )
        elif ending is path_engines.Ending.NOT_SENT:
            self.shared.lost.suspect(
                attempt.first.instance, engine_book.Suspicion.UNREACHABLE
            )
        self.go_on(attempt, reason, is_not_run)

    def finish(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Ends a whole stream."""
        if not self.responder.head_sent:
            assert attempt.head is not None
            self.responder.send_head(attempt.head.status, attempt.head.headers)
        self.shared.observer.attempts.labels("answered").inc()
        self.shared.crashes.note_answered(self.routed)
        self.note_time()
        self.responder.finish()
        self.answered()

    def take_failure(
        self, attempt: stream_attempt.StreamAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Goes on after a refusal; passes another failure on."""
        if head.not_run:
            self.blame(attempt, head)
            reason = f"refused with {head.status}"
            if head.faulty_address:
                reason += f" for {head.faulty_address}"
            self.go_on(attempt, reason, is_not_run=True)
            return
        if self.responder.head_sent or not head.genuine:
            self.go_on(attempt, f"status {head.status}", is_not_run=False)
            return
        self.shared.observer.attempts.labels("failed").inc()
        self.responder.send_whole(
            head.status, head.headers, bytes(attempt.failure)
        )
        self.answered()

    def blame(
        self, attempt: stream_attempt.StreamAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Passes over the engine that an answer names."""
        address = head.faulty_address or attempt.first.address
        for part in attempt.path:
            if part.address != address:
                continue
            if head.status == 421:
                self.shared.lost.suspect(
                    part.instance, engine_book.Suspicion.REFUSED
                )
            else:
                self.note_refused(part.instance, part.address)

    def note_refused(self, instance: str, address: str) -> None:
        """Avoids an engine that is full, drains or is dead, and has it queried.

        Its report and its health check tell which of these it is.
        """
        now = self.shared.clock.monotonic()
        self.shared.book.note_full(instance, now)
        self.shared.paths.tight[instance] = address
        self.shared.refusing.check(instance)

    def go_on(
        self,
        attempt: stream_attempt.StreamAttempt,
        reason: str,
        is_not_run: bool,
    ) -> None:
        """Sends the request over another path if that is allowed.

        Were a request that several engines refused taken for one that may
        have run, its caller would get 502, which promises nothing, and would
        not come back.
        """
        if is_not_run:
            self.unrefused -= 1
        elif not self.shared.book.is_lost(attempt.first.instance):
            self.ran_on += 1
        allowed = self.may_repeat(is_not_run)
        waits = not allowed and self.may_wait(is_not_run)
        next_step = runs.GIVEN_UP
        if allowed:
            next_step = runs.SENT_ELSEWHERE
        elif waits:
            next_step = runs.WAITS
        self.note_failed(attempt.first.instance, reason, is_not_run, next_step)
        if allowed:
            self.begin()
        elif waits:
            self.look_later(self.look_again)
        else:
            self.refuse_full(reason)

    def resume_elsewhere(self, reason: str, is_gone: bool = False) -> None:
        """Leaves the present path, whose first engine is lost.

        A stream that can go on nowhere stays unless that engine is gone. A
        live engine is taken for lost when it says nothing for a tenth of a
        second; the caller would lose an answer that goes on a moment later,
        and there is none to win. If the engine is dead, the caller's own
        patience, the connection's end or the route's timeout ends the wait.

        Args:
            reason: For the log.
            is_gone: Whether the engine surely runs the stream no more.
        """
        attempt = self.attempt
        if attempt is None or self.ended or attempt.over:
            return
        if not is_gone and not self.has_repeats():
            return
        attempt.over = True
        if attempt.forwarded is not None:
            attempt.forwarded.cancel()
        self.release()
        self.go_on(attempt, reason, is_not_run=False)

    def has_repeats(self) -> bool:
        """Returns whether the stream may run again after a lost engine.

        Spends nothing of the budget, and does not count the lost engine.
        """
        route = self.routed.route
        return (
            route.may_repeat
            and self.sends < runs.MAX_SENDS
            and self.ran_on < route.max_attempts
            and self.shared.budget.has_room(
                self.routed.service, self.shared.clock.monotonic()
            )
        )

    async def move(self, away_from: str, must: bool) -> None:
        """Moves the running request to engines other than the named one.

        Args:
            away_from: The engine that is lost, leaving or slow.
            must: Whether the stream would be cut otherwise; else it moves
                only within its availability zone.
        """
        attempt = self.attempt
        if attempt is None or attempt.moving or attempt.over or self.ended:
            return
        attempt.moving = True
        try:
            await self.move_attempt(attempt, away_from, must)
        finally:
            attempt.moving = False

    async def move_attempt(
        self, attempt: stream_attempt.StreamAttempt, away_from: str, must: bool
    ) -> None:
        """Orders the first engine to use another path.

        Moved to another zone, a request sends all its tokens over the link
        between them once more, and so do all others of its zone: 60 streams
        of 900 tokens keep a link of 26 Gbit/s busy for 1.5 seconds, and
        callers leave after two. There it is run from its last event by
        engines of the other zone instead, which read only the prompt.
        """
        view = self.shared.catalogue.view(self.routed.service)
        if view is None:
            return
        avoid: frozenset[str] = frozenset()
        for _ in range(MOVE_TRIES):
            now = self.shared.clock.monotonic()
            chosen = self.shared.paths.move(
                view, attempt.path, self.tokens, now, avoid
            )
            if chosen is None or chosen.crossings:
                if not must:
                    return
                if self.has_whole_path(away_from):
                    self.note_move(attempt, away_from, "resumed elsewhere")
                    self.resume_elsewhere("its path lost an engine")
                    return
            if chosen is None:
                self.note_move(attempt, away_from, "no path")
                return
            refused_by = await self.repath(attempt, away_from, chosen)
            if not refused_by:
                return
            avoid |= {refused_by}

    async def repath(
        self,
        attempt: stream_attempt.StreamAttempt,
        away_from: str,
        chosen: path_choice.ChosenPath,
    ) -> str:
        """Orders one move; returns the engine that has no room, if that is so.

        Engines that died together are found one after another in this way,
        and one that is full is passed over, within some ms each.
        """
        answer = await self.shared.engines.repath(
            self.routed.request.request_id, chosen.path, MOVE_TIMEOUT_S
        )
        refused_by = ""
        if answer.outcome is path_engines.OrderOutcome.CONFLICT:
            refused_by = next(
                (
                    part.instance
                    for part in chosen.path[1:]
                    if part.address == answer.faulty_address
                ),
                "",
            )
        self.note_move(
            attempt,
            away_from,
            answer.outcome.value,
            shown(chosen.path),
            refused_by,
        )
        if attempt.over or attempt is not self.attempt:
            return ""
        if answer.outcome in (
            path_engines.OrderOutcome.DONE,
            path_engines.OrderOutcome.BEGUN,
        ):
            self.shared.book.remove(attempt.used, self.tokens)
            attempt.path, attempt.used = chosen.path, chosen.used
            self.shared.book.add(attempt.used, self.tokens)
            attempt.active_at = self.loop.time()
        if refused_by:
            self.note_refused(refused_by, answer.faulty_address)
        return refused_by

    def has_whole_path(self, away_from: str) -> bool:
        """Returns whether another zone could run the request by itself."""
        if not self.could_run_elsewhere():
            return False
        found = self.choose_path(self.broken)
        return (
            found is not None
            and not found.crossings
            and all(part.instance != away_from for part in found.path)
        )

    def note_move(
        self,
        attempt: stream_attempt.StreamAttempt,
        away_from: str,
        outcome: str,
        path: str = "",
        refused_by: str = "",
    ) -> None:
        """Logs and counts a move."""
        self.shared.observer.moves.labels(outcome).inc()
        self.shared.observer.emit(
            log_events.RequestMoved(
                request_id=self.routed.request.request_id,
                away_from=away_from,
                path=path,
                outcome=outcome,
                refused_by=refused_by,
                silent_s=round(self.loop.time() - attempt.active_at, 3),
            )
        )

    def caller_gone(self) -> None:
        """Stops the work; notes an engine under which the caller waited."""
        if self.attempt is not None and not self.responder.head_sent:
            self.note_unheard(self.attempt)
        super().caller_gone()

    def note_unheard(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Notes a first engine that sent nothing for nearly too long."""
        waited_s = self.loop.time() - attempt.sent_at
        if waited_s >= UNHEARD_SHARE * self.routed.route.patience_s:
            now = self.shared.clock.monotonic()
            self.shared.book.note_unheard(attempt.first.instance, now)

    def release(self) -> None:
        """Takes the present attempt out of the counts."""
        attempt = self.attempt
        self.attempt = None
        if self.overdue is not None:
            self.overdue.cancel()
        if attempt is not None:
            self.shared.book.remove(attempt.used, self.tokens)

    def cancel_work(self) -> None:
        """Stops what engines do for it."""
        if self.retry is not None:
            self.retry.cancel()
        attempt = self.attempt
        if attempt is None:
            return
        attempt.over = True
        if attempt.forwarded is not None:
            attempt.forwarded.cancel()
        self.release()

    def length(self) -> float:
        """Returns how many tokens the answer is expected to have."""
        return self.answer_tokens

    def size(self) -> int:
        """Returns the number of events passed on."""
        return self.events_sent


def shown(path: relayed.Path) -> str:
    """Returns a path for the log."""
    return ",".join(f"{p.address}={p.start}-{p.end}" for p in path)
