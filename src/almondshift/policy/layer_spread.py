"""An even spread of layers over a chain, reached without losing any.

Load pattern: after losses, returns and slow spells a zone holds some layers
twice and others on one small card full of them, or nowhere. What each loss
mends by itself can't get out of there, and the fullest card decides how many
requests its whole zone lets in. The even spread keeps the order of the
engines, so that each loads little, and is approached in steps.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.model import layers as model_layers
from almondshift.policy import layer_copies
from almondshift.policy import layer_holdings

if TYPE_CHECKING:
    from almondshift.model import engine_specs

UNEVEN_SHARE = 0.35
"""A chain is spread anew when its fullest layer has less than this share of
the memory for requests that a carrying chain leaves: that layer decides how
many requests the whole zone lets in. A card filled to 0.85, as one that stands
in for another is, stays above it; spreading sooner would load layers, and
refuse requests meanwhile, for less than it brings."""


def _layer_rooms(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> list[float]:
    """Returns the memory for requests at each layer, in MB a layer."""
    rooms = [0.0] * spec.layers
    for engine, layers in layer_holdings.holding(group, held):
        free = engine.memory_mb - layers.count * spec.layer_mb
        for layer in layer_holdings.within(layers, spec.layers):
            rooms[layer] += max(0.0, free) / layers.count
    return rooms


def _targets(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> layer_holdings.Holdings:
    """Returns an even spread that keeps the engines' order, or nothing.

    The order is that of the layers they hold, so that each loads little.
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
            layer_holdings.most_layers(e, spec, layer_holdings.EXTEND_SHARE)
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


def is_uneven(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
) -> bool:
    """Returns whether a chain lets in much less than an even one would."""
    targets = _targets(group, held, spec)
    if not targets:
        return False
    wanted: layer_holdings.Holdings = {
        e.instance: targets.get(e.instance) for e in group
    }
    usual = spec.layer_mb * (1.0 / layer_copies.CARRY_SHARE - 1.0)
    possible = min(_layer_rooms(group, wanted, spec))
    present = min(_layer_rooms(group, held, spec))
    return present < UNEVEN_SHARE * min(usual, possible)


def rebalanced(
    group: list[layer_holdings.PlannedEngine],
    held: layer_holdings.Holdings,
    spec: engine_specs.EngineSpec,
    is_broken: bool,
) -> dict[str, model_layers.LayerRange]:
    """Returns the next orders towards an even spread.

    An engine first holds its new layers besides the old ones, and gives the
    old ones up in a later plan, when others hold them. Only in a chain that
    lacks layers, and so serves nobody by itself, may it give them up at once.
    """
    orders: dict[str, model_layers.LayerRange] = {}
    targets = _targets(group, held, spec)
    for engine in group:
        present, target = held[engine.instance], targets.get(engine.instance)
        if present is None or target is None or present == target:
            continue
        both = model_layers.LayerRange(
            min(present.start, target.start), max(present.end, target.end)
        )
        fits = both.count <= layer_holdings.most_layers(
            engine, spec, layer_holdings.EXTEND_SHARE
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
    """Returns whether those that should hold what is given up do so already.

    That any other engine holds it is not enough: two could give the same
    layers up at once, each since the other has them.
    """
    if not present.covers(target):
        return False
    return all(
        any(
            wanted.start <= layer < wanted.end
            and (has := held[instance]) is not None
            and has.start <= layer < has.end
            for instance, wanted in targets.items()
            if wanted is not None
        )
        for layer in range(present.start, present.end)
    )
