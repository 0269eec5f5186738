"""Rebalances the layers of a chain in steps, without giving any up.

After engines were lost, came back or were slow for a time, a zone holds some
layers twice, and others only on one small engine that they fill, or not at all.
Repairs after each loss don't resolve that, and the fullest engine limits the
requests that its whole zone admits. The balanced layout keeps the order of the
engines, so that each loads few layers, and is reached in steps.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.model import layers as model_layers
from almondshift.policy import layer_copies
from almondshift.policy import layer_holdings

if TYPE_CHECKING:
    from almondshift.model import engine_specs

UNBALANCED_SHARE = 0.35
"""A chain is rebalanced when its fullest layer has less than this share of the
memory for requests that a serving chain leaves: that layer limits the requests
that the whole zone admits. An engine that takes over a neighbour's layers, and
is filled to 0.85, stays above it. Rebalancing sooner would load layers, and
refuse requests meanwhile, for too small a gain."""


def _layer_room_mb(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> list[float]:
    """Returns the memory for requests at each layer, in MB per layer."""
    rooms = [0.0] * spec.layers
    for engine, layers in layer_holdings.engines_with_layers(group, held):
        free = engine.memory_mb - layers.count * spec.layer_mb
        for layer in layer_holdings.valid_layers(layers, spec.layers):
            rooms[layer] += max(0.0, free) / layers.count
    return rooms


def _balanced_layers(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> layer_holdings.Holdings:
    """Returns balanced layers in the engines' order; empty if they don't fit.

    The order is that of the layers they hold, so that each loads few layers.
    """
    placed = [(held[e.instance], e) for e in group]
    chain = [
        engine
        for layers, engine in sorted(
            placed,
            key=lambda p: (p[0].start + p[0].end if p[0] else 0, p[1].instance),
        )
        if layers is not None
    ]
    counts = layer_holdings.proportional_counts(
        [e.memory_mb for e in chain],
        [
            layer_holdings.most_layers(
                e, spec, layer_holdings.MAX_WEIGHTS_SHARE
            )
            for e in chain
        ],
        spec.layers,
    )
    if sum(counts) < spec.layers:
        return {}
    targets: layer_holdings.Holdings = {}
    position = 0
    for engine, count in zip(chain, counts, strict=True):
        if count:
            targets[engine.instance] = model_layers.LayerRange(
                position, position + count
            )
        position += count
    return targets


def is_unbalanced(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> bool:
    """Returns whether a chain admits far less than a balanced one would."""
    targets = _balanced_layers(group, held, spec)
    if not targets:
        return False
    wanted: layer_holdings.Holdings = {
        e.instance: targets.get(e.instance) for e in group
    }
    usual = spec.layer_mb * (1.0 / layer_copies.SERVING_WEIGHTS_SHARE - 1.0)
    possible = min(_layer_room_mb(group, wanted, spec))
    present = min(_layer_room_mb(group, held, spec))
    return present < UNBALANCED_SHARE * min(usual, possible)


def rebalance(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
    is_broken: bool,
) -> dict[str, model_layers.LayerRange]:
    """Returns the next orders towards a balanced chain.

    An engine first loads its new layers in addition to the old ones, and gives
    up the old ones in a later plan, when others hold them. It may give them up
    at once only in a chain that lacks layers and so can't serve by itself.
    """
    orders: dict[str, model_layers.LayerRange] = {}
    targets = _balanced_layers(group, held, spec)
    for engine in group:
        present, target = held[engine.instance], targets.get(engine.instance)
        if present is None or target is None or present == target:
            continue
        both = model_layers.LayerRange(
            min(present.start, target.start), max(present.end, target.end)
        )
        fits = both.count <= layer_holdings.most_layers(
            engine, spec, layer_holdings.MAX_WEIGHTS_SHARE
        )
        if fits and both != present:
            orders[engine.instance] = both
        elif is_broken or _may_shrink(held, targets, present, target):
            orders[engine.instance] = target
    return orders


def _may_shrink(
    held: layer_holdings.Holdings,
    targets: layer_holdings.Holdings,
    present: model_layers.LayerRange,
    target: model_layers.LayerRange,
) -> bool:
    """Returns whether layers given up are already held where they should be.

    It is not enough that any other engine holds them: two engines could then
    give up the same layers at once, each relying on the other.
    """
    if not present.covers(target):
        return False
    return all(
        any(
            wanted.start <= layer < wanted.end
            and (current := held[instance]) is not None
            and current.start <= layer < current.end
            for instance, wanted in targets.items()
            if wanted is not None
        )
        for layer in range(present.start, present.end)
    )
