from __future__ import annotations

import asyncio
from unittest import mock

from almondshift.node import application
from tests import asynchronous
from tests.fakes import clocks


@asynchronous.run
async def test_a_store_that_hangs_does_not_hold_the_announcement() -> None:
    """A node is told to stop while the platform's store does not answer.

    It gave the control lease back first and waited for the store. Meanwhile
    its peers went on naming it to callers, and the grace time was counted
    from later than the platform counts it, so that it was killed with
    answers still running. Leaving must begin with the signal.
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
async def test_the_lease_is_given_back_before_the_node_closes() -> None:
    """A node that holds the control lease is told to stop while idle.

    The lease goes back also when nothing is left to drain, so that another
    node gives orders at once and not only when the lease runs out.
    """
    node = mock.Mock()
    node.at_most_once.running = set()
    node.reconciler.close = mock.AsyncMock()
    given_back = asyncio.Event()
    node.lease.close = mock.AsyncMock(side_effect=given_back.wait)
    node.drain.run = mock.AsyncMock(return_value="report")
    stopping = asyncio.create_task(application.Node.stop_gracefully(node))
    await clocks.settle()
    assert not stopping.done()
    given_back.set()
    assert await stopping == "report"
