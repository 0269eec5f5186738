"""Passes events to the router and its decisions to the waiting requests."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from almondshift.node import recovery_log
from almondshift.node import usage
from almondshift.policy import actions
from almondshift.policy import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.policy import router_interface
    from almondshift.ports import clocks

TICK_INTERVAL_S = 0.02

Decision = (
    actions.Dispatch | actions.DispatchPlain | actions.Replace | actions.Refuse
)

logger = logging.getLogger(__name__)


class RouterDriver:
    """Runs a router on the event loop.

    Attributes:
        router: The state machine.
        usage: Requests in flight and account usage, from the decisions.
        on_probe: Called with the endpoint of each probe that is requested.
    """

    def __init__(
        self, router: router_interface.Router, clock: clocks.Clock
    ) -> None:
        self.router = router
        self.clock = clock
        self.usage = usage.create_usage()
        self.on_probe: Callable[[str], None] = lambda _: None
        self._waiting: dict[str, asyncio.Future[Decision]] = {}
        self._ticker: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the periodic ticks."""
        self._ticker = asyncio.create_task(self._tick())

    async def close(self) -> None:
        """Stops the ticks and cancels waiting requests."""
        if self._ticker is not None:
            self._ticker.cancel()
        for future in self._waiting.values():
            future.cancel()
        self._waiting.clear()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a decision."""
        return len(self._waiting)

    def notify(self, event: events.Event) -> None:
        """Passes an event to the router and executes its actions."""
        self.usage.observe(event)
        for action in self.router.handle(event):
            self.usage.observe_action(action, event.at)
            self._execute(action)

    async def decide(
        self, event: events.Arrival | events.StageFailed
    ) -> Decision:
        """Passes an event and waits for the decision on its request.

        On cancellation the router is notified that the request was
        abandoned; otherwise it would reserve a slot for it for ever.
        """
        future: asyncio.Future[Decision] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[event.request_id] = future
        self.notify(event)
        if isinstance(event, events.StageFailed) and not future.done():
            recovery_log.missing(event, self.router.excluded_engines(event))
        try:
            return await future
        except asyncio.CancelledError:
            self.notify(
                events.Abandoned(self.clock.monotonic(), event.request_id)
            )
            raise
        finally:
            self._waiting.pop(event.request_id, None)

    def _execute(self, action: actions.Action) -> None:
        if isinstance(action, actions.Probe):
            self.on_probe(action.endpoint)
            return
        future = self._waiting.pop(action.request_id, None)
        if future is None or future.done():
            logger.warning("no request waits for the decision %s", action)
            return
        future.set_result(action)

    async def _tick(self) -> None:
        while True:
            await self.clock.sleep(TICK_INTERVAL_S)
            if self._waiting:
                self.notify(events.Tick(self.clock.monotonic()))


def create_router_driver(
    router: router_interface.Router, clock: clocks.Clock
) -> RouterDriver:
    """Builds a driver without starting it."""
    return RouterDriver(router, clock)
