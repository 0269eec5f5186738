"""Formats differences as a table and as CSV."""

from __future__ import annotations

import csv
import dataclasses
from typing import TYPE_CHECKING

from bench.compare import differences

if TYPE_CHECKING:
    from collections.abc import Iterable
    import pathlib

    from bench.compare import measurements

ALWAYS_SHOWN = ("worth", "served", "refused", "failed")
MIN_SHOWN_CHANGE = 0.002
"""Figures not in ``ALWAYS_SHOWN`` are omitted if they change by less."""


def table(found: Iterable[differences.Difference]) -> str:
    """Returns a text table; an asterisk marks clear differences."""
    lines = [
        f"{'deployment':<16} {'variant':<20} {'figure':<44} "
        f"{'pairs':>5} {'before':>8} {'change':>8}  95% interval"
    ]
    for row in found:
        is_small = abs(row.mean) < MIN_SHOWN_CHANGE
        if row.figure not in ALWAYS_SHOWN and is_small:
            continue
        lines.append(
            f"{row.deployment:<16} {row.variant:<20} {row.figure:<44} "
            f"{row.pairs:>5} {row.baseline:>8.4f} {row.mean:>+8.4f}  "
            f"{row.low:+.4f} to {row.high:+.4f}{' *' if row.is_clear else ''}"
        )
    return "\n".join(lines)


def format_problems(measured: Iterable[measurements.Measurement]) -> list[str]:
    """Returns a line for each play that broke a rule or isn't counted."""
    return [
        f"{m.play.label}: {', '.join(m.broken_rules) or m.fault}"
        for m in measured
        if m.broken_rules or m.fault
    ]


def write_csv(
    path: pathlib.Path, found: Iterable[differences.Difference]
) -> None:
    """Writes all differences with one column per attribute."""
    names = [field.name for field in dataclasses.fields(differences.Difference)]
    with path.open("w", newline="", encoding="utf-8") as file:
        writer = csv.DictWriter(file, names)
        writer.writeheader()
        writer.writerows(dataclasses.asdict(row) for row in found)
