"""Status of a relay node for operators, as a JSON object."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from almondshift.model import registered_engines
    from almondshift.relay import application


def describe(node: application.RelayNode) -> dict[str, Any]:
    """Returns the status of a node, its peers and its endpoints."""
    shared = node.shared
    now = shared.clock.monotonic()
    config = node.catalogue.config
    grant = node.keeper.lease.grant()
    strikes = shared.crash_watch.strikes
    return {
        "node": node.settings.node.name,
        "zone": node.settings.node.zone,
        "drain": {
            "leaving": node.gateway.leaving,
            "in_flight": len(shared.running),
        },
        "config": {
            "version": config.version if config else 0,
            "verified": node.config_watch.outage_since is None,
            "age_s": round(node.config_watch.age_s(), 2),
        },
        "lease": {
            "holder": node.settings.node.name if grant else None,
            "fencing": grant.fencing if grant else None,
        },
        "nodes": _node_rows(node),
        "endpoints": [
            _endpoint_row(node, engine, now)
            for _, engine in sorted(node.catalogue.engines.items())
        ],
        "services": _service_rows(node, now),
        "quarantine": [
            {"fingerprint": fingerprint, "strikes": len(known)}
            for fingerprint, known in strikes.strikes.items()
            if strikes.is_refused(fingerprint, now)
        ],
        "refused_parts": [
            {"part": part, "age_s": round(now - at, 1)}
            for part, at in shared.crash_watch.parts.strikes.refused.items()
        ],
    }


def _node_rows(node: application.RelayNode) -> list[dict[str, Any]]:
    """Returns all nodes.

    Without entry addresses: those are for callers, and status requests are not
    served there.
    """
    own = node.settings.node
    rows = [{"name": own.name, "zone": own.zone, "state": "alive"}]
    if node.group is not None:
        rows += [
            {"name": p.name, "zone": p.zone, "state": p.state.value}
            for p in node.group.members.peers()
        ]
    return rows


def _endpoint_row(
    node: application.RelayNode,
    engine: registered_engines.RegisteredEngine,
    now: float,
) -> dict[str, Any]:
    tracker = node.shared.tracker
    state = tracker.states.get(engine.instance)
    limit = node.shared.limits.known.get(engine.instance)
    layers = engine.layers
    return {
        "name": engine.instance,
        "service": engine.service,
        "kind": engine.kind,
        "zone": engine.zone,
        "leaving": engine.leaving,
        "layers": f"{layers.start}-{layers.end}" if layers else "",
        "suspect": state.reason if state and state.reason else "",
        "pace": round(tracker.pace(engine.instance, now), 1),
        "backoff_s": round(
            tracker.shortest_backoff_s([engine.instance], now), 1
        ),
        "limit_per_s": limit.per_s if limit else None,
        "own_requests": state.running if state else 0,
    }


def _service_rows(
    node: application.RelayNode, now: float
) -> list[dict[str, Any]]:
    config = node.catalogue.config
    rows = []
    for name in sorted(config.services if config else {}):
        view = node.catalogue.view(name)
        if view is None:
            ready = bool(node.catalogue.of_service(name))
        else:
            ready = node.shared.paths.choose(view, 1.0, now) is not None
        rows.append({"name": name, "ready": ready})
    return rows
