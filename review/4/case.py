"""An entry with most fields missing sends orders to another service."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import system as deployment  # noqa: E402

LEDGER = "ledger"
REQUESTS = 150
GAP_S = 0.1
WRITES = 10
WRITE_GAP_S = 1.0


async def write_entries(system: deployment.System, key: str, address: str) -> None:
    """Writes an entry as another program, which knows only three fields."""
    entry = {
        "service": deployment.PLAIN,
        "address": address,
        "state": "ready",
    }
    for _ in range(WRITES):
        system.record.note(f"another writer writes servers/{key}: {entry}")
        system.store.put("servers", key, json.dumps(entry).encode())
        await asyncio.sleep(WRITE_GAP_S)


async def main() -> bool:
    system = deployment.System("4")
    config = system.config
    config["services"].append({"name": LEDGER, "healthPath": "/healthz"})
    ledger_route = deployment.route(
        "ledger", "/ledger/", "unsafe", LEDGER, 1_500, 1
    )
    config["routes"].append(ledger_route)
    try:
        await system.start(nodes=3, models=0, plain=2)
        other = await system.add_engine(LEDGER, "zone-a", is_model=False)
        await asyncio.sleep(4.0)
        writer = None
        if deployment.has_trouble():
            writer = asyncio.create_task(
                write_entries(system, other.name, other.address)
            )
        statuses: list[int] = []
        wrong = 0
        for number in range(REQUESTS):
            node = system.nodes[number % len(system.nodes)]
            request_id = deployment.new_id()
            head = deployment.headers(request_id)
            answer = await deployment.call(
                node.entry, "POST", "/order/1", head, b"x"
            )
            status = answer.status if answer is not None else 0
            at = [e.service for e in system.engines for i, _ in e.ran if i == request_id]
            wrong += LEDGER in at
            statuses.append(status)
            system.record.note(
                f"{request_id} /order/1 at {node.name}: {status}, run by "
                f"{', '.join(at) or 'none'}"
            )
            await asyncio.sleep(GAP_S)
        if writer is not None:
            await writer
    finally:
        await system.close()
    system.record.say(
        f"{REQUESTS} orders, {statuses.count(200)} answered with 200, {wrong} "
        f"run by an engine of {LEDGER}"
    )
    return wrong > 0


deployment.run(main)
