"""Links that are lost for a second are taken for crashes of the engines."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import http  # noqa: E402
from lib import system as deployment  # noqa: E402

STREAMS = 8
EVENTS = 150
EVENT_GAP_S = 0.02
CUT_AFTER_S = 0.8
CUT_S = 1.0
CLIENT_GAP_S = 2.0
LATER = 6
MAX_CLOSED = 3
QUESTION = b"which of my supplements may I take together?"


async def ask(
    system: deployment.System, node: deployment.Node, phase: str
) -> str:
    """Sends an order and the question on one channel; returns the end."""
    host, _, port = node.entry.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = deployment.headers(deployment.new_id())
        writer.write(http.request_bytes("POST", "/order/1", head, b"x"))
        order = await http.read_head(reader)
        assert order is not None and order.status == 200
        await http.read_body(reader, order, to_end=False)
        request_id = deployment.new_id()
        head = deployment.stream_headers(request_id)
        writer.write(http.request_bytes("POST", "/chat/1", head, QUESTION))
        ids: list[int] = []
        end = "channel closed"
        try:
            async with asyncio.timeout(CLIENT_GAP_S) as gap:
                answer = await http.read_head(reader)
                if answer is not None and "content-length" in answer.headers:
                    await http.read_body(reader, answer, to_end=False)
                    end = f"refused with {answer.status}"
                elif answer is not None:
                    async for part in http.events(reader, answer):
                        ids += [1] * part.count(b"id:")
                        now = asyncio.get_running_loop().time()
                        gap.reschedule(now + CLIENT_GAP_S)
                    end = "whole" if answer.ended else "channel closed"
        except TimeoutError:
            end = "left by the client"
    finally:
        writer.close()
    system.record.note(
        f"{phase}: {request_id} /chat/1 at {node.name}: {end} after {len(ids)} "
        f"events, runs {system.runs(request_id)}"
    )
    return end


async def main() -> bool:
    system = deployment.System("5")
    system.has_links = True
    system.node_zones = ("zone-a",)
    try:
        await system.start(nodes=2, models=4, plain=2)
        await asyncio.sleep(4.0)
        models = [engine for engine in system.engines if engine.is_model]
        for engine in models:
            engine.events, engine.gap_s = EVENTS, EVENT_GAP_S
        asking = [
            asyncio.create_task(ask(system, system.nodes[n % 2], "at the cut"))
            for n in range(STREAMS)
        ]
        await asyncio.sleep(CUT_AFTER_S)
        links = [engine.link for engine in models if engine.link is not None]
        if deployment.has_trouble():
            system.record.note("all channels to model engines are reset")
            for link in links:
                link.cut()
            await asyncio.sleep(CUT_S)
            for link in links:
                await link.start()
            system.record.note("new channels to them are accepted again")
        ends = await asyncio.gather(*asking)
        await asyncio.sleep(4.0)
        later = [
            await ask(system, system.nodes[n % 2], "later")
            for n in range(LATER)
        ]
    finally:
        await system.close()
    closed = ends.count("channel closed")
    system.record.say(
        f"{STREAMS} streams in flight: {closed} channels closed, "
        f"{ends.count('whole')} whole; {LATER} later: "
        f"{later.count('whole')} whole, {', '.join(sorted(set(later)))}"
    )
    return closed > MAX_CLOSED


deployment.run(main)
