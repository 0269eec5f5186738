from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tests.soak import layout
from tests.soak import report as soak_report
from tests.soak import run

if TYPE_CHECKING:
    import pathlib

MIXED_SEED = 2
PLANNED_SEED = 121
"""Its faults are only operators' actions, during which nothing may be cut."""

LIMITED_SEED = 39
"""Engines name limits or backoffs, and nodes lose all engines."""

STALLED_SEED = 14
STALLS_PER_S = 3.0


@pytest.mark.parametrize(
    ("seed", "stalls_per_s", "limits_and_cuts"),
    [
        (MIXED_SEED, 0.0, 0),
        (PLANNED_SEED, 0.0, 0),
        (STALLED_SEED, STALLS_PER_S, 0),
        (LIMITED_SEED, 0.0, 3),
    ],
)
def test_guarantees_hold_under_seeded_faults(
    seed: int, stalls_per_s: float, limits_and_cuts: int, tmp_path: pathlib.Path
) -> None:
    """Callers get complete answers or truthful refusals under faults.

    Relay processes, a store and engines run on loopback. In overlapping series
    links are reset, delayed and silenced, processes stopped, paused and
    killed, and configurations changed; in one run all links stall briefly.
    Meanwhile callers' answers are checked against engines' ledgers; afterwards
    all nodes must serve again.
    """
    options = layout.SoakOptions(
        seed=seed,
        seconds=15.0,
        nodes=3,
        engines=8,
        clients=12,
        stalls_per_s=stalls_per_s,
        limits=limits_and_cuts,
        cuts=limits_and_cuts,
        backoffs=limits_and_cuts,
    )
    report = asyncio.run(run.run(options, tmp_path))
    assert not report.violations, soak_report.render_text(report)
