from __future__ import annotations

import logging
import os
import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from almondshift.adapters import relay_settings
from almondshift.adapters import stdout_log

ROOT = pathlib.Path(__file__).parents[2]
TEXT = """
[node]
name = n1
zone = a
[entry]
address = 10.0.0.1:1
ready_address = 10.0.0.1:2
directory_address = 10.0.0.1:3
[peers]
address = 10.0.0.1:4
[platform]
address = 10.0.0.9:5
[drain]
grace_s =
"""


def test_settings_are_read_and_empty_values_mean_the_default() -> None:
    settings = relay_settings.parse(TEXT).ok
    assert settings.node.name == "n1"
    assert settings.entry.directory_address == "10.0.0.1:3"
    assert settings.drain.grace_s == 8.0
    assert settings.metrics.address == ""


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("name = n1", "name = "), "name"),
        (("name = n1", "nome = n1"), "nome"),
        (("[peers]", "[piers]"), "piers"),
        (("10.0.0.1:4", "nowhere"), "peers.address"),
        (("grace_s =", "grace_s = -1"), "drain.grace_s"),
        (("grace_s =", "grace_s = soon"), "drain.grace_s"),
        (("[node]", "node"), "no section headers"),
    ],
)
def test_invalid_settings_name_the_key(
    change: tuple[str, str], expected: str
) -> None:
    error = relay_settings.parse(TEXT.replace(*change)).error
    assert expected in str(error)
    assert "docs/settings.md" in error.remedy


def test_template_contains_only_known_keys() -> None:
    text = (ROOT / "deploy" / "settings.ini").read_text()
    filled = [
        line.partition("=")[0] + "= 10.0.0.1:1"
        if "address" in line
        else line.partition("=")[0] + "= 1"
        if "=" in line
        else line
        for line in text.splitlines()
    ]
    assert relay_settings.parse("\n".join(filled)).is_ok()


def _handler(lines_per_s: float) -> tuple[stdout_log.BoundedHandler, int]:
    reading, writing = os.pipe()
    os.set_blocking(writing, False)
    handler = stdout_log.BoundedHandler(writing, lines_per_s)
    return handler, reading


def _record() -> logging.LogRecord:
    return logging.LogRecord("n", logging.INFO, "", 0, "x" * 500, None, None)


def test_stalled_log_reader_does_not_block() -> None:
    """Otherwise all callers would wait for a log line that nobody reads."""
    handler, _ = _handler(1e9)
    for _ in range(1000):
        handler.emit(_record())
    assert handler.dropped > 0
    assert handler.written > 0


def test_lines_over_the_rate_are_dropped_and_counted() -> None:
    handler, reading = _handler(10.0)
    for _ in range(100):
        handler.emit(_record())
    assert handler.written == 20
    handler.credit = 5.0
    handler.emit(_record())
    assert b"log lines dropped" in os.read(reading, 100_000)


LINES = strategies.sampled_from([*TEXT.splitlines(), "[x", "=", "a", "%(b)s"])


@hypothesis.given(
    strategies.one_of(
        strategies.text(max_size=200),
        strategies.lists(LINES, max_size=20).map("\n".join),
    )
)
def test_arbitrary_settings_never_raise(text: str) -> None:
    """An operator's mistake must result in an error with a remedy."""
    parsed = relay_settings.parse(text)
    assert parsed.is_ok() or parsed.error.remedy
