"""Background tasks."""

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
    """Background tasks of one owner.

    Keeps references to them, as the event loop only holds weak ones.
    """

    def __init__(self) -> None:
        self.tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Returns the number of unfinished tasks."""
        return len(self.tasks)

    def run(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task; ``close`` cancels it if it has not ended."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def repeat(
        self, interval_s: float, work: Callable[[], None], failure: str
    ) -> None:
        """Calls a function periodically until ``close``.

        Args:
            interval_s: Pause between two calls, in seconds.
            work: The function; it must not block.
            failure: Log message if it raises. It is called again nevertheless,
                since a single failure must not end the periodic work.
        """
        self.run(_repeat(interval_s, work, failure))

    async def close(self) -> None:
        """Cancels all unfinished tasks."""
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
