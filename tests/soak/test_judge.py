from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from tests.soak import callers
from tests.soak import disturbances
from tests.soak import judge as soak_judge
from tests.soak import layout
from tests.soak import ledger
from tests.soak import system as soak_system

if TYPE_CHECKING:
    from collections.abc import Callable
    import pathlib

Judge = soak_judge.Judge
Promise = soak_judge.Promise
Sent = callers.SentRequest

WHOLE_PATH = [("127.0.0.1:1", 0, 40), ("127.0.0.1:2", 40, 80)]
SENT_S = 20.0
"""How many seconds ago the tests' requests were sent."""


def sent(route: str = "once", events: int = 0) -> Sent:
    request = Sent(
        request_id="r1",
        node="n0",
        route=route,
        key=layout.STEADY_KEY,
        account=layout.STEADY_ACCOUNT,
        payload=b"payload",
        events=events,
        deadline_s=16.0,
        status=200,
        fields={"x-engine-signature": "sig"},
        ending=callers.Ending.WHOLE,
        sent_at=time.monotonic() - SENT_S,
    )
    request.ended_at = request.sent_at + 2.0
    request.body = soak_judge.expected_body(request)
    return request


def row(
    request: Sent, what: ledger.RowKind, engine: str = "e0-0"
) -> ledger.Row:
    return ledger.Row(
        at=request.sent_at + 0.1,
        what=what,
        engine=engine,
        request_id=request.request_id,
        method="POST",
        target=request.target(),
        account=request.account,
        body=request.digest(),
        parts=WHOLE_PATH if request.is_stream() else [],
        time_s=request.deadline_s,
    )


def check(judge: Judge, request: Sent, *rows: ledger.Row) -> None:
    judge.record_sent(request)
    judge.process_rows(list(rows))
    judge.check_answer(request)
    judge.finish()


def arrived(request: Sent) -> ledger.Row:
    return row(request, ledger.RowKind.ARRIVED)


def ran(request: Sent, engine: str = "e0-0") -> ledger.Row:
    return row(request, ledger.RowKind.RAN, engine)


def send_in_backoff(judge: Judge, count: int) -> None:
    """Sends one request that is told of a backoff, and others within it."""
    backoff = disturbances.Backoff("e0-0", time.monotonic() - SENT_S - 1.0)
    judge.history().backoffs.append(backoff)
    for number in range(count + 1):
        request = sent()
        request.request_id = f"r{number}"
        request.body = soak_judge.expected_body(request)
        if number:
            request.sent_at += layout.BACKOFF_SLACK_S + 0.1 * number
            check(judge, request, arrived(request), ran(request))
        else:
            request.status = 503
            request.fields, request.body = {}, b""
            check(judge, request, arrived(request))


def requests_after_a_backoff_that_ended_early(judge: Judge) -> None:
    backoff = disturbances.Backoff("e0-0", time.monotonic() - SENT_S - 1.0)
    judge.history().backoffs.append(backoff)
    for number in range(layout.MAX_REQUESTS_IN_BACKOFF + 2):
        request = sent()
        request.request_id = f"r{number}"
        request.body = soak_judge.expected_body(request)
        request.sent_at += layout.BACKOFF_SLACK_S * number
        check(judge, request, arrived(request), ran(request))


def send_again_late(judge: Judge, count: int, late_by_s: float) -> None:
    """Sends plain requests that a second engine gets a second later.

    It may work on until ``late_by_s`` after the caller's deadline.
    """
    for number in range(count):
        request = sent("look")
        request.request_id = f"r{number}"
        request.body = soak_judge.expected_body(request)
        first, second = arrived(request), arrived(request)
        second.engine = "e1-0"
        second.at = first.at + 1.0
        ends_at = request.sent_at + request.deadline_s + late_by_s
        second.time_s = ends_at - second.at
        check(judge, request, first, second)


def handed_what_was_left(judge: Judge) -> None:
    send_again_late(judge, 3 * layout.MAX_EXCESSIVE_TIMES, 0.3)


