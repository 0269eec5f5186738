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
"""Its series hold only what operators do; nothing may be cut beside it."""


@pytest.mark.parametrize("seed", [MIXED_SEED, PLANNED_SEED])
def test_promises_hold_under_seeded_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Callers get whole answers or honest refusals, whatever happens.

    Relay processes, a store and engines run on loopback; links are reset,
    delayed and silenced, processes stopped, paused and killed, configurations
    changed, in overlapping series. What callers saw is held against what
    engines noted while it goes on, and afterwards all nodes serve again.
    """
    options = layout.SoakOptions(
        seed=seed, seconds=15.0, nodes=3, engines=8, clients=12
    )
    report = asyncio.run(run.run(options, tmp_path))
    assert not report.violations, soak_report.render_text(report)
