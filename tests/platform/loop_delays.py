"""Delays of the process of a test, as on a busy machine."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@contextlib.asynccontextmanager
async def delays_of_the_process(
    seconds: float, gap_s: float
) -> AsyncIterator[None]:
    """Delays the loop again and again.

    Args:
        seconds: Length of each delay.
        gap_s: Time for which the loop runs between two delays.
    """

    async def delay() -> None:
        while True:
            time.sleep(seconds)
            await asyncio.sleep(gap_s)

    delaying = asyncio.create_task(delay())
    try:
        yield
    finally:
        delaying.cancel()
