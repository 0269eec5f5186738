"""Seeds that failed before, with the cause; ``--regressions`` reruns them.

A seed reproduces the same faults at the same times, but which requests they
affect depends on the machine. So each cause also has its own test.
"""

from __future__ import annotations

import dataclasses

from tests.soak import layout


@dataclasses.dataclass(frozen=True, slots=True)
class Regression:
    """A soak that violated a guarantee.

    Attributes:
        cause: The cause, in one line.
    """

    options: layout.SoakOptions
    cause: str


def small(seed: int, cause: str) -> Regression:
    options = layout.SoakOptions(
        seed=seed, seconds=40.0, nodes=4, engines=10, clients=16
    )
    return Regression(options, cause)


def large(seed: int, cause: str) -> Regression:
    options = layout.SoakOptions(
        seed=seed, seconds=45.0, nodes=8, engines=20, clients=32
    )
    return Regression(options, cause)


EARLY_SIGNAL = "SIGHUP ended a node that was starting."
LATE_SIGNAL = "Signals changed how a node that had stopped ended."
TAKEN_LATE = "A stopping node took streams that it could not finish."
GIVEN_UP = "Streams that may not run again left an engine that was alive."

REGRESSIONS = (
    small(4, EARLY_SIGNAL),
    small(14, LATE_SIGNAL),
    small(108, TAKEN_LATE),
    small(109, TAKEN_LATE),
    large(201, GIVEN_UP),
    large(203, TAKEN_LATE),
    large(204, GIVEN_UP),
    large(208, GIVEN_UP),
    large(209, GIVEN_UP),
    small(303, TAKEN_LATE),
    small(305, TAKEN_LATE),
    small(309, TAKEN_LATE),
    small(314, TAKEN_LATE),
    Regression(
        layout.SoakOptions(
            seed=501, seconds=60.0, nodes=40, engines=80, clients=100
        ),
        "Streams without repeats left gave up an engine that was alive.",
    ),
)
