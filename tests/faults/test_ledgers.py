from __future__ import annotations

import pytest

from tests.faults import ledgers

LAYERS = 4
POSITIONS = 4


def run(
    engine: str,
    at: float,
    position: int,
    *,
    start: int = 0,
    end: int = 2,
    epoch: int = 0,
    count: int = 2,
) -> ledgers.Run:
    session = f"r.{epoch}.{start}"
    return ledgers.Run(
        engine, at, "r", session, epoch, start, end, position, count, 1
    )


LOW = [run("e1", 1.0, 0), run("e1", 3.0, 2)]
HIGH = [run("e2", 2.0, 0, start=2, end=4), run("e2", 4.0, 2, start=2, end=4)]
REPLAY = [run("e3", 5.0, 0, epoch=1), run("e3", 6.0, 2, epoch=1)]

VALID = {
    "two stages": LOW + HIGH,
    "a replay": [*LOW, *REPLAY, *HIGH],
    "a KV cache that moved": [LOW[0], run("e3", 3.0, 2, epoch=1), *HIGH],
}

INVALID = {
    "a position twice": [*LOW, LOW[1], *HIGH],
    "a position left out": [LOW[0], run("e1", 3.0, 3, count=1), *HIGH],
    "a layer never run": LOW,
    "a layer in two stages": LOW
    + [run("e2", 2.0, 0, start=1, end=4, epoch=1, count=4)],
    "an end never run": [*LOW, HIGH[0]],
    "the second stage first": [
        run("e1", 2.0, 0, count=4),
        run("e2", 1.0, 0, start=2, end=4, count=4),
    ],
    "another range in the session": [
        LOW[0],
        run("e1", 3.0, 2, end=1),
        *HIGH,
    ],
    "a start in the middle": [run("e1", 3.0, 2), *HIGH],
}


@pytest.mark.parametrize("name", VALID)
def test_valid_histories_pass(name: str) -> None:
    ledgers.check(VALID[name], LAYERS, POSITIONS)


@pytest.mark.parametrize("name", INVALID)
def test_invalid_histories_are_detected(name: str) -> None:
    with pytest.raises(AssertionError):
        ledgers.check(INVALID[name], LAYERS, POSITIONS)
