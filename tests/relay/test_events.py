from __future__ import annotations

import time

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


@pytest.mark.parametrize("part", [b"x", b"xy", b"data: x\n"])
def test_the_cost_of_a_partial_event_grows_with_its_length_only(
    part: bytes,
) -> None:
    """Guards against an event loop blocked by one long event in small parts."""
    splitter = events.EventSplitter()
    started_s = time.process_time()
    for _ in range(events.MAX_EVENT_BYTES // len(part)):
        assert splitter.feed(part) == []
    assert time.process_time() - started_s < 5.0


@pytest.mark.parametrize("event", [b"\n\n", b": comment\n\n", b"data: x\n\n"])
def test_events_without_an_id_are_rejected_after_a_limit(event: bytes) -> None:
    """Guards against engines that send events without progress without end."""
    splitter = events.EventSplitter()
    splitter.feed(event * events.MAX_EVENTS_WITHOUT_ID)
    splitter.feed(b"id: 1\ndata: x\n\n")
    splitter.feed(event * events.MAX_EVENTS_WITHOUT_ID)
    with pytest.raises(ValueError, match="events without an ID"):
        splitter.feed(event)


@pytest.mark.parametrize("end", [b"\n", b"\r\n"])
def test_events_end_with_a_blank_line_of_either_kind(end: bytes) -> None:
    """Guards against events that are never passed on."""
    stream = b"".join(
        b"id: %d" % n + end + b"data: x" + 2 * end for n in (1, 2)
    )
    for size in range(1, len(stream) + 1):
        splitter = events.EventSplitter()
        found = []
        for start in range(0, len(stream), size):
            found += splitter.feed(stream[start : start + size])
        assert [event.event_id for event in found] == [1, 2]
        assert b"".join(event.data for event in found) == stream
        assert splitter.partial == b""
