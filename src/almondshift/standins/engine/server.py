"""HTTP server of the engine stand-in."""

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
    """An emulated model engine.

    Attributes:
        address: ``host:port``, once started.
        instance: Random id, new at each start.
        faults: The fault switches.
        record: The ledger.
        hanging_streams: Open connections whose response was swallowed.
        last_results: Results of the latest step call.
    """

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        self.settings = settings
        self.address = ""
        self.instance = f"{random.SystemRandom().getrandbits(INSTANCE_BITS):x}"
        self.faults = switches.Switches()
        self.record = ledger.Ledger(settings.ledger_limit, settings.ledger_file)
        self.hanging_streams: list[iostream.IOStream] = []
        self.last_results: list[steps.StepResult] = []
        self.events = cache_events.CacheEventLog(
            settings.cache_event_delay_s,
            settings.cache_event_loss,
            random.Random(settings.seed),
        )
        self.cache = prefixes.PrefixCache(
            settings.prefix_blocks, self.events.add
        )
        self.session_table = sessions.SessionTable(
            settings.max_sessions, settings.session_idle_s, self._on_drop
        )
        self.weights = weights.WeightLoader(settings)
        self.holding_table = holdings.HoldingTable(
            settings,
            self.weights.load,
            self.session_table.sessions.values,
            self.session_table.drop,
        )
        self.runner = runner.Runner(
            settings,
            self.session_table,
            self.holding_table,
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
        """Starts listening and running batches."""
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
        for stream in self.hanging_streams:
            stream.close()
        await self.batcher.close()
        await self.reporter.close()
        await self.holding_table.close()
        self.weights.close()
        self.record.close()
        await self.server.close_all_connections()

    def describe(self) -> endpoints.EndpointDescription:
        """Returns the engine's description."""
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
        """Returns the engine's row in the VM list."""
        return endpoints.Vm(
            self.settings.name,
            self.settings.advertise or self.address,
            self.settings.zone,
            endpoints.EndpointKind.ENGINE,
            "",
            state,
        )

    def begin_leaving(self) -> None:
        """Starts refusing new sessions."""
        self.faults.leaving = True

    def has_work(self) -> bool:
        """Returns whether any session is open."""
        return len(self.session_table) > 0

    def measure_load(self) -> endpoints.LoadReport:
        """Returns the current load."""
        return endpoints.LoadReport(
            self.settings.name,
            self.instance,
            self.holding_table.role,
            self.faults.leaving,
            self.holding_table.report(),
            len(self.session_table),
            len(self.batcher.queue),
            self.holding_table.order_number,
            0.0,
        )

    def cancel(self, session_ids: Sequence[str]) -> None:
        """Drops sessions and their queued items."""
        self.batcher.cancel(set(session_ids))
        for session in session_ids:
            self.session_table.drop(session)

    def import_snapshot(self, snapshot: steps.KvSnapshot) -> str:
        """Opens a session; returns the reason if refused, else ``""``.

        Raises:
            struct.error: If the KV state does not match the layers.
        """
        if self.faults.leaving or self.runner.is_draining():
            return "The engine does not accept new sessions."
        if not self.holding_table.can_open(snapshot):
            return "The engine does not hold these layers."
        if self.session_table.find(snapshot.session) is not None:
            return "The session already exists."
        if not self.session_table.import_snapshot(snapshot, time.monotonic()):
            return "All sessions are in use."
        return ""

    def drop_kv(self) -> None:
        """Drops all sessions and clears the prefix cache."""
        self.session_table.drop_all()
        self.cache.clear()

    def _on_drop(self) -> None:
        self.holding_table.remove_unused()


def _log_nothing(_: web.RequestHandler) -> None:
    pass


def create_engine(settings: engine_settings.EngineSettings) -> EngineServer:
    """Creates an engine without starting it."""
    return EngineServer(settings)
