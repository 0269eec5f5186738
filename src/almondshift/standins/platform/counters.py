"""Counts of reads and writes, in total and per second."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from almondshift.ports import clocks


class Counts(msgspec.Struct):
    """Counts of served requests.

    Attributes:
        reads: Requests that read, in total.
        writes: Requests that write, in total; a transaction counts once.
        rows: Rows written, in total.
        reads_per_s: Reads in the last full second.
        writes_per_s: Writes in the last full second.
        peak_reads_per_s: Most reads in any second.
        peak_writes_per_s: Most writes in any second.
    """

    reads: int = 0
    writes: int = 0
    rows: int = 0
    reads_per_s: int = 0
    writes_per_s: int = 0
    peak_reads_per_s: int = 0
    peak_writes_per_s: int = 0


class Counters:
    """Counts requests by the second in which they arrive."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.counts = Counts()
        self.second = int(clock.monotonic())
        self.reads = 0
        self.writes = 0

    def count_read(self) -> None:
        """Counts a request that reads."""
        self._advance_second()
        self.reads += 1
        self.counts.reads += 1
        self.counts.peak_reads_per_s = max(
            self.counts.peak_reads_per_s, self.reads
        )

    def count_write(self, rows: int) -> None:
        """Counts a request that writes ``rows`` rows."""
        self._advance_second()
        self.writes += 1
        self.counts.writes += 1
        self.counts.rows += rows
        self.counts.peak_writes_per_s = max(
            self.counts.peak_writes_per_s, self.writes
        )

    def current(self) -> Counts:
        """Returns the counts up to now."""
        self._advance_second()
        return self.counts

    def _advance_second(self) -> None:
        second = int(self.clock.monotonic())
        if second == self.second:
            return
        is_next_second = second == self.second + 1
        self.counts.reads_per_s = self.reads if is_next_second else 0
        self.counts.writes_per_s = self.writes if is_next_second else 0
        self.second = second
        self.reads = 0
        self.writes = 0
