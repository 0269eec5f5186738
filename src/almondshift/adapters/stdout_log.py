"""Log lines to standard output that never block the loop.

A reader of the pipe that stops reading would stop the whole node with it at
the first full pipe: all callers would wait for a log line.
"""

from __future__ import annotations

import logging
import os
import sys
import time

from almondshift import log_events
from almondshift.adapters import logs

BURST_S = 2.0
"""The bound counts over so long, so that short bursts stay whole."""


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor, up to a rate; counts what it drops.

    Attributes:
        dropped: Lines left out since the last line that said so.
        written: Lines written.
    """

    def __init__(self, descriptor: int, lines_per_s: float) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.credit = lines_per_s * BURST_S
        self.refilled_at = time.monotonic()
        self.dropped = 0
        self.written = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line if the bound and the reader allow it."""
        if not self.has_credit():
            self.dropped += 1
            return
        if self.dropped:
            self.report_dropped()
        self.write(self.format(record))

    def has_credit(self) -> bool:
        """Takes a line from the bound."""
        now = time.monotonic()
        earned = (now - self.refilled_at) * self.lines_per_s
        self.refilled_at = now
        self.credit = min(self.lines_per_s * BURST_S, self.credit + earned)
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def report_dropped(self) -> None:
        """Says how many lines are missing."""
        event = log_events.LogLinesDropped(self.dropped)
        self.dropped = 0
        record = logging.LogRecord(
            __name__, event.level, "", 0, event.message, None, None
        )
        record.event = event.code()
        record.lines = event.lines
        self.write(self.format(record))

    def write(self, line: str) -> None:
        """Writes a line, or counts it as dropped if the reader is slow."""
        try:
            os.write(self.descriptor, line.encode() + b"\n")
            self.written += 1
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            # The reader is gone; there is nobody left to tell.
            self.dropped += 1


def start(node: str, lines_per_s: float) -> BoundedHandler:
    """Sends the log to standard output; returns the handler to close."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BoundedHandler(descriptor, lines_per_s)
    handler.setFormatter(logs.create_formatter(node))
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    logging.getLogger(logs.LOGGER_NAME).setLevel(logging.INFO)
    return handler


def close(handler: BoundedHandler) -> None:
    """Detaches the handler."""
    logging.getLogger().removeHandler(handler)
