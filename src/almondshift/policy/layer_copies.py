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

ROUNDING = 1.0 - 1e-9
"""A sum over a part of the layers may be rounded above that over all."""

MIN_GAIN = 0.15
"""Share of a token's time that a move of a standby engine has to save; it costs
a load of seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class LayerHolders:
    """Who holds each layer of a model.

    It answers what would be left without any one engine. Looked up anew for
    each engine, a plan for 822 engines kept a node's only thread for 2.1 s.

    Attributes:
        fastest: Step factor of the fastest holder; infinite for none.
        second: That of the next one, which may be as fast.
        copies: Number of holders.
        counts: Sum of how many layers the holders hold.
        slowest: Greatest step factors of the engines, two at the most.
    """

    fastest: list[float]
    second: list[float]
    copies: list[int]
    counts: list[int]
    slowest: tuple[float, ...]

    def fastest_other(self, layer: int, step_factor: float) -> float:
        """Returns the fastest holder of a layer beside one that holds it."""
        if self.fastest[layer] == step_factor:
            return self.second[layer]
        return self.fastest[layer]

    def without(
        self,
        engine: layer_holdings.PlannedEngine,
        present: model_layers.LayerRange,
    ) -> LayerHolders:
        """Returns what is left without an engine; its ``second`` is unknown."""
        fastest, copies = list(self.fastest), list(self.copies)
        counts = list(self.counts)
        for layer in layer_holdings.within(present, len(fastest)):
            fastest[layer] = self.fastest_other(layer, engine.step_factor)
            copies[layer] -= 1
            counts[layer] -= present.count
        others = list(self.slowest)
        if engine.step_factor in others:
            others.remove(engine.step_factor)
        return LayerHolders(fastest, [], copies, counts, tuple(others))


def layer_holders(
    engines: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> LayerHolders:
    """Returns who holds each layer."""
    fastest, second = [math.inf] * layers, [math.inf] * layers
    copies, counts = [0] * layers, [0] * layers
    for engine, present in layer_holdings.holding(engines, held):
        factor = engine.step_factor
        for layer in layer_holdings.within(present, layers):
            copies[layer] += 1
            counts[layer] += present.count
            if factor < fastest[layer]:
                fastest[layer], second[layer] = factor, fastest[layer]
            elif factor < second[layer]:
                second[layer] = factor
    slowest = heapq.nlargest(2, (e.step_factor for e in engines))
    return LayerHolders(fastest, second, copies, counts, tuple(slowest))


def layer_factors(
    engines: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[float]:
    """Returns each layer's step factor on its fastest holder."""
    return layer_holders(engines, held, layers).fastest