def handed_more_than_was_left_a_few_times(judge: Judge) -> None:
    send_again_late(judge, layout.MAX_EXCESSIVE_TIMES, 1.0)


def handed_more_than_was_left(judge: Judge) -> None:
    send_again_late(judge, layout.MAX_EXCESSIVE_TIMES + 1, 1.0)


def handed_no_time(judge: Judge) -> None:
    for number in range(layout.MAX_EXCESSIVE_TIMES + 1):
        request = sent("once")
        request.request_id = f"r{number}"
        request.body = soak_judge.expected_body(request)
        first = arrived(request)
        first.time_s = None
        check(judge, request, first)


def handed_more_at_a_paused_node(judge: Judge) -> None:
    judge.history().begin("n0", "pause").start -= SENT_S
    handed_more_than_was_left(judge)


def few_requests_in_a_backoff(judge: Judge) -> None:
    send_in_backoff(judge, layout.MAX_REQUESTS_IN_BACKOFF)


def too_many_requests_in_a_backoff(judge: Judge) -> None:
    send_in_backoff(judge, layout.MAX_REQUESTS_IN_BACKOFF + 1)


def repeat_requests(judge: Judge, requests: int, extra_s: float) -> None:
    """Lets requests arrive twice, all but the first ones after a time."""
    for number in range(requests):
        request = sent("look")
        request.request_id = f"r{number}"
        request.body = soak_judge.expected_body(request)
        judge.record_sent(request)
        again = arrived(request)
        if number >= judge.system.options.allowance:
            again.at += extra_s
            again.time_s = request.deadline_s - extra_s
        judge.process_rows([arrived(request), again])
    judge.finish()


def as_many_repeats_as_allowed(judge: Judge) -> None:
    repeat_requests(judge, judge.system.options.allowance, 0.0)


def too_many_repeats_in_a_window(judge: Judge) -> None:
    repeat_requests(judge, 2 * judge.system.options.allowance, 9.0)


def too_many_repeats_for_one_window_in_two(judge: Judge) -> None:
    repeat_requests(judge, 2 * judge.system.options.allowance, 11.0)


def correct_answer(judge: Judge) -> None:
    request = sent()
    check(judge, request, arrived(request), ran(request))


def resumed_stream(judge: Judge) -> None:
    request = sent("chat", 3)
    check(judge, request, ran(request), ran(request, "e1-0"))


def wrong_body(judge: Judge) -> None:
    request = sent()
    request.body += b"x"
    check(judge, request, ran(request))


def short_body_that_looks_whole(judge: Judge) -> None:
    request = sent()
    request.body = request.body[:-1]
    check(judge, request, ran(request))


def missing_event(judge: Judge) -> None:
    request = sent("chat", 3)
    lost = request.body.index(b"id: 2")
    request.body = request.body[:lost] + request.body[lost * 2 :]
    check(judge, request, ran(request))


def duplicate_event_before_disconnect(judge: Judge) -> None:
    request = sent("chat", 3)
    length = request.body.index(b"id: 2")
    request.body = request.body[:length] * 2
    request.ending = callers.Ending.LEFT
    check(judge, request, ran(request))


def answer_of_another(judge: Judge) -> None:
    request = sent()
    request.fields["x-request-id"] = "r2"
    check(judge, request, ran(request))


def missing_signature(judge: Judge) -> None:
    request = sent()
    del request.fields["x-engine-signature"]
    check(judge, request, ran(request))


def signed_failure(engines_status: int) -> Callable[[Judge], None]:
    """Returns a history of a signed 500 and of what the engine responded."""

    def history(judge: Judge) -> None:
        request = sent()
        request.status, request.body = 500, b""
        failed = row(request, ledger.RowKind.FAILED)
        failed.status = engines_status
        check(judge, request, arrived(request), ran(request), failed)

    return history


def ran_twice(judge: Judge) -> None:
    request = sent("talk", 3)
    check(judge, request, ran(request), ran(request, "e1-0"))


def refused(status: int = 503) -> Sent:
    request = sent()
    request.status, request.fields, request.body = status, {}, b""
    return request


