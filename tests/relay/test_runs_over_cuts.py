"""Runs of a request over several losses of a node's links."""

from __future__ import annotations

import types
from typing import Any

import pytest

from almondshift.policy import engine_tracker
from almondshift.policy import isolation
from almondshift.policy import possible_runs
from almondshift.relay import runs
from almondshift.relay import stream_run
from tests.policy import test_isolation

NOW = 100.0


def lose_links(state: isolation.Isolation, at: float) -> None:
    """Has connections and then two rounds of queries fail."""
    test_isolation.fail(state, 3, at)
    for start in (at + 0.1, at + 0.2):
        state.end_round(start, start + 0.1)
    assert state.is_cut_off


@pytest.mark.parametrize("is_read_between", [True, False])
def test_a_later_cut_does_not_make_an_attempt_count(
    is_read_between: bool,
) -> None:
    """Guards against a count that depends on when it was read before."""
    links = isolation.Isolation()
    ended = possible_runs.PossibleRuns(0)
    run: Any = types.SimpleNamespace(
        links=links,
        ended_runs=ended,
        shared=types.SimpleNamespace(tracker=engine_tracker.EngineTracker()),
    )
    count = runs.Run.possible_runs.__get__
    ended.add("e1", NOW + 0.01)
    lose_links(links, NOW)
    if is_read_between:
        assert count(run) == 0
    links.note_response(NOW + 1.0)
    links.end_round(NOW + 0.9, NOW + 1.0)
    lose_links(links, NOW + 9.0)
    assert count(run) == 0


@pytest.mark.parametrize("do_peers_reach", [True, False])
@pytest.mark.parametrize("is_connected", [True, False])
def test_silence_is_a_cut_only_if_connections_fail(
    is_connected: bool, do_peers_reach: bool
) -> None:
    """Guards against runs that don't count while all engines pause."""
    loop: Any = types.SimpleNamespace(time=lambda: NOW + 9.0)
    links = isolation.Isolation()
    links.begin_round(NOW, NOW)
    for start in (NOW + 0.1, NOW + 0.2):
        links.end_round(start, start + 0.1)
    assert not links.is_cut_off
    if not is_connected:
        links.note_no_connection(NOW + 0.2, NOW + 0.7)
    peer_paths = types.SimpleNamespace(
        is_cut_off=lambda service: do_peers_reach
    )
    run: Any = types.SimpleNamespace(
        links=links,
        loop=loop,
        routed=types.SimpleNamespace(service="model"),
        shared=types.SimpleNamespace(peer_paths=peer_paths),
    )
    assert stream_run.StreamRun.is_cut_off(run) is not is_connected
