"""Splits an event stream into complete events and parses their IDs."""

from __future__ import annotations

import dataclasses
import re
from typing import TYPE_CHECKING

from almondshift.relay import attempts

if TYPE_CHECKING:
    from almondshift.model import relayed

MAX_EVENT_BYTES = 1_000_000
"""Maximum length of an event; a stream with a longer one counts as corrupt."""

MAX_EVENTS_WITHOUT_ID = 1_000
"""Maximum number of events in a row that have no ID. Engines number all events
but comments; a stream with more counts as corrupt."""

ID_FIELD = b"id:"
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
MAX_EVENT_END_BYTES = 4


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
        without_id: Number of events without an ID since the last one with an
            ID.
    """

    def __init__(self) -> None:
        self.partial = bytearray()
        self.without_id = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds received bytes and returns the events that are now complete.

        The cost grows with the received bytes only, not with the partial event.

        Raises:
            ValueError: The stream exceeds ``MAX_EVENT_BYTES`` or
                ``MAX_EVENTS_WITHOUT_ID``.
        """
        tail = self.partial[1 - MAX_EVENT_END_BYTES :]
        has_end = EVENT_END.search(tail + data) is not None
        self.partial += data
        complete = self.take_events() if has_end else []
        if len(self.partial) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return complete

    def take_events(self) -> list[StreamEvent]:
        """Removes the complete events from the buffer.

        Raises:
            ValueError: The stream exceeds ``MAX_EVENTS_WITHOUT_ID``.
        """
        received = bytes(self.partial)
        start = 0
        complete: list[StreamEvent] = []
        for found in EVENT_END.finditer(received):
            complete.append(self.create_event(received[start : found.end()]))
            start = found.end()
        self.partial = bytearray(received[start:])
        return complete

    def create_event(self, data: bytes) -> StreamEvent:
        """Creates an event from its bytes, including the final blank line.

        Raises:
            ValueError: The stream exceeds ``MAX_EVENTS_WITHOUT_ID``.
        """
        event_id = read_id(data)
        self.without_id = 0 if event_id is not None else self.without_id + 1
        if self.without_id > MAX_EVENTS_WITHOUT_ID:
            raise ValueError(
                f"more than {MAX_EVENTS_WITHOUT_ID} events without an ID"
            )
        return StreamEvent(data, event_id)


def read_id(event: bytes) -> int | None:
    """Returns the integer ID of an event; None if it has none."""
    for line in event.split(b"\n"):
        if not line.startswith(ID_FIELD):
            continue
        text = line[len(ID_FIELD) :].strip()
        return int(text) if text.isdigit() else None
    return None