def refused_and_ran_before(judge: Judge) -> None:
    request = refused()
    check(judge, request, ran(request))


def refused_and_ran_later(judge: Judge) -> None:
    request = refused(429)
    judge.record_sent(request)
    judge.check_answer(request)
    judge.process_rows([ran(request)])


def allowed_request_denied(judge: Judge) -> None:
    check(judge, refused(404))


def internal_error(judge: Judge) -> None:
    check(judge, refused(500))


def body_changed(judge: Judge) -> None:
    request = sent()
    changed = arrived(request)
    changed.body = "other"
    check(judge, request, changed)


def key_passed_on(judge: Judge) -> None:
    request = sent()
    changed = arrived(request)
    changed.has_key = True
    check(judge, request, changed)


def account_forged(judge: Judge) -> None:
    request = sent()
    changed = arrived(request)
    changed.account = "forged"
    check(judge, request, changed)


def unknown_request(judge: Judge) -> None:
    judge.process_rows([arrived(sent())])


def skipped_layer(judge: Judge) -> None:
    request = sent("chat", 3)
    changed = ran(request)
    changed.parts = [("127.0.0.1:1", 0, 40), ("127.0.0.1:2", 41, 80)]
    check(judge, request, changed)


def too_many_layers(judge: Judge) -> None:
    judge.process_rows(
        [ledger.Row(1.0, ledger.RowKind.ORDERED, "e0-0", layers=42)]
    )


def cut_request() -> Sent:
    request = sent("talk", 3)
    request.ending = callers.Ending.CUT
    request.body = request.body[:10]
    return request


def cut(judge: Judge) -> None:
    request = cut_request()
    check(judge, request, arrived(request), ran(request))


def cut_after_a_disturbance(judge: Judge) -> None:
    request = cut_request()
    judge.history().note("n0", "kill")
    judge.history().all[-1].start = request.sent_at - 1.0
    check(judge, request, arrived(request), ran(request))


def cut_during_stop(judge: Judge, sent_after_s: float) -> None:
    request = cut_request()
    stop = judge.history().begin("n0", "stop", is_planned=True)
    stop.start = request.sent_at - sent_after_s
    request.ended_at = stop.start + 7.5
    check(judge, request, arrived(request), ran(request))


def accepted_late_and_cut(judge: Judge) -> None:
    cut_during_stop(judge, 3.3)


def accepted_early_and_cut(judge: Judge) -> None:
    cut_during_stop(judge, 1.0)


def never_answered(judge: Judge) -> None:
    request = sent()
    request.ending, request.status = callers.Ending.UNANSWERED, 0
    check(judge, request)


def work_after_leaving(judge: Judge) -> None:
    request = sent()
    left = row(request, ledger.RowKind.LEFT)
    left.at = request.sent_at - layout.DRAIN_S
    check(judge, request, left, arrived(request))


def revoked_key_ran(judge: Judge) -> None:
    request = sent("look")
    request.expected = callers.Expected.DENIED
    request.acked_at = request.sent_at - 2.1
    check(judge, request, ran(request))


def new_key_denied(judge: Judge) -> None:
    request = refused(401)
    request.expected = callers.Expected.ADDED
    request.acked_at = request.sent_at - 2.1
    check(judge, request)


def run_on_more_engines(judge: Judge, count: int) -> list[Sent]:
    """Adds requests that each ran on one engine more than allowed."""
    requests = []
    for number in range(count):
        request = sent("chat", 3)
        request.request_id = f"r{number}"
        request.body = soak_judge.expected_body(request)
        judge.record_sent(request)
        judge.process_rows(
            [
                ran(request, f"e{engine}-0")
                for engine in range(layout.MAX_ATTEMPTS + 1)
            ]
        )
        judge.check_answer(request)
        requests.append(request)
    return requests


def too_many_requests_over_their_attempts(judge: Judge) -> None:
    run_on_more_engines(judge, layout.MAX_REQUESTS_OVER_ATTEMPTS + 1)
    judge.finish()


