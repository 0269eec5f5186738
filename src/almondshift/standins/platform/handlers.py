"""HTTP handlers of the platform stand-in."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING
from typing import ClassVar
from typing import TypeVar

import msgspec
from tornado import web

from almondshift.adapters import platform_messages
from almondshift.model import revisions
from almondshift.ports import stores
from almondshift.standins.platform import faults
from almondshift.standins.platform import weights

if TYPE_CHECKING:
    from almondshift.standins.platform import counters
    from almondshift.standins.platform import settings
    from almondshift.standins.platform import tables
    from almondshift.standins.platform import vms

DEFAULT_SCAN_LIMIT = 100
Body = TypeVar("Body")


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformState:
    """State that the handlers share."""

    settings: settings.PlatformSettings
    tables: tables.MemoryTables
    objects: dict[str, bytes]
    vms: vms.LaggingVms
    weights: weights.WeightsRateLimiter
    faults: faults.Faults
    counters: counters.Counters


class BaseHandler(web.RequestHandler):
    """Base of all handlers; responds in JSON."""

    state: PlatformState

    def initialize(self, state: PlatformState) -> None:
        """Stores the shared state."""
        self.state = state

    def send_json(self, body: msgspec.Struct, status: int = 200) -> None:
        """Sends a JSON body."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def refuse(self, status: int, kind: str, detail: str = "") -> None:
        """Sends an error response; the request had no effect."""
        self.send_json(
            platform_messages.ProblemBody(kind, False, detail), status
        )

    def decode(self, body_type: type[Body]) -> Body | None:
        """Decodes the body, or rejects it and returns None."""
        try:
            return msgspec.json.decode(self.request.body, type=body_type)
        except msgspec.MsgspecError as error:
            self.refuse(400, "malformed", str(error))
            return None


class FaultyHandler(BaseHandler):
    """Injects the faults that are set for its group."""

    group: ClassVar[faults.Group]

    async def prepare(self) -> None:
        """Delays or refuses the request before it takes effect."""
        is_admitted = await self.state.faults.groups[self.group].admit()
        if self.group is faults.Group.TABLES and self.state.settings.sends_era:
            self.set_header(revisions.ERA_HEADER, str(self.state.tables.era))
        if not is_admitted:
            self.set_header("Retry-After", "1")
            self.refuse(503, "unavailable")

    def lose_response_if_set(self) -> bool:
        """Closes the connection without a response if the switches say so."""
        if not self.state.faults.groups[self.group].should_lose_response():
            return False
        self.detach().close()
        return True


class RowHandler(FaultyHandler):
    """``GET /v1/tables/T/rows/KEY``."""

    group = faults.Group.TABLES

    async def get(self, table: str, key: str) -> None:
        """Reads a row."""
        self.state.counters.count_read()
        row = self.state.tables.read(table, key)
        if row is None:
            self.refuse(404, "not_found")
            return
        self.send_json(_row_body(row))


class RowsHandler(FaultyHandler):
    """``GET /v1/tables/T/rows?prefix=&limit=``."""

    group = faults.Group.TABLES

    async def get(self, table: str) -> None:
        """Reads rows in key order."""
        self.state.counters.count_read()
        prefix = self.get_query_argument("prefix", "", strip=False)
        limit = int(self.get_query_argument("limit", str(DEFAULT_SCAN_LIMIT)))
        rows = self.state.tables.scan(table, prefix, limit)
        self.send_json(
            platform_messages.RowsBody([_row_body(row) for row in rows])
        )


class TransactionsHandler(FaultyHandler):
    """``POST /v1/transactions``."""

    group = faults.Group.TABLES

    async def post(self) -> None:
        """Applies conditional writes, all or none."""
        body = self.decode(platform_messages.TransactionBody)
        if body is None:
            return
        writes = [
            stores.Write(write.table, write.key, write.value, write.if_revision)
            for write in body.writes
        ]
        self.state.counters.count_write(len(writes))
        result = self.state.tables.transact(writes)
        if self.lose_response_if_set():
            return
        if result.is_error():
            self.refuse(409, "condition_failed", result.error.detail)
            return
        self.send_json(platform_messages.RevisionsBody(result.ok))


class ObjectHandler(FaultyHandler):
    """``GET`` and ``PUT /v1/objects/KEY``."""

    group = faults.Group.OBJECTS

    async def get(self, key: str) -> None:
        """Reads an object."""
        self.state.counters.count_read()
        content = self.state.objects.get(key)
        if content is None:
            self.refuse(404, "not_found")
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(content)

    async def put(self, key: str) -> None:
        """Writes an object."""
        self.state.counters.count_write(1)
        self.state.objects[key] = self.request.body
        if not self.lose_response_if_set():
            self.set_status(204)


class VmsHandler(FaultyHandler):
    """``GET /v1/vms``."""

    group = faults.Group.VMS

    async def get(self) -> None:
        """Lists VMs."""
        self.state.counters.count_read()
        self.send_json(platform_messages.VmsBody(self.state.vms.list()))


class VmHandler(FaultyHandler):
    """``PUT`` and ``DELETE /v1/vms/NAME``."""

    group = faults.Group.VMS

    async def put(self, name: str) -> None:
        """Adds or changes a VM."""
        body = self.decode(platform_messages.VmBody)
        if body is None:
            return
        self.state.vms.change(name, body)
        if not self.lose_response_if_set():
            self.set_status(204)

    async def delete(self, name: str) -> None:
        """Deletes a VM."""
        self.state.vms.change(name, None)
        if not self.lose_response_if_set():
            self.set_status(204)


class WeightsHandler(FaultyHandler):
    """``GET /v1/weights/MODEL/VERSION/LAYER``."""

    group = faults.Group.WEIGHTS

    async def get(self, model: str, version: str, layer: str) -> None:
        """Sends the weights of a layer at a limited rate."""
        limiter = self.state.weights
        if limiter.is_full():
            self.set_header("Retry-After", str(math.ceil(limiter.wait_s())))
            self.refuse(429, "rate_limited")
            return
        await limiter.acquire()
        size = self.state.settings.layer_bytes
        content = weights.layer_weights(model, int(version), int(layer), size)
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(content)


class ControlHandler(BaseHandler):
    """``GET`` and ``POST /v1/control``."""

    async def get(self) -> None:
        """Sends the request counts."""
        self.send_json(self.state.counters.current())

    async def post(self) -> None:
        """Sets switches; see ``faults.Switch`` for the body."""
        switch = self.decode(faults.Switch)
        if switch is None:
            return
        self.state.faults.set(switch)
        self.set_status(204)


def _row_body(row: stores.Row) -> platform_messages.RowBody:
    return platform_messages.RowBody(row.key, row.value, row.revision)


def create_application(state: PlatformState) -> web.Application:
    """Creates the web application over the state."""
    shared = {"state": state}
    routes = [
        web.url(r"/v1/tables/([^/]+)/rows/(.+)", RowHandler, shared),
        web.url(r"/v1/tables/([^/]+)/rows", RowsHandler, shared),
        web.url(r"/v1/transactions", TransactionsHandler, shared),
        web.url(r"/v1/objects/(.+)", ObjectHandler, shared),
        web.url(r"/v1/vms", VmsHandler, shared),
        web.url(r"/v1/vms/([^/]+)", VmHandler, shared),
        web.url(r"/v1/weights/([^/]+)/(\d+)/(\d+)", WeightsHandler, shared),
        web.url(r"/v1/control", ControlHandler, shared),
    ]
    return web.Application(routes, log_function=lambda handler: None)
