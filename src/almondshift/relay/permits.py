"""Messages between nodes about permits for rate-limited endpoints."""

from __future__ import annotations

import msgspec

TOPIC = "permits"


class PermitQuestion(msgspec.Struct):
    """A request for a permit, or a notice of calls made without one.

    Attributes:
        endpoint: The endpoint's instance.
        per_s: Its limit as the sender knows it, in requests per second.
        priority: Priority of the request; 0 is the most urgent.
        calls: Calls that were made without a permit since the last question.
        is_request: Whether a permit is requested.
    """

    endpoint: str
    per_s: float
    priority: int = 0
    calls: float = 0.0
    is_request: bool = True


class PermitReply(msgspec.Struct):
    """The reply to a question.

    Attributes:
        granted: Whether the request may be sent.
        wait_s: Otherwise, seconds after which the sender may ask again.
    """

    granted: bool
    wait_s: float = 0.0


QUESTION_DECODER = msgspec.json.Decoder(PermitQuestion)
REPLY_DECODER = msgspec.json.Decoder(PermitReply)
PER_S_DECODER = msgspec.json.Decoder(float)


def encode(message: PermitQuestion | PermitReply | float) -> bytes:
    """Encodes a message, or the limit of a published fact."""
    return msgspec.json.encode(message)


def decode_question(body: bytes) -> PermitQuestion | None:
    """Decodes a question; returns None if it is malformed."""
    try:
        question = QUESTION_DECODER.decode(body)
    except msgspec.DecodeError:
        return None
    return question if question.per_s >= 0 and question.calls >= 0 else None


def decode_reply(body: bytes) -> PermitReply | None:
    """Decodes a reply; returns None if it is malformed."""
    try:
        return REPLY_DECODER.decode(body)
    except msgspec.DecodeError:
        return None


def decode_per_s(value: bytes) -> float | None:
    """Decodes the limit of a published fact; returns None if malformed."""
    try:
        per_s = PER_S_DECODER.decode(value)
    except msgspec.DecodeError:
        return None
    return per_s if per_s >= 0 else None
