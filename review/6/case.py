"""Streams that are resumed after their last event, at a node without engines."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import rig as rigs  # noqa: E402

EVENTS = 20
REQUESTS = 12
TIMEOUT_MS = 1400
CUT_S = 5.0
NOTICED_S = 2.0
"""Time from the cut to the resumed streams, in seconds."""


async def scenario(rig: Any, trouble: bool) -> str:
    rig.routes = [
        rig.route(
            "chat", "streaming", rigs.MODEL, canResume=True, timeoutMs=TIMEOUT_MS
        ),
        rig.route("look", "safe", rigs.PLAIN),
    ]
    await rig.start()
    cut, other = rig.nodes[0], rig.nodes[1]
    # The first attempts: all events arrive, then the client's channel breaks.
    first = await asyncio.gather(
        *(
            rig.ask(other, "/chat/x", deadline_ms=3000, leave_after=EVENTS)
            for _ in range(REQUESTS)
        )
    )
    if any(answer.event_ids() != list(range(1, EVENTS + 1)) for answer in first):
        raise rigs.CaseFailed("the first attempts did not get all events")
    loop = asyncio.get_running_loop()
    began = loop.time()
    if trouble:
        rig.cut_node(0, "reset")
    # Ordinary traffic at the node, by which it notices the cut.
    ordinary = []
    while loop.time() < began + NOTICED_S:
        ordinary.append(await rig.ask(cut, "/chat/x", deadline_ms=2000))
    served = sum(a.complete and a.status == 200 for a in ordinary)
    rig.record.write(
        f"ordinary streams at the node: {served} of {len(ordinary)} served"
    )
    again = await asyncio.gather(
        *(
            rig.ask(
                cut,
                "/chat/x",
                deadline_ms=3000,
                patience_s=TIMEOUT_MS / 1000 + 0.5,
                last_event_id=str(EVENTS),
            )
            for _ in range(REQUESTS)
        )
    )
    if trouble:
        await asyncio.sleep(max(0.0, began + CUT_S - loop.time()))
        await rig.heal_node(0)
    # The rule asks for all requests; most of the others are in time.
    late = [
        a for a in (*first, *ordinary, *again) if a.seconds > TIMEOUT_MS / 1000
    ]
    missing = [
        a
        for a in late
        if not a.complete or a.seconds > TIMEOUT_MS / 1000 + 0.5
    ]
    ran = sum(bool(rig.runs_of(a.request_id)) for a in missing)
    rig.record.write(
        f"{len(late)} unanswered at timeoutMs, {len(missing)}"
        f" half a second later; engines answered {ran} of these"
    )
    if len(missing) >= 8 and len(missing) * 2 > len(late):
        return (
            f"CONFIG: {len(missing)} of {len(late)} requests that were"
            " unanswered at their route's timeoutMs had no answer 0.5 s later"
        )
    return ""


# TROUBLE=0 leaves the disruption out.
rigs.main(scenario, str(FOLDER), os.environ.get("TROUBLE", "1") != "0")
