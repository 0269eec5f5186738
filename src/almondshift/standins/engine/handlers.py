"""HTTP handlers of the engine stand-in."""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING
from typing import TypeVar

import msgspec
from tornado import web

from almondshift.adapters import engine_messages
from almondshift.standins.engine import switches

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from almondshift.model import steps
    from almondshift.standins.engine import server

Message = TypeVar("Message")

BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503


class EngineHandler(web.RequestHandler):
    """Base of all handlers."""

    def initialize(self, engine: server.EngineServer) -> None:
        """Stores the engine that it serves."""
        self.engine = engine

    def compute_etag(self) -> None:
        """Skips hashing the body; responses here are never cached."""

    def refuse(self, status: int, reason: str) -> None:
        """Responds that nothing was run, with the reason."""
        self.set_status(status)
        self.set_header(engine_messages.NOT_RUN_HEADER, "1")
        self.finish({"reason": reason})

    def send(self, body: bytes, content_type: str) -> None:
        """Sends a body."""
        self.set_header("Content-Type", content_type)
        self.finish(body)

    def send_json(self, content: object) -> None:
        """Sends a message as JSON."""
        self.send(msgspec.json.encode(content), engine_messages.JSON_TYPE)

    def decode_body(self, decode: Callable[[bytes], Message]) -> Message | None:
        """Decodes the body, or rejects it and returns None."""
        try:
            return decode(self.request.body)
        except msgspec.DecodeError as error:
            self.refuse(BAD_REQUEST, f"Malformed body: {error}.")
            return None


class DescribeHandler(EngineHandler):
    """``GET /v1/describe``."""

    def get(self) -> None:
        """Describes the engine."""
        self.send_json(self.engine.describe())


class StepsHandler(EngineHandler):
    """``POST /v1/steps``."""

    async def post(self) -> None:
        """Runs items of several requests and sends all results together."""
        if self.engine.faults.refuse_all:
            self.refuse(UNAVAILABLE, "The engine refuses all steps.")
            return
        items = self.decode_body(engine_messages.decode_items)
        if items is None:
            return
        results = await self._run(items)
        if self.engine.faults.swallow_answers > 0:
            self._swallow_response()
            return
        body = engine_messages.encode_results(self._cross_if_enabled(results))
        self.send(body, engine_messages.MSGPACK_TYPE)

    async def _run(self, items: list[steps.StepItem]) -> list[steps.StepResult]:
        size = self.engine.settings.activation_bytes
        size *= sum(len(item.inputs) for item in items)
        await self.engine.inbound.transfer(size)
        waiting = [self.engine.batcher.submit(item) for item in items]
        results = await asyncio.gather(*waiting)
        await self.engine.outbound.transfer(size)
        return results

    def _cross_if_enabled(
        self, results: list[steps.StepResult]
    ) -> list[steps.StepResult]:
        """Mixes up results like a faulty engine if ``cross_answers`` is set.

        With several results, it rotates them among the items. With a single
        one, it returns a result of the previous call.
        """
        engine = self.engine
        previous, engine.last_results = engine.last_results, results
        if engine.faults.cross_answers <= 0 or not previous:
            return results
        engine.faults.cross_answers -= 1
        if len(results) > 1:
            return [*results[1:], results[0]]
        return previous[:1]

    def _swallow_response(self) -> None:
        faults = self.engine.faults
        faults.swallow_answers -= 1
        stream = self.detach()
        if faults.swallow is switches.SwallowMode.HANG:
            self.engine.hanging_streams.append(stream)
            return
        stream.close()


class CancelHandler(EngineHandler):
    """``POST /v1/cancel``."""

    def post(self) -> None:
        """Drops sessions and their queued items."""
        sessions = self.decode_body(engine_messages.decode_cancel)
        if sessions is None:
            return
        self.engine.cancel(sessions)
        self.send_json({})


