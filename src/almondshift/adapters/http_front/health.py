"""``/healthz``, ``/readyz`` and ``/metrics``."""

from __future__ import annotations

import prometheus_client

from almondshift.adapters.http_front import base

NOT_READY = 503


class HealthHandler(base.BaseHandler):
    """Reports that the process is alive."""

    def get(self) -> None:
        """Always responds with 200."""
        self.finish({"status": "ok"})


class ReadyHandler(base.BaseHandler):
    """Reports whether callers should be routed to this node."""

    def get(self) -> None:
        """Responds with 200 if ready, else 503."""
        ready = self.node.ready()
        if not ready:
            self.set_status(NOT_READY)
        self.finish({"ready": ready})


class MetricsHandler(base.BaseHandler):
    """Exposes the metrics in the Prometheus text format."""

    def get(self) -> None:
        """Responds with all metrics."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(self.context.observer.metrics.expose())
