"""Which layers each engine should hold.

Engines differ in speed and memory, and none can hold the whole model; requests
need memory beside the weights; engines die and come back empty. A running
stream is interrupted when its node or an engine of its path dies, so that the
duration of streams determines how many are interrupted. With one chain over all
engines of a zone most layers would run on the slowest ones, and a lost engine
would leave a hole, layers that no engine holds, until they are loaded
elsewhere.

So in each zone the fastest engines that hold the model with memory for requests
form the serving chain, and the others hold second copies of the same layers. A
lost engine is replaced by moving its streams to them, and nothing is loaded.

The plan is a function of what engines report, so that any node can continue
what another one began.

Used by the relay. For nodes that call each engine of a chain themselves, see
``placement``.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import layers as model_layers
from almondshift.policy import layer_copies
from almondshift.policy import layer_holdings
from almondshift.policy import layer_rebalancing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from almondshift.model import engine_specs

MAX_STANDBYS_PER_HOLE = 3
"""Maximum number of standbys that share a hole. Three load their parts in half
a second where one would take a second and a half, but each gives up second
copies."""

SLOW_SHARE = 0.3
"""Slow engines are left out of the plan if they have at most this share of a
zone's memory. If they have more, the others could not hold all layers and still
serve requests."""

UNANSWERED_SHARE = 0.3
"""Engines that did not answer an order are counted only for layers that they
certainly hold, if they have at most this share of a zone's memory. With a
larger share, the cause is more likely the network link of the node that sends
the orders. Besides, the others could not hold all layers, and healthy engines
would load for nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class LayerOrder:
    """The layers that an engine should hold."""

    instance: str
    layers: model_layers.LayerRange


def plan_orders(
    engines: Sequence[layer_holdings.PlannedEngine],
    spec: engine_specs.EngineSpec,
) -> list[LayerOrder]:
    """Returns the orders that bring a fleet closer to complete chains.

    Args:
        engines: Engines that are alive and take work.
        spec: Parameters of the model.
    """
    orders: list[LayerOrder] = []
    for members in _groups(engines, spec):
        fast = _without_slow(members)
        group = _count_unanswered_conservatively(fast)
        if all(engine.held is None for engine in fast):
            orders += _plan_empty_group(group, spec)
        else:
            is_busy = any(engine.is_busy for engine in fast)
            orders += _repair(group, spec, is_busy)
    return orders


def _without_slow(
    group: list[layer_holdings.PlannedEngine],
) -> list[layer_holdings.PlannedEngine]:
    """Leaves out slow engines, unless they hold too much of the memory."""
    memory = sum(e.memory_mb for e in group)
    slow = sum(e.memory_mb for e in group if e.is_slow)
    if slow > SLOW_SHARE * memory:
        return group
    return [e for e in group if not e.is_slow]


def _count_unanswered_conservatively(
    group: list[layer_holdings.PlannedEngine],
) -> list[layer_holdings.PlannedEngine]:
    """Counts engines that did not answer only for layers they certainly hold.

    Such an engine may or may not have carried out its order, and may do so
    seconds later. If the order were assumed to be done, its layers could be
    held by no engine until it answers, and other engines could give up the
    layers that it may have given up. An engine without any certain layers is
    left out.
    """
    memory = sum(e.memory_mb for e in group)
    unanswered = sum(e.memory_mb for e in group if e.is_unanswered)
    if unanswered > UNANSWERED_SHARE * memory:
        return group
    counted = []
    for engine in group:
        if not engine.is_unanswered:
            counted.append(engine)
        elif engine.certain_layers is not None:
            counted.append(
                dataclasses.replace(engine, held=engine.certain_layers)
            )
    return counted


