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
