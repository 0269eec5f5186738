"""A discrete-event simulation with a virtual clock."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable


class Simulation:
    """Runs callbacks in order of their scheduled times.

    Attributes:
        now: Current virtual time in seconds.
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
        """Schedules ``callback(*args)`` after ``seconds``."""
        self._order += 1
        heapq.heappush(
            self._queue, (self.now + seconds, self._order, callback, args)
        )

    def every(self, seconds: float, callback: Callable[[], None]) -> None:
        """Calls ``callback`` every ``seconds``, first after ``seconds``."""

        def run_and_reschedule() -> None:
            callback()
            self.after(seconds, run_and_reschedule)

        self.after(seconds, run_and_reschedule)

    def run(self, until: float) -> None:
        """Runs all callbacks that are due up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._queue)
            callback(*args)
        self.now = until
