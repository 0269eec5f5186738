"""``/healthz``, ``/readyz`` and ``/metrics``."""

from __future__ import annotations

import prometheus_client

from almondshift.adapters.http_front import base

NOT_READY = 503


class HealthHandler(base.BaseHandler):
    """Tells that the process answers."""

    def get(self) -> None:
        """Always answers 200."""
        self.finish({"status": "ok"})


class ReadyHandler(base.BaseHandler):
    """Tells whether callers should be sent here."""

    def get(self) -> None:
        """Answers 200 if so, else 503."""
        ready = self.node.ready()
        if not ready:
            self.set_status(NOT_READY)
        self.finish({"ready": ready})


class MetricsHandler(base.BaseHandler):
    """Shows the registry in the text format of Prometheus."""

    def get(self) -> None:
        """Answers with all metrics."""
        self.set_header("Content-Type", prometheus_client.CONTENT_TYPE_LATEST)
        self.finish(self.context.observer.metrics.expose())
