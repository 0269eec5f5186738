"""Compact encoding of the frequently changing counts of engine loads.

A row is a JSON array of about 30 bytes, so that the counts of all engines
that a node publishes fit into one fact together with its account usage.
"""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import endpoints

Count = Annotated[int, msgspec.Meta(ge=0)]


class LoadRow(msgspec.Struct, array_like=True, frozen=True):
    """The counts of one engine.

    Attributes:
        endpoint: Name of the engine.
        tag: Short digest of its instance, so that counts of a former
            instance are not merged into the state of the present one.
        sessions: Sessions in its memory.
        queued_items: Items in its queue.
        age_s: Seconds since the engine reported them.
    """

    endpoint: str
    tag: Count
    sessions: Count
    queued_items: Count
    age_s: Annotated[float, msgspec.Meta(ge=0)]


def tag_of(instance: str) -> int:
    """Returns the short digest of an instance."""
    return xxhash.xxh32_intdigest(instance.encode()) & 0xFFFF


def row_of(report: endpoints.LoadReport) -> LoadRow:
    """Returns the counts of a report, with the age stated in it."""
    return LoadRow(
        report.endpoint,
        tag_of(report.instance),
        report.sessions,
        report.queued_items,
        round(report.age_s, 2),
    )


def encode(value: object) -> bytes:
    """Encodes a value as JSON without spaces."""
    return json.dumps(value, separators=(",", ":")).encode()


def fitting(rows: Iterable[LoadRow], max_bytes: int) -> list[LoadRow]:
    """Returns the first rows that fit into ``max_bytes`` of JSON."""
    found: list[LoadRow] = []
    left = max_bytes
    for row in rows:
        left -= len(encode(msgspec.to_builtins(row))) + 1
        if left < 0:
            break
        found.append(row)
    return found


def decode(rows: Any) -> list[LoadRow]:
    """Returns the valid rows.

    An invalid row, perhaps from a node of another version, must not discard
    the others, or the loads of its other engines would become stale.
    """
    if not isinstance(rows, list):
        return []
    decoded = [_decode_row(row) for row in rows]
    return [row for row in decoded if row is not None]


def _decode_row(row: Any) -> LoadRow | None:
    try:
        found = msgspec.convert(row, LoadRow)
    except msgspec.ValidationError:
        return None
    return found if math.isfinite(found.age_s) else None
