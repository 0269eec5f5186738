"""Engines with the layers that they hold, as plans see them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from almondshift.model import engine_specs
    from almondshift.model import layers as model_layers

EXTEND_SHARE = 0.85
"""Share of a card that its layers may take when it stands in for a dead
neighbour; the rest still holds some requests. At 0.8 the last engine of a
chain, which has one neighbour, left a layer that nobody took."""

Holdings = dict[str, "model_layers.LayerRange | None"]
"""Layers by engine, with the orders of the present plan."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedEngine:
    """An engine as the plan sees it.

    Attributes:
        held: The layers that it holds, or was ordered to hold.
        is_busy: Whether it is carrying out an order, and takes no other.
        is_slow: Whether it is much slower than its kind.
        step_factor: Time of a step of its kind relative to the published.
        is_unanswered: Whether it said nothing to the order that it has.
        certain: If so, what it holds whether it took the order or not.
    """

    instance: str
    zone: str
    memory_mb: float
    held: model_layers.LayerRange | None
    is_busy: bool = False
    is_slow: bool = False
    step_factor: float = 1.0
    is_unanswered: bool = False
    certain: model_layers.LayerRange | None = None


def holding(
    engines: Iterable[PlannedEngine], held: Holdings
) -> Iterator[tuple[PlannedEngine, model_layers.LayerRange]]:
    """Yields the engines that hold something, and what they hold."""
    for engine in engines:
        present = held[engine.instance]
        if present is not None:
            yield engine, present


def within(present: model_layers.LayerRange, layers: int) -> range:
    """Returns the layers of a range that a model has.

    An entry may name more: it was written by another writer, or for another
    model.
    """
    return range(present.start, min(present.end, layers))


def most_layers(
    engine: PlannedEngine, spec: engine_specs.EngineSpec, share: float
) -> int:
    """Returns how many layers fit in a share of an engine's memory."""
    return min(spec.layers, int(engine.memory_mb * share / spec.layer_mb))


def proportional_counts(
    weights: Sequence[float], limits: Sequence[int], total: int
) -> list[int]:
    """Returns whole numbers that sum to ``total``, in proportion to weights.

    No number is over its limit; the sum falls short if the limits do.
    """
    counts = [0] * len(weights)
    if not counts:
        return counts
    for _ in range(total):
        best = max(
            range(len(weights)),
            key=lambda i: (
                weights[i] / (counts[i] + 1) if counts[i] < limits[i] else -1.0
            ),
        )
        if counts[best] >= limits[best]:
            break
        counts[best] += 1
    return counts
