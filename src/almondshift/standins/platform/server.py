"""HTTP server of the platform stand-in."""

from __future__ import annotations

from tornado import httpserver
from tornado import netutil

from almondshift.adapters import system_clock
from almondshift.standins.platform import counters
from almondshift.standins.platform import faults
from almondshift.standins.platform import handlers
from almondshift.standins.platform import settings as settings_module
from almondshift.standins.platform import tables
from almondshift.standins.platform import vms
from almondshift.standins.platform import weights


class PlatformServer:
    """Serves the stand-in; code in the same process can use its state."""

    def __init__(self, state: handlers.PlatformState) -> None:
        self.state = state
        self.address = ""
        self.server: httpserver.HTTPServer | None = None

    async def start(self) -> None:
        """Starts listening and sets ``address`` to ``host:port``."""
        settings = self.state.settings
        sockets = netutil.bind_sockets(settings.port, settings.host)
        application = handlers.create_application(self.state)
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(sockets)
        self.address = f"{settings.host}:{sockets[0].getsockname()[1]}"

    async def close(self) -> None:
        """Stops listening, refuses held requests, closes connections."""
        if self.server is None:
            return
        self.server.stop()
        self.state.faults.set(faults.Switch(down=faults.Down.REFUSE))
        await self.server.close_all_connections()
        self.server = None


def create_platform(
    settings: settings_module.PlatformSettings,
) -> PlatformServer:
    """Creates the stand-in without starting it."""
    clock = system_clock.create_system_clock()
    state = handlers.PlatformState(
        settings=settings,
        tables=tables.MemoryTables(),
        objects={},
        vms=vms.LaggingVms(clock, settings.vm_lag_s),
        weights=weights.WeightsRateLimiter(
            clock, settings.weights_per_s, settings.weights_queue_s
        ),
        faults=faults.Faults(clock),
        counters=counters.Counters(clock),
    )
    return PlatformServer(state)
