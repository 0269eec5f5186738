from __future__ import annotations

import asyncio

import pytest

from almondshift.adapters import platform_client
from almondshift.standins.platform import server
from almondshift.standins.platform import settings
from tests import asynchronous


@pytest.mark.parametrize("iterations", range(8))
@asynchronous.run
async def test_cancelled_read_ends(iterations: int) -> None:
    """A component that polls the platform in a loop is stopped.

    Its task is cancelled some iterations of the event loop after a read began,
    including the one in which the read acquires its slot. If the cancellation
    were lost, the loop would continue and the node would never exit.
    """
    platform = server.create_platform(settings.PlatformSettings())
    await platform.start()
    client = platform_client.create_platform_client(platform.address, 0.3)
    await client.start()
    reading = asyncio.create_task(client.read("/v1/vms"))
    for _ in range(iterations):
        await asyncio.sleep(0)
    reading.cancel()
    with pytest.raises(asyncio.CancelledError):
        await reading
    await client.close()
    await platform.close()
