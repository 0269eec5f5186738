"""Builds the HTTP server for callers and operators."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

import tornado.netutil
import tornado.web

from almondshift.adapters import byte_tokenizer
from almondshift.adapters import http_server
from almondshift.adapters.http_front import base
from almondshift.adapters.http_front import completions
from almondshift.adapters.http_front import contexts
from almondshift.adapters.http_front import entries
from almondshift.adapters.http_front import health
from almondshift.adapters.http_front import plain

if TYPE_CHECKING:
    from almondshift.adapters import request_observer
    from almondshift.ports import clocks
    from almondshift.ports import gateway

SERVER_BODY_LIMIT_BYTES = 1 << 40
"""Practically unlimited; the handlers enforce the configured limit and report
a useful error."""

IDLE_TIMEOUT_S = 3600.0


@dataclasses.dataclass(slots=True)
class HttpFront:
    """A listening server.

    Attributes:
        address: ``host:port`` after ``start``.
        server: Once started, until it is closed.
    """

    application: tornado.web.Application
    host: str
    port: int
    address: str = ""
    server: http_server.Server | None = None

    async def start(self) -> None:
        """Starts listening; port 0 lets the OS choose."""
        sockets = tornado.netutil.bind_sockets(self.port, self.host)
        self.server = http_server.Server(
            self.application,
            max_body_size=SERVER_BODY_LIMIT_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )
        self.server.add_sockets(sockets)
        self.address = f"{self.host}:{sockets[0].getsockname()[1]}"

    def disable_keep_alive(self) -> None:
        """Closes each connection after the response to its next request.

        A caller on a persistent connection does not look up other addresses.
        It would keep sending requests to a draining node, the last one just
        as the node closes, and could not know whether that one ran.
        """
        if self.server is not None:
            self.server.conn_params.no_keep_alive = True

    async def close_gracefully(self) -> None:
        """Stops listening, and answers what has reached the server by now."""
        if self.server is not None:
            await self.server.close_gracefully()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self.server is None:
            return
        self.server.stop()
        await self.server.close_all_connections()
        self.server = None


def create_http_front(
    node: gateway.Gateway,
    clock: clocks.Clock,
    observer: request_observer.RequestObserver,
    host: str,
    port: int,
    extra: list[Any] | None = None,
) -> HttpFront:
    """Builds the server; ``extra`` holds the operators' handlers."""
    common = {
        "context": contexts.FrontContext(
            node, clock, byte_tokenizer.create_tokenizer(), observer
        )
    }
    handlers = [
        ("/v1/entries", entries.EntriesHandler, common),
        ("/v1/completions", completions.CompletionsHandler, common),
        ("/v1/services/([^/]+)/(.*)", plain.PlainHandler, common),
        ("/healthz", health.HealthHandler, common),
        ("/readyz", health.ReadyHandler, common),
        ("/metrics", health.MetricsHandler, common),
        *(extra or []),
    ]
    application = tornado.web.Application(
        handlers,
        default_handler_class=base.NotFoundHandler,
        default_handler_args=common,
        log_function=lambda handler: None,
    )
    return HttpFront(application, host, port)
