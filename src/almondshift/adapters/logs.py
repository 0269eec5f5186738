"""Sets up logging with one JSON object per line."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

from pythonjsonlogger import json

if TYPE_CHECKING:
    from almondshift.adapters import settings

LOGGER_NAME = "almondshift"
ACCESS_LOGGER_NAME = "tornado.access"
LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


def start(node: settings.NodeSettings) -> logging.Handler:
    """Starts logging as configured; returns the handler to close.

    Raises:
        OSError: The log file cannot be opened.
    """
    handler = _create_handler(node.log_file)
    handler.setFormatter(create_formatter(node.name))
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(LEVELS[node.log_level])
    # Refusals are already logged as events; access lines would double the log
    # volume under overload.
    logging.getLogger(ACCESS_LOGGER_NAME).setLevel(logging.CRITICAL)
    return handler


def close(handler: logging.Handler) -> None:
    """Flushes and detaches the handler."""
    logging.getLogger().removeHandler(handler)
    handler.flush()
    if isinstance(handler, logging.FileHandler):
        handler.close()


def create_formatter(node: str) -> logging.Formatter:
    """Returns a formatter whose lines contain time, level and node."""
    return json.JsonFormatter(
        "%(levelname)s %(name)s %(message)s",
        rename_fields={"levelname": "level", "name": "logger"},
        static_fields={"node": node},
        timestamp="time",
    )


def _create_handler(path: str) -> logging.Handler:
    if not path:
        return logging.StreamHandler(sys.stderr)
    return logging.FileHandler(path, encoding="utf-8")
