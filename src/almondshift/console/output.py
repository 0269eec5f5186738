"""What commands print: tables on standard output, errors on the other."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Any

from almondshift import errors
from almondshift.adapters import http_operations_client
from almondshift.console import exit_codes

if TYPE_CHECKING:
    from collections.abc import Sequence

GAP = "  "
NOTHING = "-"
CONFLICT_KINDS = {errors.ConfigConflict.kind}


def note(line: str) -> None:
    """Prints a line for people on standard error."""
    print(line, file=sys.stderr)


def fail(error: errors.AlmondshiftError) -> exit_codes.ExitCode:
    """Prints an error and its remedy; returns the exit code for it."""
    note(f"error: {error.detail}")
    note(f"remedy: {error.remedy}")
    return code_of(error)


def code_of(error: errors.AlmondshiftError) -> exit_codes.ExitCode:
    """Returns the exit code for an error."""
    if isinstance(error, http_operations_client.NodeUnreachable):
        return exit_codes.ExitCode.UNREACHABLE
    if kind_of(error) in CONFLICT_KINDS:
        return exit_codes.ExitCode.CONFLICT
    if error.execution is errors.Execution.UNKNOWN:
        return exit_codes.ExitCode.OUTCOME_UNKNOWN
    return exit_codes.ExitCode.FAILED


def kind_of(error: errors.AlmondshiftError) -> str:
    """Returns the kind, for a node's error the one that the node gave."""
    if isinstance(error, http_operations_client.NodeError):
        return error.reported
    return error.kind


def table(heads: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Returns columns padded to their widest cell."""
    cells = [list(heads), *([cell(v) for v in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(heads))]
    lines = [
        GAP.join(
            value.ljust(width) for value, width in zip(row, widths, strict=True)
        )
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def cell(value: Any) -> str:
    """Returns a value for a table.

    Control characters are replaced, so that a name from elsewhere cannot
    move the cursor and show what is not so.
    """
    if value is None or value == "" or value == []:
        return NOTHING
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, list | tuple):
        return ",".join(cell(item) for item in value)
    if isinstance(value, dict):
        return ",".join(f"{k}={cell(v)}" for k, v in value.items())
    return "".join(c if c.isprintable() else "?" for c in str(value))


def table_of(items: Any) -> str:
    """Returns a table of JSON objects, given in a list or by name."""
    if isinstance(items, dict):
        items = [
            {"name": name, **(v if isinstance(v, dict) else {"value": v})}
            for name, v in items.items()
        ]
    rows = [v if isinstance(v, dict) else {"value": v} for v in items or []]
    heads = list(dict.fromkeys(key for row in rows for key in row))
    if not heads:
        return NOTHING
    return table(heads, [[row.get(head) for head in heads] for row in rows])
