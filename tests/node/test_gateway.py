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
"""Pace of the answers that the node gave lately."""


class Rig:
    """A gateway whose node has 10 s from the stop until it cuts."""

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
        listed.answer.return_value = ports.Entries((PEER,), 2.0)
        self.gateway = gateway.NodeGateway(
            mock.create_autospec(completions.CompletionService, instance=True),
            mock.create_autospec(plain_calls.PlainCalls, instance=True),
            mock.create_autospec(at_most_once.AtMostOnce, instance=True),
            listed,
            self.drain,
            lambda service, tokens: tokens * TOKEN_S,
        )

    def wanted(self, tokens: int, deadline_s: float) -> ports.Admission:
        deadline = self.clock.monotonic() + deadline_s
        return ports.Admission("r1", "chat", tokens, deadline)


@pytest.mark.parametrize(
    ("tokens", "deadline_s", "taken"),
    [(TOKENS, 60.0, False), (TOKENS, 5.0, True), (20, 60.0, True)],
)
@asynchronous.run
async def test_a_leaving_node_sends_long_requests_elsewhere(
    tokens: int, deadline_s: float, taken: bool
) -> None:
    """A caller brings a request within the hold time of a node that stops.

    One that takes longer than the node lives is refused as not run, with
    the address of another node; it was run and cut before. A short one, or
    one that its caller soon gives up, is taken, as the hold time promises.
    """
    rig = Rig()
    stopping = asyncio.create_task(rig.drain.run())
    await rig.clock.advance(1.0)
    result = rig.gateway.begin(rig.wanted(tokens, deadline_s), mock.Mock())
    assert result.is_ok() is taken
    if not taken:
        assert result.error.execution is errors.Execution.NOT_RUN
        assert PEER.address in result.error.remedy
    stopping.cancel()
