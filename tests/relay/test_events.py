from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from almondshift.relay import events

STREAM = b"".join(b"id: %d\ndata: t\n\n" % n for n in range(1, 6))


@hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM))))
def test_any_chunking_gives_the_same_events(cuts: list[int]) -> None:
    splitter = events.EventSplitter()
    found = []
    edges = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(edges, edges[1:], strict=False):
        found += splitter.feed(STREAM[start:end])
    assert b"".join(event.data for event in found) == STREAM
    assert [event.event_id for event in found] == [1, 2, 3, 4, 5]
    assert splitter.partial == b""


def test_a_partial_event_is_buffered() -> None:
    splitter = events.EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a") == []
    assert splitter.partial


@pytest.mark.parametrize(
    ("event", "expected"),
    [
        (b"id: 7\ndata: x", 7),
        (b"data: x\nid:8", 8),
        (b"x-weight-versions: 2\nid: 9\ndata: id: 3", 9),
        (b"data: x", None),
        (b"id: x", None),
        (b"", None),
    ],
)
def test_ids(event: bytes, expected: int | None) -> None:
    assert events.read_id(event) == expected


def test_an_event_that_never_ends_is_rejected() -> None:
    splitter = events.EventSplitter()
    with pytest.raises(ValueError, match="event exceeds 1000000 bytes"):
        splitter.feed(b"a" * (events.MAX_EVENT_BYTES + 1))
