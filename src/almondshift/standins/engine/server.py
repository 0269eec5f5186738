"""The engine stand-in as a server."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from tornado import httpserver
from tornado import netutil
from tornado import web

from almondshift.model import endpoints
from almondshift.standins import processes
from almondshift.standins.engine import batcher
from almondshift.standins.engine import cache_events
from almondshift.standins.engine import handlers
from almondshift.standins.engine import holdings
from almondshift.standins.engine import ledger
from almondshift.standins.engine import links
from almondshift.standins.engine import load_reports
from almondshift.standins.engine import prefixes
from almondshift.standins.engine import runner
from almondshift.standins.engine import sessions
from almondshift.standins.engine import switches
from almondshift.standins.engine import weights

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tornado import iostream

    from almondshift.model import steps
    from almondshift.standins.engine import settings as engine_settings

MAX_BODY_BYTES = 64 * 1024 * 1024
INSTANCE_BITS = 64


class EngineServer(processes.StandIn):
    """A model engine.

    Attributes:
        address: ``host:port``, once started.
        instance: Random id of this start.
        faults: The switches of tests.
        record: The ledger.
        hanging: Connections whose answer was swallowed.
        last_results: Results of the latest step call.
    """

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        self.settings = settings
        self.address = ""
        self.instance = f"{random.SystemRandom().getrandbits(INSTANCE_BITS):x}"
        self.faults = switches.Switches()
        self.record = ledger.Ledger(settings.ledger_limit, settings.ledger_file)
        self.hanging: list[iostream.IOStream] = []
        self.last_results: list[steps.StepResult] = []
        self.events = cache_events.CacheEventLog(
            settings.cache_event_delay_s,
            settings.cache_event_loss,
            random.Random(settings.seed),
        )
        self.cache = prefixes.PrefixCache(
            settings.prefix_blocks, self.events.add
        )
        self.table = sessions.SessionTable(
            settings.max_sessions, settings.session_idle_s, self._on_drop
        )
        self.weights = weights.WeightLoader(settings)
        self.held = holdings.HoldingTable(
            settings,
            self.weights.load,
            self.table.sessions.values,
            self.table.drop,
        )
        self.runner = runner.Runner(
            settings,
            self.table,
            self.held,
            self.cache,
            self.record,
            self.faults,
        )
        self.batcher = batcher.Batcher(settings, self.runner, self.faults)
        self.reporter = load_reports.LoadReporter(
            settings.load_lag_s, self.measure_load
        )
        self.inbound = links.Link(
            settings.link_latency_s, settings.link_bytes_per_s
        )
        self.outbound = links.Link(
            settings.link_latency_s, settings.link_bytes_per_s
        )
        application = web.Application(
            list(handlers.create_routes(self)), log_function=_log_nothing
        )
        self.server = httpserver.HTTPServer(
            application, max_body_size=MAX_BODY_BYTES
        )

    async def start(self) -> None:
        """Listens and begins to run batches."""
        self.record.start()
        await self.batcher.start()
        await self.reporter.start()
        sockets = netutil.bind_sockets(self.settings.port, self.settings.host)
        port = sockets[0].getsockname()[1]
        self.address = f"{self.settings.host}:{port}"
        self.server.add_sockets(sockets)

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self.server.stop()
        for stream in self.hanging:
            stream.close()
        await self.batcher.close()
        await self.reporter.close()
        await self.held.close()
        self.weights.close()
        self.record.close()
        await self.server.close_all_connections()

    def describe(self) -> endpoints.EndpointDescription:
        """Returns what the engine is."""
        settings = self.settings
        return endpoints.EndpointDescription(
            settings.name,
            self.instance,
            settings.accelerator,
            settings.layer_capacity,
            settings.fixed_s,
            settings.per_layer_token_s,
            settings.max_batch,
            settings.max_sessions,
        )

    def describe_vm(self, state: endpoints.VmState) -> endpoints.Vm:
        """Returns the engine's row in the list of VMs."""
        return endpoints.Vm(
            self.settings.name,
            self.settings.advertise or self.address,
            self.settings.zone,
            endpoints.EndpointKind.ENGINE,
            "",
            state,
        )

    def begin_leaving(self) -> None:
        """Opens no more sessions from now on."""
        self.faults.leaving = True

    def has_work(self) -> bool:
        """Returns whether sessions are left."""
        return len(self.table) > 0

    def measure_load(self) -> endpoints.LoadReport:
        """Returns the present load."""
        return endpoints.LoadReport(
            self.settings.name,
            self.instance,
            self.held.role,
            self.faults.leaving,
            self.held.report(),
            len(self.table),
            len(self.batcher.queue),
            self.held.order_number,
            0.0,
        )

    def cancel(self, session_ids: Sequence[str]) -> None:
        """Drops sessions and their queued items."""
        self.batcher.cancel(set(session_ids))
        for session in session_ids:
            self.table.drop(session)

    def import_snapshot(self, snapshot: steps.KvSnapshot) -> str:
        """Opens a session; returns why not, or ``""``.

        Raises:
            struct.error: If the state does not fit the layers.
        """
        if self.faults.leaving or self.runner.is_draining():
            return "The engine opens no sessions."
        if not self.held.opens(snapshot):
            return "The engine does not hold these layers."
        if self.table.find(snapshot.session) is not None:
            return "The session exists."
        if not self.table.import_snapshot(snapshot, time.monotonic()):
            return "All sessions are in use."
        return ""

    def drop_kv(self) -> None:
        """Loses all sessions and the prefix cache."""
        self.table.drop_all()
        self.cache.clear()

    def _on_drop(self) -> None:
        self.held.sweep()


def _log_nothing(_: web.RequestHandler) -> None:
    pass


def create_engine(settings: engine_settings.EngineSettings) -> EngineServer:
    """Creates an engine; it is not started yet."""
    return EngineServer(settings)
