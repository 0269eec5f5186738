"""An event loop whose time only passes while nothing is left to do.

All sockets of a test belong to its process, so data that was sent has arrived
once the selector has nothing to report. How busy the machine is then changes
nothing of what happens in which order and when.
"""

from __future__ import annotations

import asyncio
import contextlib
import selectors
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar
from unittest import mock

from almondshift.adapters import system_clock

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar("Result")

ARRIVAL_S = 0.0002
"""Time for which the selector waits for data that was just sent, in real
seconds."""


class VirtualSelector(selectors.DefaultSelector):  # type: ignore[misc]
    """Advances the time of its loop instead of waiting.

    Attributes:
        now: Virtual seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = time.clock_gettime(time.CLOCK_BOOTTIME)

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        ready = super().select(ARRIVAL_S if timeout is not None else None)
        if not ready and timeout is not None:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop on virtual time."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector()
        super().__init__(self.virtual)

    def time(self) -> float:
        """Returns virtual seconds."""
        return self.virtual.now


def run(scenario: Coroutine[Any, Any, Result]) -> Result:
    """Runs a scenario; the nodes' clock shows virtual time too."""
    loop = VirtualLoop()
    with (
        contextlib.closing(loop),
        mock.patch.object(
            system_clock.SystemClock, "monotonic", lambda self: loop.time()
        ),
    ):
        asyncio.set_event_loop(loop)
        try:
            result = loop.run_until_complete(scenario)
            loop.run_until_complete(loop.shutdown_default_executor())
            return result
        finally:
            asyncio.set_event_loop(None)
