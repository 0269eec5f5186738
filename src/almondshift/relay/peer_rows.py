"""Rows of the store on their way between nodes."""

from __future__ import annotations

import base64

import msgspec

from almondshift.ports import row_feeds

NEVER_S = 1e9
"""Age of what was never confirmed."""


class RowQuestion(msgspec.Struct):
    """Asks a peer for rows of a table.

    Attributes:
        after: Rows changed after this revision; below 0 for all rows.
        wait_s: How long the peer may wait for a change.
        is_fresh: Whether the peer should have the store confirm its copy.
        takes_unchanged: Whether the answer may name rows that are not newer
            than ``after`` by their keys alone.
    """

    after: int
    wait_s: float = 0.0
    is_fresh: bool = False
    takes_unchanged: bool = False


class PeerRow(msgspec.Struct):
    """A row; ``value`` is base64, None if it was removed."""

    key: str
    value: str | None
    revision: int


class PeerRows(msgspec.Struct):
    """A peer's answer.

    Attributes:
        revision: The newest revision that it covers.
        rows: Changed rows, or all.
        is_whole: Whether what is missing in it was removed.
        age_s: Since the store last confirmed it.
        unchanged: Keys of rows that were not removed and are not repeated.
    """

    revision: int
    rows: list[PeerRow]
    is_whole: bool = False
    age_s: float = NEVER_S
    unchanged: list[str] = []


QUESTIONS = msgspec.json.Decoder(RowQuestion)
ANSWERS = msgspec.json.Decoder(PeerRows)


def encode_question(question: RowQuestion) -> bytes:
    """Returns a question as it is sent."""
    return msgspec.json.encode(question)


def decode_question(body: bytes) -> RowQuestion:
    """Decodes a question; one that can't be read asks for all rows."""
    try:
        return QUESTIONS.decode(body)
    except msgspec.DecodeError:
        return RowQuestion(after=-1)


def encode_answer(change: row_feeds.TableChange) -> bytes:
    """Returns an answer as it is sent."""
    encoded = [
        PeerRow(row.key, _encoded(row.value), row.revision)
        for row in change.rows
    ]
    answer = PeerRows(
        change.revision,
        encoded,
        change.is_whole,
        change.age_s,
        list(change.unchanged),
    )
    return msgspec.json.encode(answer)


def decode_answer(answer: bytes) -> row_feeds.TableChange:
    """Decodes an answer.

    Raises:
        ValueError: It can't be read, whole or in a row.
    """
    decoded = ANSWERS.decode(answer)
    return row_feeds.TableChange(
        rows=tuple(
            row_feeds.FeedRow(row.key, _decoded(row.value), row.revision)
            for row in decoded.rows
        ),
        revision=decoded.revision,
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
