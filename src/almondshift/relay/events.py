"""Splits an event stream into complete events and parses their IDs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.relay import attempts

if TYPE_CHECKING:
    from almondshift.model import relayed

MAX_EVENT_BYTES = 1_000_000
"""Maximum length of an event; a stream with a longer one counts as corrupt."""

ID_FIELD = b"id:"
EVENT_END = b"\n\n"


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    Attributes:
        data: Its bytes, including the final blank line.
        event_id: Its ID; None if it has none or one that is not an integer.
    """

    data: bytes
    event_id: int | None


class EventSource(attempts.Attempt):
    """An attempt whose response may be a stream of events.

    Attributes:
        sent_at: Loop time at which the request was sent.
        head: The head of the response; None before it is received.
    """

    sent_at: float
    head: relayed.ForwardedHead | None


class EventSplitter:
    """Buffers a partial event until the rest has arrived.

    An engine may die in the middle of an event. If the first part were already
    forwarded, the engine that resumes the stream would send the whole event
    again, and the caller would read parts of two runs as one event.

    Attributes:
        partial: The partial event.
    """

    def __init__(self) -> None:
        self.partial = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds received bytes and returns the events that are now complete.

        Raises:
            ValueError: An event exceeds ``MAX_EVENT_BYTES``.
        """
        parts = (self.partial + data).split(EVENT_END)
        self.partial = parts.pop()
        if len(self.partial) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return [StreamEvent(p + EVENT_END, read_id(p)) for p in parts]


def read_id(event: bytes) -> int | None:
    """Returns the integer ID of an event; None if it has none."""
    for line in event.split(b"\n"):
        if not line.startswith(ID_FIELD):
            continue
        text = line[len(ID_FIELD) :].strip()
        return int(text) if text.isdigit() else None
    return None
