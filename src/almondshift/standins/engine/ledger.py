"""A record of what really ran, for tests to judge by."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import steps


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerRow:
    """One item that ran: ``count`` positions from ``position`` on."""

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


class Ledger:
    """Rows in the order in which the items ran.

    Attributes:
        total: Number of rows ever written, also those since dropped.
    """

    def __init__(self, limit: int) -> None:
        self.rows: collections.deque[LedgerRow] = collections.deque(
            maxlen=limit
        )
        self.total = 0

    def record(self, item: steps.StepItem) -> None:
        """Writes that an item ran."""
        self.total += 1
        self.rows.append(
            LedgerRow(
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
            )
        )
