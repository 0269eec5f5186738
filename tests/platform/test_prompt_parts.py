"""Prompts with a part that crashes each endpoint which begins to answer it.

No two of the requests are alike. Sound ones share their client account, the
first part of their prompts and their route.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum

import pytest

from tests.platform import crashing_endpoints
from tests.platform import cut_links
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
MIN_SETTLED = 20
"""Sound requests from then on, at least, of which this share must be served."""


@dataclasses.dataclass
class Sent:
    """A request, and what its caller got."""

    request_id: str
    at: float
    is_bad: bool
    status: int = 0
    body: bytes = b""


class Layout(enum.StrEnum):
    """Where the part stands in the prompts, and what comes beside them."""

    MIDDLE = "middle"
    FIRST = "first"
    TWO_PARTS_AND_A_REQUEST = "two_parts_and_a_request"
    RESUMED = "resumed"
    PASSED_ON = "passed_on"


OTHER_BAD_PART = "ee0bad0bad0e"
"""Another part that crashes endpoints, as it contains the first one."""

REQUEST_PART = "4e9"
CRASHING_BODY = b"crashes"


def prompt_of(layout: Layout, number: int, is_bad: bool) -> str:
    """Returns the parts of a prompt; the last is its own."""
    if is_bad and layout is Layout.FIRST:
        return f"{BAD_PART}:40,{number:08x}:40"
    parts = [f"{FIRST_PART}:40"]
    if is_bad:
        is_other = layout is Layout.TWO_PARTS_AND_A_REQUEST and number % 2 == 0
        parts.append(f"{OTHER_BAD_PART if is_other else BAD_PART}:20")
    return ",".join([*parts, f"{number:08x}:40"])


async def send_one(address: str, path: str, layout: Layout, sent: Sent) -> None:
    number = int(sent.request_id.partition("-")[2])
    prompt = prompt_of(layout, number, sent.is_bad)
    body = sent.request_id.encode()
    if layout is Layout.TWO_PARTS_AND_A_REQUEST and number % 6 == 0:
        body, prompt = CRASHING_BODY, f"{FIRST_PART}:40,{REQUEST_PART}:9,1:1"
        sent.is_bad = True
    last_event = "3" if layout is Layout.RESUMED and sent.is_bad else ""
    head = system.request(
        path,
        sent.request_id,
        X_Prompt_Prefix=prompt,
        Last_Event_Id=last_event,
    )
    sent.status, _, sent.body = await system.send(address, head, body)


def settled_requests(all_sent: list[Sent], crashed_at: list[float]) -> int:
    """Returns how many sound requests were sent since service is due again."""
    if not crashed_at:
        return 0
    due_at = crashed_at[:MAX_CRASHES][-1] + SETTLED_S
    return sum(not sent.is_bad and sent.at > due_at for sent in all_sent)


async def send_mixed(
    running: system.StandinSystem,
    path: str,
    layout: Layout,
    crashed_at: list[float],
) -> list[Sent]:
    """Sends requests to the nodes in turn; every third has the bad part.

    Goes on until enough sound ones were sent, also if the machine is slow.
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + SECONDS
    all_sent: list[Sent] = []
    async with asyncio.TaskGroup() as tasks:
        while (
            loop.time() < until
            or settled_requests(all_sent, crashed_at) < MIN_SETTLED
        ):
            number = len(all_sent)
            sent = Sent(f"r-{number}", loop.time(), number % 3 == 2)
            all_sent.append(sent)
            node = running.nodes[number // 3 % len(running.nodes)]
            address = node.settings.entry.address
            tasks.create_task(send_one(address, path, layout, sent))
            await asyncio.sleep(INTERVAL_S)
    return all_sent


def arrivals(running: system.StandinSystem, request_id: str) -> int:
    """Returns how often a request reached an endpoint."""
    return sum(
        fields["X-Request-Id"] == request_id
        for engine in running.engines.values()
        for fields in engine.received_headers
    )


@pytest.mark.parametrize(
    ("path", "layout"),
    [
        (path, layout)
        for path in ("/once/x", "/look/x", "/chat/x")
        for layout in Layout
        if layout is not Layout.RESUMED or path == "/chat/x"
    ],
)
def test_a_part_that_crashes_endpoints_is_refused(
    path: str, layout: Layout
) -> None:
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
                running, body=CRASHING_BODY, part=BAD_PART, restarts=True
            )
            if layout is Layout.PASSED_ON:
                pool = cut_links.create_cuttable_pool(running.nodes[0])
                pool.begin(cut_links.Cut.RESET)
            crashed_at = endpoints.crashed_at
            all_sent = await send_mixed(running, path, layout, crashed_at)
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
