"""Checks the guarantees to callers and engines while a soak runs."""

from __future__ import annotations

import collections
import dataclasses
import enum
import signal
import time

from tests.platform import repeat_counts
from tests.soak import callers
from tests.soak import disturbances
from tests.soak import engine_process
from tests.soak import handed_time
from tests.soak import layout
from tests.soak import ledger
from tests.soak import system as soak_system

NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses which guarantee that the request has not run and never will."""

ALLOWED = callers.Expected.ALLOWED
DENIED_STATUSES = (401, 403, 404)

MAX_READ_DELAY_S = 0.5
"""A node must have read a request after this time: the guarantee is 0.2 s, the
rest allows for a loaded machine. A close that crosses a request is no fault."""

ABORT_ALLOWED_SHARE = 0.7
"""A request that has used this share of its deadline may be aborted."""

EXIT_DETECTION_S = 0.2
"""Time until the exit of an engine, which cuts its answers, is detected."""

MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 0.02
"""Nodes without engines serve a smaller share than the ratio times that of
others only if at most this many requests fail there."""

ABORT_PHASE_START = 5 / 6
ACCEPT_PHASE_S = 3.0
"""In the last sixth of its grace period a stopping node may cut requests that
were sent in its first seconds; it must not accept later ones."""


class Promise(enum.StrEnum):
    """What a soak checks."""

    ANSWER = "an answer is the request's own, whole or visibly broken"
    STREAM = "events come once each, in order, without a gap"
    ONCE = "a request that is not idempotent runs at most once"
    REFUSED = "a refused request has not run and never will"
    UNCHANGED = "engines get only what callers sent, and no key"
    ALLOWED = "what the configuration allows is not denied"
    CONFIG = "a configuration is in force in time"
    REVERTED = "a configuration in force on a node stays in force"
    LEAVING = "an engine that leaves gets no new work"
    LAYERS = "a path runs every layer once and in order"
    ORDERS = "an engine is never ordered to hold more than fits"
    CUT = "an undisturbed node ends each answer that it began"
    HANGS = "an undisturbed node answers within the deadline"
    STOP = "a stopping node exits before its grace ends"
    ENDS = "no process ends by itself"
    MEMORY = "memory is bounded"
    LIMIT = "an engine gets no more requests than the limit it names"
    BACKOFF = "an engine gets hardly any requests in its backoff"
    CUT_OFF = "callers of nodes without engines are served by peers"
    REPEATS = "repeats stay within the retry budget of all nodes"
    TIME = "engines are handed no more time than is left"
    RUNS = "requests run on no more engines than their routes allow"
    RECOVERS = "requests are served again after the last fault"
    INTERNAL = "no internal error reaches a caller"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A guarantee that was violated.

    Attributes:
        at_s: Seconds since the start of the soak.
    """

    promise: Promise
    at_s: float
    detail: str


@dataclasses.dataclass(slots=True)
class Work:
    """The ledger rows of one request."""

    arrived: list[ledger.Row] = dataclasses.field(default_factory=list)
    ran: list[ledger.Row] = dataclasses.field(default_factory=list)
    failed: list[ledger.Row] = dataclasses.field(default_factory=list)


