"""Errors of decoding JSON that another program wrote."""

from __future__ import annotations

import msgspec

MALFORMED = (msgspec.DecodeError, ValueError, RecursionError)
"""Raised for a text that can't be decoded; ``RecursionError`` for one that is
nested more deeply than the decoder can follow."""
