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
take. What is left holds 30,000 tokens where a chain has 200 GB and a token
takes 1.8 MB; three such chains with 39 streams a second were three quarters
full. A chain of fewer, faster cards would be faster still and refuse."""

SECOND_COPY_VALUE = 0.01
"""Value of a third copy of a layer beside that of a second one: an engine goes
anywhere rather than nowhere."""

GAIN_FIRST = 1_000.0
"""Weight of a faster layer beside a second copy: streams are slowed all the
time, and struck by a loss now and then."""

MIN_SPREAD = 1.5
"""A standby goes elsewhere for so many times what its layers are worth, and a
hole of one layer more: loads cost, and each move must leave less at risk."""

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
    most = layer_holdings.most_layers(engine, spec, CARRY_SHARE)
    if sum(gains) <= 0.0 or most < 1:
        return second_copy(group, held, engine, spec)
    copies = _copy_values(group, held, spec.layers)
    values = [
        gain * GAIN_FIRST + copy
        for gain, copy in zip(gains, copies, strict=True)
    ]
    return best_range(values, most)


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
    return best_range(_copy_values(group, held, spec.layers), most)


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
    total = sum(layer_factors(group, held, spec.layers))
    for engine in standbys(group, held, spec.layers):
        others = [e for e in group if e.instance != engine.instance]
        gains = _gains(others, held, engine, spec.layers)
        found = placed_empty(others, held, engine, spec)
        if found is None or found == held[engine.instance]:
            continue
        if sum(gains[found.start : found.end]) >= MIN_GAIN * total:
            return engine.instance, found
    return None


def spread(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> tuple[str, model_layers.LayerRange] | None:
    """Returns a standby engine that is worth more elsewhere, and where.

    Engines that filled a hole stay with the few layers that it needed, and
    others gather beside what is held twice already.
    """
    for engine in standbys(group, held, spec.layers):
        present = held[engine.instance]
        others = [e for e in group if e.instance != engine.instance]
        found = second_copy(others, held, engine, spec)
        if found is None or present is None:
            continue
        values = _copy_values(others, held, spec.layers)
        worth = sum(values[present.start : present.end])
        better = sum(values[found.start : found.end])
        if better > worth * MIN_SPREAD + spec.layers:
            return engine.instance, found
    return None


def standbys(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[layer_holdings.PlannedEngine]:
    """Returns engines whose layers others as fast hold, the fastest first."""
    ranked = sorted(group, key=lambda e: (e.step_factor, e.instance))
    return [e for e in ranked if _stands_by(group, held, e, layers)]


def spare_standbys(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
    most: int,
) -> list[layer_holdings.PlannedEngine]:
    """Returns up to ``most`` standbys that can all leave their layers at once.

    Two that hold the same second copies each stand by for the other; taken one
    by one, the second sees that the first is gone.
    """
    left = dict(held)
    found: list[layer_holdings.PlannedEngine] = []
    while len(found) < most:
        ready = standbys(group, left, layers)
        if not ready:
            break
        found.append(ready[0])
        left[ready[0].instance] = None
    return found


def best_range(values: Sequence[float], most: int) -> model_layers.LayerRange:
    """Returns the range of ``most`` layers, or of all, of the greatest sum."""
    count = min(most, len(values))
    sums = [0.0, *itertools.accumulate(values)]
    start = max(
        range(len(values) - count + 1),
        key=lambda s: (sums[s + count] - sums[s], -s),
    )
    return model_layers.LayerRange(start, start + count)


def _gains(
    others: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    layers: int,
) -> list[float]:
    """Returns what an engine would save at each layer, in step factors.

    A layer that nobody holds counts as slower than the slowest engine, so that
    holes go first without hiding other differences.
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
