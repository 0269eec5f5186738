"""Which layers each engine should hold.

Load pattern: cards of mixed memory, none of which holds the model; requests
need memory beside the weights; engines die and come back empty. Filling each
card with layers leaves no memory for requests: a trial of that layout served
0.49 of a calm day, one chain in each zone over all its cards 0.999. So a
zone holds few copies, with parts in proportion to memory, and what is free
serves requests and lets neighbours take over a dead engine's layers: that
loads only the added share, for a twelfth of the model about a second.

Grounds for the figures stand with them. The plan is a function of what
engines report, so whoever runs it continues what another began.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from almondshift.model import layers as model_layers
from almondshift.policy import layer_holdings
from almondshift.policy import layer_spread

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import engine_specs

WEIGHTS_SHARE = 0.42
"""Share of a zone's memory that weights may take when chains are counted.
Two copies in the smallest zone of a fleet with 338 to 439 GB a zone and a
model of 140 GB left memory for 31,000 tokens and served 0.74 (trial)."""

NEW_SHARE = 0.55
"""Share of a card that layers take on an engine that came empty."""


SLOW_SHARE = 0.3
"""Slow engines are planned without up to this share of a zone's memory;
beyond it the others could not hold all layers and still serve requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class LayerOrder:
    """An engine should hold these layers."""

    instance: str
    layers: model_layers.LayerRange


def plan_orders(
    engines: Sequence[layer_holdings.PlannedEngine],
    spec: engine_specs.EngineSpec,
) -> list[LayerOrder]:
    """Returns the orders that bring a fleet nearer to whole chains.

    Args:
        engines: Engines that live and take work.
        spec: Figures of the model.
    """
    orders: list[LayerOrder] = []
    for whole in _groups(engines, spec):
        group = _without_slow(whole)
        if all(engine.held is None for engine in group):
            orders += _fresh(group, spec)
        else:
            orders += _mend(group, spec)
    return orders


def _without_slow(
    group: list[layer_holdings.PlannedEngine],
) -> list[layer_holdings.PlannedEngine]:
    """Leaves out slow engines, unless they are too many to do without."""
    memory = sum(e.memory_mb for e in group)
    slow = sum(e.memory_mb for e in group if e.is_slow)
    if slow > SLOW_SHARE * memory:
        return group
    return [e for e in group if not e.is_slow]


def _groups(
    engines: Sequence[layer_holdings.PlannedEngine],
    spec: engine_specs.EngineSpec,
) -> list[list[layer_holdings.PlannedEngine]]:
    """Returns the engines by zone; zones too small for a copy are joined."""
    by_zone: dict[str, list[layer_holdings.PlannedEngine]] = {}
    for engine in sorted(engines, key=lambda e: e.instance):
        by_zone.setdefault(engine.zone, []).append(engine)
    groups: list[list[layer_holdings.PlannedEngine]] = []
    small: list[layer_holdings.PlannedEngine] = []
    for zone in sorted(by_zone):
        group = by_zone[zone]
        if (
            _layers_within(group, spec, layer_holdings.EXTEND_SHARE)
            >= spec.layers
        ):
            groups.append(group)
        else:
            small += group
    if small and (
        not groups
        or _layers_within(small, spec, layer_holdings.EXTEND_SHARE)
        >= spec.layers
    ):
        groups.append(small)
    elif small:
        groups[0] = groups[0] + small
    return groups


def _layers_within(
    engines: Sequence[layer_holdings.PlannedEngine],
    spec: engine_specs.EngineSpec,
    share: float,
) -> int:
    return sum(layer_holdings.most_layers(e, spec, share) for e in engines)


def _fresh(
    group: list[layer_holdings.PlannedEngine], spec: engine_specs.EngineSpec
) -> list[LayerOrder]:
    """Returns whole chains for engines that hold nothing."""
    model_mb = spec.layers * spec.layer_mb
    memory = sum(e.memory_mb for e in group)
    chains = max(1, int(memory * WEIGHTS_SHARE / model_mb))
    dealt: list[list[layer_holdings.PlannedEngine]] = [
        [] for _ in range(chains)
    ]
    ranked = sorted(group, key=lambda e: (-e.memory_mb, e.instance))
    for engine in ranked:
        # The largest go round; later ones even the chains' memory out.
        least = min(dealt, key=lambda chain: sum(e.memory_mb for e in chain))
        least.append(engine)
    orders: list[LayerOrder] = []
    for chain in dealt:
        orders += _spread(_arranged(chain), spec)
    return orders


def _arranged(
    chain: list[layer_holdings.PlannedEngine],
) -> list[layer_holdings.PlannedEngine]:
    """Returns a chain with the largest in the middle, smaller ones outwards.

    So the neighbours of each engine are about its size, and the two can take
    over its layers; at the ends, with one neighbour, stand the smallest.
    """
    ranked = sorted(chain, key=lambda e: (-e.memory_mb, e.instance))
    arranged: collections.deque[layer_holdings.PlannedEngine] = (
        collections.deque()
    )
    for index, engine in enumerate(ranked):
        if index % 2:
            arranged.appendleft(engine)
        else:
            arranged.append(engine)
    return list(arranged)


def _spread(
    chain: list[layer_holdings.PlannedEngine], spec: engine_specs.EngineSpec
) -> list[LayerOrder]:
    """Spreads all layers over a chain, in proportion to memory."""
    counts = layer_holdings.proportional_counts(
        [e.memory_mb for e in chain],
        [layer_holdings.most_layers(e, spec, 1.0) for e in chain],
        spec.layers,
    )
    orders: list[LayerOrder] = []
    position = 0
    for engine, count in zip(chain, counts, strict=True):
        if count == 0:
            continue
        layers = model_layers.LayerRange(position, position + count)
        orders.append(LayerOrder(engine.instance, layers))
        position += count
    return orders


