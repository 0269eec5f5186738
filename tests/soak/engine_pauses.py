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
from tests.soak import store_process

if TYPE_CHECKING:
    from tests.soak import system as soak_system

PAUSE_S = (0.3, 1.5)
MAX_LONG_PAUSE_S = (
    store_process.ENTRY_TTL_S - engine_process.HEARTBEAT_INTERVAL_S
)
"""The entry of an engine that pauses for less does not expire."""

LONG_PAUSE_S = (1.4, 0.96 * MAX_LONG_PAUSE_S)
LONG_PAUSE_SHARE = (0.2, 0.9)
LAPSE_S = (store_process.ENTRY_TTL_S + 0.2, 9.0)
LAPSE_SHARE = (0.1, 0.5)
MIN_GAP_S = 0.25
ENGINE_GAP_S = (MIN_GAP_S, 0.5)
ZONE_GAP_S = (0.6, 1.2)
"""The gaps give the first engine of a path time to see that the others are
back: it cuts streams after a long wait."""

ZONE_SHAPE = 0.0
ENGINE_SHAPE = 1.0
ZONES_PROBABILITY = 0.4


class PauseSoundEngines(faults.Fault):
    """An engine, or all of a zone, is silent; its connections stay open."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        async with system.pausing:
            await self.pause(system, self.choose(system))

    async def pause(
        self,
        system: soak_system.SoakSystem,
        chosen: list[soak_system.EngineProcess],
    ) -> None:
        """Pauses the sound ones of some engines, and waits until they go on."""
        start = time.monotonic()
        until = start + self.lasts_s
        engines = [
            engine
            for engine in chosen
            if engine.is_running()
            and not engine.leaves_at
            and system.disturbances.is_sound(engine.name)
        ]
        for engine in engines:
            system.disturbances.pauses.append(
                disturbances.EnginePause(engine.name, start, until)
            )
        await asyncio.gather(
            asyncio.sleep(self.lasts_s + MIN_GAP_S),
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
        if self.shape == ENGINE_SHAPE:
            return [chosen]
        zones = len(layout.ZONES)
        return [
            engine
            for engine in system.engines
            if engine.index % zones == chosen.index % zones
        ]


class PauseManyEngines(PauseSoundEngines):
    """A share of the engines is silent for seconds; others may be as well.

    ``shape`` is the share.
    """

    async def inject(self, system: soak_system.SoakSystem) -> None:
        await self.pause(system, self.choose(system))

    def choose(
        self, system: soak_system.SoakSystem
    ) -> list[soak_system.EngineProcess]:
        count = max(1, round(self.shape * len(system.engines)))
        return random.Random(self.pick).sample(system.engines, count)


class StopManyEngines(PauseManyEngines):
    """A share of the engines is suspended until their entries have expired."""

    async def pause(
        self,
        system: soak_system.SoakSystem,
        chosen: list[soak_system.EngineProcess],
    ) -> None:
        await asyncio.gather(
            *(faults.pause(system, engine, self.lasts_s) for engine in chosen)
        )


def draw(options: layout.SoakOptions) -> list[faults.Fault]:
    """Draws pauses that leave the other faults of a seed alone."""
    found = draw_long_pauses(options) + draw_lapses(options)
    rng = random.Random(f"{options.seed}/{PauseSoundEngines.__name__}")
    for number in range(options.pauses):
        share_s = options.seconds / options.pauses
        start_s = (number + rng.uniform(0.0, 0.3)) * share_s
        end_s = (number + 1) * share_s
        found += draw_series(rng, options.engines, start_s, end_s)
    return found


def draw_long_pauses(options: layout.SoakOptions) -> list[faults.Fault]:
    """Draws pauses of seconds, which may overlap."""
    rng = random.Random(f"{options.seed}/{PauseManyEngines.__name__}")
    return [
        PauseManyEngines(
            rng.uniform(0.0, options.seconds),
            rng.random(),
            rng.uniform(*LONG_PAUSE_S),
            rng.uniform(*LONG_PAUSE_SHARE),
        )
        for _ in range(options.long_pauses)
    ]


def draw_lapses(options: layout.SoakOptions) -> list[faults.Fault]:
    """Draws pauses that outlast registry entries, and may overlap."""
    rng = random.Random(f"{options.seed}/{StopManyEngines.__name__}")
    return [
        StopManyEngines(
            rng.uniform(0.0, options.seconds),
            rng.random(),
            rng.uniform(*LAPSE_S),
            rng.uniform(*LAPSE_SHARE),
        )
        for _ in range(options.lapses)
    ]


def draw_series(
    rng: random.Random, engines: int, at_s: float, end_s: float
) -> list[faults.Fault]:
    """Draws pauses of one engine, or one zone, after the other."""
    first = rng.randrange(engines)
    is_by_zone = rng.random() < ZONES_PROBABILITY
    shape = ZONE_SHAPE if is_by_zone else ENGINE_SHAPE
    gap_s = ZONE_GAP_S if is_by_zone else ENGINE_GAP_S
    series: list[faults.Fault] = []
    while at_s < end_s:
        # The middle of the engine's share, so that rounding keeps the turn.
        pick = ((first + len(series)) % engines + 0.5) / engines
        lasts_s = rng.uniform(*PAUSE_S)
        series.append(PauseSoundEngines(at_s, pick, lasts_s, shape))
        at_s += lasts_s + rng.uniform(*gap_s)
    return series
