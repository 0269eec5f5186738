"""Links of single nodes to engines."""

from __future__ import annotations

import asyncio
from unittest import mock

from almondshift.adapters import http_connections
from tests.soak import layout
from tests.soak import view_pools

ADDRESS = "127.1.2.3:9001"


def test_a_node_connects_to_its_own_links() -> None:
    """Guards against a cut that also cuts nodes that read through its node."""
    pool = http_connections.create_connection_pool()
    asked: list[str] = []

    async def is_listening(address: str, timeout_s: float) -> bool:
        del timeout_s
        asked.append(address)
        return True

    with mock.patch.object(pool, "is_listening", is_listening):
        view_pools.lead_over_links(pool, 3)
        assert asyncio.run(pool.is_listening(ADDRESS, 1.0))
    assert asked == [layout.address_for_node(ADDRESS, 3)]
    assert asked != [ADDRESS]
