"""An event queue in virtual time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable


class Simulation:
    """Runs callbacks in the order of their time.

    Attributes:
        now: Virtual seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[
            tuple[float, int, Callable[..., None], tuple[Any, ...]]
        ] = []
        self._order = 0

    def after(
        self, seconds: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Calls ``callback(*args)`` after a time."""
        self._order += 1
        heapq.heappush(
            self._queue, (self.now + seconds, self._order, callback, args)
        )

    def every(self, seconds: float, callback: Callable[[], None]) -> None:
        """Calls ``callback`` again and again, first after ``seconds``."""

        def again() -> None:
            callback()
            self.after(seconds, again)

        self.after(seconds, again)

    def run(self, until: float) -> None:
        """Runs all that is due up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._queue)
            callback(*args)
        self.now = until
