"""Faults of one engine or its link, by their names in feature files."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.faults import proxy as proxies

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.scenarios.datapath import paths

PAUSE_S = 1.0
IN_FLIGHT_S = 0.25
"""Delay after which a step is in flight: longer than a token takes and
shorter than the step timeout."""

TRICKLE_BYTES_S = 100


def inject(world: paths.PathWorld, engine: str, fault: str) -> None:
    """Injects a fault, which lasts until the scenario ends."""
    FAULTS[fault](world, engine)


def kill(world: paths.PathWorld, engine: str) -> None:
    world.system.engines[engine].kill()


def freeze(world: paths.PathWorld, engine: str) -> None:
    world.system.engines[engine].freeze()


def pause(world: paths.PathWorld, engine: str) -> None:
    process = world.system.engines[engine]
    process.freeze()
    world.run(asyncio.sleep(PAUSE_S))
    process.thaw()


def cut_before_run(world: paths.PathWorld, engine: str) -> None:
    proxy = world.system.proxies[engine]
    proxy.blocked_directions.add(proxies.Direction.UP)
    if world.notes.get("phase") == "decode":
        # The held response triggers the step that is cut.
        world.release_stages()
    world.run(asyncio.sleep(IN_FLIGHT_S))
    proxy.cut()
    proxy.blocked_directions.clear()


def cut_after_run(world: paths.PathWorld, engine: str) -> None:
    proxy = world.system.proxies[engine]
    proxy.blocked_directions.add(proxies.Direction.DOWN)
    world.run(asyncio.sleep(IN_FLIGHT_S))
    proxy.cut()
    proxy.blocked_directions.clear()


def cut_off(world: paths.PathWorld, engine: str) -> None:
    proxy = world.system.proxies[engine]
    world.run(proxy.refuse())
    proxy.cut()


def hold_requests(world: paths.PathWorld, engine: str) -> None:
    world.system.proxies[engine].blocked_directions.add(proxies.Direction.UP)


def hold_answers(world: paths.PathWorld, engine: str) -> None:
    world.system.proxies[engine].blocked_directions.add(proxies.Direction.DOWN)


def hold_answers_once(world: paths.PathWorld, engine: str) -> None:
    hold_answers(world, engine)
    world.run(asyncio.sleep(PAUSE_S))
    world.system.proxies[engine].blocked_directions.clear()


def swallow(world: paths.PathWorld, engine: str) -> None:
    world.system.proxies[engine].swallow_answers = True


def swallow_and_close(world: paths.PathWorld, engine: str) -> None:
    switches = {"swallow_answers": 1, "swallow": "close"}
    world.run(world.system.control(engine, **switches))


def trickle(world: paths.PathWorld, engine: str) -> None:
    world.system.proxies[engine].trickle_bytes_s = TRICKLE_BYTES_S


def cross(world: paths.PathWorld, engine: str) -> None:
    world.run(world.system.control(engine, cross_answers=1))


FAULTS: dict[str, Callable[[paths.PathWorld, str], None]] = {
    "killed": kill,
    "frozen": freeze,
    "frozen for 1 s": pause,
    "cut before a run": cut_before_run,
    "cut after a run": cut_after_run,
    "cut off": cut_off,
    "not reached by requests": hold_requests,
    "muted": hold_answers,
    "muted for 1 s": hold_answers_once,
    "swallowing answers": swallow,
    "closing after a run": swallow_and_close,
    "trickling": trickle,
    "crossing answers": cross,
}

MUTING = frozenset({"muted"})
"""Faults that hold responses back until the scenario ends."""
