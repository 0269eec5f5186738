from __future__ import annotations

import pytest

from almondshift.policy import engine_starts

STANDS = engine_starts.StartVerdict.STANDS
LATE = engine_starts.StartVerdict.LATE
OVERTURNS = engine_starts.StartVerdict.OVERTURNS

Row = tuple[int, int, float]
"""Start, revision, time."""


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        ([(5, 1, 0.0), (9, 2, 1.0)], [STANDS, STANDS]),
        ([(5, 1, 0.0), (9, 2, 1.0), (5, 3, 2.0)], [STANDS, STANDS, LATE]),
        # Four rows over four seconds, none of the other one in between.
        (
            [(9, 1, 0.0), *((5, r, r * 1.4) for r in range(2, 7))],
            [STANDS, LATE, LATE, LATE, OVERTURNS, STANDS],
        ),
        # As many rows at once prove nothing: they may all be late.
        (
            [(9, 1, 0.0), *((5, r, r * 0.1) for r in range(2, 9))],
            [STANDS, *[LATE] * 7],
        ),
        # Nor does one row that is told for long.
        (
            [(9, 1, 0.0), *((5, 2, t * 1.0) for t in range(2, 20))],
            [STANDS, *[LATE] * 18],
        ),
        # A row of the standing one ends what was proved so far.
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
            [STANDS, LATE, LATE, LATE, STANDS, LATE, LATE, LATE, OVERTURNS],
        ),
        # An engine that stops telling its start is one that lives, too.
        (
            [(9, 1, 0.0), *((0, r, r * 2.0) for r in range(2, 7))],
            [STANDS, LATE, LATE, LATE, OVERTURNS, STANDS],
        ),
        # Two that are wrong in turn prove nothing for each other.
        (
            [(9, 1, 0.0), *((5 + r % 2, r, r * 2.0) for r in range(2, 12))],
            [STANDS, *[LATE] * 10],
        ),
    ],
)
def test_verdicts(
    rows: list[Row], expected: list[engine_starts.StartVerdict]
) -> None:
    starts = engine_starts.create_engine_starts()
    assert [starts.judge("i", *row) for row in rows] == expected


def test_a_start_that_was_overturned_can_prove_itself() -> None:
    """Its engine would get no request for the rest of its life.

    The start was the true one: its rows did not reach the store for a time,
    and those of a process that it replaced did. Then its rows come again.
    """
    starts = engine_starts.create_engine_starts()
    starts.judge("i", 9, 1, 0.0)
    former = [starts.judge("i", 5, r, r * 2.0) for r in range(2, 6)]
    assert former[-1] is OVERTURNS
    again = [starts.judge("i", 9, r, r * 2.0) for r in range(6, 10)]
    assert again == [LATE, LATE, LATE, OVERTURNS]
    assert starts.judge("i", 12, 10, 20.0) is STANDS


def test_memory_of_starts_is_bounded() -> None:
    starts = engine_starts.create_engine_starts()
    for number in range(engine_starts.MAX_TRACKED_ENGINES + 10):
        starts.judge(f"i-{number}", 5, number, 0.0)
    assert len(starts.known) == engine_starts.MAX_TRACKED_ENGINES
