"""What a node takes an engine for if the node itself is not scheduled."""

from __future__ import annotations

import asyncio
import time
import types
from typing import Any

import pytest

from almondshift.adapters import http_connections
from almondshift.model import registered_engines
from almondshift.platform import engines as platform_engines
from almondshift.policy import engine_tracker
from almondshift.relay import background
from almondshift.relay import engine_questions
from almondshift.relay import link_activity
from tests import asynchronous
from tests.adapters import slow_servers

REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"pace": 1.0}'
PAUSE_LEFT_S = 0.1
"""Rest of the engine's pause when the node's latest query arrives."""


class Node:
    """Queries one engine that it suspects.

    Args:
        address: The engine's address.
    """

    def __init__(self, address: str) -> None:
        self.pool = http_connections.create_connection_pool()
        self.tracker = engine_tracker.EngineTracker()
        self.engine = registered_engines.RegisteredEngine(
            "e1", "model", address, "a", 1, False
        )
        shared: Any = types.SimpleNamespace(
            tracker=self.tracker,
            engines=platform_engines.create_platform_engines(self.pool),
            link=link_activity.LinkActivity(),
            clock=types.SimpleNamespace(monotonic=time.monotonic),
            catalogue=types.SimpleNamespace(engines={"e1": self.engine}),
        )
        moves: Any = None
        self.queries = engine_questions.EngineQueries(
            shared, background.Background(), moves
        )


@pytest.mark.parametrize("blocked_s", [0.3, 0.33, 0.6, 1.0, 1.5])
@asynchronous.run
async def test_an_engine_has_not_ended_because_the_node_was_blocked(
    blocked_s: float,
) -> None:
    """Guards against a node that takes its own delay for an engine's end.

    The engine's pause of ``MAX_PAUSE_S`` ends while the node is blocked, and
    its response arrives before the query's time-out.
    """
    with slow_servers.running_server(REPORT, PAUSE_LEFT_S) as address:
        node = Node(address)
        node.tracker.suspect(
            "e1",
            engine_tracker.Suspicion.UNREACHABLE,
            time.monotonic() + PAUSE_LEFT_S - engine_tracker.MAX_PAUSE_S,
        )
        querying = asyncio.create_task(node.queries.answers(node.engine))
        await asyncio.sleep(0.02)
        time.sleep(blocked_s)
        has_responded = await querying
        node.pool.close()
        assert not node.tracker.seems_ended("e1")
        assert has_responded


@pytest.mark.parametrize("blocked_s", [0.0, 0.5])
@asynchronous.run
async def test_an_engine_has_ended_however_late_the_node_runs(
    blocked_s: float,
) -> None:
    """Guards against streams that wait for an engine without power."""
    with slow_servers.running_server(REPORT, 2.0) as address:
        node = Node(address)
        node.tracker.suspect(
            "e1",
            engine_tracker.Suspicion.UNREACHABLE,
            time.monotonic() - engine_tracker.LAST_SILENT_QUERY_S,
        )
        # The test's process may not be scheduled during one of them.
        for _ in range(3):
            asyncio.get_running_loop().call_later(0.02, time.sleep, blocked_s)
            assert not await node.queries.answers(node.engine)
        node.pool.close()
        assert node.tracker.seems_ended("e1")