class Judge:
    """Checks all requests against all ledgers.

    Attributes:
        counts: Number of requests by outcome.
        refused: Ids of requests that were reported as not run.
        signed_failures: Requests that failed with an engine's signature.
        refused_after_run: Idempotent requests that ran and were refused.
        undisturbed: Number of requests to which all time bounds applied.
        repeat_windows: The worst window of repeats, by service.
        times: Requests at undisturbed nodes, by the time that engines got.
        cut_off_routes: Requests that were served at nodes without engines, of
            those sent, by route.
    """

    def __init__(self, system: soak_system.SoakSystem) -> None:
        self.system = system
        self.started = time.monotonic()
        self.violations: list[Violation] = []
        self.requests: dict[str, callers.SentRequest] = {}
        self.work: dict[str, Work] = collections.defaultdict(Work)
        self.left_at: dict[str, float] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.refused: set[str] = set()
        self.signed_failures: list[callers.SentRequest] = []
        self.refused_after_run = 0
        self.undisturbed = 0
        self.repeat_windows: dict[str, repeat_counts.WindowCount] = {}
        self.times = handed_time.TimeCount()
        self.cut_off_routes: dict[str, str] = {}
        system.on_exit = self.check_exit

    def report_violation(
        self, promise: Promise, detail: str, at: float = 0.0
    ) -> None:
        at_s = round((at or time.monotonic()) - self.started, 3)
        self.violations.append(Violation(promise, at_s, detail))

    def history(self) -> disturbances.Disturbances:
        return self.system.disturbances

    def record_sent(self, request: callers.SentRequest) -> None:
        self.requests[request.request_id] = request

    def check_directory(self, node: str, addresses: list[str]) -> None:
        entries = {part.entry for part in self.system.nodes}
        unknown = set(addresses) - entries
        if unknown:
            self.report_violation(
                Promise.ANSWER, f"{node} listed unknown {unknown}"
            )

    def report_stray_bytes(self, node: str, content: bytes) -> None:
        self.report_violation(
            Promise.ANSWER, f"{node} sent unsolicited {content!r}"
        )

    def check_answer(self, request: callers.SentRequest) -> None:
        """Checks the part of an answer that was received."""
        self.counts[outcome(request)] += 1
        if request.status == 0:
            return
        echoed = request.fields.get("x-request-id", request.request_id)
        if echoed != request.request_id:
            self.report_violation(
                Promise.ANSWER,
                f"{describe(request)} got the answer to {echoed}",
            )
        if request.status == 200:
            self.check_success(request)
        else:
            self.check_failure(request)

    def check_success(self, request: callers.SentRequest) -> None:
        if "x-engine-signature" not in request.fields:
            self.report_violation(
                Promise.ANSWER, f"{describe(request)} has no signature"
            )
        expected = expected_body(request)
        is_whole = request.ending is callers.Ending.WHOLE
        if is_whole and request.body == expected:
            return
        if not is_whole and expected.startswith(request.body):
            return
        promise = Promise.STREAM if request.is_stream() else Promise.ANSWER
        seen = f"{len(request.body)} of {len(expected)} bytes"
        tail = request.body[-80:]
        self.report_violation(
            promise, f"{describe(request)}: {seen}, end {tail!r}"
        )

    def check_failure(self, request: callers.SentRequest) -> None:
        is_signed = "x-engine-signature" in request.fields
        if is_signed:
            self.signed_failures.append(request)
        if request.status in NOT_RUN:
            self.refused.add(request.request_id)
            self.check_refusal(request)
        elif request.status == 500 and not is_signed:
            self.report_violation(Promise.INTERNAL, describe(request))
        elif request.status < 500 and request.expected is ALLOWED:
            self.report_violation(Promise.ALLOWED, describe(request))

    def check_refusal(self, request: callers.SentRequest) -> None:
        """Checks a refusal against runs before and after it."""
        if request.request_id not in self.refused:
            return
        if not self.work[request.request_id].ran:
            return
        if request.is_idempotent():
            self.refused_after_run += 1
        else:
            self.report_violation(Promise.REFUSED, f"{describe(request)} ran")

    def process_rows(self, rows: list[ledger.Row]) -> None:
        for row in rows:
            if row.what is ledger.RowKind.LEFT:
                self.left_at.setdefault(row.engine, row.at)
            elif row.what is ledger.RowKind.ORDERED:
                self.check_order(row)
            else:
                self.process_work(row)

    def check_order(self, row: ledger.Row) -> None:
        if row.layers * layout.LAYER_MB > layout.ENGINE_MB:
            detail = f"{row.engine}: {row.layers} layers"
            self.report_violation(Promise.ORDERS, detail, row.at)

    def process_work(self, row: ledger.Row) -> None:
        request = self.requests.get(row.request_id)
        if request is None:
            detail = f"{row.engine} got unknown request {row.request_id!r}"
            self.report_violation(Promise.UNCHANGED, detail, row.at)
            return
        work = self.work[row.request_id]
        if row.what is ledger.RowKind.ARRIVED:
            work.arrived.append(row)
            self.check_arrival(request, row)
            return
        if row.what is ledger.RowKind.FAILED:
            work.failed.append(row)
            return
        work.ran.append(row)
        if len(work.ran) > 1 and not request.is_idempotent():
            engines = [run.engine for run in work.ran]
            self.report_violation(
                Promise.ONCE, f"{describe(request)} ran on {engines}", row.at
            )
        self.check_refusal(request)
        self.check_path(request, row)

    def check_arrival(
        self, request: callers.SentRequest, row: ledger.Row
    ) -> None:
        wanted = (
            *("POST", request.target()),
            *(request.account, False, request.digest()),
        )
        got = (row.method, row.target, row.account, row.has_key, row.body)
        if got != wanted:
            detail = f"{row.engine} got {got}, expected {wanted}"
            self.report_violation(Promise.UNCHANGED, detail, row.at)

    def check_path(self, request: callers.SentRequest, row: ledger.Row) -> None:
        if not request.is_stream():
            return
        next_layer = 0
        for _, start, end in row.parts:
            if start != next_layer:
                break
            next_layer = end
        if next_layer != layout.LAYERS:
            detail = f"{describe(request)} over {row.parts}"
            self.report_violation(Promise.LAYERS, detail, row.at)

    def check_exit(
        self, part: soak_system.SupervisedProcess, code: int
    ) -> None:
        """Checks the exit of a process.

        A node that got SIGTERM before it could handle signals had accepted no
        requests.
        """
        self.history().note(part.name, "exit")
        if isinstance(part, soak_system.EngineProcess) and part.leaves_at:
            return
        if not part.exit_reasons:
            assert part.process is not None
            detail = f"{part.name} ended with {code}: {part.process.log()}"
            self.report_violation(Promise.ENDS, detail)
            return
        if not isinstance(part, soak_system.NodeProcess) or not part.stopped_at:
            return
        now = time.monotonic()
        if not self.history().bounds_apply(
            part.name, part.stopped_at, now, True
        ):
            return
        took_s = round(now - part.stopped_at, 2)
        was_starting = now - part.stopped_at < layout.MIN_STOP_S
        if was_starting and code == -signal.SIGTERM:
            return
        if part.was_killed or code:
            detail = f"{part.name} ended with {code} after {took_s} s"
            self.report_violation(Promise.STOP, detail)

    def check_memory(self) -> None:
        for node in self.system.nodes:
            held_mb = node.resident_mb()
            is_new = held_mb > layout.NODE_MEMORY_MB >= node.peak_mb
            node.peak_mb = max(node.peak_mb, held_mb)
            if is_new:
                detail = f"{node.name} holds {held_mb:.0f} MB"
                self.report_violation(Promise.MEMORY, detail)

    def finish(self) -> None:
        """Runs the checks that need the complete history of disturbances."""
        for request in list(self.requests.values()):
            self.undisturbed += self.history().bounds_apply(
                request.node, request.sent_at, request.ended_at, True
            )
            if request.ending is callers.Ending.CUT:
                self.check_cut(request)
            elif request.ending is callers.Ending.UNANSWERED:
                self.check_hang(request)
            self.check_leaving(request)
            self.check_config(request)
        for limit in self.history().limits:
            self.check_limit(limit)
        for backoff in self.history().backoffs:
            self.check_backoff(backoff)
        self.check_cut_off()
        self.check_runs()
        self.check_repeats()
        self.check_times()
        for request in self.signed_failures:
            self.check_signed_failure(request)

    def check_signed_failure(self, request: callers.SentRequest) -> None:
        """Checks that an engine responded with this failure itself."""
        failed = self.work[request.request_id].failed
        if all(row.status != request.status for row in failed):
            self.report_violation(
                Promise.ANSWER,
                f"{describe(request)} failed but has a signature",
                request.ended_at,
            )

    def check_repeats(self) -> None:
        """Checks each service's share of repeats in any window."""
        for service in layout.SERVICES:
            requests = [
                request
                for request in self.requests.values()
                if request.sent_at and request.service() == service
            ]
            repeats = repeat_counts.find_repeats(
                (row.at, row.request_id)
                for request in requests
                for row in self.work[request.request_id].arrived
            )
            window = repeat_counts.worst_window(
                repeats,
                [request.sent_at for request in requests],
                self.system.options.repeats(),
            )
            self.repeat_windows[service] = window
            if not window.is_within_limit:
                self.report_violation(Promise.REPEATS, f"{service}: {window}")

    def check_times(self) -> None:
        """Checks the time that undisturbed nodes handed to engines."""
        self.times = handed_time.count_times(
            (request, self.work[request.request_id].arrived)
            for request in self.requests.values()
            if not request.is_stream()
            and self.history().bounds_apply(
                request.node, request.sent_at, request.ended_at
            )
        )
        if not self.times.is_within_limit:
            found = len(self.times.excessive)
            detail = f"{found} of {self.times.counted}: {self.times.excessive}"
            self.report_violation(Promise.TIME, detail)

    def check_runs(self) -> None:
        """Checks on how many engines each request ran."""
        over = {
            request.request_id: engines
            for request in self.requests.values()
            if len(engines := self.counted_engines(request))
            > layout.MAX_ATTEMPTS
        }
        if len(over) > layout.MAX_REQUESTS_OVER_ATTEMPTS:
            detail = f"{len(over)} requests over the limit: {over}"
            self.report_violation(Promise.RUNS, detail)

    def counted_engines(self, request: callers.SentRequest) -> list[str]:
        """Returns the engines that ran a request and did not end meanwhile."""
        runs = self.work[request.request_id].ran
        if not runs:
            return []
        lived_until = max(request.ended_at, *(run.at for run in runs))
        is_cut_off = any(
            d.target == request.node
            and d.what == disturbances.CUT_OFF
            and d.start <= lived_until
            and d.end >= request.sent_at
            for d in self.history().all
        )
        if is_cut_off:
            return []
        return sorted(
            {
                run.engine
                for run in runs
                if not self.lost_engine(run, lived_until + EXIT_DETECTION_S)
            }
        )

    def lost_engine(self, run: ledger.Row, until: float) -> bool:
        """Returns whether an engine on the path of a run ended or was cut off.

        One that stands still goes on, whether its entry has expired or not.
        """
        engines = self.engines_of(Work(arrived=[run]))
        if any(self.left_at.get(engine, until) < until for engine in engines):
            return True
        return any(
            d.target in engines
            and d.what in disturbances.ENDS_RUNS
            and d.start <= until
            and d.end >= run.at
            for d in self.history().all
        )

    def check_backoff(self, backoff: disturbances.Backoff) -> None:
        """Checks undisturbed nodes' requests to an engine in its backoff."""
        arrived = [
            (
                row.at,
                self.requests[request_id].node,
                all(ran.engine != row.engine for ran in work.ran),
            )
            for request_id, work in self.work.items()
            for row in work.arrived
            if row.engine == backoff.engine
        ]
        for at, node, is_refused in arrived:
            if not is_refused or not backoff.start <= at <= backoff.end:
                continue
            start, end = at + layout.BACKOFF_SLACK_S, at + layout.BACKOFF_S
            count = sum(
                start < other <= end and sender == node
                for other, sender, _ in arrived
            )
            if count <= layout.MAX_REQUESTS_IN_BACKOFF:
                continue
            if all(
                self.history().bounds_apply(name, at, end)
                for name in (node, backoff.engine)
            ):
                detail = f"{backoff.engine}: {count} from {node} in its backoff"
                self.report_violation(Promise.BACKOFF, detail, at)
                return

    def check_limit(self, limit: disturbances.NamedLimit) -> None:
        """Checks the requests of undisturbed nodes to a limited engine."""
        told_at = limit.start + layout.LIMIT_TOLD_S
        allowed = layout.LIMIT_EXTRA + (
            layout.LIMIT_FACTOR * limit.per_s * layout.LIMIT_WINDOW_S
        )
        arrived = sorted(
            (row.at, self.requests[request_id].node)
            for request_id, work in self.work.items()
            for row in work.arrived
            if row.engine == limit.engine
        )
        for end, _ in arrived:
            if not told_at <= end <= limit.end:
                continue
            start = end - layout.LIMIT_WINDOW_S
            nodes = {node for at, node in arrived if start < at <= end}
            calm = {
                n for n in nodes if self.history().bounds_apply(n, start, end)
            }
            count = sum(
                start < at <= end and node in calm for at, node in arrived
            )
            if count > allowed:
                detail = f"{limit.engine}: {count} at {limit.per_s} a second"
                self.report_violation(Promise.LIMIT, detail, end)
                return

    def check_cut_off(self) -> None:
        """Compares nodes that lost only their engines with undisturbed ones."""
        history = self.history()
        cuts = [d for d in history.all if d.what == disturbances.CUT_OFF]
        others = [d for d in history.all if d.what != disturbances.CUT_OFF]
        served: collections.Counter[bool] = collections.Counter()
        tried: collections.Counter[bool] = collections.Counter()
        by_route: collections.Counter[tuple[str, bool]] = collections.Counter()
        for request in self.requests.values():
            at = request.sent_at
            during = [
                c for c in cuts if c.start + layout.SETTLE_S <= at <= c.end
            ]
            if not during or request.expected is not ALLOWED:
                continue
            all_cut = {c.target for c in during}
            is_cut = request.node in all_cut
            if not any(
                disturbances.is_calm(others, node.name, at)
                for node in self.system.nodes
                if node.name not in all_cut
            ):
                # No peer that stays could serve the request.
                continue
            if not disturbances.is_calm(others, request.node, at):
                continue
            if not is_cut and request.node in {c.target for c in cuts}:
                continue
            tried[is_cut] += 1
            served[is_cut] += request.status == 200
            if is_cut:
                by_route[request.route, request.status == 200] += 1
        self.cut_off_routes = {
            route: f"{by_route[route, True]} of "
            f"{by_route[route, True] + by_route[route, False]}"
            for route in sorted({route for route, _ in by_route})
        }
        failed = tried[True] - served[True]
        total = tried[True] + tried[False]
        if failed <= MAX_FAILED + total * MAX_FAILED_SHARE or not tried[False]:
            return
        share = served[True] / tried[True]
        others_share = served[False] / tried[False]
        if share < MIN_SERVED_RATIO * others_share:
            self.report_violation(
                Promise.CUT_OFF,
                f"{served[True]} of {tried[True]} served, elsewhere "
                f"{served[False]} of {tried[False]}",
            )

    def check_config(self, request: callers.SentRequest) -> None:
        """Checks that the newest configuration was applied to a request."""
        if not self.is_handled_by_older(request):
            return
        if request.version:
            self.check_reverted(request)
        if request.sent_at - request.acked_at <= layout.CONFIG_APPLY_S:
            return
        ran = bool(self.work[request.request_id].ran)
        if self.history().bounds_apply(
            request.node,
            request.sent_at - layout.CONFIG_APPLY_S,
            request.sent_at,
        ):
            late_s = request.sent_at - request.acked_at
            detail = f"{request.expected} {describe(request)}, ran: {ran}"
            self.report_violation(
                Promise.CONFIG,
                f"{detail}, {late_s:.2f} s after the ack",
                request.ended_at,
            )

    def is_handled_by_older(self, request: callers.SentRequest) -> bool:
        """Returns whether only an older configuration explains the result."""
        if request.expected is callers.Expected.DENIED:
            return bool(self.work[request.request_id].ran)
        is_denied = request.status in DENIED_STATUSES
        return request.expected is callers.Expected.ADDED and is_denied

    def check_reverted(self, request: callers.SentRequest) -> None:
        """Checks that the process had not applied the version before.

        Only what a version newly allows proves that it was applied: an older
        version may deny a request as well.
        """
        proofs = [
            other
            for other in self.requests.values()
            if other.node == request.node
            and other.proven_version >= request.version
            and other.ended_at < request.sent_at
            and not self.has_restarted(
                request.node, other.sent_at, request.ended_at
            )
        ]
        if proofs:
            seen_s = request.sent_at - proofs[0].ended_at
            detail = f"{describe(request)}, {seen_s:.2f} s after its effect"
            self.report_violation(Promise.REVERTED, detail, request.ended_at)

    def has_restarted(self, node: str, start: float, end: float) -> bool:
        return any(
            d.target == node
            and d.what in ("start", "exit")
            and start <= d.start <= end
            for d in self.history().all
        )

    def check_hang(self, request: callers.SentRequest) -> None:
        if self.history().bounds_apply(
            request.node, request.sent_at, request.ended_at
        ):
            waited_s = request.ended_at - request.sent_at
            detail = f"{describe(request)} after {waited_s:.1f} s"
            self.report_violation(Promise.HANGS, detail, request.ended_at)

    def check_cut(self, request: callers.SentRequest) -> None:
        took_s = request.ended_at - request.sent_at
        if took_s >= ABORT_ALLOWED_SHARE * request.deadline_s:
            return
        work = self.work[request.request_id]
        if not work.arrived and took_s < MAX_READ_DELAY_S:
            return
        history = self.history()
        start, end = request.sent_at, request.ended_at
        if not history.bounds_apply(request.node, start, end, True):
            return
        if not history.is_undisturbed(
            self.engines_of(work), start, end + EXIT_DETECTION_S
        ):
            return
        stops = self.stops_before(request)
        if any(is_cut_allowed(request, stop) for stop in stops):
            return
        sent = [round(request.sent_at - stop, 2) for stop in stops[-1:]]
        detail = (
            f"{describe(request)} cut after {took_s:.2f} s, seconds from "
            f"SIGTERM to sending: {sent}, arrived {len(work.arrived)} times"
        )
        self.report_violation(Promise.CUT, detail, request.ended_at)

    def stops_before(self, request: callers.SentRequest) -> list[float]:
        """Returns the times of SIGTERM to the node shortly before the end."""
        return [
            d.start
            for d in self.history().all
            if d.target == request.node
            and d.is_planned
            and 0 <= request.ended_at - d.start <= layout.GRACE_S + 1.0
        ]

    def engines_of(self, work: Work) -> set[str]:
        addresses = {part[0] for row in work.arrived for part in row.parts}
        engines = self.system.engines + self.system.departed
        named = {row.engine for row in work.arrived}
        return named | {
            e.name for e in engines if e.link and e.link.address in addresses
        }

    def check_leaving(self, request: callers.SentRequest) -> None:
        for row in self.work[request.request_id].arrived:
            left_at = self.left_at.get(row.engine, float("inf"))
            late_s = row.at - left_at
            if late_s <= layout.DRAIN_S:
                continue
            if self.is_leaving_known(request.node, row, left_at):
                detail = f"{row.engine} got {describe(request)} {late_s:.2f} s"
                self.report_violation(
                    Promise.LEAVING, f"{detail} after it left", row.at
                )

    def is_leaving_known(
        self, node: str, row: ledger.Row, left_at: float
    ) -> bool:
        """Returns whether a node must know that an engine has left.

        A node that was told is bound by that also while the store is away.
        """
        history = self.history()
        if history.bounds_apply(node, row.at - layout.DRAIN_S, row.at):
            return True
        told_at = left_at + layout.DRAIN_S
        targets = {node, row.engine, disturbances.HARNESS}
        return history.bounds_apply(
            node, left_at, told_at
        ) and history.is_undisturbed(targets, left_at, row.at)

    def served_count(self) -> int:
        return self.counts["200 whole"]


def is_cut_allowed(request: callers.SentRequest, stop: float) -> bool:
    """Returns whether a graceful stop justifies that an answer was cut."""
    is_late = request.ended_at >= stop + layout.GRACE_S * ABORT_PHASE_START
    return is_late and request.sent_at <= stop + ACCEPT_PHASE_S


def expected_body(request: callers.SentRequest) -> bytes:
    if not request.is_stream():
        return b"done " + request.payload
    numbers = range(1, request.events + 1)
    return b"".join(
        engine_process.event(request.request_id, number) for number in numbers
    )


def outcome(request: callers.SentRequest) -> str:
    return f"{request.status} {request.ending}"


def describe(request: callers.SentRequest) -> str:
    return (
        f"{request.request_id} /{request.route}/ at {request.node} "
        f"({request.status} {request.ending})"
    )
