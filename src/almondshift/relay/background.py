"""Work that runs beside its caller."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from typing import Any

logger = logging.getLogger(__name__)


class Background:
    """Tasks of one owner; the loop alone would not keep them alive."""

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Returns how many have not ended."""
        return len(self.tasks)

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs work until it ends or ``close``."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def repeat(
        self, interval_s: float, work: Callable[[], None], failure: str
    ) -> None:
        """Does work again and again until ``close``.

        Args:
            interval_s: Pause between two times.
            work: Must not wait.
            failure: What a log line says when it raises; it is done again
                all the same, since one bad moment must not end it for good.
        """
        self.run(_repeat(interval_s, work, failure))

    async def close(self) -> None:
        """Cancels what has not ended."""
        for task in list(self.tasks):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


async def _repeat(
    interval_s: float, work: Callable[[], None], failure: str
) -> None:
    while True:
        await asyncio.sleep(interval_s)
        try:
            work()
        except Exception:
            logger.exception(failure)
