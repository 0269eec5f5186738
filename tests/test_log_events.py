from __future__ import annotations

import io
import json
import logging
import pathlib
import re

import pytest

from almondshift import log_events
from almondshift.adapters import logs

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "events.md"
ROW = re.compile(r"^\| (AS\d{4}) \| (\w+) \| ([^|]+) \| ([^|]+) \|$", re.M)
RESERVED = {
    *vars(logging.makeLogRecord({})), "message", "asctime", "level", "logger",
    "node", "time", "event",
}  # fmt: skip


def test_page_lists_exactly_the_existing_events() -> None:
    rows = {row[0]: row[1:] for row in ROW.findall(PAGE.read_text())}
    events = {event.code(): event for event in log_events.catalogue()}
    assert list(rows) == list(events)
    for code, event in events.items():
        level, meaning, action = rows[code]
        assert level == logging.getLevelName(event.level).lower()
        assert meaning.startswith(event.message)
        assert len(action) > 3


@pytest.mark.parametrize("event", log_events.catalogue())
def test_fields_do_not_shadow_members_of_the_line(
    event: type[log_events.Event],
) -> None:
    names = set(event.__struct_fields__)
    assert not names & RESERVED


def test_numbers_are_unique() -> None:
    numbers = [event.number for event in log_events.catalogue()]
    assert len(numbers) == len(set(numbers)) > 30


def test_a_line_is_json_with_all_fields() -> None:
    stream = io.StringIO()
    handler = logging.StreamHandler(stream)
    handler.setFormatter(logs.create_formatter("n1"))
    logger = logging.Logger("almondshift.test", logging.INFO)
    logger.addHandler(handler)
    log_events.emit(logger, log_events.RequestReceived("r-1", "a", "s"))
    log_events.emit(logger, log_events.QuarantineExpired("f\n00"))
    line = json.loads(stream.getvalue())
    assert line.pop("time")
    assert line == {
        "level": "INFO",
        "logger": "almondshift.test",
        "message": "quarantine expired",
        "event": "AS8003",
        "node": "n1",
        "fingerprint": "f\n00",
    }
