"""Messages that carry rows of the store between nodes."""

from __future__ import annotations

import base64

import msgspec

from almondshift.model import revisions
from almondshift.ports import row_feeds

NEVER_CONFIRMED_AGE_S = 1e9
"""Age of a copy that the store never confirmed, in seconds."""


class RowRequest(msgspec.Struct):
    """A request for rows of a table.

    Attributes:
        after: Only rows changed after this revision; below 0 for all rows.
        era: Era of ``after``; None if the requester has a release without
            eras.
        wait_s: Maximum time for which the peer may wait for a change.
        is_fresh: Whether the peer should first confirm its copy with the store.
        takes_unchanged: Whether rows that are not newer than ``after`` may be
            listed in the reply by key only.
    """

    after: int
    wait_s: float = 0.0
    is_fresh: bool = False
    takes_unchanged: bool = False
    era: int | None = None

    def revision(self, own_era: int) -> revisions.Revision:
        """Returns ``after`` and its era, or else the era of this node.

        A request for all rows precedes all of them, whatever its era.
        """
        if self.after < 0:
            return revisions.Revision(-1, self.after)
        era = own_era if self.era is None else self.era
        return revisions.Revision(era, self.after)


class PeerRow(msgspec.Struct, omit_defaults=True):
    """A row; ``value`` is base64-encoded, None if the row was removed.

    Without ``era`` it is of the era of the whole reply.
    """

    key: str
    value: str | None
    revision: int
    era: int | None = None


class PeerRows(msgspec.Struct):
    """A peer's reply.

    Attributes:
        revision: The newest revision that the reply covers.
        rows: Changed rows, or all rows.
        is_whole: Whether the reply covers the whole table, so that rows that
            are neither in ``rows`` nor in ``unchanged`` were removed.
        age_s: Time since the store last confirmed the peer's copy.
        unchanged: Keys of rows that exist and are not repeated in ``rows``.
        era: Era of ``revision``; None if the peer has a release without eras.
    """

    revision: int
    rows: list[PeerRow]
    is_whole: bool = False
    age_s: float = NEVER_CONFIRMED_AGE_S
    unchanged: list[str] = []
    era: int | None = None


REQUEST_DECODER = msgspec.json.Decoder(RowRequest)
REPLY_DECODER = msgspec.json.Decoder(PeerRows)


def encode_request(request: RowRequest) -> bytes:
    """Encodes a request."""
    return msgspec.json.encode(request)


def decode_request(body: bytes) -> RowRequest:
    """Decodes a request; a malformed one counts as a request for all rows."""
    try:
        return REQUEST_DECODER.decode(body)
    except msgspec.DecodeError:
        return RowRequest(after=-1)


def encode_reply(change: row_feeds.TableChange) -> bytes:
    """Encodes a reply."""
    encoded = [
        PeerRow(
            row.key,
            _encoded(row.value),
            row.revision.number,
            None
            if row.revision.era == change.revision.era
            else row.revision.era,
        )
        for row in change.rows
    ]
    reply = PeerRows(
        change.revision.number,
        encoded,
        change.is_whole,
        change.age_s,
        list(change.unchanged),
        change.revision.era,
    )
    return msgspec.json.encode(reply)


def decode_reply(reply: bytes, own_era: int = 0) -> row_feeds.TableChange:
    """Decodes a reply.

    Args:
        reply: The reply.
        own_era: The era of this node's copy, for a reply without one.

    Raises:
        ValueError: The reply or one of its rows is malformed.
    """
    decoded = REPLY_DECODER.decode(reply)
    reply_era = own_era if decoded.era is None else decoded.era
    return row_feeds.TableChange(
        rows=tuple(
            row_feeds.FeedRow(
                row.key,
                _decoded(row.value),
                revisions.Revision(
                    reply_era if row.era is None else row.era, row.revision
                ),
            )
            for row in decoded.rows
        ),
        revision=revisions.Revision(reply_era, decoded.revision),
        is_whole=decoded.is_whole,
        age_s=decoded.age_s,
        unchanged=frozenset(decoded.unchanged),
    )


def _encoded(value: bytes | None) -> str | None:
    return None if value is None else base64.b64encode(value).decode()


def _decoded(value: str | None) -> bytes | None:
    if value is None:
        return None
    return base64.b64decode(value, validate=True)
