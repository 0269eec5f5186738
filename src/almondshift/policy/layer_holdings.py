"""Engines and the layers that they hold, as input of the layer plan."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from almondshift.model import engine_specs
    from almondshift.model import layers as model_layers

MAX_WEIGHTS_SHARE = 0.85
"""Maximum share of an engine's memory for layers when it replaces a dead
neighbour; the rest still holds some requests. At 0.8 the loss of the last
engine of a chain, which has one neighbour, left a layer that no engine took."""

Holdings = dict[str, "model_layers.LayerRange | None"]
"""Layers by engine, including the orders of the plan in progress."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedEngine:
    """An engine as input of the layer plan.

    Attributes:
        held: The layers that it holds or was ordered to hold.
        is_busy: Whether it is carrying out an order and takes no other.
        is_slow: Whether it is much slower than others of its kind.
        step_factor: Step time of its kind relative to the published one.
        is_unanswered: Whether it has not answered its latest order.
        certain: The layers that it then holds whether or not it carried out
            the order.
    """

    instance: str
    zone: str
    memory_mb: float
    held: model_layers.LayerRange | None
    is_busy: bool = False
    is_slow: bool = False
    step_factor: float = 1.0
    is_unanswered: bool = False
    certain_layers: model_layers.LayerRange | None = None


def engines_with_layers(
    engines: Iterable[PlannedEngine], held: Holdings
) -> Iterator[tuple[PlannedEngine, model_layers.LayerRange]]:
    """Yields the engines that hold layers, and their layers."""
    for engine in engines:
        present = held[engine.instance]
        if present is not None:
            yield engine, present


def valid_layers(present: model_layers.LayerRange, layers: int) -> range:
    """Returns the layers of a range that the model has.

    A registry entry may name more, if it was written by another program or for
    another model.
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
