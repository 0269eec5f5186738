"""Counts requests whose engines were handed more time than was left."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from tests.soak import layout

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.soak import callers
    from tests.soak import ledger


@dataclasses.dataclass(slots=True)
class TimeCount:
    """Requests by the time that engines were handed.

    Attributes:
        excessive: Ids of requests that were handed more time than was left.
        counted: Number of these, and of all that were sent again so late that
            they could have been.
    """

    excessive: list[str] = dataclasses.field(default_factory=list)
    counted: int = 0

    @property
    def is_within_limit(self) -> bool:
        """Whether operators tolerate that many."""
        count = len(self.excessive)
        return (
            count <= layout.MAX_EXCESSIVE_TIMES
            or count <= layout.MAX_EXCESSIVE_SHARE * self.counted
        )


def count_times(
    requests: Iterable[tuple[callers.SentRequest, list[ledger.Row]]],
) -> TimeCount:
    """Counts requests that arrived at engines.

    Args:
        requests: The requests, each with its arrivals.
    """
    found = TimeCount()
    for request, arrived in requests:
        arrived = sorted(arrived, key=lambda row: row.at)
        if not arrived:
            continue
        if is_excessive(request, arrived):
            found.excessive.append(request.request_id)
            found.counted += 1
        elif arrived[-1].at - arrived[0].at > layout.TIME_SLACK_S:
            found.counted += 1
    return found


def is_excessive(
    request: callers.SentRequest, arrived: list[ledger.Row]
) -> bool:
    """Returns whether any engine was handed more time than was left."""
    first = arrived[0]
    if any(
        row.time_s is None
        or row.time_s > request.deadline_s + layout.TIME_SLACK_S
        for row in arrived
    ):
        return True
    ends_at = (
        max(end_of(first), request.sent_at + request.deadline_s)
        + layout.TIME_SLACK_S
    )
    return any(
        row.at - first.at > layout.TIME_SLACK_S and end_of(row) > ends_at
        for row in arrived[1:]
    )


def end_of(row: ledger.Row) -> float:
    """Returns when the engine stops work on a request."""
    return row.at + (row.time_s or 0.0)
