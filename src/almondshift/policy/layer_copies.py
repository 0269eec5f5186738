"""Which layers an additional engine should hold: faster or second copies.

An engine joins empty, or is a standby whose layers others hold too. Streams use
the fastest engine of each layer, and pause when it dies. A fast engine helps
most where only slower ones hold the layers. A slow one helps as a second copy,
to which streams can be moved without loading any layers, and most where a loss
would leave the largest hole, that is, layers that no engine holds.

The time of a token is the sum over its layers, so that the gain of a range is a
sum too, and the best range of a given length is found in one pass. The cost of
a hole grows with the layers to load (a sixth of a second each on a model that
loads in 14 s), so that a second copy of a layer is valued by the number of
layers that its only holder holds.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math
import operator
from typing import TYPE_CHECKING

from almondshift.model import layers as model_layers
from almondshift.policy import layer_holdings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import engine_specs

SERVING_WEIGHTS_SHARE = 0.72
"""Maximum share of its engines' memory for the weights of a serving chain. The
rest holds 30,000 tokens if a chain has 200 GB and a token takes 1.8 MB; three
such chains with 39 streams a second were three quarters full. A chain of fewer,
faster engines would be faster but would refuse requests."""

FURTHER_COPY_VALUE = 0.01
"""Value of another copy of a layer with several holders, in layers to load,
divided by their number. Above 0, so that an engine gets some layers rather than
none."""

SPEED_WEIGHT = 1_000.0
"""Weight of a faster copy of a layer relative to a second copy: slow layers
delay streams all the time, while losses are rare."""

MIN_MOVE_RATIO = 1.5
"""A standby moves only if the value of the new layers is more than this ratio
times that of its current ones plus the value of one layer without a holder.
Loads are costly, and each move must reduce the risk."""

ROUNDING_MARGIN = 1.0 - 1e-9
"""Allows for rounding: the sum over some layers may exceed that over all."""

MIN_GAIN_SHARE = 0.15
"""Minimum share of a token's time that the move of a standby engine must save,
since its load takes seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class LayerHolders:
    """Who holds each layer of a model; lists have an element for each layer.

    The holders without any one engine are derived from this. When they were
    computed from scratch for each engine, a plan for 822 engines blocked a
    node's only thread for 2.1 s.

    Attributes:
        fastest: Step factor of the fastest holder; infinite if there is none.
        second: Step factor of the second fastest, which may be equal.
        copies: Number of holders.
        holder_layer_totals: Sum of the numbers of layers that the holders hold;
            used only for layers with a single holder.
        slowest: The up to two greatest step factors of all engines.
    """

    fastest: list[float]
    second: list[float]
    copies: list[int]
    holder_layer_totals: list[int]
    slowest: tuple[float, ...]

    def fastest_other(self, layer: int, step_factor: float) -> float:
        """Returns the least step factor of a layer's holders other than one.

        Args:
            layer: The layer.
            step_factor: Step factor of the holder to leave out.
        """
        if self.fastest[layer] == step_factor:
            return self.second[layer]
        return self.fastest[layer]

    def without(
        self,
        engine: layer_holdings.PlannedEngine,
        present: model_layers.LayerRange,
    ) -> LayerHolders:
        """Returns the holders without an engine; ``second`` is left empty."""
        fastest, copies = list(self.fastest), list(self.copies)
        holder_layer_totals = list(self.holder_layer_totals)
        for layer in layer_holdings.valid_layers(present, len(fastest)):
            fastest[layer] = self.fastest_other(layer, engine.step_factor)
            copies[layer] -= 1
            holder_layer_totals[layer] -= present.count
        others = list(self.slowest)
        if engine.step_factor in others:
            others.remove(engine.step_factor)
        return LayerHolders(
            fastest, [], copies, holder_layer_totals, tuple(others)
        )


