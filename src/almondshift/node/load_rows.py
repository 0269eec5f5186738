"""The changing numbers of engines' loads in a compact form.

A row is a JSON array of about 30 bytes, so that the numbers of all engines
that a node publishes travel in one fact beside its accounts' use.
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
    """The numbers of one engine.

    Attributes:
        endpoint: Name of the engine.
        tag: Short digest of its instance, so that numbers of a former
            instance are not joined to the state of the present one.
        sessions: Sessions in its memory.
        queued_items: Items that wait in it.
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
    """Returns the numbers of a report, with the age that it states."""
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


def fitting(rows: Iterable[LoadRow], most_bytes: int) -> list[LoadRow]:
    """Returns the first rows that fit into so many bytes of JSON."""
    found: list[LoadRow] = []
    left = most_bytes
    for row in rows:
        left -= len(encode(msgspec.to_builtins(row))) + 1
        if left < 0:
            break
        found.append(row)
    return found


def decode(rows: Any) -> list[LoadRow]:
    """Returns the rows that make sense.

    One bad row must not take the others with it: they may come from a node
    of another version, and the loads of its other engines would get old.
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
