"""HTTP server of the plain service stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import httpserver
from tornado import netutil
from tornado import web

from almondshift.model import endpoints
from almondshift.standins import processes
from almondshift.standins.plain import handlers
from almondshift.standins.plain import ledger
from almondshift.standins.plain import switches

if TYPE_CHECKING:
    from almondshift.standins.plain import settings as plain_settings


class PlainServer(processes.StandIn):
    """An emulated plain service.

    Attributes:
        address: ``host:port``, once started.
        faults: The fault switches.
        record: The ledger.
        leaving: Whether calls are refused because it is leaving.
        running: Number of calls that are running.
    """

    def __init__(self, settings: plain_settings.PlainSettings) -> None:
        self.settings = settings
        self.address = ""
        self.faults = switches.Switches()
        self.record = ledger.Ledger(settings.ledger_limit)
        self.leaving = False
        self.running = 0
        application = web.Application(
            list(handlers.create_routes(self)), log_function=_log_nothing
        )
        self.server = httpserver.HTTPServer(application)

    async def start(self) -> None:
        """Starts listening."""
        sockets = netutil.bind_sockets(self.settings.port, self.settings.host)
        port = sockets[0].getsockname()[1]
        self.address = f"{self.settings.host}:{port}"
        self.server.add_sockets(sockets)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self.server.stop()
        await self.server.close_all_connections()

    def describe_vm(self, state: endpoints.VmState) -> endpoints.Vm:
        """Returns the service's row in the VM list."""
        return endpoints.Vm(
            self.settings.name,
            self.settings.advertise or self.address,
            self.settings.zone,
            endpoints.EndpointKind.PLAIN,
            self.settings.service,
            state,
        )

    def begin_leaving(self) -> None:
        """Starts refusing calls."""
        self.leaving = True

    def has_work(self) -> bool:
        """Returns whether calls are running."""
        return self.running > 0


def _log_nothing(_: web.RequestHandler) -> None:
    pass


def create_plain(settings: plain_settings.PlainSettings) -> PlainServer:
    """Creates a plain service without starting it."""
    return PlainServer(settings)
