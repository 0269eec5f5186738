"""What is played, and what it measured."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Play:
    """One day of a deployment, played by one variant of the code.

    Attributes:
        deployment: The plan's name for the site.
        site: Path of the site file.
        is_small_twin: Whether a small copy of a large day is played.
        variant: The plan's name for the variant.
        source: Revision and digest of the patch that make the variant.
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
        """What plays of different variants have in common."""
        return (self.deployment, self.day, self.seed)

    @property
    def label(self) -> str:
        """A text that no other play of a comparison has."""
        return (
            f"{self.deployment} {self.day} seed {self.seed}, "
            f"{self.variant} ({self.source})"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Figures of a play.

    Attributes:
        figures: Shares between 0 and 1, and prices as negative shares, so
            that more is better except for refused and failed requests.
        broken_rules: Empty if all rules held.
        fault: Why the day counts for nothing; empty if it counts.
    """

    play: Play
    figures: dict[str, float]
    broken_rules: tuple[str, ...]
    fault: str
