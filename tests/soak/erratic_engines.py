"""Faults of engines that respond erratically or change their names."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tests.soak import faults
from tests.soak import layout

if TYPE_CHECKING:
    from tests.soak import system as soak_system

ERRATIC = "erratic"


class ErraticEngine(faults.Fault):
    """An engine refuses, fails, resets and responds twice for a while."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        engine = self.engine(system)
        with system.disturbances.during(engine.name, ERRATIC):
            await faults.set_attributes(system, engine, {"is_erratic": True})
            await asyncio.sleep(self.lasts_s)
            await faults.set_attributes(system, engine, {"is_erratic": False})


class ReusedAddress(faults.Fault):
    """Another engine takes an address over; open connections stay open.

    The registry lists the former one until its entry expires.
    """

    async def inject(self, system: soak_system.SoakSystem) -> None:
        engine = self.engine(system)
        if engine.leaves_at:
            return
        system.disturbances.note(engine.name, "kill")
        name = f"{engine.name}-{time.monotonic_ns()}"
        await faults.set_attributes(system, engine, {"instance": name})


def draw(options: layout.SoakOptions) -> list[faults.Fault]:
    """Draws faults that leave the other faults of a seed alone."""
    erratic = faults.draw_extra(options, ErraticEngine, options.erratic)
    reused = faults.draw_extra(options, ReusedAddress, options.erratic)
    return [*erratic, *reused]
