"""Reasons why engines with a stage's layers can't take it over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.policy import ejection

if TYPE_CHECKING:
    from almondshift.model import layers
    from almondshift.policy import topology as topologies


def describe(
    topology: topologies.Topology,
    health: ejection.Ejection,
    target: topologies.Target,
    needed: layers.LayerRange,
    avoided: frozenset[str],
) -> list[str]:
    """Returns a text for each engine that holds some of the layers.

    Args:
        topology: The known endpoints.
        health: Which endpoints are ejected.
        target: Model, version and adapter of the stage.
        needed: Layers of the stage.
        avoided: Endpoints on which the request has failed before.
    """
    found = []
    for name, endpoint in sorted(topology.endpoints.items()):
        held = _holding(endpoint, target, needed)
        if held is not None:
            reason = _reason(endpoint, held, target, health, avoided)
            found.append(f"{name}: {reason}")
    return found


def _holding(
    endpoint: topologies.Endpoint,
    target: topologies.Target,
    needed: layers.LayerRange,
) -> endpoints.Holding | None:
    """Returns a holding with some of the layers, the target's first."""
    holdings = endpoint.report.holdings if endpoint.report else ()
    return min(
        (
            held
            for held in holdings
            if held.model == target.model
            and held.adapter == target.adapter
            and held.layers.intersection(needed) is not None
        ),
        key=lambda held: (held.version != target.version, not held.ready),
        default=None,
    )


def _reason(
    endpoint: topologies.Endpoint,
    held: endpoints.Holding,
    target: topologies.Target,
    health: ejection.Ejection,
    avoided: frozenset[str],
) -> str:
    if held.version != target.version:
        return f"holds version {held.version}"
    if endpoint.leaving:
        return "leaving"
    if _is_draining(endpoint):
        return "draining"
    if endpoint.is_disproved:
        return "refused contrary to its report"
    if not held.ready:
        return "layers not ready"
    if endpoint.name in avoided:
        return "failed before"
    if health.state(endpoint.name) is ejection.State.EJECTED:
        return "ejected"
    return f"usable for {held.layers.start}-{held.layers.end}"


def _is_draining(endpoint: topologies.Endpoint) -> bool:
    report = endpoint.report
    return report is not None and report.role is endpoints.EndpointRole.DRAINING
