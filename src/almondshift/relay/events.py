"""Splits an event stream into whole events and reads their ids."""

from __future__ import annotations

import dataclasses

MAX_EVENT_BYTES = 1_000_000
"""An event that is longer is taken for a spoilt stream."""

ID_FIELD = b"id:"
EVENT_END = b"\n\n"


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event, with its final blank line.

    Attributes:
        event_id: None if it has none that is a whole number.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Keeps a part of an event until the rest has come.

    An engine may die in the middle of an event. If its first half were
    passed on, the run that goes on elsewhere would repeat it, and the
    caller would read two halves of different runs as one event.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Takes bytes and returns the events that are whole.

        Raises:
            ValueError: An event is over the limit.
        """
        parts = (self.rest + data).split(EVENT_END)
        self.rest = parts.pop()
        if len(self.rest) > MAX_EVENT_BYTES:
            raise ValueError("an event over the limit")
        return [StreamEvent(p + EVENT_END, read_id(p)) for p in parts]


def read_id(event: bytes) -> int | None:
    """Returns the id that an event states."""
    for line in event.split(b"\n"):
        if not line.startswith(ID_FIELD):
            continue
        text = line[len(ID_FIELD) :].strip()
        return int(text) if text.isdigit() else None
    return None
