"""Faults of engines that respond erratically or change their names."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

from tests.soak import faults
from tests.soak import layout

if TYPE_CHECKING:
    from tests.soak import system as soak_system

ERRATIC = "erratic"
ENDLESS = "endless"


class ErraticEngine(faults.Fault):
    """An engine refuses, fails, resets and responds twice for a while."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        engine = self.engine(system)
        with system.disturbances.during(engine.name, ERRATIC):
            await faults.set_attributes(system, engine, {"is_erratic": True})
            await asyncio.sleep(self.lasts_s)
            await faults.set_attributes(system, engine, {"is_erratic": False})


class EndlessEngine(faults.Fault):
    """An engine sends bytes without end in its responses for a while."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        engine = self.engine(system)
        with system.disturbances.during(engine.name, ENDLESS):
            await faults.set_attributes(system, engine, {"is_endless": True})
            await asyncio.sleep(self.lasts_s)
            await faults.set_attributes(system, engine, {"is_endless": False})


class ErraticService(faults.Fault):
    """All engines of a service are erratic at the same time."""

    async def inject(self, system: soak_system.SoakSystem) -> None:
        service = faults.pick_by_share(layout.SERVICES, self.shape)
        engines = [e for e in system.engines if e.service == service]
        with contextlib.ExitStack() as disturbed:
            for engine in engines:
                disturbed.enter_context(
                    system.disturbances.during(engine.name, ERRATIC)
                )
            await self.set_erratic(system, engines, True)
            await asyncio.sleep(self.lasts_s)
            await self.set_erratic(system, engines, False)

    async def set_erratic(
        self,
        system: soak_system.SoakSystem,
        engines: list[soak_system.EngineProcess],
        is_erratic: bool,
    ) -> None:
        await asyncio.gather(
            *(
                faults.set_attributes(
                    system, engine, {"is_erratic": is_erratic}
                )
                for engine in engines
            )
        )


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
    services = faults.draw_extra(
        options, ErraticService, options.erratic_services
    )
    endless = faults.draw_extra(options, EndlessEngine, options.endless)
    return [*erratic, *reused, *services, *endless]
