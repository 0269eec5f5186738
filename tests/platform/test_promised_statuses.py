"""Endpoints' own failures whose status promises callers that nothing ran."""

from __future__ import annotations

import asyncio

import pytest

from tests.platform import standin_system as system
from tests.platform import test_requests_for_peers as for_peers
from tests.platform import test_whole_system as whole

SIGNATURE = "x-engine-signature"


@pytest.mark.parametrize("via_peer", [False, True], ids=["own", "via peer"])
@pytest.mark.parametrize(
    ("path", "status", "expected"),
    [
        ("/once/x", 200, 200),
        ("/once/x", 408, 502),
        ("/once/x", 429, 502),
        ("/once/x", 503, 502),
        ("/once/x", 500, 500),
        ("/look/x", 429, 429),
        ("/look/x", 503, 503),
    ],
)
def test_an_order_that_ran_is_never_reported_as_not_run(
    path: str, status: int, expected: int, via_peer: bool
) -> None:
    """Guards against a caller who sends an order again since it seems refused.

    Endpoints run the request and respond with a failure of their own, without
    the field that says that it did not run.
    """

    async def scenario() -> None:
        async with system.running_system(1 + via_peer, zones="a") as running:
            if via_peer:
                await running.wait_for_peers()
                await for_peers.cut_off(running, [0])
            running.engines["pa"].status = status
            entry = running.nodes[0].settings.entry.address
            head = system.request(path, "r1")
            found, fields, _ = await system.send(entry, head, b"x")
            assert (found, whole.times_run(running, "r1")) == (expected, 1)
            assert (SIGNATURE in fields) is (expected == status)

    asyncio.run(scenario())


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_an_unsigned_response_is_never_passed_on(status: int) -> None:
    """Guards against bytes of a proxy that callers take for the endpoint's.

    The route allows another attempt, but no other endpoint is left.
    """

    async def scenario() -> None:
        async with system.running_system(zones="a") as running:
            running.engines["pa"].status = status
            running.engines["pa"].signs = False
            entry = running.nodes[0].settings.entry.address
            head = system.request("/look/x", "r1")
            found, _, _ = await system.send(entry, head, b"x")
            assert (found, whole.times_run(running, "r1")) == (502, 1)

    asyncio.run(scenario())
