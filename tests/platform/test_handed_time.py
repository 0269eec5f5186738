"""Time for which endpoints may work on requests."""

from __future__ import annotations

import asyncio
import copy
from typing import TYPE_CHECKING
from typing import Any

import pytest

from almondshift.adapters import relay_settings
from almondshift.relay import plain_run
from tests.platform import cut_links
from tests.platform import standin_system as system

if TYPE_CHECKING:
    from tests.platform import standin_engines

TIMEOUT_S = 1.0
"""Time after which nodes end requests; callers wait for longer."""

CALLERS_WAIT_S = 4.0
OBJECTIVE_S = 0.2
SLOW_S = plain_run.SLOW_FACTOR * OBJECTIVE_S + plain_run.LEAVE_MARGIN_S
SLACK_S = 0.5
"""Time beyond what is left that operators tolerate."""


def configuration() -> dict[str, Any]:
    """Returns a configuration whose routes end sooner than callers do."""
    content = copy.deepcopy(system.config(version=2))
    for route in content["routes"]:
        route["timeoutMs"] = int(TIMEOUT_S * 1000)
        route["targetLatencyMs"] = int(OBJECTIVE_S * 1000)
    return content


async def prepare(running: system.StandinSystem) -> None:
    """Waits until all nodes have applied the configuration."""
    running.store.put("op", "config", configuration())
    catalogues = [process.node.catalogue for process in running.nodes]
    await running.until(
        lambda: all(c.config and c.config.version == 2 for c in catalogues)
    )


async def send(running: system.StandinSystem, path: str) -> float:
    """Sends a request to the first node; returns when it was sent."""
    sent_at = asyncio.get_running_loop().time()
    head = system.request(
        path, "r1", X_Deadline_Ms=str(int(CALLERS_WAIT_S * 1000))
    )
    await system.send(running.nodes[0].settings.entry.address, head, b"x")
    return sent_at


def handed_times(engine: standin_engines.StandinEngine) -> list[float]:
    """Returns for how long an engine may work on the requests that it got."""
    return [
        int(fields["X-Deadline-Ms"]) / 1000
        for fields in engine.received_headers
    ]


@pytest.mark.parametrize("path", ["/chat/x", "/once/x", "/look/x"])
@pytest.mark.parametrize("cut", [None, *cut_links.Cut], ids=str)
def test_endpoints_stop_when_their_node_ends_the_request(
    path: str, cut: cut_links.Cut | None
) -> None:
    """Guards against endpoints that are handed more time than is left.

    The node sends the request itself, or a peer does after its links were cut.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2) as running:
            await prepare(running)
            await running.wait_for_peers()
            if cut is not None:
                cut_links.create_cuttable_pool(running.nodes[0]).begin(cut)
            sent_at = await send(running, path)
            ends = [
                at + time_s
                for engine in running.engines.values()
                for at, time_s in zip(
                    engine.arrivals, handed_times(engine), strict=True
                )
            ]
            assert ends or cut is not None
            for end in ends:
                assert end <= sent_at + TIMEOUT_S + SLACK_S

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("path", "endpoints", "allowance", "is_shorter"),
    [
        pytest.param("/look/x", 2, 100.0, True, id="sent elsewhere"),
        pytest.param("/look/x", 1, 100.0, False, id="no other endpoint"),
        pytest.param("/look/x", 2, 0.0, False, id="no retry budget"),
        pytest.param("/once/x", 2, 100.0, False, id="not repeatable"),
    ],
)
def test_an_endpoint_stops_when_the_request_would_be_sent_elsewhere(
    path: str, endpoints: int, allowance: float, is_shorter: bool
) -> None:
    """Guards against two endpoints that work on a request for long.

    A silent endpoint reads it after another one was sent it.
    """
    repeats = relay_settings.RepeatsSection(0.0, 10.0, allowance)

    async def scenario() -> None:
        async with system.running_system(
            zones="ab"[:endpoints], repeats=repeats
        ) as running:
            await prepare(running)
            await send(running, path)
            [time_s] = [
                time_s
                for engine in running.engines.values()
                for time_s in handed_times(engine)
            ]
            assert time_s <= (SLOW_S if is_shorter else TIMEOUT_S)
            assert is_shorter or time_s > SLOW_S

    asyncio.run(scenario())
