"""Requests passed to peers whose configurations differ."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any

import pytest

from almondshift import log_events
from almondshift.platform import decode
from tests.platform import cut_links
from tests.platform import standin_system as system
from tests.platform import test_requests_for_peers as for_peers
from tests.platform import test_whole_system as whole

if TYPE_CHECKING:
    from collections.abc import Callable

PATHS = {"chat": "/chat/x", "once": "/once/x", "look": "/look/x"}
STREAM = {"kind": "streaming", "service": system.MODEL_SERVICE}
PLAIN = {"service": system.PLAIN_SERVICE}
SAFE = {**PLAIN, "kind": "safe"}
UNSAFE = {**PLAIN, "kind": "unsafe"}


def configure(running: system.StandinSystem, node: int, **route: Any) -> None:
    """Gives one node a configuration with another route, of the same name."""
    changed = system.route(prefix=f"/{route['name']}/", **route)
    routes = system.config()["routes"]
    others = [other for other in routes if other["name"] != changed["name"]]
    content = json.dumps(system.config(1, routes=[*others, changed])).encode()
    config = decode.decode_config(content)
    assert config.is_ok()
    running.nodes[node].node.catalogue.config = config.ok


@pytest.mark.parametrize(
    ("name", "here", "at_peer", "allowed"),
    [
        ("once", UNSAFE, {**SAFE, "maxAttempts": 3}, 1),
        ("once", {**UNSAFE, "maxAttempts": 3}, {**SAFE, "maxAttempts": 3}, 1),
        ("once", {**SAFE, "maxAttempts": 3}, UNSAFE, 1),
        ("chat", STREAM, {**STREAM, "canResume": True, "maxAttempts": 3}, 1),
        ("look", {**SAFE, "maxAttempts": 2}, {**SAFE, "maxAttempts": 4}, 2),
        ("look", {**SAFE, "maxAttempts": 4}, {**SAFE, "maxAttempts": 2}, 2),
        ("look", SAFE, {**SAFE, "maxAttempts": 3}, 1),
    ],
)
def test_a_peer_runs_a_request_as_often_as_both_routes_allow(
    name: str, here: dict[str, Any], at_peer: dict[str, Any], allowed: int
) -> None:
    """Guards against an order that a peer repeats by its own configuration.

    Endpoints break the response off after they ran the request. The node and
    its peer don't have the same version of the route.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2, zones="abcd") as running:
            await running.wait_for_peers()
            await for_peers.cut_off(running, [0])
            configure(running, 0, name=name, **here)
            configure(running, 1, name=name, **at_peer)
            for engine in running.engines.values():
                engine.cut_after = 3
                engine.resets = True
            entry = running.nodes[0].settings.entry.address
            head = system.request(PATHS[name], "r1")
            await system.send(entry, head, b"x")
            assert whole.times_run(running, "r1") == allowed

    asyncio.run(scenario())


def peer_requests(running: system.StandinSystem) -> list[str]:
    """Returns a list to which ids are appended that nodes get from nodes."""
    found: list[str] = []

    def record(emit: Callable[[log_events.Event], None]) -> Any:
        def emit_and_record(event: log_events.Event) -> None:
            if isinstance(event, log_events.RequestFromPeer):
                found.append(event.request_id)
            emit(event)

        return emit_and_record

    for process in running.nodes:
        observer = process.node.shared.observer
        observer.emit = record(observer.emit)  # type: ignore[method-assign]
    return found


@pytest.mark.parametrize("nodes", [2, 3])
def test_nodes_with_different_secrets_pass_a_request_on_once(
    nodes: int,
) -> None:
    """Guards against a request that goes to and fro between nodes.

    No node reaches an endpoint, and none knows the others' marks.
    """

    async def scenario() -> None:
        async with system.running_system(nodes, zones="ab") as running:
            await running.wait_for_peers()
            found = peer_requests(running)
            for number, process in enumerate(running.nodes):
                process.node.ports.peer_entries.secret = f"secret-{number}"
                pool = cut_links.create_cuttable_pool(process)
                pool.begin(cut_links.Cut.RESET)
            entry = running.nodes[0].settings.entry.address
            for number in range(6):
                head = system.request("/once/x", f"r{number}")
                status, _, _ = await system.send(entry, head, b"x")
                assert status == 503
                assert found.count(f"r{number}") < nodes
                await asyncio.sleep(0.3)
            assert found

    asyncio.run(scenario())
