"""Upper bound on the tokens per second that the hardware allows.

This is the reference for throughput. Without it, a figure of tokens per second
doesn't show whether the router or the hardware is the limit.

A token passes through engines that cover every layer once and in order. The
bound is therefore a maximum flow from the first layer to the last through
engines, whose capacity is their rate with full batches, and over the links
between availability zones.

The rate of an engine is that for all layers it holds. Where ranges overlap, a
request may use fewer layers of an engine, which is then slightly faster than
counted. The bound is exact if ranges meet without overlap.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import networkx

from almondshift.policy import engine_rates

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import endpoints
    from almondshift.model import fleet
    from almondshift.model import layers

_SOURCE = "source"
_SINK = "sink"


@dataclasses.dataclass(frozen=True, slots=True)
class FlowEngine:
    """An engine and the layers of one model that it holds."""

    description: endpoints.EndpointDescription
    layers: layers.LayerRange
    zone: str = ""


def bound_tokens_per_s(
    engines: Iterable[FlowEngine],
    layer_count: int,
    links: Iterable[fleet.Link] = (),
    activation_bytes: int = 0,
) -> float:
    """Returns the maximum flow of tokens through all layers.

    Args:
        engines: Engines that hold the same version of the model.
        layer_count: Number of layers of the model.
        links: Links between availability zones; a pair without a link is
            unlimited.
        activation_bytes: Bytes of one position between two stages; 0 if
            links are no limit.

    Returns:
        Tokens per second, including prompt tokens; 0.0 without a complete
        chain.
    """
    held = list(engines)
    graph: networkx.DiGraph[object] = networkx.DiGraph()
    graph.add_nodes_from([_SOURCE, _SINK])
    zones = sorted({engine.zone for engine in held})
    ends = {0} | {engine.layers.end for engine in held}
    for zone in zones:
        graph.add_edge(_SOURCE, (0, zone))
        graph.add_edge((layer_count, zone), _SINK)
    for engine in held:
        _add_engine(graph, engine, ends)
    limits = _link_limits(links, activation_bytes)
    for position in sorted(ends - {0, layer_count}):
        _add_links(graph, position, zones, limits)
    return float(networkx.maximum_flow_value(graph, _SOURCE, _SINK))


def _add_engine(
    graph: networkx.DiGraph[object], engine: FlowEngine, ends: set[int]
) -> None:
    """Adds an engine as two nodes joined by an edge with its capacity."""
    name = engine.description.name
    span = engine.layers
    rate = engine_rates.tokens_per_s(engine.description, span.count)
    graph.add_edge(("in", name), ("out", name), capacity=rate)
    for position in ends:
        if span.start <= position < span.end:
            graph.add_edge((position, engine.zone), ("in", name))
    graph.add_edge(("out", name), (span.end, engine.zone))


def _add_links(
    graph: networkx.DiGraph[object],
    position: int,
    zones: list[str],
    limits: dict[frozenset[str], float],
) -> None:
    for origin in zones:
        for other in zones:
            if origin == other:
                continue
            edge = ((position, origin), (position, other))
            limit = limits.get(frozenset((origin, other)))
            if limit is None:
                graph.add_edge(*edge)
            else:
                graph.add_edge(*edge, capacity=limit)


def _link_limits(
    links: Iterable[fleet.Link], activation_bytes: int
) -> dict[frozenset[str], float]:
    if activation_bytes <= 0:
        return {}
    return {
        frozenset((link.zone_a, link.zone_b)): (
            link.bytes_per_s / activation_bytes
        )
        for link in links
    }
