"""Paired differences between two variants, with confidence intervals."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from scipy import stats

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from bench.compare import measurements

CONFIDENCE = 0.95
ALL_DEPLOYMENTS = "all"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Difference of a figure between a variant and the baseline.

    Attributes:
        pairs: Number of plays that both variants finished.
        baseline: Mean of the baseline.
        mean: Mean of the paired differences, variant minus baseline.
        low: Lower end of the 95% interval; equal to ``mean`` for one pair.
        high: Upper end of the interval; equal to ``mean`` for one pair.
    """

    deployment: str
    variant: str
    figure: str
    pairs: int
    baseline: float
    mean: float
    low: float
    high: float

    @property
    def is_clear(self) -> bool:
        """Whether the interval excludes zero."""
        return self.pairs > 1 and (self.low > 0 or self.high < 0)


def paired(
    measured: Iterable[measurements.Measurement], baseline: str
) -> list[Difference]:
    """Returns the differences between all variants and a baseline.

    Args:
        measured: Finished plays; those without a counterpart are left out.
        baseline: Name of the variant that the others are compared with.
    """
    plays = list(measured)
    baseline_plays = {
        m.play.pair: m for m in plays if m.play.variant == baseline
    }
    samples: dict[tuple[str, str, str], list[tuple[float, float]]]
    samples = collections.defaultdict(list)
    for other in plays:
        counterpart = baseline_plays.get(other.play.pair)
        if other.play.variant == baseline or counterpart is None:
            continue
        for name, before, after in _shared_figures(counterpart, other):
            for deployment in (other.play.deployment, ALL_DEPLOYMENTS):
                key = (deployment, other.play.variant, name)
                samples[key].append((before, after))
    return [_difference(*key, pairs) for key, pairs in samples.items()]


def _shared_figures(
    before: measurements.Measurement, after: measurements.Measurement
) -> Iterator[tuple[str, float, float]]:
    for name, value in before.figures.items():
        if name in after.figures:
            yield name, value, after.figures[name]


def _difference(
    deployment: str,
    variant: str,
    figure: str,
    pairs: list[tuple[float, float]],
) -> Difference:
    changes = [after - before for before, after in pairs]
    mean = sum(changes) / len(changes)
    low = high = mean
    if len(changes) > 1:
        standard_error = float(stats.sem(changes))
        t_quantile = float(stats.t.ppf((1 + CONFIDENCE) / 2, len(changes) - 1))
        low, high = (
            mean - t_quantile * standard_error,
            mean + t_quantile * standard_error,
        )
    return Difference(
        deployment=deployment,
        variant=variant,
        figure=figure,
        pairs=len(pairs),
        baseline=sum(before for before, _ in pairs) / len(pairs),
        mean=mean,
        low=low,
        high=high,
    )
