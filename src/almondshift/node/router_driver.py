"""Carries events to the router and its actions to who waits for them."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from almondshift.node import usage
from almondshift.policy import actions
from almondshift.policy import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.policy import routers
    from almondshift.ports import clocks

TICK_S = 0.02

Decision = (
    actions.Dispatch | actions.DispatchPlain | actions.Replace | actions.Refuse
)

logger = logging.getLogger(__name__)


class RouterDriver:
    """Runs a router on the loop.

    Attributes:
        router: The state machine.
        usage: What is in flight and used, by the router's decisions.
        on_probe: Called with the endpoint of each probe asked for.
    """

    def __init__(self, router: routers.Router, clock: clocks.Clock) -> None:
        self.router = router
        self.clock = clock
        self.usage = usage.create_usage()
        self.on_probe: Callable[[str], None] = lambda _: None
        self._waiting: dict[str, asyncio.Future[Decision]] = {}
        self._ticker: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the ticks."""
        self._ticker = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Stops the ticks; requests that wait are cancelled."""
        if self._ticker is not None:
            self._ticker.cancel()
        for future in self._waiting.values():
            future.cancel()
        self._waiting.clear()

    @property
    def waiting(self) -> int:
        """Requests that wait for a decision."""
        return len(self._waiting)

    def tell(self, event: events.Event) -> None:
        """Gives the router an event and carries out what it decides."""
        self.usage.observe(event)
        for action in self.router.handle(event):
            self.usage.decided(action, event.at)
            self._carry_out(action)

    async def decide(
        self, event: events.Arrival | events.StageFailed
    ) -> Decision:
        """Gives an event and waits for the decision on its request.

        If the waiter is cancelled, the router is told that the request was
        abandoned, else it would hold a slot for it for ever.
        """
        future: asyncio.Future[Decision] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[event.request_id] = future
        self.tell(event)
        try:
            return await future
        except asyncio.CancelledError:
            self.tell(
                events.Abandoned(self.clock.monotonic(), event.request_id)
            )
            raise
        finally:
            self._waiting.pop(event.request_id, None)

    def _carry_out(self, action: actions.Action) -> None:
        if isinstance(action, actions.Probe):
            self.on_probe(action.endpoint)
            return
        future = self._waiting.pop(action.request_id, None)
        if future is None or future.done():
            logger.warning("decision for nobody: %s", action)
            return
        future.set_result(action)

    async def _tick(self) -> None:
        while True:
            await self.clock.sleep(TICK_S)
            if self._waiting:
                self.tell(events.Tick(self.clock.monotonic()))


def create_router_driver(
    router: routers.Router, clock: clocks.Clock
) -> RouterDriver:
    """Builds a driver; not started yet."""
    return RouterDriver(router, clock)
