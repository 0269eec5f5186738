"""Leads a node's connections to endpoints over links of its own.

Nodes of a large group read the registry through each other, so addresses of one
node's links in its rows would reach the others too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.adapters import http_connections
from almondshift.daemons import relay
from tests.soak import layout

if TYPE_CHECKING:
    from collections.abc import Callable


def install(node: int) -> None:
    """Makes the relay connect to a node's links in place of endpoints."""
    create: Callable[..., http_connections.ConnectionPool]
    create = http_connections.create_connection_pool

    def create_pool(
        connect_timeout_s: float = http_connections.CONNECT_TIMEOUT_S,
    ) -> http_connections.ConnectionPool:
        pool = create(connect_timeout_s)
        if connect_timeout_s == relay.ENGINE_CONNECT_TIMEOUT_S:
            lead_over_links(pool, node)
        return pool

    http_connections.create_connection_pool = create_pool


def lead_over_links(pool: http_connections.ConnectionPool, node: int) -> None:
    """Makes a pool connect to the links of a node."""
    call, is_listening = pool.call, pool.is_listening

    def call_link(
        address: str,
        payload: bytes,
        listener: http_connections.CallListener,
        request_id: str = "",
    ) -> http_connections.Call:
        link = layout.address_for_node(address, node)
        return call(link, payload, listener, request_id)

    async def is_link_listening(address: str, timeout_s: float) -> bool | None:
        link = layout.address_for_node(address, node)
        return await is_listening(link, timeout_s)

    pool.call = call_link  # type: ignore[method-assign]
    pool.is_listening = is_link_listening  # type: ignore[method-assign]
