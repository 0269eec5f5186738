"""Plots burn rates over time as inline SVG."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING

from almondshift.policy import burn

if TYPE_CHECKING:
    from collections.abc import Iterable

WIDTH_PX = 800
HEIGHT_PX = 300
MARGIN_PX = 45
LEGEND_LINE_PX = 18
MIN_Y_AXIS_MAX = 2.0
SECONDS_PER_HOUR = 3600.0
TICK_HOURS = (72, 48, 24, 0)
COLOURS = (
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf",
    "#8c564b", "#7f7f7f",
)  # fmt: skip

Points = list[burn.SeriesPoint]


def render(series: list[burn.SeriesPoint]) -> str:
    """Returns an ``svg`` element that plots burn rates by age in hours."""
    lines = _group_by_objective(series)
    y_max = max([MIN_Y_AXIS_MAX, *(point.burn for point in series)])
    height = HEIGHT_PX + LEGEND_LINE_PX * len(lines)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" '
        f'height="{height}" role="img" aria-label="Burn rate over time">',
        *_axes(y_max),
    ]
    for i, (name, points) in enumerate(lines.items()):
        parts.extend(_render_line(i, name, points, y_max))
    return "\n".join([*parts, "</svg>"])


def _group_by_objective(series: list[burn.SeriesPoint]) -> dict[str, Points]:
    lines: dict[str, Points] = {}
    for point in series:
        name = f"{point.service} {point.objective.value}"
        lines.setdefault(name, []).append(point)
    return dict(sorted(lines.items()))


def _render_line(
    index: int, name: str, points: Points, y_max: float
) -> Iterable[str]:
    colour = COLOURS[index % len(COLOURS)]
    coordinates = " ".join(
        f"{_x(point.age_s):.1f},{_y(point.burn, y_max):.1f}" for point in points
    )
    yield (
        f'<polyline points="{coordinates}" fill="none" stroke="{colour}" '
        'stroke-width="1.5"/>'
    )
    for point in points:
        yield (
            f'<circle cx="{_x(point.age_s):.1f}" '
            f'cy="{_y(point.burn, y_max):.1f}" r="2" fill="{colour}"/>'
        )
    y = HEIGHT_PX + LEGEND_LINE_PX * index + 10
    yield _text(MARGIN_PX, y, name, colour)


def _axes(y_max: float) -> Iterable[str]:
    bottom = _y(0, y_max)
    for level in (0.0, 1.0, y_max):
        y = _y(level, y_max)
        yield (
            f'<line x1="{MARGIN_PX}" x2="{WIDTH_PX - MARGIN_PX}" y1="{y:.1f}" '
            f'y2="{y:.1f}" stroke="#bbb"/>'
        )
        yield _text(4, y, f"{level:.3g}", "#333")
    for hours in TICK_HOURS:
        x = _x(hours * SECONDS_PER_HOUR)
        yield _text(x, bottom + 15, f"-{hours} h", "#333")


def _text(x: float, y: float, text: str, colour: str) -> str:
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" font-size="12" fill="{colour}">'
        f"{html.escape(text)}</text>"
    )


def _x(age_s: float) -> float:
    longest_s = burn.WINDOWS_S[-1]
    age_ratio = min(1.0, age_s / longest_s)
    return MARGIN_PX + (1.0 - age_ratio) * (WIDTH_PX - 2 * MARGIN_PX)


def _y(value: float, y_max: float) -> float:
    return HEIGHT_PX - MARGIN_PX - value / y_max * (HEIGHT_PX - 2 * MARGIN_PX)