def few_requests_over_their_attempts(judge: Judge) -> None:
    run_on_more_engines(judge, layout.MAX_REQUESTS_OVER_ATTEMPTS)
    judge.finish()


def runs_beside(
    judge: Judge, target: str, what: str, lasts_s: float = 0.0
) -> None:
    """Adds runs on too many engines and a fault 0.5 s after they began."""
    requests = run_on_more_engines(judge, layout.MAX_REQUESTS_OVER_ATTEMPTS + 1)
    fault = judge.history().begin(target, what)
    fault.start = requests[0].sent_at + 0.5
    fault.end = fault.start + lasts_s
    judge.finish()


def runs_on_a_killed_engine(judge: Judge) -> None:
    runs_beside(judge, "e0-0", "kill")


def runs_on_an_engine_that_is_cut_off(judge: Judge) -> None:
    runs_beside(judge, "e0-0", "link both", 0.8)


def runs_on_an_engine_with_a_slow_link(judge: Judge) -> None:
    runs_beside(judge, "e0-0", "link delay", 0.8)


def runs_on_an_engine_that_stands_still(judge: Judge) -> None:
    runs_beside(judge, "e0-0", "pause", 0.8)


def runs_on_an_engine_whose_entry_expires(judge: Judge) -> None:
    runs_beside(judge, "e0-0", "pause", 4.0)


def runs_from_a_node_that_is_cut_off(judge: Judge) -> None:
    runs_beside(judge, "n0", disturbances.CUT_OFF, 4.0)


def runs_after_an_engine_was_killed(judge: Judge) -> None:
    requests = run_on_more_engines(judge, layout.MAX_REQUESTS_OVER_ATTEMPTS + 1)
    judge.history().note("e0-0", "kill")
    judge.history().all[-1].start = requests[0].sent_at - 0.5
    judge.history().all[-1].end = requests[0].sent_at - 0.5
    judge.finish()


def runs_on_an_engine_that_leaves(judge: Judge) -> None:
    requests = run_on_more_engines(judge, layout.MAX_REQUESTS_OVER_ATTEMPTS + 1)
    left = row(requests[0], ledger.RowKind.LEFT)
    left.at = requests[0].sent_at + 0.5
    judge.process_rows([left])
    judge.finish()


def pause_engine(judge: Judge, request: Sent) -> None:
    start = request.sent_at + 0.2
    pause = disturbances.EnginePause("e0-0", start, start + 1.0)
    judge.history().pauses.append(pause)


def cut_while_an_engine_is_silent(judge: Judge) -> None:
    request = cut_request()
    pause_engine(judge, request)
    check(judge, request, arrived(request), ran(request))


def whole_answer_of_a_silent_engine(judge: Judge) -> None:
    request = sent("talk", 3)
    pause_engine(judge, request)
    check(judge, request, arrived(request), ran(request))


def restore_store(judge: Judge, request: Sent, returned_s: float) -> None:
    """Adds a restore that ends so many seconds before a request is sent."""
    restore = judge.history().begin(disturbances.STORE, "restore, silent")
    restore.end = request.sent_at - returned_s
    restore.start = restore.end - 0.8


def note_restart(judge: Judge, at: float) -> None:
    judge.history().note("n0", "start")
    judge.history().all[-1].start = at
    judge.history().all[-1].end = at


def revoked_key(acked_s: float) -> Sent:
    """Returns a request with a key that was revoked before it was sent."""
    request = sent("look")
    request.expected = callers.Expected.DENIED
    request.version = 3
    request.acked_at = request.sent_at - acked_s
    return request


def prove_version(judge: Judge, request: Sent, version: int) -> None:
    """Adds a request that a version newly allows, answered just before."""
    proof = sent("look")
    proof.request_id = "proof"
    proof.body = soak_judge.expected_body(proof)
    proof.expected = callers.Expected.ADDED
    proof.version = proof.proven_version = version
    proof.sent_at = proof.acked_at = request.sent_at - 1.5
    proof.ended_at = request.sent_at - 1.4
    judge.record_sent(proof)
    judge.process_rows([arrived(proof), ran(proof)])


