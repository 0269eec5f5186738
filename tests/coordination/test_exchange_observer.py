"""What the exchange of facts reports of the messages that it sends."""

from __future__ import annotations

import asyncio
import collections
import random

from almondshift.coordination import membership
from almondshift.coordination import peer_types
from almondshift.ports import exchange_observers
from almondshift.ports import peers
from tests.coordination import network

KIND = peers.FactKind.QUARANTINE
VALUE = b"x" * 1_000


class RecordingObserver(exchange_observers.ExchangeObserver):
    """Keeps what it is told.

    Attributes:
        waits: How long facts waited for their first send, in seconds.
    """

    def __init__(self) -> None:
        self.sent: collections.Counter[peers.FactKind] = collections.Counter()
        self.repeated: collections.Counter[peers.FactKind] = (
            collections.Counter()
        )
        self.waits: list[float] = []
        self.limited = 0

    def fact_sent(self, kind: peers.FactKind, waited_s: float | None) -> None:
        self.sent[kind] += 1
        if waited_s is not None and kind is KIND:
            self.waits.append(waited_s)

    def fact_repeated(self, kind: peers.FactKind) -> None:
        self.repeated[kind] += 1

    def message_limited(self) -> None:
        self.limited += 1


async def add_observed(cluster: network.Cluster) -> RecordingObserver:
    """Adds a node named "observed" to a cluster."""
    observer = RecordingObserver()
    address = network.address_of("observed")
    node = membership.create_membership(
        network.MemoryLink(cluster.simulated_network, address),
        cluster.clock,
        random.Random(1),
        peer_types.NodeIdentity("observed", address, "observed:80", "a"),
        cluster.seed_addresses,
        observer=observer,
    )
    cluster.nodes["observed"] = node
    await node.link.start(node.handle)
    node.join()
    await node.refresh_seeds()
    return observer


def test_facts_that_wait_for_room_are_observed() -> None:
    """Guards against full messages that no metric shows."""

    async def scenario() -> None:
        cluster = await network.create_cluster(3)
        observer = await add_observed(cluster)
        await cluster.run(4)
        assert observer.limited == 0
        node = cluster.nodes["observed"]
        node.publish(KIND, "a", VALUE, 60.0)
        await cluster.run(2)
        assert observer.waits == [0.0]
        for number in range(30):
            node.publish(KIND, str(number), VALUE, 60.0)
        await cluster.run(8)
        assert observer.limited > 0
        assert len(observer.waits) == 31
        assert max(observer.waits) >= 1.0
        assert observer.sent[KIND] >= 31
        assert sum(observer.repeated.values()) > 0

    asyncio.run(scenario())
