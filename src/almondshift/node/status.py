"""Describes a node for operators, as a JSON object."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from almondshift.coordination import peer_types
    from almondshift.model import endpoints
    from almondshift.node import application
    from almondshift.node import directory


def describe(node: application.Node) -> dict[str, Any]:
    """Returns the state of a node and its view of peers and endpoints."""
    current = node.config.current
    grant = node.lease.grant()
    return {
        "node": node.settings.name,
        "zone": node.settings.zone,
        "drain": dict(node.drain.status()),
        "config": {
            "version": current.version if current else 0,
            "verified": current.verified if current else False,
        },
        "lease": {
            "holder": node.settings.name if grant else None,
            "fencing": grant.fencing if grant else None,
            "notes": list(node.reconciler.notes) if grant else [],
        },
        "nodes": [
            _node_row(node),
            *(_peer_row(peer) for peer in node.membership.peers()),
        ],
        "endpoints": [
            _endpoint_row(node.directory, name, known)
            for name, known in sorted(node.directory.endpoints.items())
        ],
        "services": _service_rows(node),
        "quarantine": node.quarantine.snapshot(),
    }


def _node_row(node: application.Node) -> dict[str, Any]:
    return {
        "name": node.settings.name,
        "entry": node.entry_address,
        "zone": node.settings.zone,
        "state": "alive" if node.drain.is_listed else "leaving",
    }


def _peer_row(peer: peer_types.PeerInfo) -> dict[str, Any]:
    return {
        "name": peer.name,
        "entry": peer.entry_address,
        "zone": peer.zone,
        "state": peer.state.value,
    }


def _endpoint_row(
    endpoint_directory: directory.Directory,
    name: str,
    known: directory.Endpoint,
) -> dict[str, Any]:
    holdings = known.report.holdings if known.report else ()
    return {
        "name": name,
        "kind": known.vm.kind.value,
        "zone": known.vm.zone,
        "leaving": endpoint_directory.is_leaving(name),
        "sessions": known.report.sessions if known.report else None,
        "holdings": [_holding_row(held) for held in holdings],
    }


def _holding_row(held: endpoints.Holding) -> dict[str, Any]:
    return {
        "model": held.model,
        "version": held.version,
        "adapter": held.adapter,
        "layers": f"{held.layers.start}-{held.layers.end}",
        "ready": held.ready,
    }


def _service_rows(node: application.Node) -> list[dict[str, Any]]:
    services = node.config.value.services if node.config.value else {}
    return [
        {"name": name, "ready": node.driver.router.service_ready(name)}
        for name in sorted(services)
    ]
