"""Seeds that failed once, each with the cause; ``--regressions`` plays them.

A seed draws the same faults at the same times again; which request meets
them is up to the machine. So each cause has a test of its own besides.
"""

from __future__ import annotations

import dataclasses

from tests.soak import layout


@dataclasses.dataclass(frozen=True, slots=True)
class Regression:
    """A soak that broke a promise.

    Attributes:
        cause: What was behind it, in one line.
    """

    options: layout.SoakOptions
    cause: str


def case(seed: int, cause: str, seconds: float = 40.0) -> Regression:
    options = layout.SoakOptions(
        seed=seed, seconds=seconds, nodes=4, engines=10, clients=16
    )
    return Regression(options, cause)


REGRESSIONS = (
    case(4, "SIGHUP ended a node that was starting or about to exit."),
    case(14, "A second SIGTERM made a node that had stopped exit with -15."),
)
