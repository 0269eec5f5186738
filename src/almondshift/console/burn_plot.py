"""Draws burn over time as inline SVG."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING

from almondshift.policy import burn

if TYPE_CHECKING:
    from collections.abc import Iterable

WIDTH = 800
HEIGHT = 300
MARGIN = 45
LEGEND_LINE = 18
MIN_TOP = 2.0
SECONDS_PER_HOUR = 3600.0
TICK_HOURS = (72, 48, 24, 0)
COLOURS = (
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf",
    "#8c564b", "#7f7f7f",
)  # fmt: skip

Line = list[burn.SeriesPoint]


def render(series: list[burn.SeriesPoint]) -> str:
    """Returns an ``svg`` element: hours ago to the right, burn upwards."""
    lines = _lines(series)
    top = max([MIN_TOP, *(point.burn for point in series)])
    height = HEIGHT + LEGEND_LINE * len(lines)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{height}" role="img" aria-label="Burn over time">',
        *_axes(top),
    ]
    for i, (name, line) in enumerate(lines.items()):
        parts.extend(_draw(i, name, line, top))
    return "\n".join([*parts, "</svg>"])


def _lines(series: list[burn.SeriesPoint]) -> dict[str, Line]:
    lines: dict[str, Line] = {}
    for point in series:
        name = f"{point.service} {point.objective.value}"
        lines.setdefault(name, []).append(point)
    return dict(sorted(lines.items()))


def _draw(index: int, name: str, line: Line, top: float) -> Iterable[str]:
    colour = COLOURS[index % len(COLOURS)]
    points = " ".join(
        f"{_x(point.age_s):.1f},{_y(point.burn, top):.1f}" for point in line
    )
    yield (
        f'<polyline points="{points}" fill="none" stroke="{colour}" '
        'stroke-width="1.5"/>'
    )
    for point in line:
        yield (
            f'<circle cx="{_x(point.age_s):.1f}" '
            f'cy="{_y(point.burn, top):.1f}" r="2" fill="{colour}"/>'
        )
    y = HEIGHT + LEGEND_LINE * index + 10
    yield _text(MARGIN, y, name, colour)


def _axes(top: float) -> Iterable[str]:
    bottom = _y(0, top)
    for level in (0.0, 1.0, top):
        y = _y(level, top)
        yield (
            f'<line x1="{MARGIN}" x2="{WIDTH - MARGIN}" y1="{y:.1f}" '
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
    longest = burn.WINDOWS_S[-1]
    share = min(1.0, age_s / longest)
    return MARGIN + (1.0 - share) * (WIDTH - 2 * MARGIN)


def _y(value: float, top: float) -> float:
    return HEIGHT - MARGIN - value / top * (HEIGHT - 2 * MARGIN)
