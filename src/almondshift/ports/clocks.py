"""An interface to time, so that tests can control it."""

from __future__ import annotations

import abc


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Returns seconds that never go back; for deadlines and leases."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Returns seconds since the Unix epoch; only for logs and display."""

    @abc.abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Waits for ``seconds`` without blocking the event loop."""