def placed_empty(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> model_layers.LayerRange | None:
    """Returns the range that an empty engine should hold, if any fits."""
    holders = layer_holders(group, held, spec.layers)
    return _placed(holders, engine, spec, _gains(holders, engine))


def second_copy(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> model_layers.LayerRange | None:
    """Returns the range where a second copy spares the longest holes."""
    holders = layer_holders(group, held, spec.layers)
    return _best_copied(_copy_values(holders), engine, spec)


@dataclasses.dataclass(frozen=True, slots=True)
class _Standby:
    """A standby engine.

    Attributes:
        present: What it holds.
        others: Who holds each layer without it.
    """

    engine: layer_holdings.PlannedEngine
    present: model_layers.LayerRange
    others: LayerHolders


def improved(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> tuple[str, model_layers.LayerRange] | None:
    """Returns a standby engine that should hold something else, and what.

    Nothing that only it holds is given up.
    """
    holders = layer_holders(group, held, spec.layers)
    known = [
        _Standby(engine, present, holders.without(engine, present))
        for engine, present in _standby_layers(group, held, spec.layers)
    ]
    change = _promoted(known, sum(holders.fastest), spec)
    return change or _spread(known, spec)


def _promoted(
    known: Sequence[_Standby], total: float, spec: engine_specs.EngineSpec
) -> tuple[str, model_layers.LayerRange] | None:
    """Returns a standby engine that should carry, and what it should hold.

    After an engine is lost for good, a slow second copy carries its layers.
    A faster engine that stands by elsewhere takes its place.

    Args:
        known: The standbys.
        total: Sum over all layers of the fastest holder's step factor.
        spec: Figures of the model.
    """
    for standby in known:
        engine, others = standby.engine, standby.others
        gains = _gains(others, engine)
        # Most could gain too little anywhere; the place is looked for, which
        # takes longer than all before, only for the rest.
        if sum(gains) < MIN_GAIN * total * ROUNDING:
            continue
        found = _placed(others, engine, spec, gains)
        if found is None or found == standby.present:
            continue
        if sum(gains[found.start : found.end]) >= MIN_GAIN * total:
            return engine.instance, found
    return None


def _spread(
    known: Sequence[_Standby], spec: engine_specs.EngineSpec
) -> tuple[str, model_layers.LayerRange] | None:
    """Returns a standby engine that is worth more elsewhere, and where.

    Engines that filled a hole stay with the few layers that it needed, and
    others gather beside what is held twice already.
    """
    for standby in known:
        present = standby.present
        values = _copy_values(standby.others)
        found = _best_copied(values, standby.engine, spec)
        if found is None:
            continue
        worth = sum(values[present.start : present.end])
        better = sum(values[found.start : found.end])
        if better > worth * MIN_SPREAD + spec.layers:
            return standby.engine.instance, found
    return None


def standbys(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[layer_holdings.PlannedEngine]:
    """Returns engines whose layers others as fast hold, the fastest first."""
    return [engine for engine, _ in _standby_layers(group, held, layers)]


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
    within = list(map(operator.sub, sums[count:], sums))
    start = within.index(max(within))
    return model_layers.LayerRange(start, start + count)


def _standby_layers(
    group: Sequence[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[tuple[layer_holdings.PlannedEngine, model_layers.LayerRange]]:
    """Returns the standbys, the fastest first, with what they hold.

    An engine that is carrying out an order is none, and may not hold yet what
    others would rely on.
    """
    ready = [e for e in group if not e.is_busy]
    ready.sort(key=lambda e: (e.step_factor, e.instance))
    holders = layer_holders(ready, held, layers)
    found = []
    for engine, present in layer_holdings.holding(ready, held):
        factor = engine.step_factor
        own = layer_holdings.within(present, layers)
        if all(holders.fastest_other(layer, factor) <= factor for layer in own):
            found.append((engine, present))
    return found


def _placed(
    holders: LayerHolders,
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
    gains: list[float],
) -> model_layers.LayerRange | None:
    most = layer_holdings.most_layers(engine, spec, CARRY_SHARE)
    copies = _copy_values(holders)
    if sum(gains) <= 0.0 or most < 1:
        return _best_copied(copies, engine, spec)
    values = [
        gain * GAIN_FIRST + copy
        for gain, copy in zip(gains, copies, strict=True)
    ]
    return best_range(values, most)


def _best_copied(
    values: list[float],
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> model_layers.LayerRange | None:
    most = layer_holdings.most_layers(engine, spec, layer_holdings.EXTEND_SHARE)
    if most < 1:
        return None
    return best_range(values, most)


def _gains(
    holders: LayerHolders, engine: layer_holdings.PlannedEngine
) -> list[float]:
    """Returns what an engine would save at each layer, in step factors.

    A layer that nobody holds counts as slower than the slowest engine, so that
    holes go first without hiding other differences.
    """
    own = engine.step_factor
    slowest = max(holders.slowest, default=own)
    factors = [
        slowest + own if math.isinf(factor) else factor
        for factor in holders.fastest
    ]
    return [factor - own if factor > own else 0.0 for factor in factors]


def _copy_values(holders: LayerHolders) -> list[float]:
    """Returns what one more copy of each layer is worth, in layers to load."""
    layers = float(len(holders.copies))
    return [
        layers
        if not count
        else float(alone)
        if count == 1
        else SECOND_COPY_VALUE / count
        for count, alone in zip(holders.copies, holders.counts, strict=True)
    ]
