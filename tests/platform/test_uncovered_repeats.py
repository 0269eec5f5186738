"""Requests that have reached an endpoint, on nodes without retry budget."""

from __future__ import annotations

import asyncio

import pytest

from almondshift.policy import repeat_budget
from almondshift.relay import group
from tests.platform import standin_engines
from tests.platform import standin_system as system

FAILED_LINKS = 3
SERVICE_BY_PATH = {
    "/once/x": system.PLAIN_SERVICE,
    "/look/x": system.PLAIN_SERVICE,
    "/chat/x": system.MODEL_SERVICE,
}


def empty_retry_budgets(running: system.StandinSystem) -> None:
    """Empties the retry budgets of all nodes."""
    for process in running.nodes:
        budget = process.node.shared.budget
        budget.limits = repeat_budget.RepeatLimits(0.0, 10.0, 0.0)


def let_engines_fail(
    running: system.StandinSystem, fault: standin_engines.RequestFault
) -> None:
    """Makes all engines refuse or reset each request."""
    for engine in running.engines.values():
        engine.draw_fault = lambda: fault


def times_arrived(running: system.StandinSystem, request_id: str) -> int:
    """Returns how often a request has reached any engine."""
    return sum(
        engine.arrived_ids.count(request_id)
        for engine in running.engines.values()
    )


def uncovered_repeats(running: system.StandinSystem) -> float:
    """Returns how many repeats the nodes counted that no budget covers."""
    counters = [
        process.node.shared.observer.repeats.labels("none")
        for process in running.nodes
    ]
    return sum(counter._value.get() for counter in counters)


@pytest.mark.parametrize("path", SERVICE_BY_PATH)
def test_a_refused_request_is_passed_to_a_peer_within_the_budget(
    path: str,
) -> None:
    """Guards against peers that repeat what this node may not repeat.

    Connections to several endpoints of the node have just failed, so that
    peers may reach more of them.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            empty_retry_budgets(running)
            let_engines_fail(running, standin_engines.RequestFault.REFUSE)
            links = running.nodes[0].node.shared.links.of(SERVICE_BY_PATH[path])
            for number in range(FAILED_LINKS):
                now = asyncio.get_running_loop().time()
                links.note_failure(f"failed-{number}", now)
            entry = running.nodes[0].settings.entry.address
            head = system.request(path, "r1")
            status, fields, _ = await system.send(entry, head, b"x")
            assert (status, "retry-after" in fields) == (503, True)
            assert times_arrived(running, "r1") == 1
            assert uncovered_repeats(running) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/look/x", "/chat/x"])
def test_a_request_that_waits_for_endpoints_is_sent_within_the_budget(
    path: str,
) -> None:
    """Guards against repeats by nodes whose links seem cut for a moment.

    The first peer has lost the request's connection to an endpoint, and this
    node has no budget to have another one repeat it.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=3) as running:
            await running.wait_for_peers()
            empty_retry_budgets(running)
            let_engines_fail(running, standin_engines.RequestFault.RESET)
            links = running.nodes[0].node.shared.links.of(SERVICE_BY_PATH[path])
            now = asyncio.get_running_loop().time()
            links.note_response(now)
            links.isolated_since = now
            entry = running.nodes[0].settings.entry.address
            head = system.request(path, "r1")
            status, _, _ = await system.send(entry, head, b"x")
            assert status == 502
            assert times_arrived(running, "r1") == 1
            assert uncovered_repeats(running) == 0

    asyncio.run(scenario())


def test_a_node_that_has_read_no_node_rows_uses_no_allowance() -> None:
    """Guards against nodes that take themselves for the only one.

    The store refuses to list the nodes to one that starts.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await running.wait_for_peers()
            running.store.faults.unread_tables.add(group.TABLE)
            process = await running.add_node()
            budget = process.node.shared.budget
            await running.until(lambda: process.node.group is not None)
            for _ in range(20):
                assert budget.nodes in (0, 3)
                await asyncio.sleep(0.05)
            running.store.faults.unread_tables.clear()
            await running.until(lambda: budget.nodes == 3)

    asyncio.run(scenario())


def test_a_node_that_starts_counts_nodes_on_all_pages_of_their_list() -> None:
    """Guards against nodes that divide the allowance by too few nodes.

    The store responds with two rows at a time.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=4) as running:
            await running.wait_for_peers()
            running.store.faults.page_rows = 2
            process = await running.add_node()
            budget = process.node.shared.budget
            await running.until(lambda: budget.nodes > 0)
            assert budget.nodes == 5

    asyncio.run(scenario())
