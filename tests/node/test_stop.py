from __future__ import annotations

import asyncio
from unittest import mock

from almondshift.node import application
from tests import asynchronous
from tests.fakes import clocks


@asynchronous.run
async def test_hanging_store_does_not_delay_the_announcement() -> None:
    """A node is stopped while the platform's store does not respond.

    The node used to wait for the release of the control lease first.
    Meanwhile its peers kept listing it, and its grace period started later
    than the platform's, so that it was killed with requests still running.
    The drain must start with the signal.
    """
    node = mock.Mock()
    node.at_most_once.running = set()
    node.reconciler.close = mock.AsyncMock()
    node.lease.close = mock.AsyncMock(side_effect=asyncio.Event().wait)
    node.drain.run = mock.AsyncMock()
    stopping = asyncio.create_task(application.Node.stop_gracefully(node))
    await clocks.settle()
    assert node.lease.close.called
    assert node.drain.run.called
    stopping.cancel()


@asynchronous.run
async def test_lease_is_released_before_the_node_closes() -> None:
    """An idle node that holds the control lease is stopped.

    The lease has to be released even if there is nothing to drain, so that
    another node can send orders before the lease expires.
    """
    node = mock.Mock()
    node.at_most_once.running = set()
    node.reconciler.close = mock.AsyncMock()
    lease_released = asyncio.Event()
    node.lease.close = mock.AsyncMock(side_effect=lease_released.wait)
    node.drain.run = mock.AsyncMock(return_value="report")
    stopping = asyncio.create_task(application.Node.stop_gracefully(node))
    await clocks.settle()
    assert not stopping.done()
    lease_released.set()
    assert await stopping == "report"