def _mend(
    group: list[layer_holdings.PlannedEngine], spec: engine_specs.EngineSpec
) -> list[LayerOrder]:
    """Fills holes by neighbours, and gives empty engines thin layers."""
    held = {e.instance: e.held for e in group}
    orders: dict[str, model_layers.LayerRange] = {}
    for start, end in _holes(group, held, spec.layers):
        _fill(group, held, orders, start, end, spec)
    for engine in group:
        if held[engine.instance] is not None:
            continue
        layers = _thinnest(group, held, engine, spec)
        if layers is not None:
            held[engine.instance] = layers
            orders[engine.instance] = layers
    if not any(engine.is_busy for engine in group):
        is_broken = bool(_holes(group, held, spec.layers))
        if is_broken or (
            not orders and layer_spread.is_uneven(group, held, spec)
        ):
            orders.update(layer_spread.rebalanced(group, held, spec, is_broken))
    return [LayerOrder(name, layers) for name, layers in orders.items()]


def _holes(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[tuple[int, int]]:
    covered = [False] * layers
    for engine in group:
        present = held[engine.instance]
        if present is None:
            continue
        for layer in range(present.start, min(present.end, layers)):
            covered[layer] = True
    holes: list[tuple[int, int]] = []
    start = 0
    while start < layers:
        if covered[start]:
            start += 1
            continue
        end = start
        while end < layers and not covered[end]:
            end += 1
        holes.append((start, end))
        start = end
    return holes


def _fill(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    orders: dict[str, model_layers.LayerRange],
    start: int,
    end: int,
    spec: engine_specs.EngineSpec,
) -> None:
    """Extends the neighbours on both sides, and fills empty engines between.

    Each takes an even part: the hole is mended when the slowest load ends.
    """
    below = _neighbour(group, held, spec, start, is_below=True)
    above = _neighbour(group, held, spec, end, is_below=False)
    empty = [e for e in group if held[e.instance] is None]
    takers: list[tuple[layer_holdings.PlannedEngine, int]] = []
    if below is not None:
        takers.append(below)
    takers += [
        (e, layer_holdings.most_layers(e, spec, NEW_SHARE)) for e in empty
    ]
    if above is not None:
        takers.append(above)
    counts = layer_holdings.proportional_counts(
        [1.0] * len(takers), [limit for _, limit in takers], end - start
    )
    position = start
    for (engine, _), count in zip(takers, counts, strict=True):
        if count == 0:
            continue
        most = layer_holdings.most_layers(
            engine, spec, layer_holdings.EXTEND_SHARE
        )
        former = held[engine.instance]
        if former is None:
            layers = model_layers.LayerRange(position, position + count)
        elif former.end == start:
            first = max(former.start, start + count - most)
            layers = model_layers.LayerRange(first, start + count)
        else:
            last = min(former.end, end - count + most)
            layers = model_layers.LayerRange(end - count, last)
        held[engine.instance] = layers
        orders[engine.instance] = layers
        position += count


def _neighbour(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
    edge: int,
    is_below: bool,
) -> tuple[layer_holdings.PlannedEngine, int] | None:
    """Returns the neighbour that can take most layers of a hole, and how many.

    It may give up layers at its far side that another engine holds too.
    """
    best: tuple[layer_holdings.PlannedEngine, int] | None = None
    for engine in group:
        layers = held[engine.instance]
        if layers is None or engine.is_busy:
            continue
        if (layers.end if is_below else layers.start) != edge:
            continue
        room = (
            layer_holdings.most_layers(
                engine, spec, layer_holdings.EXTEND_SHARE
            )
            - layers.count
        )
        room += _spare(group, held, engine, layers, at_start=is_below)
        if room > 0 and (best is None or room > best[1]):
            best = (engine, room)
    return best


def _spare(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    layers: model_layers.LayerRange,
    at_start: bool,
) -> int:
    """Returns how many layers at one end of a range others hold for sure."""
    others = [
        held[other.instance]
        for other in group
        if other.instance != engine.instance and not other.is_busy
    ]
    order = range(layers.start, layers.end - 1)
    if not at_start:
        order = range(layers.end - 1, layers.start, -1)
    count = 0
    for layer in order:
        if not any(r and r.start <= layer < r.end for r in others):
            break
        count += 1
    return count


def _thinnest(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> model_layers.LayerRange | None:
    """Returns the range where an engine adds most."""
    count = max(1, layer_holdings.most_layers(engine, spec, NEW_SHARE))
    count = min(count, _fair_count(group, engine, spec))
    if count > layer_holdings.most_layers(engine, spec, 1.0):
        return None
    memory = [0.0] * spec.layers
    for other in group:
        layers = held[other.instance]
        if layers is None:
            continue
        free = other.memory_mb - layers.count * spec.layer_mb
        for layer in range(layers.start, min(layers.end, spec.layers)):
            memory[layer] += max(1.0, free) / layers.count
    worth = [1.0 / max(room, 1.0) for room in memory]
    best_start = max(
        range(spec.layers - count + 1),
        key=lambda start: (sum(worth[start : start + count]), -start),
    )
    return model_layers.LayerRange(best_start, best_start + count)


def _fair_count(
    group: list[layer_holdings.PlannedEngine],
    engine: layer_holdings.PlannedEngine,
    spec: engine_specs.EngineSpec,
) -> int:
    """Returns an engine's share of the layers by memory, at least one."""
    memory = sum(e.memory_mb for e in group)
    return max(1, math.ceil(1.5 * spec.layers * engine.memory_mb / memory))
