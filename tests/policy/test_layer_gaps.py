from __future__ import annotations

import pytest

from almondshift.model import layers
from almondshift.policy import layer_gaps

COUNT = 12

Span = tuple[int, int]


def _moves(
    groups: list[dict[str, Span]],
    capacities: dict[str, int],
    busy: set[str],
) -> dict[str, Span]:
    """Returns the moves that fill the gap of the first group."""
    found = layer_gaps.find_moves(
        [
            {name: layers.LayerRange(*span) for name, span in group.items()}
            for group in groups
        ],
        0,
        COUNT,
        [
            layer_gaps.MovableEngine(
                name, index, capacities[name], name not in busy
            )
            for index, group in enumerate(groups)
            for name in group
        ],
    )
    return {name: (span.start, span.end) for name, span in found.items()}


@pytest.mark.parametrize(
    ("groups", "busy", "moved"),
    [
        # No gap.
        ([{"a6": (0, 6), "b6": (6, 12)}], set(), {}),
        # Two engines without sessions fill the gap together.
        (
            [{"a6": (0, 6), "c4": (0, 4), "d4": (2, 6)}],
            {"a6"},
            {"c4": (6, 10), "d4": (8, 12)},
        ),
        # One of them is from another group, whose layers stay held.
        (
            [
                {"a6": (0, 6), "c4": (0, 4)},
                {"e8": (4, 12), "b6": (0, 6), "d4": (6, 10)},
            ],
            set(),
            {"c4": (6, 10), "d4": (8, 12)},
        ),
        # An engine without sessions is moved instead of one with some.
        (
            [{"a6": (0, 6), "b6": (0, 6), "c6": (0, 6)}],
            {"a6", "c6"},
            {"b6": (6, 12)},
        ),
        # An engine is moved along, and another takes its place.
        (
            [{"a8": (2, 10), "c4": (4, 8), "d4": (4, 8)}],
            set(),
            {"c4": (0, 4), "d4": (8, 12)},
        ),
        # The gap can't be filled, so nothing is moved.
        ([{"a6": (0, 6), "c4": (0, 4)}], set(), {}),
        # The other group needs its engines.
        (
            [{"a6": (0, 6), "c4": (0, 4)}, {"d4": (6, 10), "e8": (0, 6)}],
            set(),
            {},
        ),
    ],
)
def test_engines_are_moved_if_they_fill_the_whole_gap(
    groups: list[dict[str, Span]], busy: set[str], moved: dict[str, Span]
) -> None:
    """Guards against a gap that stays although engines could fill it."""
    capacities = {name: int(name[1:]) for group in groups for name in group}
    assert _moves(groups, capacities, busy) == moved