def layer_holders(
    engines: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> LayerHolders:
    """Returns who holds each layer."""
    fastest, second = [math.inf] * layers, [math.inf] * layers
    copies, holder_layer_totals = [0] * layers, [0] * layers
    for engine, present in layer_holdings.engines_with_layers(engines, held):
        factor = engine.step_factor
        for layer in layer_holdings.valid_layers(present, layers):
            copies[layer] += 1
            holder_layer_totals[layer] += present.count
            if factor < fastest[layer]:
                fastest[layer], second[layer] = factor, fastest[layer]
            elif factor < second[layer]:
                second[layer] = factor
    slowest = heapq.nlargest(2, (e.step_factor for e in engines))
    return LayerHolders(
        fastest, second, copies, holder_layer_totals, tuple(slowest)
    )


def layer_factors(
    engines: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[float]:
    """Returns each layer's step factor on its fastest holder."""
    return layer_holders(engines, held, layers).fastest


def place_empty(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> model_layers.LayerRange | None:
    """Returns the range that an empty engine should hold; None if none fits."""
    holders = layer_holders(group, held, spec.layers)
    return _best_placement(holders, engine, spec, _gains(holders, engine))


def place_second_copy(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> model_layers.LayerRange | None:
    """Returns the range where a second copy avoids the largest holes."""
    holders = layer_holders(group, held, spec.layers)
    return _best_copy_range(_copy_values(holders), engine, spec)


@dataclasses.dataclass(frozen=True, slots=True)
class _Standby:
    """A standby engine.

    Attributes:
        present: The layers that it holds.
        others: The holders of each layer without it.
    """

    engine: layer_holdings.PlannedEngine
    present: model_layers.LayerRange
    others: LayerHolders


def find_better_layers(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> tuple[str, model_layers.LayerRange] | None:
    """Returns a standby engine that should hold other layers, and which.

    It gives up no layer that only it holds.
    """
    holders = layer_holders(group, held, spec.layers)
    candidates = [
        _Standby(engine, present, holders.without(engine, present))
        for engine, present in _standby_layers(group, held, spec.layers)
    ]
    change = _promote(candidates, sum(holders.fastest), spec)
    return change or _relocate(candidates, spec)


def _promote(
    candidates: Sequence[_Standby], total: float, spec: engine_specs.EngineSpec
) -> tuple[str, model_layers.LayerRange] | None:
    """Returns a standby engine that should serve, and the layers to hold.

    After an engine is lost for good, a slow second copy serves its layers until
    a faster standby of other layers takes its place.

    Args:
        candidates: The standbys.
        total: Sum over all layers of the fastest holder's step factor.
        spec: Parameters of the model.
    """
    for standby in candidates:
        engine, others = standby.engine, standby.others
        gains = _gains(others, engine)
        # Most standbys gain too little anywhere. The search for the best range,
        # the most expensive step, is done only for the others.
        if sum(gains) < MIN_GAIN_SHARE * total * ROUNDING_MARGIN:
            continue
        found = _best_placement(others, engine, spec, gains)
        if found is None or found == standby.present:
            continue
        if sum(gains[found.start : found.end]) >= MIN_GAIN_SHARE * total:
            return engine.instance, found
    return None


def _relocate(
    candidates: Sequence[_Standby], spec: engine_specs.EngineSpec
) -> tuple[str, model_layers.LayerRange] | None:
    """Returns a standby engine that is worth more elsewhere, and its layers.

    Otherwise engines that filled a hole would keep only the few layers that it
    needed, and others would hold further copies of layers that are held twice.
    """
    for standby in candidates:
        present = standby.present
        values = _copy_values(standby.others)
        found = _best_copy_range(values, standby.engine, spec)
        if found is None:
            continue
        present_value = sum(values[present.start : present.end])
        new_value = sum(values[found.start : found.end])
        if new_value > present_value * MIN_MOVE_RATIO + spec.layers:
            return standby.engine.instance, found
    return None


def standbys(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[layer_holdings.PlannedEngine]:
    """Returns engines whose layers others hold that are as fast or faster.

    The fastest come first.
    """
    return [engine for engine, _ in _standby_layers(group, held, layers)]


def spare_standbys(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
    max_engines: int,
) -> list[layer_holdings.PlannedEngine]:
    """Returns standbys, at most ``max_engines``, to give up layers at once.

    Two engines with the same layers are standbys of each other. They are
    removed one by one, so that the second no longer counts as a standby.
    """
    left = dict(held)
    found: list[layer_holdings.PlannedEngine] = []
    while len(found) < max_engines:
        ready = standbys(group, left, layers)
        if not ready:
            break
        found.append(ready[0])
        left[ready[0].instance] = None
    return found


def best_range(
    values: Sequence[float], max_layers: int
) -> model_layers.LayerRange:
    """Returns the range of up to ``max_layers`` with the greatest sum."""
    count = min(max_layers, len(values))
    sums = [0.0, *itertools.accumulate(values)]
    range_sums = list(map(operator.sub, sums[count:], sums))
    start = range_sums.index(max(range_sums))
    return model_layers.LayerRange(start, start + count)


def _standby_layers(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[tuple[layer_holdings.PlannedEngine, model_layers.LayerRange]]:
    """Returns the standbys and their layers, the fastest first.

    Engines that are carrying out an order are neither standbys nor counted as
    holders, since they may not hold their layers yet.
    """
    ready = [e for e in group if not e.is_busy]
    ready.sort(key=lambda e: (e.step_factor, e.instance))
    holders = layer_holders(ready, held, layers)
    found = []
    for engine, present in layer_holdings.engines_with_layers(ready, held):
        factor = engine.step_factor
        own = layer_holdings.valid_layers(present, layers)
        if all(holders.fastest_other(layer, factor) <= factor for layer in own):
            found.append((engine, present))
    return found


def _best_placement(
    holders: LayerHolders,
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
    gains: list[float],
) -> model_layers.LayerRange | None:
    most = layer_holdings.most_layers(engine, spec, SERVING_WEIGHTS_SHARE)
    copies = _copy_values(holders)
    if sum(gains) <= 0.0 or most < 1:
        return _best_copy_range(copies, engine, spec)
    values = [
        gain * SPEED_WEIGHT + copy
        for gain, copy in zip(gains, copies, strict=True)
    ]
    return best_range(values, most)


def _best_copy_range(
    values: list[float],
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> model_layers.LayerRange | None:
    most = layer_holdings.most_layers(
        engine, spec, layer_holdings.MAX_WEIGHTS_SHARE
    )
    if most < 1:
        return None
    return best_range(values, most)


def _gains(
    holders: LayerHolders, engine: layer_holdings.PlannedEngine
) -> list[float]:
    """Returns the time an engine would save at each layer, in step factors.

    A layer without a holder counts as slower than on the slowest engine. Holes
    are thus filled first, while other differences still count.
    """
    own = engine.step_factor
    slowest = max(holders.slowest, default=own)
    factors = [
        slowest + own if math.isinf(factor) else factor
        for factor in holders.fastest
    ]
    return [factor - own if factor > own else 0.0 for factor in factors]


def _copy_values(holders: LayerHolders) -> list[float]:
    """Returns the value of one more copy of each layer, in layers to load."""
    layers = float(len(holders.copies))
    return [
        layers
        if not count
        else float(holder_layers)
        if count == 1
        else FURTHER_COPY_VALUE / count
        for count, holder_layers in zip(
            holders.copies, holders.holder_layer_totals, strict=True
        )
    ]
