"""Plays of a comparison and their measurements."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Play:
    """A run of one day of a deployment with one variant of the code.

    Attributes:
        deployment: The plan's name for the site.
        site: Path of the site file.
        is_small_twin: Whether the small copy of a large day is run.
        variant: The plan's name for the variant.
        source: The variant's commit, with the digest of its patch if it has
            one.
    """

    deployment: str
    site: str
    day: str
    seed: int
    is_small_twin: bool
    variant: str
    source: str

    @property
    def pair(self) -> tuple[str, str, int]:
        """Key that the plays of different variants share."""
        return (self.deployment, self.day, self.seed)

    @property
    def label(self) -> str:
        """Description that is unique among the plays of a comparison."""
        return (
            f"{self.deployment} {self.day} seed {self.seed}, "
            f"{self.variant} ({self.source})"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Figures of a play.

    Attributes:
        figures: Shares between 0 and 1, and prices as negative shares, so
            that higher is better except for refused and failed requests.
        broken_rules: Names of violated rules; empty if there are none.
        fault: Why the day is not counted; empty if it is counted.
    """

    play: Play
    figures: dict[str, float]
    broken_rules: tuple[str, ...]
    fault: str
