"""Common base of streams and plain requests: deadlines, endings and logging."""

from __future__ import annotations

import abc
import asyncio
import traceback
from typing import TYPE_CHECKING

from almondshift import errors
from almondshift import log_events
from almondshift.model import not_run
from almondshift.model import routes
from almondshift.policy import answer_times
from almondshift.policy import isolation
from almondshift.policy import possible_runs
from almondshift.policy import request_sends
from almondshift.ports import path_engines
from almondshift.ports import peer_entries
from almondshift.ports import relays
from almondshift.relay import guarded
from almondshift.relay import peer_attempt
from almondshift.relay import retry_cover

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import registered_engines
    from almondshift.model import relayed
    from almondshift.model import routed_requests
    from almondshift.relay import context
    from almondshift.relay import events

MAX_SENDS = 4
"""Maximum number of sends of one request, refused ones included. The route's
``max_attempts`` limits only sends after which an endpoint may have run it."""

RETRY_FLOOR_S = 0.6
RETRY_CEILING_S = 1.6
"""Range of Retry-After, in seconds: the time in which lost layers are loaded or
a burst has passed, randomised so that callers do not return together."""

BACKOFF_JITTER_S = 0.5
"""Maximum random time after the end of a backoff at which callers may return,
in seconds."""

LEAVING_RETRY_S = 0.05
"""Retry-After of a node that shuts down, in seconds; other nodes accept
requests at once."""

LIMITED_RETRY_FLOOR_S = 0.1
"""Minimum Retry-After of a request that only rate-limited endpoints could
serve, in seconds."""

ANSWERED = "ok"
"""Metric label of a run whose response is complete."""

MAX_PEERS = 3
"""Maximum number of peers that one request is passed to."""

MAX_DENIED_PERMITS = 8
"""Maximum number of endpoints that are asked for on behalf of one request and
that take no more requests now."""

LINKS_POLL_S = 0.02
"""Interval at which a request of a peer reads whether endpoints have responded,
in seconds."""

LINKS_VERDICT_S = 0.6
"""Time for which such a request waits for that, in seconds; longer than two
rounds of queries."""

LINKS_RETRY_S = 0.15
"""Interval at which a request that waits for endpoints to respond again checks
whether they do, in seconds."""

MAX_SILENCE_S = 2.0
"""Silence of all endpoints after which requests no longer wait for them, in
seconds; longer than a pause and the checks that notice its end."""

KINDS_BEFORE_ENDPOINT = (errors.ServiceNotReady.kind, errors.NoRoomForPeer.kind)
"""Kinds of a peer's refusal of a request that it sent to no endpoint."""

SPENT_BUDGET = "The retry budget of this node is spent."
"""Reason of a refusal."""

FAILED_HERE = "This node failed while it handled the request."
"""Reason of an answer after an unforeseen exception."""

BUFFERS_FULL = "This node buffers as many bytes as it can."
"""Reason of a refusal."""

SENT_ELSEWHERE = "sent elsewhere"
"""Logged next step of a failed attempt: the request is sent again at once."""

WAITS = "waits for room"
"""Logged next step of a failed attempt: a stream that has begun waits for
capacity or retry budget."""

MAX_LOGGED_ERROR = 300
"""Maximum number of characters of an exception in a log line."""

MAX_LOGGED_PARTS = 8
"""Maximum number of parts of a prompt in a log line."""

GIVEN_UP = "given up"
"""Logged next step of a failed attempt: the request is not sent again."""