def revoked_key_ran_soon_after_a_restore(judge: Judge) -> None:
    request = revoked_key(layout.CONFIG_APPLY_S + 0.1)
    restore_store(judge, request, layout.CONFIG_APPLY_S + 2.0)
    check(judge, request, ran(request))


def revoked_key_ran_long_after_a_restore(judge: Judge) -> None:
    request = revoked_key(layout.CONFIG_APPLY_S + 0.1)
    restore_store(judge, request, layout.SETTLE_S + layout.CONFIG_APPLY_S + 0.2)
    check(judge, request, ran(request))


def revoked_key_ran_once_the_restore_was_settled(judge: Judge) -> None:
    request = revoked_key(4.0)
    restore_store(judge, request, layout.SETTLE_S + layout.CONFIG_APPLY_S + 0.2)
    check(judge, request, ran(request))


def revoked_key_ran_within_its_bound(judge: Judge) -> None:
    request = revoked_key(layout.CONFIG_APPLY_S - 0.1)
    check(judge, request, ran(request))


def revoked_key_came_back(judge: Judge) -> None:
    request = revoked_key(4.0)
    restore_store(judge, request, 0.1)
    prove_version(judge, request, 3)
    check(judge, request, ran(request))


def revoked_key_ran_where_only_an_older_version_was_seen(judge: Judge) -> None:
    request = revoked_key(4.0)
    restore_store(judge, request, 0.1)
    prove_version(judge, request, 2)
    check(judge, request, ran(request))


def revoked_key_came_back_on_a_new_process(judge: Judge) -> None:
    request = revoked_key(4.0)
    restore_store(judge, request, 0.1)
    prove_version(judge, request, 3)
    note_restart(judge, request.sent_at - 0.5)
    check(judge, request, ran(request))


def new_key_was_lost_again(judge: Judge) -> None:
    request = refused(401)
    request.expected = callers.Expected.ADDED
    request.version = 3
    request.acked_at = request.sent_at - 4.0
    restore_store(judge, request, 0.1)
    prove_version(judge, request, 3)
    check(judge, request)


def work_after_leaving_beside_a_restore(
    judge: Judge, left_s: float, returned_s: float
) -> Sent:
    """Adds work, for an engine that left, soon after a restore."""
    request = sent()
    work = arrived(request)
    left = row(request, ledger.RowKind.LEFT)
    left.at = work.at - left_s
    restore_store(judge, request, returned_s)
    judge.record_sent(request)
    judge.process_rows([left, work])
    return request


def left_before_a_restore(judge: Judge) -> None:
    work_after_leaving_beside_a_restore(judge, 3.5, 0.1)
    judge.finish()


def left_before_a_restore_and_the_node_is_new(judge: Judge) -> None:
    request = work_after_leaving_beside_a_restore(judge, 3.5, 0.1)
    note_restart(judge, request.sent_at - 0.5)
    judge.finish()


def left_shortly_before_a_restore(judge: Judge) -> None:
    work_after_leaving_beside_a_restore(judge, 2.5, 0.1)
    judge.finish()


def left_soon_after_a_restore(judge: Judge) -> None:
    work_after_leaving_beside_a_restore(judge, 2.5, 4.0)
    judge.finish()


def left_soon_after_a_restore_and_worked_long_after_it(judge: Judge) -> None:
    work_after_leaving_beside_a_restore(judge, 4.5, 5.2)
    judge.finish()


def left_long_after_a_restore(judge: Judge) -> None:
    work_after_leaving_beside_a_restore(judge, 2.5, 5.6)
    judge.finish()


