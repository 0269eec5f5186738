from __future__ import annotations

import pytest

from almondshift.model import revisions
from almondshift.policy import engine_starts

CURRENT = engine_starts.RowStatus.CURRENT
LATE = engine_starts.RowStatus.LATE
REPLACES = engine_starts.RowStatus.REPLACES

StartRow = tuple[int, int, float]
"""Start of the engine, revision of the row, and time in seconds."""


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        ([(5, 1, 0.0), (9, 2, 1.0)], [CURRENT, CURRENT]),
        ([(5, 1, 0.0), (9, 2, 1.0), (5, 3, 2.0)], [CURRENT, CURRENT, LATE]),
        # Four rows in four seconds, with no row of the accepted start between.
        (
            [(9, 1, 0.0), *((5, r, r * 1.4) for r in range(2, 7))],
            [CURRENT, LATE, LATE, LATE, REPLACES, CURRENT],
        ),
        # The same number at once is no proof: all of them may be late.
        (
            [(9, 1, 0.0), *((5, r, r * 0.1) for r in range(2, 9))],
            [CURRENT, *[LATE] * 7],
        ),
        # One row that is received again and again is no proof either.
        (
            [(9, 1, 0.0), *((5, 2, t * 1.0) for t in range(2, 20))],
            [CURRENT, *[LATE] * 18],
        ),
        # A row of the accepted start resets the count of rows of another start.
        (
            [
                (9, 1, 0.0),
                (5, 2, 2.0),
                (5, 3, 4.0),
                (5, 4, 5.0),
                (9, 5, 6.0),
                (5, 6, 7.0),
                (5, 7, 8.0),
                (5, 8, 9.0),
                (5, 9, 12.0),
            ],
            [CURRENT, LATE, LATE, LATE, CURRENT, LATE, LATE, LATE, REPLACES],
        ),
        # Rows without a start show a live engine, too.
        (
            [(9, 1, 0.0), *((0, r, r * 2.0) for r in range(2, 7))],
            [CURRENT, LATE, LATE, LATE, REPLACES, CURRENT],
        ),
        # Alternating rows of two starts are no proof of either.
        (
            [(9, 1, 0.0), *((5 + r % 2, r, r * 2.0) for r in range(2, 12))],
            [CURRENT, *[LATE] * 10],
        ),
    ],
)
def test_verdicts(
    rows: list[StartRow], expected: list[engine_starts.RowStatus]
) -> None:
    starts = engine_starts.create_engine_starts()
    found = [
        starts.classify_row("i", born_ms, revisions.Revision(0, number), now)
        for born_ms, number, now in rows
    ]
    assert found == expected


def test_replaced_start_can_be_accepted_again() -> None:
    """Its engine would never get a request again.

    The start was the true one, but for a time only rows of the process that it
    replaced reached the store. Then its rows arrive again.
    """
    starts = engine_starts.create_engine_starts()
    numbers = [revisions.Revision(0, number) for number in range(11)]
    starts.classify_row("i", 9, numbers[1], 0.0)
    earlier = [
        starts.classify_row("i", 5, numbers[r], r * 2.0) for r in range(2, 6)
    ]
    assert earlier[-1] is REPLACES
    later = [
        starts.classify_row("i", 9, numbers[r], r * 2.0) for r in range(6, 10)
    ]
    assert later == [LATE, LATE, LATE, REPLACES]
    assert starts.classify_row("i", 12, numbers[10], 20.0) is CURRENT


def test_number_of_tracked_engines_is_bounded() -> None:
    starts = engine_starts.create_engine_starts()
    for number in range(engine_starts.MAX_TRACKED_ENGINES + 10):
        revision = revisions.Revision(0, number)
        starts.classify_row(f"i-{number}", 5, revision, 0.0)
    assert len(starts.by_engine) == engine_starts.MAX_TRACKED_ENGINES
