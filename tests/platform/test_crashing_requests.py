"""A request that crashes every endpoint that runs it, sent repeatedly."""

from __future__ import annotations

import asyncio
import json

import pytest

from almondshift.policy import crash_strikes
from tests.platform import standin_system as system

CRASHING_BODY = b"crashes"


async def send_request(
    running: system.StandinSystem, path: str, request_id: str, node: int
) -> tuple[int, dict[str, str], bytes]:
    entry = running.nodes[node].settings.entry.address
    body = CRASHING_BODY if request_id.startswith("bad") else b"fine"
    return await system.send(entry, system.request(path, request_id), body)


def times_run(running: system.StandinSystem, request_id: str) -> int:
    return sum(e.ran.count(request_id) for e in running.engines.values())


def crashed(running: system.StandinSystem) -> list[str]:
    return [e.instance for e in running.engines.values() if e.ran and e.is_dead]


def make_endpoints_crash(running: system.StandinSystem) -> None:
    """Makes each endpoint crash on the request and leave the registry."""
    for engine in running.engines.values():
        engine.crashing_body = CRASHING_BODY

        def crash(
            engine: system.standin_engines.StandinEngine = engine,
        ) -> None:
            engine.is_dead = True
            running.store.remove("servers", engine.instance)

        engine.on_crash = crash


@pytest.mark.parametrize("path", ["/once/x", "/chat/x"])
def test_no_more_endpoints_crash_after_the_third(path: str) -> None:
    """Guards against a repeated request that crashes many endpoints.

    It is sent to two nodes in turn. After three lost endpoints both nodes
    refuse it as not run, and still serve other requests.
    """

    async def scenario() -> None:
        async with system.running_system(nodes=2, zones="ab") as running:
            for index in range(5):
                await running.add_engine(f"q{index}", system.PLAIN_SERVICE, "a")
            await running.until(
                lambda: all(
                    process.node.group is not None
                    and process.node.group.serving()
                    and "q4" in process.node.catalogue.engines
                    for process in running.nodes
                )
            )
            make_endpoints_crash(running)
            number = 0
            while len(crashed(running)) < crash_strikes.MAX_STRIKES:
                status, _, _ = await send_request(
                    running, path, f"bad{number}", number % 2
                )
                assert status in (0, 502, 503)
                number += 1
                gone = crashed(running)
                await running.until(
                    lambda gone=gone: (
                        not any(
                            name in process.node.catalogue.engines
                            for process in running.nodes
                            for name in gone
                        )
                    )
                )
            lost = len(crashed(running))
            await running.until(
                lambda: all(
                    any(
                        len(known) >= crash_strikes.MAX_STRIKES
                        for known in (
                            process.node.shared.crash_watch.strikes.strikes.values()
                        )
                    )
                    for process in running.nodes
                )
            )
            for node in (0, 1):
                for again in range(3):
                    request_id = f"bad-{node}-{again}"
                    response = await send_request(
                        running, path, request_id, node
                    )
                    assert response[0] == 503
                    assert (
                        json.loads(response[2])["kind"] == "crashes_endpoints"
                    )
                    assert float(response[1]["retry-after"]) > 1
                    assert times_run(running, request_id) == 0
            assert len(crashed(running)) == lost
            assert (await send_request(running, "/once/x", "good", 0))[0] == 200

    asyncio.run(scenario())