@pytest.mark.parametrize(
    ("history", "promises"),
    [
        (correct_answer, []),
        (resumed_stream, []),
        (wrong_body, [Promise.ANSWER]),
        (short_body_that_looks_whole, [Promise.ANSWER]),
        (missing_event, [Promise.STREAM]),
        (duplicate_event_before_disconnect, [Promise.STREAM]),
        (answer_of_another, [Promise.ANSWER]),
        (missing_signature, [Promise.ANSWER]),
        (signed_failure(500), []),
        (signed_failure(503), [Promise.ANSWER]),
        (ran_twice, [Promise.ONCE]),
        (refused_and_ran_before, [Promise.REFUSED]),
        (refused_and_ran_later, [Promise.REFUSED]),
        (allowed_request_denied, [Promise.ALLOWED]),
        (internal_error, [Promise.INTERNAL]),
        (body_changed, [Promise.UNCHANGED]),
        (key_passed_on, [Promise.UNCHANGED]),
        (account_forged, [Promise.UNCHANGED]),
        (unknown_request, [Promise.UNCHANGED]),
        (skipped_layer, [Promise.LAYERS]),
        (too_many_layers, [Promise.ORDERS]),
        (cut, [Promise.CUT]),
        (cut_after_a_disturbance, []),
        (accepted_late_and_cut, [Promise.CUT]),
        (accepted_early_and_cut, []),
        (never_answered, [Promise.HANGS]),
        (work_after_leaving, [Promise.LEAVING]),
        (revoked_key_ran, [Promise.CONFIG]),
        (new_key_denied, [Promise.CONFIG]),
        (requests_after_a_backoff_that_ended_early, []),
        (few_requests_in_a_backoff, []),
        (too_many_requests_in_a_backoff, [Promise.BACKOFF]),
        (as_many_repeats_as_allowed, []),
        (too_many_repeats_in_a_window, [Promise.REPEATS]),
        (too_many_repeats_for_one_window_in_two, []),
        (handed_what_was_left, []),
        (handed_more_than_was_left_a_few_times, []),
        (handed_more_than_was_left, [Promise.TIME]),
        (handed_no_time, [Promise.TIME]),
        (handed_more_at_a_paused_node, []),
        (too_many_requests_over_their_attempts, [Promise.RUNS]),
        (few_requests_over_their_attempts, []),
        (runs_on_a_killed_engine, []),
        (runs_on_an_engine_that_is_cut_off, []),
        (runs_on_an_engine_with_a_slow_link, [Promise.RUNS]),
        (runs_on_an_engine_that_stands_still, [Promise.RUNS]),
        (runs_on_an_engine_whose_entry_expires, [Promise.RUNS]),
        (runs_from_a_node_that_is_cut_off, []),
        (runs_after_an_engine_was_killed, [Promise.RUNS]),
        (runs_on_an_engine_that_leaves, []),
        (cut_while_an_engine_is_silent, [Promise.CUT]),
        (whole_answer_of_a_silent_engine, []),
        (revoked_key_ran_soon_after_a_restore, []),
        (revoked_key_ran_long_after_a_restore, [Promise.CONFIG]),
        (revoked_key_ran_once_the_restore_was_settled, [Promise.CONFIG]),
        (revoked_key_ran_within_its_bound, []),
        (revoked_key_came_back, [Promise.REVERTED]),
        (revoked_key_ran_where_only_an_older_version_was_seen, []),
        (revoked_key_came_back_on_a_new_process, []),
        (new_key_was_lost_again, [Promise.REVERTED]),
        (left_before_a_restore, [Promise.LEAVING]),
        (left_before_a_restore_and_the_node_is_new, []),
        (left_shortly_before_a_restore, []),
        (left_soon_after_a_restore, []),
        (left_soon_after_a_restore_and_worked_long_after_it, [Promise.LEAVING]),
        (left_long_after_a_restore, [Promise.LEAVING]),
    ],
)
def test_judge_reports_exactly_the_violated_guarantees(
    history: Callable[[Judge], None],
    promises: list[Promise],
    tmp_path: pathlib.Path,
) -> None:
    async def scenario() -> None:
        options = layout.SoakOptions(seed=1)
        judge = Judge(soak_system.SoakSystem(options, tmp_path))
        history(judge)
        assert [v.promise for v in judge.violations] == promises

    asyncio.run(scenario())
