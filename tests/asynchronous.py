"""Runs coroutine tests."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

TEST_TIMEOUT_S = 30.0


def run(
    test: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Wraps a coroutine test, which fails if it hangs."""

    @functools.wraps(test)
    def wrapped(*args: Any, **kwargs: Any) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), TEST_TIMEOUT_S))

    return wrapped


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits for a condition; the test's timeout bounds it."""
    while not condition():
        await asyncio.sleep(0.001)