class KvHandler(EngineHandler):
    """``GET`` and ``PUT /v1/sessions/ID/kv``."""

    async def get(self, session: str) -> None:
        """Exports the KV cache of an idle session."""
        snapshot = self.engine.session_table.export(session)
        if snapshot is None:
            self.refuse(NOT_FOUND, "No idle session has this id.")
            return
        await self.engine.outbound.transfer(self._size(snapshot))
        body = engine_messages.encode_snapshot(snapshot)
        self.send(body, engine_messages.MSGPACK_TYPE)

    async def put(self, session: str) -> None:
        """Opens a session from an exported KV cache."""
        snapshot = self.decode_body(engine_messages.decode_snapshot)
        if snapshot is None:
            return
        if snapshot.session != session:
            self.refuse(BAD_REQUEST, "Path and body name different sessions.")
            return
        await self.engine.inbound.transfer(self._size(snapshot))
        try:
            reason = self.engine.import_snapshot(snapshot)
        except struct.error:
            self.refuse(BAD_REQUEST, "The KV state does not match the layers.")
            return
        if reason:
            self.refuse(CONFLICT, reason)
            return
        self.send_json({})

    def _size(self, snapshot: steps.KvSnapshot) -> int:
        positions = snapshot.length * snapshot.layers.count
        return positions * self.engine.settings.kv_bytes


class LoadHandler(EngineHandler):
    """``GET /v1/load``."""

    def get(self) -> None:
        """Sends the delayed load report."""
        report = self.engine.reporter.report()
        body = engine_messages.encode_load(report)
        self.send(body, engine_messages.JSON_TYPE)


class CacheEventsHandler(EngineHandler):
    """``GET /v1/cache-events?after=N``."""

    def get(self) -> None:
        """Sends cache events, delayed and with gaps."""
        after = self.get_query_argument("after", "0")
        if not after.isdecimal():
            self.refuse(BAD_REQUEST, "'after' must be a non-negative integer.")
            return
        self.send_json(self.engine.events.published(int(after)))


class OrdersHandler(EngineHandler):
    """``GET`` and ``POST /v1/orders``."""

    def get(self) -> None:
        """Sends the received orders, for tests."""
        self.send_json(
            {"rows": list(self.engine.holding_table.received_orders)}
        )

    def post(self) -> None:
        """Handles an order."""
        order = self.decode_body(engine_messages.decode_order)
        if order is not None:
            self.send_json(self.engine.holding_table.handle_order(order))


class LedgerHandler(EngineHandler):
    """``GET /v1/ledger``, optionally filtered by request."""

    def get(self) -> None:
        """Sends the items that ran, in order."""
        request_id = self.get_query_argument("request_id", "")
        rows = [
            row
            for row in self.engine.record.rows
            if not request_id or row.request_id == request_id
        ]
        self.send_json({"total": self.engine.record.total, "rows": rows})


class ControlHandler(EngineHandler):
    """``POST /v1/control``."""

    def post(self) -> None:
        """Changes the fault switches."""
        control = self.decode_body(decode_control)
        if control is None:
            return
        control.change(self.engine.faults)
        if control.drop_kv:
            self.engine.drop_kv()
        self.send_json(self.engine.faults)


def decode_control(body: bytes) -> switches.Control:
    """Decodes a change of switches; raises ``msgspec.DecodeError``."""
    return msgspec.json.decode(body, type=switches.Control)


def create_routes(
    engine: server.EngineServer,
) -> list[tuple[str, type[EngineHandler], dict[str, Any]]]:
    """Returns the routes of the engine's application."""
    options = {"engine": engine}
    return [
        (engine_messages.DESCRIBE_PATH, DescribeHandler, options),
        (engine_messages.STEPS_PATH, StepsHandler, options),
        (engine_messages.CANCEL_PATH, CancelHandler, options),
        (r"/v1/sessions/([^/]+)/kv", KvHandler, options),
        (engine_messages.LOAD_PATH, LoadHandler, options),
        (engine_messages.CACHE_EVENTS_PATH, CacheEventsHandler, options),
        (engine_messages.ORDERS_PATH, OrdersHandler, options),
        ("/v1/ledger", LedgerHandler, options),
        ("/v1/control", ControlHandler, options),
    ]
