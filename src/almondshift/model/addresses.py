"""Parts of network addresses as text."""

from __future__ import annotations

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def parse_port(text: str) -> int | None:
    """Returns the number of a port; None if the text is none."""
    if len(text) > MAX_PORT_DIGITS or not text.isascii():
        return None
    if not text.isdecimal() or not 0 < int(text) <= MAX_PORT:
        return None
    return int(text)
