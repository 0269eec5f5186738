"""Restores of the store from a copy, with operators' work around them."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from tests.soak import disturbances
from tests.soak import faults
from tests.soak import layout
from tests.soak import store_process

if TYPE_CHECKING:
    from tests.soak import system as soak_system

MIN_AGE_S = 3.5
AWAY_S = (0.6, 1.0)

CHANGE_DELAY_S = 0.3
RESTORE_DELAY_S = 3.0
"""Delays in a series. The copy is older than the series, so that the store
loses what was written in it; nodes have time to apply that before."""

CHANGE_DELAYS_S = (0.5, layout.SETTLE_S + 0.2)
"""Delays of the next changes after the return: before and after the store's
counter is past what nodes have seen."""

RESTART_PROBABILITY = 0.3
ROTATE_KEY_SHAPE = 0.9
LONG_LEAVE_S = 7.0


class RestoreStore(faults.Fault):
    """The store is away, and returns with the rows of an older copy."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        absences = list(store_process.Absence)
        absence = faults.pick_by_share(absences, self.shape)
        body = {
            "absence": absence,
            "age_s": MIN_AGE_S + 2 * self.pick,
            "returns_at": time.monotonic() + self.lasts_s,
        }
        what = f"restore, {absence}"
        with system.disturbances.during(disturbances.STORE, what):
            await system.post(
                system.network.store(), store_process.RESTORE_PATH, body
            )


def draw(options: layout.SoakOptions) -> list[faults.Fault]:
    """Draws series that leave the other faults of a seed as they are."""
    rng = random.Random(f"{options.seed}/{RestoreStore.__name__}")
    found: list[faults.Fault] = []
    for number in range(options.restores):
        share_s = options.seconds / options.restores
        start_s = (number + rng.uniform(0.0, 0.2)) * share_s
        found += draw_series(rng, start_s)
    return found


def draw_series(rng: random.Random, start_s: float) -> list[faults.Fault]:
    """Draws a restore that loses changes, and changes after it."""
    away_s = rng.uniform(*AWAY_S)
    restore_s = start_s + RESTORE_DELAY_S
    change_s = restore_s + away_s + rng.choice(CHANGE_DELAYS_S)
    series: list[faults.Fault] = [
        faults.LeavingEngine(start_s, rng.random(), LONG_LEAVE_S, rng.random()),
        faults.ChangeConfiguration(
            start_s + CHANGE_DELAY_S, rng.random(), 0.0, ROTATE_KEY_SHAPE
        ),
        RestoreStore(restore_s, rng.random(), away_s, rng.random()),
        faults.ChangeConfiguration(change_s, rng.random(), 0.0, rng.random()),
        faults.LeavingEngine(change_s, rng.random(), 4.0, rng.random()),
    ]
    restarts = rng.random() < RESTART_PROBABILITY
    restarted = faults.StopNode(restore_s, rng.random(), 0.0, 0.0)
    return [*series, restarted] if restarts else series
