"""Merges the rows of a store that returned from a copy with known ones."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.policy import feed_readers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from almondshift.ports import row_feeds
    from almondshift.relay import row_order

    Rows = Mapping[str, row_feeds.FeedRow]


def with_own_copy(
    change: row_feeds.TableChange,
    known: Rows,
    removed: Mapping[str, bytes],
    order: row_order.RowOrder,
) -> row_feeds.TableChange:
    """Returns a full read with the contents that this node knows better.

    Args:
        change: A full read, whose revisions are not comparable with the known
            ones.
        known: This node's copy, tombstones included.
        removed: The last contents of removed rows.
        order: Orders contents.
    """
    rows = {
        row.key: row
        for row in change.rows
        if not _is_removed(row, removed, order)
    }
    for key, own in known.items():
        if own.value is None:
            continue
        found = rows.get(key)
        if found is None:
            if order.is_lasting:
                rows[key] = dataclasses.replace(own, revision=change.revision)
        elif order.is_earlier(found.value, own.value):
            rows[key] = dataclasses.replace(found, value=own.value)
    return dataclasses.replace(change, rows=tuple(rows.values()))


def with_peers_copy(
    change: row_feeds.TableChange,
    reply: row_feeds.TableChange,
    order: row_order.RowOrder,
) -> row_feeds.TableChange:
    """Returns a node's first full read with what a peer knows better.

    Rows that only the peer has are added if they are lasting ones. Rows that a
    peer with a current copy doesn't have were removed, and the copy that the
    store returned from shows them again.
    """
    known = {row.key: row for row in reply.rows if row.value is not None}
    is_current = reply.is_whole and reply.age_s <= feed_readers.MAX_AGE_S
    rows = {}
    for row in change.rows:
        own = known.get(row.key)
        if own is not None and order.is_later(own.value, row.value):
            rows[row.key] = dataclasses.replace(row, value=own.value)
        elif own is not None or not is_current or reply.revision < row.revision:
            rows[row.key] = row
    if order.is_lasting:
        for key, own in known.items():
            rows.setdefault(
                key, dataclasses.replace(own, revision=change.revision)
            )
    return dataclasses.replace(change, rows=tuple(rows.values()))


def merged_row(
    known: row_feeds.FeedRow | None,
    row: row_feeds.FeedRow,
    removed: bytes | None,
    order: row_order.RowOrder,
) -> row_feeds.FeedRow | None:
    """Returns the later of a known row and a peer's.

    Contents decide if they are comparable, as a peer may not have noticed an
    era or may have missed one.

    Args:
        known: The known row or tombstone; None if there is none.
        row: The peer's.
        removed: The last content of the known row if it was removed.
        order: Orders contents.
    """
    if known is None:
        return row
    if order.is_later(row.value, known.value):
        revision = max(known.revision, row.revision)
        return dataclasses.replace(row, revision=revision)
    if known.revision >= row.revision:
        return known
    if order.is_earlier(row.value, known.value or removed):
        return known
    return row


def _is_removed(
    row: row_feeds.FeedRow,
    removed: Mapping[str, bytes],
    order: row_order.RowOrder,
) -> bool:
    """Returns whether a row shows what was removed, and nothing later."""
    last = removed.get(row.key)
    if last is None:
        return False
    return row.value == last or order.is_earlier(row.value, last)
