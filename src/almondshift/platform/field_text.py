"""Text in header fields: it is sent and received in UTF-8.

The HTTP libraries map the bytes of fields to characters one by one (Latin-1).
A text such as the name of a client account comes from a configuration in JSON,
so its bytes in a field are those that it has there.
"""

from __future__ import annotations

import re

CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
"""Characters that no field may contain (RFC 9110, section 5.5)."""


def is_field_text(text: str) -> bool:
    """Returns whether a field can contain a text."""
    return CONTROL.search(text) is None


def encode(text: str) -> str:
    """Returns the field value whose bytes are a text in UTF-8."""
    return text.encode("utf-8", "surrogatepass").decode("latin-1")


def decode(value: str) -> str:
    """Returns the text of a field value; Latin-1 if its bytes aren't UTF-8."""
    try:
        return value.encode("latin-1").decode("utf-8")
    except UnicodeError:
        return value
