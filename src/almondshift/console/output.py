"""Command output: tables on standard output, errors on standard error."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Any

from almondshift import errors
from almondshift.adapters import http_operations_client
from almondshift.console import exit_codes

if TYPE_CHECKING:
    from collections.abc import Sequence

COLUMN_SEPARATOR = "  "
EMPTY_CELL = "-"
CONFLICT_KINDS = {errors.ConfigConflict.kind}


def print_message(line: str) -> None:
    """Prints a line on standard error."""
    print(line, file=sys.stderr)


def report_error(error: errors.AlmondshiftError) -> exit_codes.ExitCode:
    """Prints an error and its remedy; returns the exit code for it."""
    print_message(f"error: {error.detail}")
    print_message(f"remedy: {error.remedy}")
    return exit_code_for(error)


def exit_code_for(error: errors.AlmondshiftError) -> exit_codes.ExitCode:
    """Returns the exit code for an error."""
    if isinstance(error, http_operations_client.NodeUnreachable):
        return exit_codes.ExitCode.UNREACHABLE
    if error_kind(error) in CONFLICT_KINDS:
        return exit_codes.ExitCode.CONFLICT
    if error.execution is errors.Execution.UNKNOWN:
        return exit_codes.ExitCode.OUTCOME_UNKNOWN
    return exit_codes.ExitCode.FAILED


def error_kind(error: errors.AlmondshiftError) -> str:
    """Returns the error's kind; for a node's error, the kind it reported."""
    if isinstance(error, http_operations_client.NodeError):
        return error.reported
    return error.kind


def format_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Returns a table with columns padded to their widest cell."""
    cells = [list(headers), *([format_cell(v) for v in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headers))]
    lines = [
        COLUMN_SEPARATOR.join(
            value.ljust(width) for value, width in zip(row, widths, strict=True)
        )
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_cell(value: Any) -> str:
    """Returns a value as text for a table cell.

    Control characters are replaced, so that a name from an untrusted source
    cannot move the cursor and forge output.
    """
    if value is None or value == "" or value == []:
        return EMPTY_CELL
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    if isinstance(value, list | tuple):
        return ",".join(format_cell(item) for item in value)
    if isinstance(value, dict):
        return ",".join(f"{k}={format_cell(v)}" for k, v in value.items())
    return "".join(c if c.isprintable() else "?" for c in str(value))


def format_objects(items: Any) -> str:
    """Returns a table of JSON objects, given as a list or keyed by name."""
    if isinstance(items, dict):
        items = [
            {"name": name, **(v if isinstance(v, dict) else {"value": v})}
            for name, v in items.items()
        ]
    rows = [v if isinstance(v, dict) else {"value": v} for v in items or []]
    headers = list(dict.fromkeys(key for row in rows for key in row))
    if not headers:
        return EMPTY_CELL
    return format_table(
        headers, [[row.get(header) for header in headers] for row in rows]
    )
