"""Bodies and events that are longer than a node keeps."""

from __future__ import annotations

import types
from typing import Any
from unittest import mock

import pytest

from almondshift.model import relayed
from almondshift.ports import path_engines
from almondshift.relay import events
from almondshift.relay import peer_attempt
from almondshift.relay import plain_run
from almondshift.relay import stream_attempt

BLOCK = b"x" * 60_000


def head(status: int = 200) -> relayed.ForwardedHead:
    return relayed.ForwardedHead(status, (), True, None, "")


def create_run() -> Any:
    run = mock.MagicMock()
    run.loop.time.return_value = 0.0
    run.expects_stream = True
    run.routed.route.abandon_after_s = 2.0
    return run


def plain(run: Any) -> tuple[Any, int]:
    return plain_run.PlainAttempt(run, mock.Mock()), plain_run.MAX_BODY_BYTES


def stream(run: Any) -> tuple[Any, int]:
    chosen: Any = types.SimpleNamespace(path=(mock.Mock(),), used=())
    attempt = stream_attempt.StreamAttempt(run, chosen)
    attempt.on_head(head())
    return attempt, events.MAX_EVENT_BYTES


def failed_stream(run: Any) -> tuple[Any, int]:
    chosen: Any = types.SimpleNamespace(path=(mock.Mock(),), used=())
    attempt = stream_attempt.StreamAttempt(run, chosen)
    attempt.on_head(head(500))
    return attempt, stream_attempt.MAX_FAILURE_BYTES


def peer(run: Any) -> tuple[Any, int]:
    run.expects_stream = False
    return (
        peer_attempt.PeerAttempt(run, mock.Mock()),
        peer_attempt.MAX_BODY_BYTES,
    )


def peer_stream(run: Any) -> tuple[Any, int]:
    attempt = peer_attempt.PeerAttempt(run, mock.Mock())
    attempt.on_head(head())
    return attempt, events.MAX_EVENT_BYTES


@pytest.mark.parametrize(
    "create", [plain, stream, failed_stream, peer, peer_stream]
)
def test_a_body_or_event_without_end_is_cut_off(create: Any) -> None:
    """Guards against a response that fills the memory of a node."""
    run = create_run()
    attempt, limit = create(run)
    attempt.forwarded = mock.Mock()
    received = 0
    while not attempt.forwarded.cancel.called:
        attempt.on_data(BLOCK)
        received += len(BLOCK)
        assert received <= limit + len(BLOCK)
    calls = run.attempt_ended.call_args_list
    calls += run.peer_attempt_ended.call_args_list
    assert [call.args[1] for call in calls] == [path_engines.Ending.SPOILT]


EVENT = b"id: 1\ndata: x\n\n"
ABANDON_AFTER_S = 2.0


def begin_stream(run: Any) -> Any:
    run.routed.route.abandon_after_s = ABANDON_AFTER_S
    attempt, _ = stream(run)
    attempt.on_data(EVENT)
    return attempt


def test_a_stream_that_sends_no_event_for_long_is_left() -> None:
    """Guards against streams that wait for as long as bytes arrive."""
    run = create_run()
    attempt = begin_stream(run)
    attempt.on_data(b"x")
    run.loop.time.return_value = 0.4 * ABANDON_AFTER_S
    attempt.on_data(b"x")
    run.resume_elsewhere.assert_not_called()
    run.loop.time.return_value = 0.6 * ABANDON_AFTER_S
    attempt.on_data(b"x")
    run.resume_elsewhere.assert_called_once()
    run.loop.time.return_value = 1.1 * ABANDON_AFTER_S
    attempt.on_data(b"x")
    run.attempt_ended.assert_called_once()


def test_a_stream_that_goes_on_after_a_silence_stays() -> None:
    """Guards against leaving an engine whose event arrives in parts."""
    run = create_run()
    attempt = begin_stream(run)
    run.loop.time.return_value = 5 * ABANDON_AFTER_S
    for start in range(len(EVENT)):
        attempt.on_data(EVENT.replace(b"1", b"2")[start : start + 1])
    run.resume_elsewhere.assert_not_called()
    run.attempt_ended.assert_not_called()
