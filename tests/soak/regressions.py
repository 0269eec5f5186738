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


EARLY_SIGNAL = "SIGHUP terminated a node that was starting."
LATE_SIGNAL = "Signals changed how a node that had stopped ended."
ACCEPTED_LATE = "A stopping node accepted streams that it could not finish."
ABANDONED_ENGINE = "Streams that may not be retried abandoned a live engine."

TAKEN_REFUSAL = "A second refusal was taken for the next send's response."


def erratic(seed: int) -> Regression:
    options = layout.SoakOptions(
        seed=seed,
        seconds=15.0,
        nodes=3,
        engines=10,
        clients=12,
        cuts=2,
        erratic=20,
    )
    return Regression(options, TAKEN_REFUSAL)


REGRESSIONS = (
    erratic(5401),
    erratic(5403),
    small(4, EARLY_SIGNAL),
    small(14, LATE_SIGNAL),
    small(108, ACCEPTED_LATE),
    small(109, ACCEPTED_LATE),
    large(201, ABANDONED_ENGINE),
    large(203, ACCEPTED_LATE),
    large(204, ABANDONED_ENGINE),
    large(208, ABANDONED_ENGINE),
    large(209, ABANDONED_ENGINE),
    small(303, ACCEPTED_LATE),
    small(305, ACCEPTED_LATE),
    small(309, ACCEPTED_LATE),
    small(314, ACCEPTED_LATE),
    Regression(
        layout.SoakOptions(
            seed=501, seconds=60.0, nodes=40, engines=80, clients=100
        ),
        "Streams with no retries left abandoned a live engine.",
    ),
)