def _groups(
    engines: Sequence[layer_holdings.PlannedEngine],
    spec: engine_specs.EngineSpec,
) -> list[list[layer_holdings.PlannedEngine]]:
    """Returns the engines by zone.

    Zones that are too small for the model are joined. If they are still too
    small together, they are added to the first of the other zones.
    """
    by_zone: dict[str, list[layer_holdings.PlannedEngine]] = {}
    for engine in sorted(engines, key=lambda e: e.instance):
        by_zone.setdefault(engine.zone, []).append(engine)
    groups: list[list[layer_holdings.PlannedEngine]] = []
    small: list[layer_holdings.PlannedEngine] = []
    for zone in sorted(by_zone):
        group = by_zone[zone]
        if (
            _layers_within(group, spec, layer_holdings.MAX_WEIGHTS_SHARE)
            >= spec.layers
        ):
            groups.append(group)
        else:
            small += group
    if small and (
        not groups
        or _layers_within(small, spec, layer_holdings.MAX_WEIGHTS_SHARE)
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


def _plan_empty_group(
    group: list[layer_holdings.PlannedEngine], spec: engine_specs.EngineSpec
) -> list[LayerOrder]:
    """Plans complete chains, the fastest first, and copies on other engines."""
    orders: list[LayerOrder] = []
    chains, rest = split_into_chains(group, spec)
    for chain in chains:
        orders += _assign_layers(_order_by_memory(chain), spec)
    held: layer_holdings.Holdings = {e.instance: None for e in group}
    held.update({order.instance: order.layers for order in orders})
    for engine in rest:
        layers = layer_copies.place_second_copy(group, held, engine, spec)
        if layers is not None:
            held[engine.instance] = layers
            orders.append(LayerOrder(engine.instance, layers))
    return orders


def split_into_chains(
    group: list[layer_holdings.PlannedEngine], spec: engine_specs.EngineSpec
) -> tuple[
    list[list[layer_holdings.PlannedEngine]],
    list[layer_holdings.PlannedEngine],
]:
    """Splits engines into chains, and returns the remaining engines too.

    A chain is complete as soon as its weights leave room for requests; the next
    one consists of slower engines. The last chain may leave less room, since it
    is on standby.
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
        if memory * layer_copies.SERVING_WEIGHTS_SHARE >= model_mb:
            chains.append(chain)
            chain = []
    extended = _layers_within(chain, spec, layer_holdings.MAX_WEIGHTS_SHARE)
    if not chains or extended >= spec.layers:
        return [*chains, chain], []
    return chains, chain


def _order_by_memory(
    chain: list[layer_holdings.PlannedEngine],
) -> list[layer_holdings.PlannedEngine]:
    """Orders a chain with the largest engine in the middle.

    The neighbours of each engine are then about its size and can take over its
    layers. The smallest engines are at the ends, where there is one neighbour.
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


def _assign_layers(
    chain: list[layer_holdings.PlannedEngine], spec: engine_specs.EngineSpec
) -> list[LayerOrder]:
    """Distributes all layers over a chain in proportion to memory."""
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


def _repair(
    group: list[layer_holdings.PlannedEngine],
    spec: engine_specs.EngineSpec,
    is_busy: bool,
) -> list[LayerOrder]:
    """Fills holes and assigns layers to empty engines, or improves the layout.

    Args:
        group: Engines of one or more chains.
        spec: Parameters of the model.
        is_busy: Whether an order is in progress. Its result is not known yet,
            so that held layers are not rearranged meanwhile.
    """
    held = {e.instance: e.held for e in group}
    orders: dict[str, model_layers.LayerRange] = {}
    for start, end in _holes(group, held, spec.layers):
        _fill_hole(group, held, orders, start, end, spec)
    for engine in group:
        if held[engine.instance] is not None:
            continue
        layers = layer_copies.place_empty(group, held, engine, spec)
        if layers is not None:
            held[engine.instance] = layers
            orders[engine.instance] = layers
    if not is_busy:
        is_broken = bool(_holes(group, held, spec.layers))
        if is_broken or (
            not orders and layer_rebalancing.is_unbalanced(group, held, spec)
        ):
            orders.update(
                layer_rebalancing.rebalance(group, held, spec, is_broken)
            )
        elif not orders:
            change = layer_copies.find_better_layers(group, held, spec)
            if change is not None:
                orders[change[0]] = change[1]
    return [LayerOrder(name, layers) for name, layers in orders.items()]


def _holes(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    layers: int,
) -> list[tuple[int, int]]:
    covered = [False] * layers
    for _, present in layer_holdings.engines_with_layers(group, held):
        for layer in layer_holdings.valid_layers(present, layers):
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


def _fill_hole(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    orders: dict[str, model_layers.LayerRange],
    start: int,
    end: int,
    spec: engine_specs.EngineSpec,
) -> None:
    """Fills a hole with empty engines and standbys, or also with neighbours.

    All get equal parts, since the hole is filled when the slowest load ends.
    Neighbours serve streams; if one took more than its share, its memory would
    be full and its zone would refuse requests long after the hole is filled.
    """
    free = [e for e in group if held[e.instance] is None]
    free += layer_copies.spare_standbys(
        group, held, spec.layers, MAX_STANDBYS_PER_HOLE
    )
    free_names = {e.instance for e in free}
    replacements = [
        (
            e,
            layer_holdings.most_layers(
                e, spec, layer_copies.SERVING_WEIGHTS_SHARE
            ),
        )
        for e in free
    ]
    if sum(limit for _, limit in replacements) < end - start:
        below = _neighbour(group, held, spec, start, is_below=True)
        above = _neighbour(group, held, spec, end, is_below=False)
        if below is not None and below[0].instance not in free_names:
            replacements.insert(0, below)
        if above is not None and above[0].instance not in free_names:
            replacements.append(above)
    counts = layer_holdings.proportional_counts(
        [1.0] * len(replacements),
        [limit for _, limit in replacements],
        end - start,
    )
    # The neighbour below the hole is the first of the replacements and the one
    # above it the last, so their parts are adjacent to the layers they hold.
    position = start
    for (engine, _), count in zip(replacements, counts, strict=True):
        if count == 0:
            continue
        most = layer_holdings.most_layers(
            engine, spec, layer_holdings.MAX_WEIGHTS_SHARE
        )
        previous = held[engine.instance]
        if previous is None or engine.instance in free_names:
            layers = model_layers.LayerRange(position, position + count)
        elif previous.end == start:
            first = max(previous.start, start + count - most)
            layers = model_layers.LayerRange(first, start + count)
        else:
            last = min(previous.end, end - count + most)
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

    It may give up layers at its other end that another engine holds too.
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
                engine, spec, layer_holdings.MAX_WEIGHTS_SHARE
            )
            - layers.count
        )
        room += _redundant_layers(
            group, held, engine, layers, at_start=is_below
        )
        if room > 0 and (best is None or room > best[1]):
            best = (engine, room)
    return best


def _redundant_layers(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    engine: layer_holdings.PlannedEngine,
    layers: model_layers.LayerRange,
    at_start: bool,
) -> int:
    """Returns how many layers at one end of a range others certainly hold."""
    others = [
        held[other.instance]
        for other in group
        if other.instance != engine.instance and not other.is_busy
    ]
    # At least one layer of the range is kept.
    order = range(layers.start, layers.end - 1)
    if not at_start:
        order = range(layers.end - 1, layers.start, -1)
    count = 0
    for layer in order:
        if not any(r and r.start <= layer < r.end for r in others):
            break
        count += 1
    return count
