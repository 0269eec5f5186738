"""Prompts with a part that crashes each endpoint which begins to answer it.

No two of the requests are alike. Sound ones share their client account, the
first part of their prompts and their route.
"""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from tests.platform import crashing_endpoints
from tests.platform import standin_system as system

BAD_PART = "bad0bad0"
FIRST_PART = "f1257f12"

ENDPOINTS = 60
INTERVAL_S = 0.125
SECONDS = 14.0

MAX_CRASHES = 5
LATE_S = 3.0
MAX_LATE_SENDS = 3
"""The stated target: at most this many requests with the part reach endpoints
that were sent later than ``LATE_S`` after the fifth crash."""

SETTLED_S = 2 * LATE_S
"""Time after the fifth crash from which sound requests are served again."""

MIN_SERVED_SHARE = 0.5


@dataclasses.dataclass
class Sent:
    """A request, and what its caller got."""

    request_id: str
    at: float
    is_bad: bool
    status: int = 0
    body: bytes = b""


async def send_one(address: str, path: str, sent: Sent) -> None:
    number = sent.request_id.partition("-")[2]
    middle = f"{BAD_PART}:20," if sent.is_bad else ""
    head = system.request(
        path,
        sent.request_id,
        X_Prompt_Prefix=f"{FIRST_PART}:40,{middle}{int(number):08x}:40",
    )
    answer = await system.send(address, head, sent.request_id.encode())
    sent.status, _, sent.body = answer


async def send_mixed(running: system.StandinSystem, path: str) -> list[Sent]:
    """Sends requests to the nodes in turn; every third has the bad part."""
    loop = asyncio.get_running_loop()
    until = loop.time() + SECONDS
    all_sent: list[Sent] = []
    async with asyncio.TaskGroup() as tasks:
        while loop.time() < until:
            number = len(all_sent)
            sent = Sent(f"r-{number}", loop.time(), number % 3 == 2)
            all_sent.append(sent)
            node = running.nodes[number // 3 % len(running.nodes)]
            address = node.settings.entry.address
            tasks.create_task(send_one(address, path, sent))
            await asyncio.sleep(INTERVAL_S)
    return all_sent


def arrivals(running: system.StandinSystem, request_id: str) -> int:
    """Returns how often a request reached an endpoint."""
    return sum(
        fields["X-Request-Id"] == request_id
        for engine in running.engines.values()
        for fields in engine.received_headers
    )


@pytest.mark.parametrize("path", ["/once/x", "/look/x", "/chat/x"])
def test_a_part_that_crashes_endpoints_is_refused(path: str) -> None:
    """Guards against different requests that crash endpoints by one part."""

    async def scenario() -> None:
        async with system.running_system(nodes=3, zones="abc") as running:
            await running.wait_for_peers()
            for index in range(ENDPOINTS):
                await running.add_engine(f"q{index}", system.PLAIN_SERVICE, "a")
            await running.until(
                lambda: all(
                    len(process.node.catalogue.engines) == len(running.engines)
                    for process in running.nodes
                )
            )
            endpoints = crashing_endpoints.CrashingEndpoints(
                running, part=BAD_PART, restarts=True
            )
            all_sent = await send_mixed(running, path)
            crashed_at = endpoints.crashed_at
            fifth_at = crashed_at[:MAX_CRASHES][-1]
            late = sum(
                arrivals(running, sent.request_id)
                for sent in all_sent
                if sent.is_bad and sent.at - fifth_at > LATE_S
            )
            assert late <= MAX_LATE_SENDS
            settled = [
                sent
                for sent in all_sent
                if not sent.is_bad and sent.at - fifth_at > SETTLED_S
            ]
            served = sum(sent.status == 200 for sent in settled)
            assert served >= MIN_SERVED_SHARE * len(settled)

    asyncio.run(scenario())
