"""Which layers each engine should hold.

Load pattern: cards of mixed speed and memory, none of which holds the model;
requests need memory beside the weights; engines die and come back empty. Each
stream that is under way is struck when an engine of its path dies or its node
does, so what a stream takes decides how many are struck. With one chain over
all cards of a zone most layers run on the slowest ones, and a lost engine
leaves a hole until its layers are loaded elsewhere.

So in each zone the fastest cards that hold the model with memory for requests
carry the streams, and the others hold second copies of the same layers: a lost
engine is replaced by moving streams to them, without any load.

Grounds for the figures stand with them. The plan is a function of what
engines report, so whoever runs it continues what another began.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import layers as model_layers
from almondshift.policy import layer_copies
from almondshift.policy import layer_holdings
from almondshift.policy import layer_spread

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import engine_specs

MAX_TAKERS = 3
"""Standbys that share a hole: three parts load in half a second where one
engine would take a second and a half, and each leaves second copies behind."""

SLOW_SHARE = 0.3
"""Slow engines are planned without up to this share of a zone's memory;
beyond it the others could not hold all layers and still serve requests."""

UNANSWERED_SHARE = 0.3
"""Engines that left an order without an answer are planned without up to this
share of a zone's memory. Beyond it the others could not hold all layers, and it
is rather the link of the node that gives the orders than the engines: all that
are well would load for nothing."""


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
        quick = _without_slow(whole)
        group = _without_unanswered(quick)
        if all(engine.held is None for engine in quick):
            orders += _fresh(group, spec)
        else:
            is_busy = any(engine.is_busy for engine in quick)
            orders += _mend(group, spec, is_busy)
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


def _without_unanswered(
    group: list[layer_holdings.PlannedEngine],
) -> list[layer_holdings.PlannedEngine]:
    """Counts on engines that did not answer only for what they hold for sure.

    One that says nothing may have taken its order or not, and may take it
    seconds later. Counted as obedient, it left its layers without any holder
    until it answered; what it may have given up could be given up by others.
    """
    memory = sum(e.memory_mb for e in group)
    unanswered = sum(e.memory_mb for e in group if e.is_unanswered)
    if unanswered > UNANSWERED_SHARE * memory:
        return group
    counted = []
    for engine in group:
        if not engine.is_unanswered:
            counted.append(engine)
        elif engine.certain is not None:
            counted.append(dataclasses.replace(engine, held=engine.certain))
    return counted


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
    """Returns whole chains, the fastest first, and copies on what is left."""
    orders: list[LayerOrder] = []
    chains, rest = dealt(group, spec)
    for chain in chains:
        orders += _spread(_arranged(chain), spec)
    held: layer_holdings.Holdings = {e.instance: None for e in group}
    held.update({order.instance: order.layers for order in orders})
    for engine in rest:
        layers = layer_copies.second_copy(group, held, engine, spec)
        if layers is not None:
            held[engine.instance] = layers
            orders.append(LayerOrder(engine.instance, layers))
    return orders


def dealt(
    group: list[layer_holdings.PlannedEngine], spec: engine_specs.EngineSpec
) -> tuple[
    list[list[layer_holdings.PlannedEngine]],
    list[layer_holdings.PlannedEngine],
]:
    """Returns the engines dealt into chains, and those that make none.

    A chain is closed as soon as its weights leave room for requests; the next
    one is made of what is slower. The last one may be fuller: it stands by.
    """
    model_mb = spec.layers * spec.layer_mb
    chains: list[list[layer_holdings.PlannedEngine]] = []
    chain: list[layer_holdings.PlannedEngine] = []
    ranked = sorted(
        group, key=lambda e: (e.step_factor, -e.memory_mb, e.instance)
    )
    for engine in ranked:
        chain.append(engine)
        memory = sum(e.memory_mb for e in chain)
        if memory * layer_copies.CARRY_SHARE >= model_mb:
            chains.append(chain)
            chain = []
    extended = _layers_within(chain, spec, layer_holdings.EXTEND_SHARE)
    if not chains or extended >= spec.layers:
        return [*chains, chain], []
    return chains, chain


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
    group: list[layer_holdings.PlannedEngine],
    spec: engine_specs.EngineSpec,
    is_busy: bool,
) -> list[LayerOrder]:
    """Fills holes, places empty engines, and else improves what is held.

    Args:
        group: Engines of a chain or more.
        spec: Figures of the model.
        is_busy: Whether an order is under way. What it brings is not known
            yet, so that nothing but holes is mended meanwhile.
    """
    held = {e.instance: e.held for e in group}
    orders: dict[str, model_layers.LayerRange] = {}
    for start, end in _holes(group, held, spec.layers):
        _fill(group, held, orders, start, end, spec)
    for engine in group:
        if held[engine.instance] is not None:
            continue
        layers = layer_copies.placed_empty(group, held, engine, spec)
        if layers is not None:
            held[engine.instance] = layers
            orders[engine.instance] = layers
    if not is_busy:
        is_broken = bool(_holes(group, held, spec.layers))
        if is_broken or (
            not orders and layer_spread.is_uneven(group, held, spec)
        ):
            orders.update(layer_spread.rebalanced(group, held, spec, is_broken))
        elif not orders:
            change = layer_copies.improved(group, held, spec)
            if change is not None:
                orders[change[0]] = change[1]
    return [LayerOrder(name, layers) for name, layers in orders.items()]


def _holes(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[tuple[int, int]]:
    covered = [False] * layers
    for _, present in layer_holdings.holding(group, held):
        for layer in layer_holdings.within(present, layers):
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
    """Fills a hole with empty engines and standbys, else with neighbours.

    Each takes an even part: the hole is mended when the slowest load ends.
    Neighbours carry streams; one that takes more than its share fills up, and
    its zone then refuses requests for long after the hole is mended.
    """
    free = [e for e in group if held[e.instance] is None]
    free += layer_copies.spare_standbys(group, held, spec.layers, MAX_TAKERS)
    free_names = {e.instance for e in free}
    takers = [
        (e, layer_holdings.most_layers(e, spec, layer_copies.CARRY_SHARE))
        for e in free
    ]
    if sum(limit for _, limit in takers) < end - start:
        below = _neighbour(group, held, spec, start, is_below=True)
        above = _neighbour(group, held, spec, end, is_below=False)
        if below is not None and below[0].instance not in free_names:
            takers.insert(0, below)
        if above is not None and above[0].instance not in free_names:
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
        if former is None or engine.instance in free_names:
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
