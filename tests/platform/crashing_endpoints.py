"""Stand-in endpoints that crash on certain requests, and when they did."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.platform import standin_engines
    from tests.platform import standin_system as system

LEASE_S = 4.5
"""Time for which the entry of a crashed endpoint stays in the registry."""


class Registry(enum.StrEnum):
    """What happens to the entries of crashed endpoints."""

    LEASE = "lease"
    SILENT_STORE = "silent_store"


class CrashingEndpoints:
    """Makes endpoints crash on requests, and records when.

    Attributes:
        crashed_at: Loop times of the crashes, in order.
        restarts: Whether model engines restart at once, with their layers.
    """

    def __init__(
        self,
        running: system.StandinSystem,
        registry: Registry = Registry.LEASE,
        body: bytes = b"",
        part: str = "",
        restarts: bool = False,
    ) -> None:
        self.running = running
        self.registry = registry
        self.restarts = restarts
        self.loop = asyncio.get_running_loop()
        self.crashed_at: list[float] = []
        self.closing: set[asyncio.Task[None]] = set()
        for engine in running.engines.values():
            engine.crashing_body = body
            engine.crashing_part = part
            engine.on_crash = lambda engine=engine: self.crash(engine)

    def crash(self, engine: standin_engines.StandinEngine) -> None:
        self.crashed_at.append(self.loop.time())
        if self.restarts and engine.layers is not None:
            self.closing.add(self.loop.create_task(self.restart(engine)))
            return
        self.closing.add(self.loop.create_task(engine.close()))
        if self.registry is Registry.LEASE:
            store = self.running.store
            self.loop.call_later(
                LEASE_S, store.remove, "servers", engine.instance
            )

    async def restart(self, engine: standin_engines.StandinEngine) -> None:
        """Restarts a model engine, which holds the same layers at once."""
        layers = engine.layers
        await engine.restart(updates_registry=False)
        engine.layers = layers
        engine.on_change()

    def runs_after(self, seconds: float, crash: int) -> int:
        """Returns the crashes later than a time after one of them."""
        first = self.crashed_at[crash - 1]
        return sum(at - first > seconds for at in self.crashed_at)
