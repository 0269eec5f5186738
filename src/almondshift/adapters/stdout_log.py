"""Logging to standard output that never blocks the event loop.

If the reader of the pipe stalled, a blocking write to the full pipe would
stall the whole node, and all callers would wait for a log line.
"""

from __future__ import annotations

import logging
import os
import sys
import time

from almondshift import log_events
from almondshift.adapters import logs

BURST_S = 2.0
"""Short bursts of up to this many seconds' worth of lines are not dropped."""


class BoundedHandler(logging.Handler):
    """Writes rate-limited lines to a descriptor; counts dropped lines.

    Attributes:
        dropped: Lines dropped since the last report.
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
        """Writes a line if the rate limit and the pipe allow it."""
        if not self.consume_credit():
            self.dropped += 1
            return
        if self.dropped:
            self.report_dropped()
        self.write(self.format(record))

    def consume_credit(self) -> bool:
        """Consumes the credit for one line; returns False if there is none."""
        now = time.monotonic()
        earned = (now - self.refilled_at) * self.lines_per_s
        self.refilled_at = now
        self.credit = min(self.lines_per_s * BURST_S, self.credit + earned)
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def report_dropped(self) -> None:
        """Logs how many lines were dropped."""
        event = log_events.LogLinesDropped(self.dropped)
        self.dropped = 0
        record = logging.LogRecord(
            __name__, event.level, "", 0, event.message, None, None
        )
        record.event = event.code()
        record.lines = event.lines
        self.write(self.format(record))

    def write(self, line: str) -> None:
        """Writes a line, or counts it as dropped if the pipe is full."""
        try:
            os.write(self.descriptor, line.encode() + b"\n")
            self.written += 1
        except BlockingIOError:
            self.dropped += 1
        except OSError:
            # The reader has closed the pipe, so the error can't be reported.
            self.dropped += 1


def start(node: str, lines_per_s: float) -> BoundedHandler:
    """Starts logging to standard output; returns the handler to close."""
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
