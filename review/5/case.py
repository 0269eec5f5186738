"""Rows of another part of the registry's table remove the engines."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import system as deployment  # noqa: E402

RECOVER_S = 12.0
REQUESTS = 45
WRITE_AFTER_S = 6.0
PART = "notes"
NOTE = b"card replaced in march"


async def send(system: deployment.System, phase: str) -> float:
    """Sends requests to all nodes in turn; returns the share served."""
    served = 0
    for number in range(REQUESTS):
        node = system.nodes[number % len(system.nodes)]
        request_id = deployment.new_id()
        if number % 5:
            path, head = "/order/1", deployment.headers(request_id)
        else:
            path, head = "/chat/1", deployment.stream_headers(request_id)
        answer = await deployment.call(node.entry, "POST", path, head, b"x")
        status = answer.status if answer is not None else 0
        served += answer is not None and status == 200 and answer.ended
        system.record.note(
            f"{phase}: {request_id} {path} at {node.name}: {status}, "
            f"runs {system.runs(request_id)}"
        )
        await asyncio.sleep(0.05)
    return served / REQUESTS


async def main() -> bool:
    system = deployment.System("5")
    try:
        await system.start()
        await asyncio.sleep(3.0)
        before = await send(system, "before")
        # The final fault strikes right after a config was acknowledged.
        system.config["version"] += 4
        system.write_config()
        system.record.note("a config is acknowledged; all processes are killed")
        for node in system.nodes:
            node.kill()
        await asyncio.sleep(1.0)
        for node in system.nodes:
            node.start()
        for node in system.nodes:
            await node.await_ready()
        back_at = time.monotonic()
        await asyncio.sleep(WRITE_AFTER_S)
        if deployment.has_trouble():
            for engine in system.engines:
                system.record.note(
                    f"another writer writes {engine.name} in part {PART} of "
                    "the table servers"
                )
                system.store.put("servers", engine.name, NOTE, PART)
        left_s = back_at + RECOVER_S + 1.0 - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
        system.record.note(f"{time.monotonic() - back_at:.1f} s after the start")
        after = await send(system, "after")
    finally:
        await system.close()
    system.record.say(f"served: {before:.2f} before, {after:.2f} after")
    if before < 0.25:
        raise RuntimeError("too few requests were served before the fault")
    return after < 0.25


deployment.run(main)
