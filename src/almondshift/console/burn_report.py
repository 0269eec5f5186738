"""The report on burn as text, JSON and a page."""

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

CONTRIBUTIONS_SHOWN = 5
WINDOW_NAMES = {
    300.0: "5 min",
    3600.0: "1 h",
    21_600.0: "6 h",
    259_200.0: "3 d",
}
SECONDS_PER_HOUR = 3600.0
HEADS = ("service", "objective", "target", "budget left", "alarm")
CAUSE_HEADS = ("service", "objective", "account", "cause", "missed", "share")
STYLE = (
    "body{font-family:sans-serif;margin:2em;max-width:60em}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{border:1px solid #999;padding:.2em .6em;text-align:left}"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What is reported.

    Attributes:
        answered: Addresses of nodes that are counted in.
        silent: Address of and reason for each node that is not.
    """

    burns: list[burn.Burn]
    series: list[burn.SeriesPoint]
    answered: list[str]
    silent: dict[str, str]


def create_report(
    answers: list[nodes.Answered[burn.Snapshot]],
) -> Report:
    """Merges what nodes counted."""
    snapshots = [a.value for a in answers if a.value is not None]
    return Report(
        burns=burn.compute(snapshots),
        series=burn.compute_series(snapshots),
        answered=[a.address for a in answers if a.error is None],
        silent={
            a.address: str(a.error) for a in answers if a.error is not None
        },
    )


def render_json(report: Report) -> str:
    """Returns the whole report as JSON."""
    return json.dumps(dataclasses.asdict(report), indent=2)


def render_text(report: Report) -> str:
    """Returns tables for a terminal."""
    blocks = [_sources(report)]
    if report.burns:
        blocks.append(output.table(_burn_heads(), _burn_rows(report)))
    causes = _cause_rows(report)
    if causes:
        blocks.append("missed in 3 d:\n" + output.table(CAUSE_HEADS, causes))
    return "\n\n".join(blocks)


def render_html(report: Report) -> str:
    """Returns one page with its plot inside, without scripts."""
    parts = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        f"<title>Burn</title><style>{STYLE}</style></head><body>",
        "<h1>Burn of error budgets</h1>",
        f"<pre>{html.escape(_sources(report))}</pre>",
        _html_table(_burn_heads(), _burn_rows(report)),
        "<h2>Burn over three days</h2>",
        burn_plot.render(report.series),
        "<h2>Who and what missed the objectives</h2>",
        _html_table(CAUSE_HEADS, _cause_rows(report)),
        "</body></html>",
    ]
    return "\n".join(parts) + "\n"


def _sources(report: Report) -> str:
    lines = [f"{len(report.answered)} nodes counted in"]
    if report.burns:
        covered = report.burns[0].rates[-1].covered_s / SECONDS_PER_HOUR
        lines.append(f"counts go back {covered:.1f} h at most")
    for address, reason in report.silent.items():
        lines.append(f"NOT COUNTED, no answer: {address}: {reason}")
    return "\n".join(output.cell(line) for line in lines)


def _burn_heads() -> list[str]:
    return [*HEADS, *(f"burn {WINDOW_NAMES[w]}" for w in burn.WINDOWS_S)]


def _burn_rows(report: Report) -> list[list[str]]:
    return [
        [
            one.service,
            one.objective.value,
            f"{one.target:.4g}",
            f"{one.budget_left:.1%}",
            one.alarm.value,
            *(_burn_cell(rate) for rate in one.rates),
        ]
        for one in report.burns
    ]


def _burn_cell(rate: burn.Rate) -> str:
    if rate.good + rate.bad == 0:
        return output.NOTHING
    return f"{rate.burn:.2f}"


def _cause_rows(report: Report) -> list[list[str]]:
    return [
        [
            one.service,
            one.objective.value,
            part.account,
            part.cause,
            str(part.bad),
            f"{part.share:.1%}",
        ]
        for one in report.burns
        for part in one.contributions[:CONTRIBUTIONS_SHOWN]
    ]


def _html_table(
    heads: tuple[str, ...] | list[str], rows: list[list[str]]
) -> str:
    head = "".join(f"<th>{html.escape(name)}</th>" for name in heads)
    body = "".join(
        "<tr>"
        + "".join(f"<td>{html.escape(value)}</td>" for value in row)
        + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"
