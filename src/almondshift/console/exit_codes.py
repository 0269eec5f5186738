"""Exit codes of the commands; docs/exit-codes.md explains them."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Outcome of a command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    OUTCOME_UNKNOWN = 5
