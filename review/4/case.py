"""Requests of a tenant whose name is not Latin-1 are never answered."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import system as deployment  # noqa: E402

NAME = "Občina Žalec"
PLAIN_NAME = "Obcina Zalec"
NEW_KEY = "key-of-account-b"
REQUESTS = 40
GAP_S = 0.1
STEADY_S = 5.0


def change(system: deployment.System, name: str) -> None:
    """Adds a tenant and two routes for it, as a new version of the config."""
    config = system.config
    config["version"] += 4
    tenant = {"name": name, "apiKeys": [NEW_KEY], "priority": 1}
    config["tenants"].append(tenant)
    config["routes"] += [
        deployment.route(
            "approve", "/approve/", "unsafe", deployment.PLAIN, 1_500, 1
        ),
        deployment.route(
            "draft", "/draft/", "streaming", deployment.MODEL, 20_000, 2, True
        ),
    ]
    system.write_config()
    system.record.note(f"config {config['version']} adds the tenant {name!r}")


async def send(
    system: deployment.System, paths: tuple[str, str], key: str
) -> float:
    """Sends requests to all nodes in turn; returns the share served."""
    served = 0
    for number in range(REQUESTS):
        node = system.nodes[number % len(system.nodes)]
        path = paths[number % 2]
        request_id = deployment.new_id()
        head = deployment.stream_headers(request_id)
        head["Authorization"] = f"Bearer {key}"
        answer = await deployment.call(node.entry, "POST", path, head, b"x")
        is_served = answer is not None and answer.status == 200 and answer.ended
        served += is_served
        what = "channel closed, no answer"
        if answer is not None:
            what = f"{answer.status}, {'whole' if answer.ended else 'cut'}"
        system.record.note(
            f"{request_id} {path} at {node.name}: {what}, "
            f"runs {system.runs(request_id)}"
        )
        await asyncio.sleep(GAP_S)
    return served / REQUESTS


async def main() -> bool:
    system = deployment.System("4")
    try:
        await system.start()
        await asyncio.sleep(3.0)
        change(system, NAME if deployment.has_trouble() else PLAIN_NAME)
        await asyncio.sleep(STEADY_S)
        first, later = await asyncio.gather(
            send(system, ("/order/1", "/chat/1"), deployment.KEY),
            send(system, ("/approve/1", "/draft/1"), NEW_KEY),
        )
    finally:
        await system.close()
    system.record.say(
        f"served: {first:.2f} on the first routes, {later:.2f} on routes that "
        f"were added later, {REQUESTS} requests each"
    )
    if first < 0.9:
        raise RuntimeError("the first routes were not served")
    return later < first / 4


deployment.run(main)
