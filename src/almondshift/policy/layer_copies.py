"""Where one more engine helps most: faster layers, or a second copy.

Load pattern: an engine comes empty, or stands by with layers that others hold
too. Streams take the fastest engine of each layer, and each of them pauses
when that one dies. A fast engine helps where only slower ones hold layers; a
slow one helps as a second copy, ready for streams to be moved to without any
load, and most where a loss would leave the longest hole.

Grounds: the time of a token is the sum over its layers, so the gain of a range
is a sum too, and the best range of a length is found in one pass. What a hole
costs grows with the layers to load (a sixth of a second each on a model that
loads in 14 s), so a layer is worth what its only holder holds.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

from almondshift.model import layers as model_layers
from almondshift.policy import layer_holdings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import engine_specs

CARRY_SHARE = 0.72
"""Share of its cards that the weights of a chain which carries streams may
take. What is left holds 67,000 tokens in a fleet of 200 GB a chain, three
times what its usual streams need; a chain of fewer, faster cards would be
faster still and refuse in a burst."""

SECOND_COPY_VALUE = 0.01
"""Value of a third copy of a layer beside that of a second one: an engine goes
anywhere rather than nowhere."""

MIN_GAIN = 0.15
"""Share of a token's time that a move of a standby engine has to save; it costs
a load of seconds."""


def layer_factors(
    engines: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[float]:
    """Returns each layer's step factor on its fastest holder."""
    factors = [math.inf] * layers
    for engine in engines:
        present = held[engine.instance]
        if present is None:
            continue
        for layer in range(present.start, min(present.end, layers)):
            factors[layer] = min(factors[layer], engine.step_factor)
    return factors


def placed_empty(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> model_layers.LayerRange | None:
    """Returns the range that an empty engine should hold, if any fits."""
    gains = _gains(group, held, engine, spec.layers)
    if sum(gains) > 0.0:
        most = layer_holdings.most_layers(engine, spec, CARRY_SHARE)
        found = best_range(gains, max(1, most))
        if found.count <= layer_holdings.most_layers(engine, spec, 1.0):
            return found
    return second_copy(group, held, engine, spec)


def second_copy(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> model_layers.LayerRange | None:
    """Returns the range where a second copy spares the longest holes."""
    most = layer_holdings.most_layers(engine, spec, layer_holdings.EXTEND_SHARE)
    if most < 1:
        return None
    values = _copy_values(group, held, spec.layers)
    return best_range(values, most, is_whole=True)


def promoted(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> tuple[str, model_layers.LayerRange] | None:
    """Returns a standby engine that should carry, and what it should hold.

    After an engine is lost for good, a slow second copy carries its layers.
    A faster engine that stands by elsewhere takes its place; nothing that
    only it holds is given up.
    """
    for engine in sorted(group, key=lambda e: (e.step_factor, e.instance)):
        present = held[engine.instance]
        if present is None or not _stands_by(group, held, engine, spec.layers):
            continue
        others = [e for e in group if e.instance != engine.instance]
        gains = _gains(others, held, engine, spec.layers)
        most = layer_holdings.most_layers(engine, spec, CARRY_SHARE)
        if most < 1:
            continue
        found = best_range(gains, most)
        gain = sum(gains[found.start : found.end])
        total = sum(layer_factors(group, held, spec.layers))
        if gain >= MIN_GAIN * total and found != present:
            return engine.instance, found
    return None


def best_range(
    values: Sequence[float], most: int, is_whole: bool = False
) -> model_layers.LayerRange:
    """Returns the range of the greatest sum, of at most ``most`` layers.

    Args:
        values: Value of each layer.
        most: Longest range.
        is_whole: Whether the range has its full length also where layers at
            its ends are worth nothing.
    """
    count = min(most, len(values))
    sums = [0.0, *itertools.accumulate(values)]
    start = max(
        range(len(values) - count + 1),
        key=lambda s: (sums[s + count] - sums[s], -s),
    )
    end = start + count
    if is_whole:
        return model_layers.LayerRange(start, end)
    while end - start > 1 and values[start] <= 0.0:
        start += 1
    while end - start > 1 and values[end - 1] <= 0.0:
        end -= 1
    return model_layers.LayerRange(start, end)


def _gains(
    others: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    layers: int,
) -> list[float]:
    """Returns what an engine would save at each layer, in step factors.

    A layer that nobody holds counts as if the slowest engine held it, so that
    holes go before all else without hiding other differences.
    """
    factors = layer_factors(others, held, layers)
    slowest = max([e.step_factor for e in others] or [engine.step_factor])
    hole = slowest + engine.step_factor
    return [
        max(0.0, (hole if math.isinf(f) else f) - engine.step_factor)
        for f in factors
    ]


def _copy_values(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[float]:
    copies = [0] * layers
    lost = [0] * layers
    for engine in group:
        present = held[engine.instance]
        if present is None:
            continue
        for layer in range(present.start, min(present.end, layers)):
            copies[layer] += 1
            lost[layer] = present.count
    return [
        float(layers)
        if not count
        else float(alone)
        if count == 1
        else SECOND_COPY_VALUE / count
        for count, alone in zip(copies, lost, strict=True)
    ]


def _stands_by(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    layers: int,
) -> bool:
    """Returns whether each layer of an engine is held by one as fast."""
    present = held[engine.instance]
    if present is None or engine.is_busy:
        return False
    others = [
        e for e in group if e.instance != engine.instance and not e.is_busy
    ]
    factors = layer_factors(others, held, layers)
    return all(
        factors[layer] <= engine.step_factor
        for layer in range(present.start, min(present.end, layers))
    )
