from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from almondshift import errors
from almondshift.coordination import drain as drains
from almondshift.node import at_most_once
from almondshift.node import completions
from almondshift.node import entries
from almondshift.node import gateway
from almondshift.node import plain_calls
from almondshift.ports import gateway as ports
from tests import asynchronous
from tests.fakes import clocks

PEER = ports.EntryAddress("10.0.0.2:80", "za")
TOKENS = 400
TOKEN_S = 0.1
"""Time per token in the node's recent responses."""


class Rig:
    """A gateway of a node with a grace period of 10 s."""

    def __init__(self) -> None:
        self.clock = clocks.VirtualClock()
        self.announce = mock.AsyncMock()
        self.drain = drains.create_drain(
            self.clock,
            drains.DrainSettings(hold_s=5.0, margin_s=0.0, grace_s=10.0),
            self.announce,
            mock.Mock(),
        )
        listed = mock.create_autospec(entries.EntryList, instance=True)
        listed.entries_for.return_value = ports.Entries((PEER,), 2.0)
        self.gateway = gateway.NodeGateway(
            mock.create_autospec(completions.CompletionService, instance=True),
            mock.create_autospec(plain_calls.PlainCalls, instance=True),
            mock.create_autospec(at_most_once.AtMostOnce, instance=True),
            listed,
            self.drain,
            lambda service, tokens: tokens * TOKEN_S,
        )

    def admission(self, tokens: int, deadline_s: float) -> ports.Admission:
        deadline = self.clock.monotonic() + deadline_s
        return ports.Admission("r1", "chat", tokens, deadline)


@pytest.mark.parametrize(
    ("tokens", "deadline_s", "taken"),
    [(TOKENS, 60.0, False), (TOKENS, 5.0, True), (20, 60.0, True)],
)
@asynchronous.run
async def test_draining_node_refuses_long_requests(
    tokens: int, deadline_s: float, taken: bool
) -> None:
    """A request arrives within the hold time of a stopping node.

    A request that takes longer than the node's remaining time is refused as
    not run, with the address of another node; it used to be started and then
    cut off. A short request, or one with a short deadline, is admitted, as
    the hold time promises.
    """
    rig = Rig()
    stopping = asyncio.create_task(rig.drain.run())
    await rig.clock.advance(1.0)
    result = rig.gateway.begin(rig.admission(tokens, deadline_s), mock.Mock())
    assert result.is_ok() is taken
    if not taken:
        assert result.error.execution is errors.Execution.NOT_RUN
        assert PEER.address in result.error.remedy
    stopping.cancel()
