"""Measurement of the time in which a process was not scheduled."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from tests import asynchronous
from tests import unscheduled_time

if TYPE_CHECKING:
    from collections.abc import Callable

DELAY_S = 0.1


def block() -> None:
    time.sleep(DELAY_S)


def compute() -> None:
    until = time.thread_time() + DELAY_S
    while time.thread_time() < until:
        pass


@pytest.mark.parametrize(("work", "used_s"), [(block, 0.0), (compute, DELAY_S)])
@asynchronous.run
async def test_computation_does_not_count_as_unscheduled(
    work: Callable[[], None], used_s: float
) -> None:
    """Guards against tests that overlook a program that computes for long."""
    async with unscheduled_time.measured() as unscheduled:
        await asyncio.sleep(2 * unscheduled_time.TICK_S)
        before_s = unscheduled.total_s()
        started_at = time.monotonic()
        work()
        lasted_s = time.monotonic() - started_at
        counted_s = unscheduled.total_s() - before_s
        await asyncio.sleep(2 * unscheduled_time.TICK_S)
    error_s = counted_s - (lasted_s - used_s)
    assert abs(error_s) <= 2 * unscheduled_time.TICK_S
