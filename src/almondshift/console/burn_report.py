"""Error budget burn report as text, JSON and HTML."""

from __future__ import annotations

import dataclasses
import html
import json
from typing import TYPE_CHECKING

from almondshift.console import burn_plot
from almondshift.console import output
from almondshift.policy import burn

if TYPE_CHECKING:
    from almondshift.console import nodes

MAX_CONTRIBUTIONS = 5
WINDOW_LABELS = {
    300.0: "5 min",
    3600.0: "1 h",
    21_600.0: "6 h",
    259_200.0: "3 d",
}
SECONDS_PER_HOUR = 3600.0
BURN_HEADERS = ("service", "objective", "target", "budget left", "alarm")
CAUSE_HEADERS = ("service", "objective", "account", "cause", "missed", "share")
STYLE = (
    "body{font-family:sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #999;padding:.2em .6em;text-align:left}"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Burn rates merged over all nodes.

    Attributes:
        answered: Addresses of the nodes whose counts are included.
        silent: Error by address, for each node that did not respond.
    """

    burns: list[burn.Burn]
    series: list[burn.SeriesPoint]
    answered: list[str]
    silent: dict[str, str]


def create_report(
    results: list[nodes.NodeResult[burn.Snapshot]],
) -> Report:
    """Merges the counts of the nodes."""
    snapshots = [r.value for r in results if r.value is not None]
    return Report(
        burns=burn.compute(snapshots),
        series=burn.compute_series(snapshots),
        answered=[r.address for r in results if r.error is None],
        silent={
            r.address: str(r.error) for r in results if r.error is not None
        },
    )


def render_json(report: Report) -> str:
    """Returns the whole report as JSON."""
    return json.dumps(dataclasses.asdict(report), indent=2)


def render_text(report: Report) -> str:
    """Returns tables for a terminal."""
    blocks = [_coverage(report)]
    if report.burns:
        blocks.append(output.format_table(_burn_headers(), _burn_rows(report)))
    causes = _cause_rows(report)
    if causes:
        blocks.append(
            "missed in 3 d:\n" + output.format_table(CAUSE_HEADERS, causes)
        )
    return "\n\n".join(blocks)


def render_html(report: Report) -> str:
    """Returns a self-contained page with an inline plot and no scripts."""
    parts = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>Burn rates</title><style>{STYLE}</style></head><body>",
        "<h1>Error budget burn rates</h1>",
        f"<pre>{html.escape(_coverage(report))}</pre>",
        _html_table(_burn_headers(), _burn_rows(report)),
        "<h2>Burn rates over three days</h2>",
        burn_plot.render(report.series),
        "<h2>Missed objectives by account and cause</h2>",
        _html_table(CAUSE_HEADERS, _cause_rows(report)),
        "</body></html>",
    ]
    return "\n".join(parts) + "\n"


def _coverage(report: Report) -> str:
    lines = [f"counts from {len(report.answered)} nodes"]
    if report.burns:
        covered_h = report.burns[0].rates[-1].covered_s / SECONDS_PER_HOUR
        lines.append(f"counts cover {covered_h:.1f} h at most")
    for address, reason in report.silent.items():
        lines.append(f"NOT COUNTED, no answer: {address}: {reason}")
    return "\n".join(output.format_cell(line) for line in lines)


def _burn_headers() -> list[str]:
    return [
        *BURN_HEADERS,
        *(f"burn {WINDOW_LABELS[w]}" for w in burn.WINDOWS_S),
    ]


def _burn_rows(report: Report) -> list[list[str]]:
    return [
        [
            item.service,
            item.objective.value,
            f"{item.target:.4g}",
            f"{item.budget_left:.1%}",
            item.alarm.value,
            *(_burn_cell(rate) for rate in item.rates),
        ]
        for item in report.burns
    ]


def _burn_cell(rate: burn.Rate) -> str:
    if rate.good + rate.bad == 0:
        return output.EMPTY_CELL
    return f"{rate.burn:.2f}"


def _cause_rows(report: Report) -> list[list[str]]:
    return [
        [
            item.service,
            item.objective.value,
            contribution.account,
            contribution.cause,
            str(contribution.bad),
            f"{contribution.share:.1%}",
        ]
        for item in report.burns
        for contribution in item.contributions[:MAX_CONTRIBUTIONS]
    ]


def _html_table(
    headers: tuple[str, ...] | list[str], rows: list[list[str]]
) -> str:
    head = "".join(f"<th>{html.escape(name)}</th>" for name in headers)
    body = "".join(
        "<tr>"
        + "".join(f"<td>{html.escape(value)}</td>" for value in row)
        + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"
