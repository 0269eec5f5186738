from __future__ import annotations

import asyncio

import pytest

from almondshift.adapters import platform_client
from almondshift.standins.platform import server
from almondshift.standins.platform import settings
from tests import asynchronous


@pytest.mark.parametrize("turns", range(8))
@asynchronous.run
async def test_cancelled_read_ends(turns: int) -> None:
    """A part that reads the platform in a loop is closed.

    Its task is cancelled at some turn of the event loop after a read began,
    also in the one in which the read gets its slot. If the read answers all
    the same, the part goes on, and the node waits for its end for ever.
    """
    platform = server.create_platform(settings.PlatformSettings())
    await platform.start()
    client = platform_client.create_platform_client(platform.address, 0.3)
    await client.start()
    reading = asyncio.create_task(client.read("/v1/vms"))
    for _ in range(turns):
        await asyncio.sleep(0)
    reading.cancel()
    with pytest.raises(asyncio.CancelledError):
        await reading
    await client.close()
    await platform.close()
