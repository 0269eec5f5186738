"""Pauses of sound engines, which answer no call and then go on."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from tests.soak import disturbances
from tests.soak import engine_process
from tests.soak import faults
from tests.soak import layout

if TYPE_CHECKING:
    from tests.soak import system as soak_system

PAUSE_S = (0.3, 1.5)
GAP_S = (0.4, 0.8)
"""The minimum gives the first engine of a path time to see that the others are
back: it cuts streams after a long wait."""

ENGINES_IN_SERIES = (3, 8)
ZONE_PROBABILITY = 0.15


class PauseSoundEngines(faults.Fault):
    """An engine, or all of a zone, is silent; its connections stay open."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        async with system.pausing:
            start = time.monotonic()
            until = start + self.lasts_s
            engines = [
                engine
                for engine in self.choose(system)
                if engine.is_running()
                and not engine.leaves_at
                and system.disturbances.is_sound(engine.name)
            ]
            for engine in engines:
                system.disturbances.pauses.append(
                    disturbances.EnginePause(engine.name, start, until)
                )
            await asyncio.gather(
                asyncio.sleep(self.lasts_s + GAP_S[0]),
                *(
                    system.post(
                        engine.listen,
                        engine_process.PAUSE_PATH,
                        {"until": until},
                    )
                    for engine in engines
                ),
            )

    def choose(
        self, system: soak_system.SoakSystem
    ) -> list[soak_system.EngineProcess]:
        chosen = self.engine(system)
        if self.shape >= ZONE_PROBABILITY:
            return [chosen]
        zones = len(layout.ZONES)
        return [
            engine
            for engine in system.engines
            if engine.index % zones == chosen.index % zones
        ]


def draw(options: layout.SoakOptions) -> list[faults.Fault]:
    """Draws series of pauses that leave the other faults of a seed alone."""
    rng = random.Random(f"{options.seed}/{PauseSoundEngines.__name__}")
    found: list[faults.Fault] = []
    for _ in range(options.pauses):
        found += draw_series(rng, options)
    return [fault for fault in found if fault.at_s < options.seconds]


def draw_series(
    rng: random.Random, options: layout.SoakOptions
) -> list[faults.Fault]:
    """Draws pauses of one engine after the other."""
    at_s = rng.uniform(0.0, options.seconds)
    first = rng.randrange(options.engines)
    series: list[faults.Fault] = []
    for number in range(rng.randint(*ENGINES_IN_SERIES)):
        # The middle of the engine's share, so that rounding keeps the turn.
        pick = ((first + number) % options.engines + 0.5) / options.engines
        lasts_s = rng.uniform(*PAUSE_S)
        series.append(PauseSoundEngines(at_s, pick, lasts_s, rng.random()))
        at_s += lasts_s + rng.uniform(*GAP_S)
    return series
