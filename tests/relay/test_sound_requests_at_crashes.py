"""Sound requests that meet several crashes together, in a group of nodes."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from typing import Any

import pytest

from almondshift.policy import crash_strikes
from tests.coordination import network
from tests.fakes import routed as fake_routed
from tests.relay import test_crashes_at_scale as scale

if TYPE_CHECKING:
    from almondshift.relay import crash_watch

SIZE = 75
REQUESTS = 60
CRASH_GAP_S = 0.1
ANSWERED_S = 1.0

SPREAD_S = 1.0
"""Time within which peers learn of urgent facts."""


class SoundRequests:
    """Requests at random nodes, all of which run at the same endpoints."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = network.Cluster(
            seed, scale.application.MEMBERSHIP_SETTINGS
        )
        self.watches: dict[str, crash_watch.CrashWatch] = {}
        self.requests: list[tuple[str, Any]] = []
        self.refused_by_own_node: set[int] = set()

    async def start(self) -> None:
        names = [f"edge-{number}" for number in range(SIZE)]
        self.cluster.seeds = [network.address_of(name) for name in names]
        for name in names:
            await scale.add_node(self.cluster, name)
        await scale.advance(self.cluster, scale.JOINED_S)
        self.watches = {
            name: scale.create_watch(self.cluster, name) for name in names
        }
        for number in range(REQUESTS):
            body = f"sound{number}".encode()
            routed = fake_routed.routed(body.decode(), body)
            self.requests.append((self.rng.choice(names), routed))

    async def crash_endpoints(self) -> None:
        """Crashes endpoints one after another, each with all requests."""
        for number in range(crash_strikes.MAX_STRIKES):
            instance = f"e{number}"
            for name, routed in self.requests:
                watch = self.watches[name]
                watch.note_unanswered(routed, number + 1, instance)
            for name in {name for name, _ in self.requests}:
                self.watches[name].port_closed(instance)
            await self.advance(CRASH_GAP_S)

    async def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / scale.STEP_S)):
            self.note_refused()
            await self.cluster.clock.advance(scale.STEP_S)
            for watch in self.watches.values():
                watch.tick()
        self.note_refused()

    def note_refused(self) -> None:
        for number, (name, routed) in enumerate(self.requests):
            if self.watches[name].is_refused(routed):
                self.refused_by_own_node.add(number)

    def answer(self) -> None:
        for name, routed in self.requests:
            self.watches[name].note_answered(routed)

    def refusals(self) -> int:
        """Returns the pairs of a node and a request that it refuses."""
        return sum(
            watch.is_refused(routed)
            for watch in self.watches.values()
            for _, routed in self.requests
        )

    async def close(self) -> None:
        for node in self.cluster.nodes.values():
            await node.close()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_node_does_not_refuse_its_sound_requests_at_once(seed: int) -> None:
    """Guards against nodes that take one of many requests for the cause."""

    async def scenario() -> None:
        sound = SoundRequests(seed)
        await sound.start()
        await sound.crash_endpoints()
        await sound.advance(ANSWERED_S)
        assert not sound.refused_by_own_node
        await sound.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", [1, 2])
def test_nodes_do_not_refuse_sound_requests_that_were_answered(
    seed: int,
) -> None:
    """Guards against crashes that reach peers sooner than the answers."""

    async def scenario() -> None:
        sound = SoundRequests(seed)
        await sound.start()
        await sound.crash_endpoints()
        await sound.advance(ANSWERED_S)
        sound.answer()
        await sound.advance(SPREAD_S)
        assert sound.refusals() == 0
        await sound.close()

    asyncio.run(scenario())
