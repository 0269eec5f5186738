"""HTTP handlers of the plain service stand-in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from tornado import web
import xxhash

from almondshift.standins.plain import switches

if TYPE_CHECKING:
    from almondshift.standins.plain import ledger
    from almondshift.standins.plain import server

BAD_REQUEST = 400
UNAVAILABLE = 503
CRASH_EXIT_STATUS = 134
NOT_RUN_HEADER = "X-Not-Run"


class PlainHandler(web.RequestHandler):
    """Base of all handlers."""

    def initialize(self, plain: server.PlainServer) -> None:
        """Stores the service that it serves."""
        self.plain = plain

    def send_json(self, content: object) -> None:
        """Sends a message as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(content))

    def refuse(self, reason: str) -> None:
        """Responds that nothing was run, with the reason."""
        self.set_status(UNAVAILABLE)
        self.set_header(NOT_RUN_HEADER, "1")
        self.send_json({"reason": reason})


class CallHandler(PlainHandler):
    """Any method on any path: runs the call and echoes it."""

    async def prepare(self) -> None:
        """Serves a call of any method."""
        faults = self.plain.faults
        if self.plain.leaving or faults.refuse:
            self.refuse("The service does not accept calls.")
            return
        if faults.crash:
            self.plain.settings.exit_process(CRASH_EXIT_STATUS)
        self.plain.running += 1
        try:
            await self._run(faults)
        finally:
            self.plain.running -= 1

    async def _run(self, faults: switches.Switches) -> None:
        row = self._record()
        await asyncio.sleep(faults.slow_s)
        if faults.crash_after:
            self.plain.settings.exit_process(CRASH_EXIT_STATUS)
        if faults.swallow_answers > 0:
            faults.swallow_answers -= 1
            self.detach().close()
            return
        self.send_json(
            {
                "service": self.plain.settings.service,
                "endpoint": self.plain.settings.name,
                "attempt": row.attempt,
                "body_digest": row.digest,
                "run": row.run,
            }
        )

    def _record(self) -> ledger.Execution:
        headers = self.request.headers
        return self.plain.record.record(
            headers.get("X-Request-Id", ""),
            headers.get("X-Attempt-Id", ""),
            self.request.method or "",
            self.request.uri or "",
            xxhash.xxh64_hexdigest(self.request.body),
        )


class LedgerHandler(PlainHandler):
    """``GET /control/ledger``."""

    def get(self) -> None:
        """Sends the calls that ran, in order."""
        record = self.plain.record
        self.send_json({"total": record.total, "rows": list(record.rows)})


class ControlHandler(PlainHandler):
    """``POST /control/switches``."""

    def post(self) -> None:
        """Changes the fault switches."""
        try:
            control = msgspec.json.decode(
                self.request.body, type=switches.Control
            )
        except msgspec.DecodeError as error:
            self.set_status(BAD_REQUEST)
            self.send_json({"reason": f"Malformed body: {error}."})
            return
        control.change(self.plain.faults)
        self.send_json(self.plain.faults)


def create_routes(
    plain: server.PlainServer,
) -> list[tuple[str, type[PlainHandler], dict[str, Any]]]:
    """Returns the routes of the service's application."""
    options = {"plain": plain}
    return [
        ("/control/ledger", LedgerHandler, options),
        ("/control/switches", ControlHandler, options),
        ("/.*", CallHandler, options),
    ]
