"""A record of the items that ran, for checks by tests."""

from __future__ import annotations

import collections
import dataclasses
import time
from typing import TYPE_CHECKING
from typing import BinaryIO

import msgspec

if TYPE_CHECKING:
    from almondshift.model import steps


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerRow:
    """One item that ran: ``count`` positions, starting at ``position``.

    Attributes:
        at: Monotonic time in seconds, comparable across the processes of a
            machine.
    """

    sequence: int
    request_id: str
    session: str
    epoch: int
    model: str
    version: int
    adapter: str
    start: int
    end: int
    position: int
    count: int
    first_input: int
    at: float


class Ledger:
    """Rows in order of execution.

    Args:
        limit: Maximum number of rows kept in memory.
        path: File to which each row is also appended as a line of JSON, so
            that it survives a SIGKILL; ``""`` for none.

    Attributes:
        total: Number of rows ever written, including dropped ones.
    """

    def __init__(self, limit: int, path: str = "") -> None:
        self.path = path
        self.file: BinaryIO | None = None
        self.rows: collections.deque[LedgerRow] = collections.deque(
            maxlen=limit
        )
        self.total = 0

    def start(self) -> None:
        """Opens the file for appending."""
        if self.path:
            self.file = open(self.path, "ab", buffering=0)  # noqa: SIM115

    def close(self) -> None:
        """Closes the file."""
        if self.file is not None:
            self.file.close()
            self.file = None

    def record(self, item: steps.StepItem) -> None:
        """Records that an item ran."""
        self.total += 1
        row = LedgerRow(
            self.total,
            item.request_id,
            item.session,
            item.epoch,
            item.model,
            item.version,
            item.adapter,
            item.layers.start,
            item.layers.end,
            item.position,
            len(item.inputs),
            item.inputs[0],
            time.monotonic(),
        )
        self.rows.append(row)
        if self.file is not None:
            self.file.write(msgspec.json.encode(row) + b"\n")