class Run(relays.ActiveRequest, guarded.GuardedRun):
    """A request that is being served, by one or more attempts in turn.

    Every attempt counts in ``sends``. It also counts in ``ended_runs`` once it
    has ended without evidence that it did not run the request.

    Attributes:
        started_at: Loop time of its arrival.
        deadline_at: Loop time at which this node ends the request: the caller's
            deadline, or the time-out of its route if that comes first.
        links: State of the links to the service's endpoints.
        sends: Number of times it was sent.
        ended_runs: Ended attempts that may have run it.
        all_sends: Every send to an endpoint or a peer, the current one
            included.
        cover: Retry budget for its sends.
        peer_attempt: The current attempt to have a peer serve it.
        tried_peers: Names of the peers that it was passed to.
        unreached_peers: Number of these that reach no endpoint either.
        links_asked_at: Loop time at which the links were to be checked before
            a peer's request is sent; None before that.
        denied_permits: Endpoints that take no more requests now, at the latest
            search.
    """

    def __init__(
        self,
        routed: routed_requests.RoutedRequest,
        responder: relays.Responder,
        shared: context.RelayContext,
    ) -> None:
        self.routed = routed
        self.responder = responder
        self.shared = shared
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        wait_s = routed.route.timeout_s
        if routed.request.wait_s is not None:
            wait_s = min(wait_s, routed.request.wait_s)
        self.deadline_at = self.started_at + wait_s
        self.links = shared.links.of(routed.service)
        self.sends = 0
        self.ended_runs = possible_runs.PossibleRuns(routed.possible_runs)
        self.all_sends = request_sends.RequestSends()
        self.denied_permits = 0
        self.cover = retry_cover.RetryCover(routed, self.all_sends, shared)
        self.peer_attempt: peer_attempt.PeerAttempt | None = None
        self.tried_peers: frozenset[str] = frozenset()
        self.unreached_peers = 0
        self.links_asked_at: float | None = None
        self.is_ended = False
        self.timer = self.loop.call_at(self.deadline_at, self.time_out)
        shared.running.add(self)

    @property
    def waiting_since(self) -> float | None:
        """Loop time since which an endpoint has sent no data.

        None if no endpoint works on the request.
        """
        return None

    @property
    def possible_runs(self) -> int:
        """Number of endpoints that count as having run the request."""
        for cut in self.links.cuts:
            self.ended_runs.remove_within(cut.began_at, cut.ended_at)
        tracker = self.shared.tracker
        known = self.ended_runs.count(tracker.is_known_ended)
        without_silent = self.ended_runs.count(tracker.seems_ended)
        if without_silent < known and self.shared.unproven_runs.has_room():
            return without_silent
        return known

    @property
    def may_have_run(self) -> bool:
        """Whether any endpoint may have begun to run it."""
        return self.all_sends.may_have_run

    @guarded.ends_run_on_exception
    def begin(self) -> None:
        """Sends the request, unless this node stops before it would complete.

        A node that shuts down would close the connection in the middle of the
        response. An immediate refusal that states that nothing was run is
        better for the caller, as another node has time to serve the request.
        """
        if self.is_ended:
            return
        if self.shared.crash_watch.is_refused(self.routed):
            self.refuse_crashing()
            return
        if not self.may_have_run and not self.can_end_in_time():
            self.refuse_leaving()
        elif self.must_verify_links():
            self.await_verdict()
        else:
            self.dispatch()

    def must_verify_links(self) -> bool:
        """Returns whether endpoints must respond before the request is sent.

        The peer that passed it on has lost its links, and this node may have
        lost its own at the same moment. What it sends could not be refused as
        not run any more, and would wait until its deadline.
        """
        if not self.routed.from_peer or self.sends:
            return False
        now = self.loop.time()
        if self.links.has_heard_lately(now):
            return False
        asked_at = self.links_asked_at
        if asked_at is None:
            return True
        if now - asked_at >= LINKS_VERDICT_S:
            return False
        judging = self.shared.links.judged_by(self.routed.service)
        return bool(judging) and not any(
            links.last_response_at >= asked_at for links in judging
        )

    def await_verdict(self) -> None:
        """Sends the request once endpoints respond; refuses it if none do."""
        judging = self.shared.links.judged_by(self.routed.service)
        if judging and all(links.is_isolated for links in judging):
            self.refuse(
                errors.ServiceNotReady(
                    "This node reaches no endpoint of the service.",
                    retry_after_s=self.retry_s(),
                )
            )
            return
        now = self.loop.time()
        if self.links_asked_at is None:
            self.links_asked_at = now
            for links in judging:
                links.want_check(now, isolation.CheckReason.PEER_REQUEST)
        self.loop.call_later(LINKS_POLL_S, self.begin)

    def refuse_leaving(self) -> None:
        """Refuses a request that was not sent, as this node stops."""
        self.refuse(
            errors.NodeLeaving(
                "This node stops before the response would be complete.",
                retry_after_s=LEAVING_RETRY_S,
            )
        )

    @abc.abstractmethod
    def dispatch(self) -> None:
        """Sends the request to an endpoint or path, or refuses it."""

    @property
    def expects_stream(self) -> bool:
        """Whether a successful response is a stream of events."""
        return False

    def last_event_id(self) -> str:
        """Returns the last event that the caller has; "" for none."""
        return self.routed.request.last_event_id

    def forward_events(
        self, attempt: events.EventSource, received: list[events.StreamEvent]
    ) -> bool:
        """Passes new events of a stream on; returns False if it is invalid."""
        del attempt, received
        return False

    def may_send(self) -> bool:
        """Returns whether the request may be sent.

        Each send passes this check, whatever led to it: a request that may not
        be repeated is sent again only with evidence that no earlier send ran
        it. The run ends if no send is left that could still be answered.

        Time passes between the choice of an endpoint and the send, for example
        until a permit is granted, and this node may stop meanwhile.
        """
        if not self.may_have_run and not self.can_end_in_time():
            self.refuse_leaving()
            return False
        if self.routed.route.may_repeat or not self.may_have_run:
            return True
        self.shared.observer.emit(
            log_events.RepeatPrevented(
                request_id=self.routed.request.request_id,
                service=self.routed.service,
                sends=str(self.all_sends),
            )
        )
        if not self.all_sends.is_open:
            self.refuse(self.may_have_run_error("It may not be repeated."))
        return False

    def may_send_to_endpoint(self) -> bool:
        """Returns whether the request may be sent to an endpoint now.

        Otherwise the run ends, or waits for retry budget.
        """
        if not self.may_send():
            return False
        if not self.cover.obtain():
            self.handle_spent_budget()
            return False
        return True

    @abc.abstractmethod
    def handle_spent_budget(self) -> None:
        """Ends a run that may not be sent again now, or makes it wait."""

    def pass_to_peer(self) -> bool:
        """Has a peer serve the request.

        Returns:
            False if none can, if no more endpoints may run the request, or if
            it has arrived somewhere and the retry budget is spent.
        """
        if not self.may_send():
            return False
        if self.possible_runs >= self.routed.route.max_attempts:
            return False
        if not self.routed.may_go_to_peer or self.has_tried_all_peers():
            return False
        paths = self.shared.peer_paths
        peer = paths.choose(self.routed.service, self.tried_peers)
        if peer is None:
            self.log_no_peer()
            return False
        if not self.cover.obtain():
            return False
        self.cover.record_send(peer.name)
        self.record_run(peer.name)
        self.tried_peers |= {peer.name}
        paths.started(peer.name)
        max_attempts = self.routed.route.max_attempts
        granted_runs = possible_runs.granted_runs(
            self.possible_runs, max_attempts, not self.can_pass_to_peer()
        )
        attempt = peer_attempt.PeerAttempt(self, peer, granted_runs)
        self.peer_attempt = attempt
        self.shared.observer.emit(
            log_events.RequestPassedToPeer(
                request_id=self.routed.request.request_id,
                service=self.routed.service,
                peer=peer.name,
                isolated=self.links.is_isolated,
                remaining_s=round(self.remaining_s(), 3),
                events_sent=self.sent_event_count(),
                served_s=paths.served_s(self.routed.service, peer.name),
                isolated_peers=paths.states(self.routed.service).isolated,
            )
        )
        attempt.forwarded = paths.entries.forward(
            self.routed.request,
            peer_entries.PeerForwarding(
                address=peer.entry_address,
                remaining_s=self.remaining_s(),
                last_event_id=self.last_event_id(),
                possible_runs=max(0, max_attempts - granted_runs),
                limit=routes.RunLimit(
                    granted_runs, self.routed.route.may_repeat
                ),
            ),
            attempt,
        )
        return True

    def record_run(self, target: str) -> None:
        """Records that one more engine may run the request.

        Args:
            target: Instance of the engine, or name of the peer.
        """
        runs = self.ended_runs
        tracker = self.shared.tracker
        max_attempts = self.routed.route.max_attempts
        if target in runs.instances():
            return
        if runs.all_engines() >= max_attempts:
            self.log_uncounted(target)
        if runs.count(tracker.is_known_ended) < max_attempts:
            return
        silent = frozenset(
            instance
            for instance in runs.instances()
            if not tracker.is_known_ended(instance)
            and tracker.seems_ended(instance)
        )
        self.shared.unproven_runs.take(silent)
        self.shared.observer.unproven_runs.inc()
        self.shared.observer.emit(
            log_events.RunUnproven(
                request_id=self.routed.request.request_id,
                service=self.routed.service,
                target=target,
                max_attempts=max_attempts,
                silent=",".join(sorted(silent)),
            )
        )

    def log_uncounted(self, target: str) -> None:
        """Logs that earlier engines don't count against the limit, and why."""
        self.shared.observer.uncounted_runs.inc()
        self.shared.observer.emit(
            log_events.RunUncounted(
                request_id=self.routed.request.request_id,
                service=self.routed.service,
                target=target,
                max_attempts=self.routed.route.max_attempts,
                uncounted=self.uncounted_runs(),
            )
        )

    def can_pass_to_peer(self) -> bool:
        """Returns whether a peer may serve the request."""
        if not self.routed.may_go_to_peer or self.has_tried_all_peers():
            return False
        paths = self.shared.peer_paths
        return paths.choose(self.routed.service, self.tried_peers) is not None

    def has_tried_all_peers(self) -> bool:
        """Returns whether the request may be passed to no more peers.

        Peers that reach no endpoint don't count, as they refuse it at once.
        """
        return len(self.tried_peers) - self.unreached_peers >= MAX_PEERS

    def may_await_endpoints(self) -> bool:
        """Returns whether to wait until this node reaches endpoints again.

        If all endpoints pause, no node reaches any for about a second. A
        request that left one of them can't be refused as not run, and could
        still be served after the pause. A longer silence is no pause.
        """
        return (
            self.may_have_run
            and self.links.is_isolated
            and not self.links.is_isolated_for(MAX_SILENCE_S, self.loop.time())
            and self.routed.route.may_repeat
            and self.possible_runs < self.routed.route.max_attempts
        )

    def await_endpoints(self) -> None:
        """Sends the request once this node or a peer reaches endpoints."""
        self.loop.call_later(LINKS_RETRY_S, self.begin_if_reachable)

    @guarded.ends_run_on_exception
    def begin_if_reachable(self) -> None:
        """Waits on, or sends the request if endpoints or a peer respond."""
        if self.is_ended:
            return
        if self.may_await_endpoints() and not self.can_pass_to_peer():
            self.await_endpoints()
        else:
            self.begin()

    def log_no_peer(self) -> None:
        """Logs why no peer can serve the request."""
        states = self.shared.peer_paths.states(self.routed.service)
        self.shared.observer.emit(
            log_events.PeersUnavailable(
                request_id=self.routed.request.request_id,
                service=self.routed.service,
                tried=len(self.tried_peers),
                isolated=states.isolated,
                left_out=states.left_out,
                others=states.others,
            )
        )

    def seems_cut_off(self) -> bool:
        """Returns whether peers may reach endpoints that this node doesn't."""
        return self.links.is_link_suspect(
            self.loop.time()
        ) or self.shared.peer_paths.lacks_endpoints(self.routed.service)

    def pass_to_peer_if_cut_off(self) -> bool:
        """Has a peer serve the request if this node seems cut off."""
        return self.seems_cut_off() and self.pass_to_peer()

    @guarded.ends_run_on_exception
    def peer_attempt_ended(
        self,
        attempt: peer_attempt.PeerAttempt,
        ending: path_engines.Ending,
        reason: str,
    ) -> None:
        """Passes the response on, or continues elsewhere."""
        if attempt is not self.peer_attempt or self.is_ended:
            return
        self.release_peer_attempt()
        head = attempt.head
        is_complete = ending is path_engines.Ending.WHOLE and head is not None
        if is_complete and attempt.is_whole_stream():
            attempt.end_send(request_sends.ANSWERED)
            self.shared.observer.via_peers.labels("answered").inc()
            self.finish_from_peer()
            return
        if (
            is_complete
            and head is not None
            and self.may_pass_on(head)
            and not self.responder.head_sent
            and not attempt.is_stream
        ):
            attempt.end_send(request_sends.ANSWERED)
            self.shared.observer.via_peers.labels("answered").inc()
            self.responder.send_whole(
                head.status, head.headers, bytes(attempt.body)
            )
            self.complete()
            return
        if is_complete and head is not None:
            reason = f"peer responded with {head.status}"
        evidence = path_engines.evidence_of(ending, head)
        is_refused = evidence is not_run.NotRun.PEER
        kind = attempt.refusal_kind() if is_refused else ""
        is_unreached = (
            evidence is not_run.NotRun.NO_CONNECTION
            or kind in KINDS_BEFORE_ENDPOINT
        )
        self.shared.observer.via_peers.labels("failed").inc()
        if not is_refused:
            self.shared.peer_paths.note_failed(attempt.peer.name)
        elif kind == errors.ServiceNotReady.kind:
            self.unreached_peers += 1
            self.shared.peer_paths.note_unreached(
                self.routed.service, attempt.peer.name
            )
        self.continue_after_peer(attempt, reason, evidence, is_unreached)

    def continue_after_peer(
        self,
        attempt: peer_attempt.PeerAttempt,
        reason: str,
        evidence: not_run.NotRun | None,
        is_unreached: bool,
    ) -> None:
        """Continues after a peer that did not serve the request.

        Args:
            attempt: The attempt.
            reason: Why the peer did not serve it.
            evidence: Why it did not run; None if it may have.
            is_unreached: Whether it sent the request to no endpoint.
        """
        # Peers share the endpoints. If a request asked several of them for
        # room, it would take that of their own callers, who ask once.
        is_full = attempt.refusal_kind() == errors.NoRoomForPeer.kind
        attempt.end_send(request_sends.FAILED, evidence)
        if is_unreached:
            attempt.send.may_have_arrived = False
        if evidence is None:
            self.ended_runs.add_settled(attempt.granted_runs)
        may_repeat = evidence is not None or (
            self.routed.route.may_repeat
            and self.possible_runs < self.routed.route.max_attempts
        )
        is_allowed = (
            may_repeat
            and not is_full
            and not self.has_tried_all_peers()
            and self.cover.obtain()
        )
        self.log_failed_attempt(
            attempt.send, reason, SENT_ELSEWHERE if is_allowed else GIVEN_UP
        )
        if is_allowed:
            self.begin()
        else:
            self.end_after_peer(reason, attempt.retry_after_s(), may_repeat)

    def end_after_peer(
        self, reason: str, retry_after_s: float | None, may_repeat: bool
    ) -> None:
        """Ends the run after peers did not serve the request.

        Args:
            reason: Why the last peer did not.
            retry_after_s: Retry-After of the last peer; None for none.
            may_repeat: Whether the request may be sent again.
        """
        if may_repeat and self.may_await_endpoints():
            self.await_endpoints()
            return
        if self.may_have_run:
            self.refuse(self.may_have_run_error(reason))
            return
        if retry_after_s is None:
            retry_after_s = self.retry_s()
        self.refuse(errors.Overloaded(reason, retry_after_s=retry_after_s))

    def finish_from_peer(self) -> None:
        """Ends a stream that a peer completed."""
        self.responder.finish()
        self.complete()

    def release_peer_attempt(self) -> None:
        """Drops the current attempt of a peer."""
        attempt = self.peer_attempt
        self.peer_attempt = None
        if attempt is not None:
            self.shared.peer_paths.ended(attempt.peer.name)

    @abc.abstractmethod
    def leave_endpoint(self) -> None:
        """Moves the request to a peer, if it may run again.

        Called when this node has lost its links to all endpoints.
        """

    def send_with_permit(self, instance: str, send: Callable[[], None]) -> None:
        """Sends the request once that keeps the endpoint's rate limit.

        Without a permit, another endpoint is chosen.

        Args:
            instance: The endpoint.
            send: Sends the request there.
        """
        limits = self.shared.limits
        if not limits.is_limited(instance):
            send()
        elif limits.decides_here(instance):
            priority = self.routed.priority
            self.send_or_choose_again(
                limits.request_here(instance, priority), send
            )
        else:
            limits.work.run(self.await_permit(instance, send))

    async def await_permit(
        self, instance: str, send: Callable[[], None]
    ) -> None:
        """Asks a peer for a permit, then sends or chooses again."""
        priority = self.routed.priority
        is_granted = await self.shared.limits.request(instance, priority)
        if not self.is_ended:
            self.send_or_choose_again(is_granted, send)

    @guarded.ends_run_on_exception
    def send_or_choose_again(
        self, is_granted: bool, send: Callable[[], None]
    ) -> None:
        """Sends the request, or chooses another endpoint for it."""
        if is_granted:
            self.denied_permits = 0
            send()
            return
        self.denied_permits += 1
        self.begin()

    @abc.abstractmethod
    def expected_response_tokens(self) -> float:
        """Returns the expected tokens of the response; 0 if it has none."""

    def can_end_in_time(self) -> bool:
        """Returns whether the response is complete before this node stops."""
        left_s = self.shared.drain.left_s()
        if self.deadline_at - self.loop.time() <= left_s:
            return True
        unfinished = [
            answer_times.UnfinishedAnswer(
                run.expected_response_tokens(), run.elapsed_s()
            )
            for run in self.shared.running
            if isinstance(run, Run)
            and run.routed.service == self.routed.service
        ]
        expected_s = self.shared.response_times.expected_s(
            self.routed.service, self.expected_response_tokens(), unfinished
        )
        return expected_s <= left_s

    def record_response_time(self) -> None:
        """Records how long a complete response took.

        Streams that the caller resumed are left out, as only their remaining
        events were sent.
        """
        if self.routed.request.last_event_id:
            return
        self.shared.response_times.note(
            self.routed.service,
            self.expected_response_tokens(),
            self.loop.time() - self.started_at,
        )

    @abc.abstractmethod
    def cancel_work(self) -> None:
        """Cancels the work of endpoints."""

    @abc.abstractmethod
    def sent_event_count(self) -> int:
        """Returns the number of events sent to the caller.

        The log also uses it as the number of tokens.
        """

    def remaining_s(self) -> float:
        """Returns the seconds for which endpoints and peers may work on it.

        They have no more time than this node: an endpoint that reads a request
        late, and whose work was given to another one meanwhile, stops sooner.
        """
        return max(0.0, self.deadline_at - self.loop.time())

    def close(self) -> bool:
        """Ends the run; returns whether it had not ended before."""
        if self.is_ended:
            return False
        self.is_ended = True
        self.timer.cancel()
        if self.peer_attempt is not None:
            self.peer_attempt.end_send(request_sends.CANCELLED)
            self.peer_attempt.cancel()
            self.release_peer_attempt()
        self.cancel_work()
        self.shared.running.discard(self)
        return True

    def complete(self) -> None:
        """Ends a run whose response is complete."""
        if not self.close():
            return
        self.shared.observer.ended.labels(ANSWERED).inc()
        self.shared.observer.emit(
            log_events.RequestAnswered(
                request_id=self.routed.request.request_id,
                account=self.routed.account,
                service=self.routed.service,
                tokens=self.sent_event_count(),
                seconds=self.elapsed_s(),
                recoveries=max(0, self.sends - 1),
                sends=str(self.all_sends),
            )
        )

    def refuse(self, error: errors.AlmondshiftError) -> None:
        """Ends a run with an error, or aborts a response that has begun."""
        if not self.close():
            return
        observer = self.shared.observer
        observer.ended.labels(error.kind).inc()
        if self.responder.head_sent:
            observer.emit(self.abandoned_event(error.kind))
            self.responder.abort()
            return
        observer.emit(
            log_events.RequestRefused(
                request_id=self.routed.request.request_id,
                account=self.routed.account,
                service=self.routed.service,
                kind=error.kind,
                execution=error.execution.value,
                seconds=self.elapsed_s(),
                reason=error.detail,
                sends=str(self.all_sends),
            )
        )
        self.responder.fail(error)

    def abandoned_event(self, kind: str) -> log_events.RequestAbandoned:
        """Creates the log event of an incomplete response."""
        return log_events.RequestAbandoned(
            request_id=self.routed.request.request_id,
            account=self.routed.account,
            service=self.routed.service,
            kind=kind,
            tokens=self.sent_event_count(),
            sends=str(self.all_sends),
        )

    def end_after_exception(self, error: Exception) -> None:
        """Ends the run after an exception that nothing else handles."""
        emit_unforeseen(self.shared, self.routed.request, error)
        if self.may_have_run:
            self.refuse(self.may_have_run_error(FAILED_HERE))
        else:
            self.refuse(
                errors.ServiceNotReady(
                    FAILED_HERE,
                    retry_after_s=self.shared.rng.uniform(
                        RETRY_FLOOR_S, RETRY_CEILING_S
                    ),
                )
            )

    def refuse_no_capacity(self, reason: str) -> None:
        """Ends a run that found no capacity.

        The error differs if an endpoint may have begun to run the request.
        """
        self.check_links()
        if self.may_have_run:
            self.refuse(errors.UpstreamFailed(reason))
            return
        retry_s = self.retry_s()
        if self.routed.from_peer and not self.all_sends.arrivals:
            # The peer needs no retry budget to pass the request to another.
            if self.seems_cut_off():
                self.refuse(
                    errors.ServiceNotReady(reason, retry_after_s=retry_s)
                )
            else:
                self.refuse(errors.NoRoomForPeer(reason, retry_after_s=retry_s))
            return
        self.refuse(errors.Overloaded(reason, retry_after_s=retry_s))

    def check_links(self) -> None:
        """Has this node's links checked if endpoints seem unreachable.

        What is refused isn't sent, so it shows no failure that starts a check.
        """
        now = self.loop.time()
        if not self.links.is_check_due(now):
            return
        if self.shared.peer_paths.recent_lost_share(self.routed.service) > 0:
            self.links.want_check(now)

    def refuse_crashing(self) -> None:
        """Ends a run of a request that crashes endpoints."""
        refusal = self.shared.crash_watch.refusal(self.routed)
        if self.may_have_run:
            self.refuse(self.may_have_run_error(refusal.detail))
            return
        self.refuse(refusal)

    def refuse_limited(self) -> None:
        """Ends a run that only rate-limited endpoints could serve."""
        reason = "The endpoints that could serve this request are rate-limited."
        if self.may_have_run:
            self.refuse(errors.UpstreamFailed(reason))
            return
        wait_s = self.shared.limits.retry_s() * self.shared.rng.uniform(
            1.0, 1.3
        )
        retry_s = max(LIMITED_RETRY_FLOOR_S, wait_s)
        self.refuse(errors.Overloaded(reason, retry_after_s=retry_s))

    def retry_s(self) -> float:
        """Returns the Retry-After of a refused request, in seconds.

        If all endpoints are in a backoff, not before the first of these ends.
        """
        backoff_s = self.backoff_left_s()
        if backoff_s > 0:
            return backoff_s + self.shared.rng.uniform(0.0, BACKOFF_JITTER_S)
        return self.shared.rng.uniform(RETRY_FLOOR_S, RETRY_CEILING_S)

    def backoff_left_s(self) -> float:
        """Returns when the first backoff ends, in seconds from now.

        0 if any endpoint that the request could be sent to has none.
        """
        tracker = self.shared.tracker
        now = self.shared.clock.monotonic()
        instances = [
            engine.instance
            for engine in self.entrances()
            if not engine.leaving and not tracker.is_suspect(engine.instance)
        ]
        if not all(tracker.is_in_backoff(i, now) for i in instances):
            return 0.0
        return tracker.shortest_backoff_s(instances, now)

    def entrances(self) -> list[registered_engines.RegisteredEngine]:
        """Returns the endpoints that requests of the service are sent to."""
        return self.shared.catalogue.of_service(self.routed.service)

    def caller_gone(self) -> None:
        """Ends the run, as the caller has disconnected."""
        if not self.close():
            return
        self.responder.ended = True
        self.shared.observer.ended.labels("abandoned").inc()
        self.shared.observer.emit(self.abandoned_event("caller_gone"))

    def time_out(self) -> None:
        """Ends a run whose deadline has passed."""
        detail = "The deadline of this request has passed."
        if self.may_have_run:
            self.refuse(errors.DeadlineExceeded(detail))
        else:
            self.refuse(errors.DeadlinePast(detail))

    def cut(self) -> None:
        """Ends the run early, as the node stops.

        If the response has not begun, the caller receives an error that says
        whether the request may have run. A closed connection alone would leave
        that open.
        """
        self.log_cut()
        if not self.may_have_run:
            self.refuse_leaving()
            return
        self.refuse(
            self.may_have_run_error("This node stopped before the response.")
        )

    def shed(self) -> None:
        """Ends the run, as the node buffers too many bytes."""
        if self.may_have_run:
            self.refuse(self.may_have_run_error(BUFFERS_FULL))
        else:
            self.refuse(
                errors.Overloaded(BUFFERS_FULL, retry_after_s=self.retry_s())
            )

    def may_have_run_error(self, reason: str) -> errors.AlmondshiftError:
        """Returns the error of a request that may have run."""
        if self.routed.route.may_repeat:
            return errors.UpstreamFailed(reason)
        return errors.OutcomeUnknown(reason)

    def may_pass_on(self, head: relayed.ForwardedHead) -> bool:
        """Returns whether the caller may get an endpoint's response unchanged.

        The endpoint must have marked it as its own. The caller of a
        non-idempotent request that may have run must not get a status by which
        it would send the request again.
        """
        return head.genuine and (
            self.routed.route.may_repeat
            or head.status not in not_run.NOT_RUN_STATUSES
        )

    def log_cut(self) -> None:
        """Logs that this run was cut because the node stops."""
        self.shared.observer.emit(
            log_events.AnswerAborted(
                request_id=self.routed.request.request_id,
                service=self.routed.service,
                age_s=self.elapsed_s(),
                draining_s=round(self.shared.drain.since_s(), 3),
                tokens=self.sent_event_count(),
            )
        )

    def log_forwarded(
        self, path: str, instances: str, load: float, remaining_s: float
    ) -> None:
        """Logs that the request is sent to an endpoint or over a path."""
        self.shared.observer.emit(
            log_events.RequestForwarded(
                request_id=self.routed.request.request_id,
                service=self.routed.service,
                path=path,
                instances=instances,
                attempt=self.sends,
                remaining_s=round(remaining_s, 3),
                load=load,
                config_version=self.routed.config_version,
                registry_age_s=round(self.shared.registry_age_s(), 2),
            )
        )

    def log_failed_attempt(
        self,
        send: request_sends.Send,
        reason: str,
        next_step: str,
        head: relayed.ForwardedHead | None = None,
    ) -> None:
        """Logs and counts a failed attempt.

        Args:
            send: The send, which has ended.
            reason: Why it failed.
            next_step: What becomes of the request.
            head: The head of the response, if there was one.
        """
        evidence = send.evidence
        observer = self.shared.observer
        observer.attempts.labels("failed").inc()
        if evidence is not None:
            observer.not_run.labels(evidence.value).inc()
        observer.emit(
            log_events.AttemptFailed(
                request_id=self.routed.request.request_id,
                endpoint=send.target,
                reason=reason,
                not_run=evidence is not None,
                events_sent=self.sent_event_count(),
                next_step=next_step,
                prompt_parts=format_parts(self.routed.request.prompt_parts),
                backoff_s=head.backoff_s if head is not None else 0.0,
                leaving=head is not None and head.is_leaving,
                endpoint_state=self.endpoint_state(send.target),
                possible_runs=self.possible_runs,
                max_attempts=self.routed.route.max_attempts,
                uncounted=self.uncounted_runs(),
                evidence="" if evidence is None else evidence.value,
                connection=send.connection,
            )
        )

    def uncounted_runs(self) -> str:
        """Lists the engines that don't count as runs, and why, for the log."""
        tracker = self.shared.tracker
        runs = self.ended_runs
        reasons = dict.fromkeys(runs.cut_off, "cut off")
        for instance in runs.instances():
            if tracker.seems_ended(instance):
                reasons[instance] = tracker.ended.get(instance, "silent")
        return ",".join(f"{i}: {reasons[i]}" for i in sorted(reasons))

    def endpoint_state(self, instance: str) -> str:
        """Returns what this node knows of an endpoint, for the log."""
        if self.links.is_isolated or self.links.is_link_suspect(
            self.loop.time()
        ):
            return "cut off"
        state = self.shared.tracker.states.get(instance)
        if state is None or state.reason is None:
            return "no suspicion"
        return state.reason.value

    def elapsed_s(self) -> float:
        """Returns the seconds since arrival, rounded for the log."""
        return round(self.loop.time() - self.started_at, 4)

    def may_run_again(self) -> bool:
        """Returns whether some endpoint may run the request once more."""
        return self.possible_runs < self.routed.route.max_attempts

    def can_retry_while_running(self) -> bool:
        """Returns whether a running request may be run on another endpoint.

        Counts the current attempt as one that may have run the request, as its
        engine is alive.
        """
        return self.can_retry(1)

    def can_retry(self, current_runs: int) -> bool:
        """Returns whether the request may be sent to another endpoint.

        Spends no retry budget.

        Args:
            current_runs: 1 if the current attempt counts as a run, else 0.
        """
        return (
            self.can_send_again()
            and self.possible_runs + current_runs
            < self.routed.route.max_attempts
        )

    def can_send_again(self) -> bool:
        """Returns whether a request that may have run can be sent again."""
        return (
            self.routed.route.may_repeat
            and self.sends < MAX_SENDS
            and self.cover.is_available()
        )

    def try_spend_retry(self, is_not_run: bool) -> bool:
        """Spends retry budget; returns whether the request may be sent again.

        A request that may have run is retried only if its route allows it, and
        only while some endpoint may run it again.

        Args:
            is_not_run: Whether the last endpoint did not run the request.
        """
        route = self.routed.route
        if self.sends >= MAX_SENDS:
            return False
        if self.shared.crash_watch.is_refused(self.routed):
            return False
        if not is_not_run and not route.may_repeat:
            return False
        if not is_not_run and not self.may_run_again():
            return False
        return self.cover.obtain()


def emit_unforeseen(
    shared: context.RelayContext,
    request: relayed.RelayedRequest,
    error: Exception,
) -> None:
    """Logs an unforeseen exception, and where it was raised."""
    raised_at = traceback.extract_tb(error.__traceback__)[-1:]
    shared.observer.emit(
        log_events.RequestFailedHere(
            request_id=request.request_id,
            error=repr(error)[:MAX_LOGGED_ERROR],
            raised_at="".join(
                f"{frame.name} in line {frame.lineno}" for frame in raised_at
            ),
        )
    )


def format_parts(prompt_parts: tuple[str, ...]) -> str:
    """Formats the parts of a prompt for the log; the first and the last."""
    if len(prompt_parts) > MAX_LOGGED_PARTS:
        prompt_parts = (*prompt_parts[: MAX_LOGGED_PARTS - 1], prompt_parts[-1])
    return ",".join(prompt_parts)
