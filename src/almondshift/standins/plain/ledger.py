"""A record of the calls that ran, for checks by tests."""

from __future__ import annotations

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One call that ran; ``run`` counts executions from 1.

    Attributes:
        digest: xxh64 of the body, as 16 hex digits.
    """

    run: int
    request_id: str
    attempt: str
    method: str
    path: str
    digest: str


class Ledger:
    """Executions, in order."""

    def __init__(self, limit: int) -> None:
        self.rows: collections.deque[Execution] = collections.deque(
            maxlen=limit
        )
        self.total = 0

    def record(
        self, request_id: str, attempt: str, method: str, path: str, digest: str
    ) -> Execution:
        """Records that a call runs."""
        self.total += 1
        row = Execution(self.total, request_id, attempt, method, path, digest)
        self.rows.append(row)
        return row
