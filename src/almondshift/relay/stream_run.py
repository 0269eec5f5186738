"""Streams over paths of engines, resumed and moved without lost events."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from almondshift import errors
from almondshift import log_events
from almondshift.model import not_run
from almondshift.model import relayed
from almondshift.policy import engine_tracker
from almondshift.policy import request_sends
from almondshift.ports import path_engines
from almondshift.relay import guarded
from almondshift.relay import runs
from almondshift.relay import stream_attempt

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from almondshift.model import registered_engines
    from almondshift.model import routed_requests
    from almondshift.policy import path_choice
    from almondshift.ports import relays
    from almondshift.relay import context
    from almondshift.relay import events

RESUME_RETRY_S = 0.15
"""Interval between searches for a path, or for retry budget, for a stream that
has begun, in seconds."""

NO_EVENT_SHARE = 0.75
"""Share of the route's ``abandon_after_s``, the silence after which callers are
assumed to disconnect. A stream that waited at least that long without an event
counts against its first engine; earlier disconnects have other reasons."""

MAX_MOVE_ORDERS = 4
"""Maximum orders per move. Each refusal identifies another engine that is dead
or full, and several engines of a rack may die at once."""

MOVE_TIMEOUT_S = 0.4
"""Time-out of an order, in seconds; live engines respond in milliseconds."""

HIGHEST_PRIORITY = 9
"""Maximum priority that is sent to engines."""


class StreamRun(runs.Run):
    """A stream for a caller, which may run over several paths in turn.

    Attributes:
        events_sent: Number of events sent to the caller.
        first_at: Loop time of the first event, or of the arrival.
        progress_at: Loop time of the last event, or of the arrival.
        failed_engines: First engines that failed the stream. They are avoided,
            since a crashing engine resets every connection and would use up
            all attempts. Those that fell silent are not among them.
        uses_path: Whether engines of a path run it together.
        no_path_reason: Reason of a refusal for lack of capacity.
        last_id: ID of the last event that the caller has; None for none.
        response_tokens: Expected length of the response, in tokens.
        tokens: Expected length of prompt and response, in tokens.
    """

    def __init__(
        self,
        routed: routed_requests.RoutedRequest,
        responder: relays.Responder,
        shared: context.RelayContext,
    ) -> None:
        super().__init__(routed, responder, shared)
        request = self.routed.request
        self.uses_path = True
        self.no_path_reason = "No path with free capacity covers all layers."
        self.attempt: stream_attempt.StreamAttempt | None = None
        self.retry_timer: asyncio.TimerHandle | None = None
        self.first_event_timer: asyncio.TimerHandle | None = None
        self.events_sent = 0
        self.first_at = self.started_at
        self.progress_at = self.started_at
        self.failed_engines: frozenset[str] = frozenset()
        self.last_id: int | None = None
        if request.last_event_id.isdigit():
            self.last_id = int(request.last_event_id)
        expected = request.expected_tokens or request.output_tokens
        if request.output_tokens:
            expected = min(expected, request.output_tokens)
        self.response_tokens = float(expected)
        self.tokens = float(request.prompt_tokens + expected)

    @property
    def waiting_since(self) -> float | None:
        """Loop time of the latest data of the current attempt."""
        return None if self.attempt is None else self.attempt.active_at

    def dispatch(self) -> None:
        """Sends the request over a path with capacity, or refuses it."""
        if self.links.is_isolated:
            if not self.pass_to_peer() and not self.all_sends.is_open:
                self.handle_no_path(is_limited=False)
            return
        limits = self.shared.limits
        withheld = limits.withheld(self.routed.priority)
        chosen = self.choose_path(self.avoided_engines() | withheld)
        if chosen is None or self.denied_permits >= runs.MAX_DENIED_PERMITS:
            self.handle_no_path(bool(withheld))
            return
        first = chosen.path[0].instance
        self.send_with_permit(first, functools.partial(self.send, chosen))

    def avoided_engines(self, current: str = "") -> frozenset[str]:
        """Returns the engines that the request must not be sent to next.

        Once it may have run on as many engines as its route allows, only those
        are left: they may run it again.

        Args:
            current: The engine that runs it, if that one counts; "" for none.
        """
        runs = self.ended_runs.instances()
        counted = self.possible_runs + (current != "" and current not in runs)
        if counted < self.routed.route.max_attempts:
            return self.failed_engines
        others = {engine.instance for engine in self.entrances()} - runs
        return self.failed_engines.union(others)

    def choose_path(
        self, avoid: frozenset[str]
    ) -> path_choice.ChosenPath | None:
        """Returns a path with capacity that does not start in ``avoid``."""
        view = self.shared.catalogue.view(self.routed.service)
        if view is None:
            return None
        now = self.shared.clock.monotonic()
        return self.shared.paths.choose(view, self.tokens, now, avoid)

    def choose_unlimited_path(
        self, avoid: frozenset[str]
    ) -> path_choice.ChosenPath | None:
        """Returns a path with capacity that needs no permit.

        For a stream that runs: it must not lose its path for one that may
        not be granted.
        """
        return self.choose_path(avoid.union(self.shared.limits.known))

    def handle_no_path(self, is_limited: bool) -> None:
        """Refuses a new request; retries later if the stream has begun.

        Args:
            is_limited: Whether rate-limited engines were left out.
        """
        self.denied_permits = 0
        if (
            not self.links.is_isolated
            and self.shared.peer_paths.lacks_endpoints(self.routed.service)
            and self.pass_to_peer()
        ):
            return
        if not self.responder.head_sent:
            if self.may_await_endpoints():
                self.await_endpoints()
                return
            avoid = self.avoided_engines()
            if is_limited and self.choose_path(avoid) is not None:
                self.refuse_limited()
                return
            self.log_paths_full()
            self.refuse_no_capacity(self.no_path_reason)
            return
        self.search_later(self.begin)

    def await_endpoints(self) -> None:
        """Waits for engines; any may be tried again, as none responded."""
        self.failed_engines = frozenset()
        super().await_endpoints()

    def log_paths_full(self) -> None:
        """Logs which engine lacks room, by which estimate."""
        view = self.shared.catalogue.view(self.routed.service)
        if view is None or self.links.is_isolated:
            return
        now = self.shared.clock.monotonic()
        found = self.shared.paths.explain(
            view, self.tokens, now, self.failed_engines
        )
        self.shared.observer.emit(
            log_events.PathsFull(
                request_id=self.routed.request.request_id,
                service=self.routed.service,
                cause=found.cause,
                endpoint=found.instance,
                load=round(found.load, 3),
                from_report=found.from_report,
                nodes=found.nodes,
                own_load=round(found.own_load, 3),
            )
        )

    def search_later(self, search: Callable[[], None]) -> None:
        """Schedules another search for a path while the caller still waits."""
        waited_s = self.loop.time() - self.progress_at
        if waited_s + RESUME_RETRY_S >= self.routed.route.abandon_after_s:
            self.refuse(errors.UpstreamFailed("No path can resume the stream."))
            return
        self.retry_timer = self.loop.call_later(RESUME_RETRY_S, search)

    @guarded.ends_run_on_exception
    def resume_within_budget(self) -> None:
        """Resumes the stream once the retry budget allows it."""
        if self.is_ended:
            return
        if self.cover.obtain():
            self.begin()
        else:
            self.search_later(self.resume_within_budget)

    def handle_spent_budget(self) -> None:
        """Makes a stream that has begun wait; ends the run otherwise."""
        if self.responder.head_sent:
            self.search_later(self.resume_within_budget)
        else:
            self.refuse_no_capacity(runs.SPENT_BUDGET)

    def may_wait_for_capacity(self, is_not_run: bool) -> bool:
        """Returns whether a stream that has begun may wait for capacity.

        Full engines refuse within milliseconds and run nothing. Such refusals
        can use up the retry budget of a newly started node, and ending the
        stream would leave its caller with an incomplete response. A search
        every 0.15 s (``RESUME_RETRY_S``) until callers disconnect is at most a
        dozen sends, each within the retry budget.
        """
        route = self.routed.route
        return (
            self.responder.head_sent
            and route.may_repeat
            and (is_not_run or self.may_run_again())
            and not self.shared.crash_watch.is_refused(self.routed)
        )

    def may_wait_for_proof(self) -> bool:
        """Returns whether to wait until it is known which attempts count.

        A request without a response waits only if connections fail together.
        """
        if not self.responder.head_sent:
            return (
                self.routed.route.may_repeat
                and self.links.is_link_suspect(self.loop.time())
                and not self.shared.crash_watch.is_refused(self.routed)
            )
        return self.may_wait_for_capacity(True)

    def send(self, chosen: path_choice.ChosenPath) -> None:
        """Sends the request over a path."""
        if chosen.path[0].instance in self.avoided_engines():
            self.handle_no_path(is_limited=False)
            return
        if not self.may_send_to_endpoint():
            return
        self.cover.record_send(chosen.path[0].instance)
        self.record_run(chosen.path[0].instance)
        self.sends += 1
        attempt = stream_attempt.StreamAttempt(self, chosen)
        self.attempt = attempt
        self.shared.tracker.add(attempt.counted_parts, self.tokens)
        self.log_forwarded(
            format_path(chosen.path),
            ",".join(part.instance for part in chosen.path),
            round(chosen.load, 3),
            self.remaining_s(),
        )
        attempt.forwarded = self.shared.engines.forward(
            self.routed.request, self.create_forwarding(attempt), attempt
        )
        self.start_first_event_timer()

    def create_forwarding(
        self, attempt: stream_attempt.StreamAttempt
    ) -> relayed.Forwarding:
        """Returns how an attempt forwards the request."""
        return relayed.Forwarding(
            address=attempt.first.address,
            instance=attempt.first.instance,
            path=attempt.path,
            remaining_s=self.remaining_s(),
            account=self.routed.account,
            priority=min(HIGHEST_PRIORITY, self.routed.priority),
            last_event_id=self.last_event_id(),
        )

    def may_send(self) -> bool:
        """Returns whether the request may be sent.

        A stream whose events have no IDs can't be resumed after the last one
        that the caller has.
        """
        if self.lacks_resume_point():
            self.refuse(errors.UpstreamFailed("The events have no IDs."))
            return False
        return super().may_send()

    def lacks_resume_point(self) -> bool:
        """Returns whether no ID shows which events the caller has."""
        return self.events_sent > 0 and self.last_id is None

    def start_first_event_timer(self) -> None:
        """Starts a timer to send the request elsewhere if no event arrives."""
        route = self.routed.route
        if not self.responder.head_sent and route.may_repeat:
            wait_s = self.shared.first_event_waits.overdue_s(
                self.routed.service, route.objective_s
            )
            self.first_event_timer = self.loop.call_later(
                wait_s, self.retry_if_no_first_event
            )

    @guarded.ends_run_on_exception
    def retry_if_no_first_event(self) -> None:
        """Resumes elsewhere if the first engine is alive but sends nothing.

        A stream that cannot run elsewhere stays, as it may only be queued.
        """
        attempt = self.attempt
        if (
            attempt is None
            or self.is_ended
            or attempt.is_over
            or attempt.is_moving
        ):
            return
        if self.responder.head_sent:
            return
        if not self.can_retry_while_running():
            return
        avoid = self.failed_engines | {attempt.first.instance}
        if self.choose_unlimited_path(avoid) is None:
            return
        self.record_first_event_wait(attempt)
        self.record_no_first_event(attempt)
        self.failed_engines = avoid
        self.resume_elsewhere("no first event")

    def record_first_event_wait(
        self,
        attempt: events.EventSource,
    ) -> None:
        """Records the time to the first event, or until it was given up."""
        seconds = self.loop.time() - attempt.sent_at
        self.shared.first_event_waits.note(self.routed.service, seconds)

    def entrances(self) -> list[registered_engines.RegisteredEngine]:
        """Returns the engines that a path may start with."""
        return [
            engine
            for engine in super().entrances()
            if engine.layers is not None and engine.layers.start == 0
        ]

    @property
    def expects_stream(self) -> bool:
        """Whether a successful response is a stream of events."""
        return True

    def last_event_id(self) -> str:
        """Returns the last event that the caller has; "" for none."""
        return "" if self.last_id is None else str(self.last_id)

    def end_after_peer(
        self, reason: str, retry_after_s: float | None, may_repeat: bool
    ) -> None:
        """Ends the run, or waits if the stream has begun and may go on."""
        if may_repeat and self.responder.head_sent:
            self.tried_peers = frozenset()
            self.search_later(self.resume_within_budget)
            return
        super().end_after_peer(reason, retry_after_s, may_repeat)

    def leave_endpoint(self) -> None:
        """Resumes the stream at a peer, if it may run again."""
        self.resume_elsewhere("no endpoint responds")

    def forward_events(
        self,
        attempt: events.EventSource,
        received: list[events.StreamEvent],
    ) -> bool:
        """Passes new events on; returns False if there is a gap before them.

        Events that the caller already has are dropped.
        """
        new_events: list[bytes] = []
        for event in received:
            if event.event_id is not None:
                if self.last_id is not None:
                    if event.event_id <= self.last_id:
                        continue
                    if event.event_id != self.last_id + 1:
                        return False
                self.last_id = event.event_id
            new_events.append(event.data)
        if not new_events:
            return True
        now = self.loop.time()
        if not self.responder.head_sent:
            assert attempt.head is not None
            self.first_at = now
            self.record_first_event_wait(attempt)
            self.shared.observer.first_seconds.observe(now - self.started_at)
            self.responder.send_head(attempt.head.status, attempt.head.headers)
        elif now - self.progress_at > self.routed.route.event_gap_s:
            self.shared.observer.silence_seconds.observe(now - self.progress_at)
        self.responder.send_data(b"".join(new_events))
        self.events_sent += len(new_events)
        self.progress_at = now
        return True

    @guarded.ends_run_on_exception
    def attempt_ended(
        self,
        attempt: stream_attempt.StreamAttempt,
        ending: path_engines.Ending,
        reason: str,
    ) -> None:
        """Finishes the stream, or continues it elsewhere."""
        if attempt is not self.attempt or self.is_ended:
            return
        self.release_attempt()
        is_complete = ending is path_engines.Ending.WHOLE
        if is_complete and attempt.is_stream and not attempt.splitter.partial:
            self.finish(attempt)
            return
        head = attempt.head
        if is_complete and head is not None and not attempt.is_stream:
            self.handle_failure(attempt, head)
            return
        if is_complete:
            reason = "the stream ended in the middle of an event"
        evidence = path_engines.evidence_of(ending, None)
        if ending is not path_engines.Ending.SPOILT:
            self.links.note_failure(attempt.first.instance, self.loop.time())
        self.failed_engines |= {attempt.first.instance}
        if ending is path_engines.Ending.BROKEN:
            self.shared.crash_watch.note_broken(
                self.routed,
                self.sends,
                attempt.first.instance,
                attempt.first.address,
                attempt.has_progressed(),
            )
        elif ending is path_engines.Ending.NOT_SENT:
            self.note_unreachable(attempt.first.instance)
        self.retry_or_end(attempt, reason, evidence)

    def note_unreachable(self, instance: str) -> None:
        """Records that no connection to an engine could be made."""
        self.shared.lost_engines.suspect(
            instance, engine_tracker.Suspicion.UNREACHABLE
        )

    def finish(self, attempt: stream_attempt.StreamAttempt) -> None:
        """Ends a complete stream."""
        if not self.responder.head_sent:
            assert attempt.head is not None
            self.responder.send_head(attempt.head.status, attempt.head.headers)
        attempt.end_send(request_sends.ANSWERED)
        self.shared.observer.attempts.labels("answered").inc()
        self.shared.crash_watch.note_answered(self.routed)
        self.record_response_time()
        self.responder.finish()
        self.complete()

    def handle_failure(
        self, attempt: stream_attempt.StreamAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Retries after a refusal; passes another error response on."""
        if head.not_run:
            self.avoid_refusing_engine(attempt, head)
            reason = f"refused with {head.status}"
            if head.faulty_address:
                reason += f" for {head.faulty_address}"
            self.retry_or_end(attempt, reason, head.evidence)
            return
        if self.responder.head_sent or not self.may_pass_on(head):
            self.retry_or_end(attempt, f"status {head.status}", None)
            return
        attempt.end_send(request_sends.FAILED)
        self.shared.observer.attempts.labels("failed").inc()
        self.responder.send_whole(
            head.status, head.headers, bytes(attempt.body)
        )
        self.complete()

    def repeat_after_failure(
        self, attempt: stream_attempt.StreamAttempt, head: relayed.ForwardedHead
    ) -> bool:
        """Sends the request elsewhere after an error response.

        Returns:
            False if it may not be sent again.
        """
        if not self.can_retry_while_running():
            return False
        self.failed_engines |= {attempt.first.instance}
        self.retry_or_end(attempt, f"status {head.status}", None)
        return True

    def avoid_refusing_engine(
        self, attempt: stream_attempt.StreamAttempt, head: relayed.ForwardedHead
    ) -> None:
        """Avoids the engine that a refusal names, by default the first one."""
        address = head.faulty_address or attempt.first.address
        for part in attempt.path:
            if part.address != address:
                continue
            if head.status == 421:
                # The address belongs to another engine, or the engine does
                # not hold the layers.
                if self.shared.catalogue.holds(part):
                    self.shared.lost_engines.suspect(
                        part.instance, engine_tracker.Suspicion.REFUSED
                    )
            elif not self.shared.tracker.is_in_backoff(
                part.instance, self.shared.clock.monotonic()
            ):
                self.avoid_and_query(part.instance, part.address)

    def avoid_and_query(self, instance: str, address: str) -> None:
        """Avoids an engine that refused, and triggers queries to it.

        Its report and its health check show whether it is full, draining or
        dead.
        """
        now = self.shared.clock.monotonic()
        self.shared.tracker.note_full(instance, now)
        self.shared.paths.nearly_full[instance] = address
        self.shared.refusing_engines.check(instance)

    def retry_or_end(
        self,
        attempt: stream_attempt.StreamAttempt,
        reason: str,
        evidence: not_run.NotRun | None,
    ) -> None:
        """Retries over another path if that is allowed, else ends the run.

        A request that several engines refused must not count as one that may
        have run: its caller would get a 502, which does not say that nothing
        ran, and would not retry.

        Args:
            attempt: The attempt, which has ended.
            reason: Why it failed.
            evidence: Why it did not run the request; None if it may have.
        """
        is_not_run = evidence is not None
        attempt.end_send(request_sends.FAILED, evidence)
        if evidence is None and self.is_cut_off():
            self.ended_runs.add_cut_off(attempt.first.instance)
        elif evidence is None:
            self.ended_runs.add(attempt.first.instance, self.loop.time())
        allowed = self.try_spend_retry(is_not_run)
        should_wait = not allowed and self.may_wait_for_capacity(is_not_run)
        may_prove_lost = not is_not_run and self.may_wait_for_proof()
        next_step = runs.GIVEN_UP
        if allowed:
            next_step = runs.SENT_ELSEWHERE
        elif should_wait or may_prove_lost:
            next_step = runs.WAITS
        self.log_failed_attempt(attempt.send, reason, next_step, attempt.head)
        if allowed:
            self.begin()
        elif should_wait:
            self.search_later(self.resume_within_budget)
        elif may_prove_lost:
            self.links.want_check(self.loop.time())
            self.search_later(
                functools.partial(self.resume_if_cut_off, attempt, reason)
            )
        elif not (is_not_run and self.pass_to_peer_if_cut_off()):
            self.refuse_no_capacity(reason)

    def resume_if_cut_off(
        self, attempt: stream_attempt.StreamAttempt, reason: str
    ) -> None:
        """Resumes a stream that has used all attempts, or ends it.

        If links fail or engines crash, connections are reset some moments
        before the node knows. An attempt that failed for that reason does not
        count.
        """
        if self.is_ended:
            return
        if self.is_cut_off():
            self.ended_runs.remove(attempt.first.instance)
        if self.may_run_again():
            self.resume_within_budget()
        elif self.may_lose_runs():
            self.search_later(
                functools.partial(self.resume_if_cut_off, attempt, reason)
            )
        else:
            self.refuse_no_capacity(reason)

    def is_cut_off(self) -> bool:
        """Returns whether attempts fail since this node's links do.

        Such attempts don't count against the route's ``max_attempts``. Silence
        of all engines does not show it, as they may all pause.
        """
        return self.links.is_cut_off

    def may_lose_runs(self) -> bool:
        """Returns whether an attempt that counts may turn out not to.

        Its engine may have ended, or this node have lost its links.
        """
        if self.links.is_undecided(self.ended_runs.latest_end()):
            return True
        tracker = self.shared.tracker
        return any(
            not tracker.is_known_ended(run.instance)
            and (
                tracker.seems_dead(run.instance)
                or self.shared.crash_watch.ports.is_checking(run.instance)
            )
            for run in self.ended_runs.attempts
        )

    @guarded.ends_run_on_exception
    def resume_elsewhere(self, reason: str, is_gone: bool = False) -> None:
        """Resumes the stream on another path, or keeps it on the current one.

        It is kept if it may not run again, or if no other path has capacity,
        and the engine may still run it: a live engine counts as lost if it does
        not respond to a probe for a tenth of a second, and may continue the
        response a moment later. The wait ends when the engine is known to have
        ended, the caller disconnects, the connection closes or the route's
        time-out expires.

        Args:
            reason: Reason for the log.
            is_gone: Whether the engine certainly no longer runs the stream.
        """
        attempt = self.attempt
        if attempt is None or self.is_ended or attempt.is_over:
            return
        if not is_gone and not self.can_leave(attempt):
            return
        attempt.is_over = True
        if attempt.forwarded is not None:
            attempt.forwarded.cancel()
        self.release_attempt()
        # One that only pauses is left out while it is silent.
        if not self.shared.tracker.may_continue(attempt.first.instance):
            self.failed_engines |= {attempt.first.instance}
        self.shared.crash_watch.note_unanswered(
            self.routed,
            self.sends,
            attempt.first.instance,
            attempt.has_progressed(),
        )
        self.retry_or_end(attempt, reason, None)

    def can_leave(self, attempt: stream_attempt.StreamAttempt) -> bool:
        """Returns whether the stream can run elsewhere instead.

        The current engine counts as one that may have run the request, unless
        it has ended or this node is cut off from it. If no other engine may run
        the request, an earlier one may run it again, once the current one has
        been silent for longer than a usual pause.
        """
        if self.lacks_resume_point() or not self.can_send_again():
            return False
        first = attempt.first.instance
        is_uncounted = self.is_cut_off() or self.is_uncounted_at(first)
        may_use_another = self.can_retry(int(not is_uncounted))
        if self.links.is_isolated:
            return (
                may_use_another
                and self.links.has_heard_peers(self.loop.time())
                and self.can_pass_to_peer()
            )
        if not may_use_another and not self.shared.tracker.seems_ended(first):
            return False
        current = "" if is_uncounted else first
        avoid = self.avoided_engines(current) | {first}
        return self.choose_unlimited_path(avoid) is not None

    def is_uncounted_at(self, instance: str) -> bool:
        """Returns whether a run at an engine would not count.

        Its silence alone is taken for an end only within a limit.
        """
        tracker = self.shared.tracker
        return tracker.is_known_ended(instance) or (
            tracker.seems_ended(instance)
            and self.shared.unproven_runs.has_room()
        )

    def may_run_again(self) -> bool:
        """Returns whether a new engine, or an earlier one, may run it."""
        return (
            super().may_run_again()
            or self.choose_unlimited_path(self.avoided_engines()) is not None
        )

    async def move(self, away_from: str, is_forced: bool) -> None:
        """Moves the running request off an engine.

        Args:
            away_from: The engine that is lost, shutting down or slow.
            is_forced: Whether the stream would be cut otherwise; if not, it
                moves only within its availability zone.
        """
        attempt = self.attempt
        if (
            attempt is None
            or attempt.is_moving
            or attempt.is_over
            or self.is_ended
        ):
            return
        attempt.is_moving = True
        try:
            await self.move_attempt(attempt, away_from, is_forced)
        finally:
            attempt.is_moving = False

    async def move_attempt(
        self,
        attempt: stream_attempt.StreamAttempt,
        away_from: str,
        is_forced: bool,
    ) -> None:
        """Orders the first engine to use another path.

        Forced moves do not cross zones if the stream can instead be resumed,
        from its last event, on a path within one zone: the engines of that path
        prefill only the prompt. A move to another zone transfers all tokens of
        the request over the link between the zones, and all other streams of
        the zone do the same: 60 streams of 900 tokens keep a link of 26 Gbit/s
        busy for 1.5 seconds, and callers disconnect after two.
        """
        view = self.shared.catalogue.view(self.routed.service)
        if view is None:
            return
        avoid: frozenset[str] = frozenset()
        for _ in range(MAX_MOVE_ORDERS):
            now = self.shared.clock.monotonic()
            chosen = self.shared.paths.find_replacement(
                view, attempt.path, self.tokens, now, avoid
            )
            if chosen is None or chosen.zone_changes:
                if not is_forced:
                    return
                if self.has_single_zone_path(away_from):
                    self.log_move(attempt, away_from, "resumed elsewhere")
                    self.resume_elsewhere("its path lost an engine")
                    return
            if chosen is None:
                self.log_move(attempt, away_from, "no path")
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
        """Orders one move; returns the instance that refused it, or "".

        Repeated orders find several engines that died together, and skip full
        ones, within a few milliseconds each.
        """
        response = await self.shared.engines.repath(
            self.routed.request.request_id, chosen.path, MOVE_TIMEOUT_S
        )
        refused_by = ""
        if response.outcome is path_engines.OrderOutcome.CONFLICT:
            refused_by = next(
                (
                    part.instance
                    for part in chosen.path[1:]
                    if part.address == response.faulty_address
                ),
                "",
            )
        self.log_move(
            attempt,
            away_from,
            response.outcome.value,
            format_path(chosen.path),
            refused_by,
        )
        if attempt.is_over or attempt is not self.attempt:
            return ""
        if response.outcome in (
            path_engines.OrderOutcome.DONE,
            path_engines.OrderOutcome.BEGUN,
        ):
            self.shared.tracker.remove(attempt.counted_parts, self.tokens)
            attempt.path, attempt.counted_parts = chosen.path, chosen.used
            self.shared.tracker.add(attempt.counted_parts, self.tokens)
            attempt.active_at = self.loop.time()
        if refused_by:
            self.avoid_and_query(refused_by, response.faulty_address)
        return refused_by

    def has_single_zone_path(self, away_from: str) -> bool:
        """Returns whether a path within a single zone could run the request."""
        if not self.can_retry_while_running():
            return False
        found = self.choose_unlimited_path(self.failed_engines)
        return (
            found is not None
            and not found.zone_changes
            and all(part.instance != away_from for part in found.path)
        )

    def log_move(
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
        """Ends the run, as the caller has disconnected.

        If no event has arrived, the wait may count against the first engine.
        """
        if self.attempt is not None and not self.responder.head_sent:
            self.record_no_first_event(self.attempt)
        super().caller_gone()

    def record_no_first_event(
        self, attempt: stream_attempt.StreamAttempt
    ) -> None:
        """Counts a missing first event against the first engine.

        Only if the wait was at least ``NO_EVENT_SHARE`` of the silence after
        which callers disconnect.
        """
        waited_s = self.loop.time() - attempt.sent_at
        if waited_s >= NO_EVENT_SHARE * self.routed.route.abandon_after_s:
            now = self.shared.clock.monotonic()
            self.shared.tracker.note_no_first_event(attempt.first.instance, now)

    def avoid_for_new_streams(
        self, attempt: stream_attempt.StreamAttempt
    ) -> None:
        """Makes new streams avoid an engine that completes no event."""
        now = self.shared.clock.monotonic()
        self.shared.tracker.note_no_first_event(attempt.first.instance, now)

    def release_attempt(self) -> None:
        """Drops the current attempt and its load in the engine tracker."""
        attempt = self.attempt
        self.attempt = None
        if self.first_event_timer is not None:
            self.first_event_timer.cancel()
        if attempt is not None:
            self.shared.tracker.remove(attempt.counted_parts, self.tokens)

    def cancel_work(self) -> None:
        """Cancels the work of engines."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        attempt = self.attempt
        if attempt is None:
            return
        attempt.is_over = True
        attempt.end_send(request_sends.CANCELLED)
        if attempt.forwarded is not None:
            attempt.forwarded.cancel()
        self.release_attempt()

    def expected_response_tokens(self) -> float:
        """Returns the expected tokens of the response."""
        return self.response_tokens

    def sent_event_count(self) -> int:
        """Returns the number of events sent to the caller."""
        return self.events_sent


def format_path(path: relayed.Path) -> str:
    """Formats a path for the log."""
    return ",".join(f"{p.address}={p.start}-{p.end}" for p in path)
