"""Engines that stop responding while high load keeps others busy."""

from __future__ import annotations

import pytest

from almondshift.policy import pooled_load
from almondshift.policy import probe_timing
from almondshift.relay import path_probe
from almondshift.relay import stream_moves

LATE_S = 0.25
"""Pause above which a stream is late for its caller, in seconds."""


@pytest.mark.parametrize(
    ("usual_s", "events"), [(0.02, 2), (0.03, 20), (0.06, 60)]
)
def test_dead_engine_is_detected_before_streams_are_late(
    usual_s: float, events: int
) -> None:
    """With late probes, streams of a dead engine are not moved in time."""
    silent_s = probe_timing.silence_limit_s(events, usual_s * (events - 1))
    found_s = silent_s + stream_moves.CHECK_INTERVAL_S
    found_s += path_probe.SECOND_QUERY_S + path_probe.QUERY_TIMEOUT_S
    assert found_s < LATE_S


@pytest.mark.parametrize(
    ("events", "lasted_s", "limit_s"),
    [
        (0, 0.0, probe_timing.FIRST_SILENT_S),
        (1, 0.0, probe_timing.MIN_SILENT_S),
        (11, 0.1, probe_timing.MIN_SILENT_S),
        (11, 1.0, 0.2),
    ],
)
def test_silence_limit_follows_the_interval_of_events(
    events: int, lasted_s: float, limit_s: float
) -> None:
    """With a fixed limit, slow accelerators would always be probed."""
    found_s = probe_timing.silence_limit_s(events, lasted_s)
    assert found_s == pytest.approx(limit_s)


@pytest.mark.parametrize("nodes", [7, 75, 300])
def test_probe_rate_of_all_nodes_is_bounded(
    nodes: int,
) -> None:
    """Without a bound, probes of all nodes would overload a busy engine."""
    backoff = probe_timing.ProbeBackoff()
    factor = pooled_load.query_interval_factor(nodes)
    probes = 0
    for check in range(500):
        now = check * stream_moves.CHECK_INTERVAL_S
        if backoff.is_due(now):
            backoff.note_probe(now, factor)
            probes += 1
    assert probes * nodes <= 10 * max(nodes, pooled_load.MANY_NODES)


@pytest.mark.parametrize(
    ("looks", "probes"),
    [
        ([0.0, 0.1], 1),
        ([0.0, 0.16], 2),
        # The interval doubles while probes follow each other.
        ([0.0, 0.16, 0.32], 2),
        ([0.0, 0.16, 0.47], 3),
        # It is reset after a time without probes.
        ([0.0, 0.16, 5.0, 5.16], 4),
    ],
)
def test_probe_interval_doubles_while_an_engine_answers(
    looks: list[float], probes: int
) -> None:
    """Without backoff, probes would add to the load of a busy engine."""
    backoff = probe_timing.ProbeBackoff()
    done = 0
    for now in looks:
        if backoff.is_due(now):
            backoff.note_probe(now, 1.0)
            done += 1
    assert done == probes
