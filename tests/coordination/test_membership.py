from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from almondshift import errors
from almondshift.coordination import drafts
from almondshift.coordination import peer_types
from almondshift.ports import peers
from tests.coordination import network

if TYPE_CHECKING:
    from collections.abc import Callable

CONFIG = peers.FactKind.CONFIG
LEAVING = peers.FactKind.LEAVING
NODE = peers.FactKind.NODE


def knows(
    cluster: network.Cluster, kind: peers.FactKind, value: bytes
) -> Callable[[], bool]:
    def all_know() -> bool:
        return all(
            [fact.value for fact in node.facts(kind).values()] == [value]
            for node in cluster.running()
        )

    return all_know


@pytest.mark.parametrize(
    ("size", "drop_rate", "most_rounds"),
    [(3, 0.0, 2), (9, 0.0, 3), (9, 0.2, 6), (27, 0.0, 5), (27, 0.2, 8)],
)
def test_config_reaches_all_nodes_within_rounds(
    size: int, drop_rate: float, most_rounds: int
) -> None:
    async def scenario() -> None:
        cluster = await network.create_cluster(size)
        cluster.simulated_network.drop_rate = drop_rate
        cluster.nodes["node-0"].publish(CONFIG, "version", b"7", 600.0)
        await cluster.run_until(knows(cluster, CONFIG, b"7"), most_rounds)

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_extra_rounds_alone_reach_all_nodes(seed: int) -> None:
    """An urgent fact must not wait for the next regular round.

    Only nodes that were woken exchange. If each did so only once, nodes that
    none of them happened to choose would keep dispatching to a leaving
    endpoint.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(9, seed)
        cluster.nodes["node-0"].publish(LEAVING, "e", b"1", 60.0)
        for _ in range(6):
            for node in cluster.running():
                if node.wake.is_set():
                    node.wake.clear()
                    await node.run_round(urgent=True)
        assert knows(cluster, LEAVING, b"1")()
        assert not any(node.wake.is_set() for node in cluster.running())

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("silent_s", "state"),
    [
        (2, peer_types.PeerState.ALIVE),
        (7, peer_types.PeerState.SUSPECT),
        (20, None),
    ],
)
def test_silent_node_is_suspect_then_dropped(
    silent_s: int, state: peer_types.PeerState | None
) -> None:
    async def scenario() -> None:
        settings = peer_types.MembershipSettings(failed_calls=1_000)
        cluster = await network.create_cluster(9, settings=settings)
        cluster.freeze("node-8")
        await cluster.run(silent_s)
        for node in cluster.running():
            found = {peer.name: peer.state for peer in node.peers()}
            assert found.get("node-8") is state

    asyncio.run(scenario())


def test_node_that_starts_later_does_not_list_a_silent_peer_as_alive() -> None:
    """A new node must not send callers to a VM that is gone.

    A node stops; some seconds later another starts and learns of the live
    nodes and of the stopped one, whose fact is still valid. On every node its
    silence counts from its last heartbeat, so the new node agrees with the
    others.
    """

    async def scenario() -> None:
        settings = peer_types.MembershipSettings(failed_calls=1_000)
        cluster = await network.create_cluster(5, settings=settings)
        cluster.freeze("node-4")
        await cluster.run(6)
        late = await cluster.add("late")
        await cluster.run(1)
        states = {peer.name: peer.state for peer in late.peers()}
        assert states["node-0"] is peer_types.PeerState.ALIVE
        assert states.get("node-4") is not peer_types.PeerState.ALIVE

    asyncio.run(scenario())


def test_failed_calls_make_a_peer_suspect_before_its_silence() -> None:
    async def scenario() -> None:
        cluster = await network.create_cluster(3)
        cluster.kill("node-2")
        for _ in range(2):
            await cluster.nodes["node-0"].ask("node-2", "t", b"", 1.0)
        [_, peer] = cluster.nodes["node-0"].peers()
        assert peer.state is peer_types.PeerState.SUSPECT

    asyncio.run(scenario())


def test_leaving_node_is_announced_in_an_extra_round() -> None:
    async def scenario() -> None:
        cluster = await network.create_cluster(3)
        leaver = cluster.nodes["node-2"]
        await leaver.announce_leaving()
        for name in ("node-0", "node-1"):
            state = cluster.nodes[name].peers()[1].state
            assert state is peer_types.PeerState.LEAVING

    asyncio.run(scenario())


def test_closed_node_is_dropped_at_once_and_may_rejoin() -> None:
    async def scenario() -> None:
        cluster = await network.create_cluster(3)
        await cluster.nodes["node-2"].close()
        cluster.kill("node-2")
        assert cluster.is_joined()
        await cluster.add("node-2")
        await cluster.run_until(cluster.is_joined, 5)

    asyncio.run(scenario())


@pytest.mark.parametrize("wall_step_s", [0.0, -3_600.0])
def test_facts_of_a_restarted_node_replace_old_ones(wall_step_s: float) -> None:
    """A killed and restarted node publishes a fact that peers already hold.

    If its versions started from zero, peers would keep the old value and send
    callers to its address from before the restart. The case with a clock that
    went back shows that versions don't depend on the wall clock alone.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(9)
        cluster.nodes["node-3"].publish(LEAVING, "e", b'"old"', 600.0)
        await cluster.run_until(knows(cluster, LEAVING, b'"old"'), 5)
        cluster.kill("node-3")
        cluster.clock.wall_offset += wall_step_s
        node = await cluster.add("node-3", "zone-new")
        await cluster.run(5)
        node.publish(LEAVING, "e", b'"new"', 600.0)
        await cluster.run_until(knows(cluster, LEAVING, b'"new"'), 5)
        zones = {
            peer.zone
            for other in cluster.running()
            for peer in other.peers()
            if peer.name == "node-3"
        }
        assert zones == {"zone-new"}

    asyncio.run(scenario())


def test_dropped_node_rejoins_although_its_clock_went_back() -> None:
    """A restarted node must not be ignored until its tombstone is purged.

    It is killed and dropped; its wall clock goes back by 15 minutes, and it
    restarts with versions below those in its peers' tombstones. Expired facts
    are not sent, so the node has to learn the version from a reply to its
    digest. Found by the state machine test.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(5)
        cluster.kill("node-0")
        await cluster.run(45)
        cluster.clock.wall_offset -= 900.0
        await cluster.add("node-0")
        await cluster.run_until(cluster.is_joined, 15)

    asyncio.run(scenario())


def test_thawed_node_does_not_bring_back_expired_facts() -> None:
    """An endpoint must not count as leaving again after its replacement.

    node-2 holds the fact, and gets messages with it while frozen. The fact
    expires on the other nodes. When node-2 thaws, it reads the waiting
    messages first and then runs its rounds; no node may hold the fact again.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(3)
        cluster.nodes["node-0"].publish(LEAVING, "e", b"1", 30.0)
        cluster.freeze("node-2")
        await cluster.run(20)
        assert cluster.simulated_network.waiting
        await cluster.run(30)
        await cluster.thaw("node-2")
        assert not cluster.nodes["node-2"].facts(LEAVING)
        await cluster.run(10)
        assert all(not node.facts(LEAVING) for node in cluster.running())

    asyncio.run(scenario())


def test_node_on_a_suspended_host_does_not_bring_back_expired_facts() -> None:
    """The monotonic clock of a suspended VM stops, so its facts stay valid.

    node-2 is suspended for 100 s while the fact expires on the other nodes.
    Once resumed, it considers the fact valid and sends it. The others have a
    tombstone: they reject it, and node-2 learns that it has expired.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(3)
        cluster.nodes["node-0"].publish(LEAVING, "e", b"1", 60.0)
        await cluster.run(3)
        suspended = cluster.nodes["node-2"]
        own_clock = network.ManualClock()
        own_clock.now = cluster.clock.now
        parts = (suspended.table, suspended.shared, suspended.messages)
        for part in (suspended, *parts):
            part.clock = own_clock
        cluster.freeze("node-2")
        await cluster.run(100)
        cluster.simulated_network.waiting.clear()
        await cluster.thaw("node-2")
        assert suspended.facts(LEAVING)
        for _ in range(10):
            await cluster.run(1)
            own_clock.now += 1.0
            for name in ("node-0", "node-1"):
                assert not cluster.nodes[name].facts(LEAVING)
        assert not suspended.facts(LEAVING)

    asyncio.run(scenario())


def test_withdrawn_fact_does_not_come_back() -> None:
    async def scenario() -> None:
        cluster = await network.create_cluster(9)
        cluster.nodes["node-0"].publish(LEAVING, "e", b"1", 600.0)
        await cluster.run_until(knows(cluster, LEAVING, b"1"), 5)
        cluster.freeze("node-5")
        cluster.nodes["node-4"].withdraw(LEAVING, "e")
        await cluster.run(30)
        await cluster.thaw("node-5")
        await cluster.run(10)
        assert all(not node.facts(LEAVING) for node in cluster.running())

    asyncio.run(scenario())


def test_facts_outlive_the_replacement_of_every_node() -> None:
    """All VMs are replaced one by one while the platform is down.

    Each new node has one seed address, of a peer that is itself replaced
    later. The configuration must still be known when no original node is left.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(9)
        cluster.nodes["node-0"].publish(CONFIG, "version", b"7", 6_000.0)
        await cluster.run(5)
        for number in range(9):
            old = f"node-{number}"
            present = f"node-{number + 1}" if number < 8 else "next-0"
            cluster.seeds = [network.address_of(present)]
            await cluster.add(f"next-{number}")
            cluster.seeds = []
            await cluster.nodes[old].close()
            cluster.kill(old)
            await cluster.run(6)
        await cluster.run_until(cluster.is_joined, 20)
        assert knows(cluster, CONFIG, b"7")()

    asyncio.run(scenario())


def test_partitioned_halves_rejoin() -> None:
    """Two regions are partitioned for an hour while the platform is down.

    Each drops the other's nodes within seconds. When the link is back, there
    are no seeds; the addresses of dropped nodes have to suffice.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(8)
        cluster.seeds = []
        for node in cluster.running():
            node.seed_addresses = []
        for number in range(4):
            address = network.address_of(f"node-{number}")
            cluster.simulated_network.groups[address] = 1
        await cluster.run(60)
        assert all(len(seen) == 3 for seen in cluster.views().values())
        cluster.clock.now += 3_540.0
        await cluster.run(3)
        cluster.nodes["node-0"].publish(CONFIG, "version", b"8", 600.0)
        cluster.simulated_network.groups.clear()
        await cluster.run_until(cluster.is_joined, 30)
        await cluster.run_until(knows(cluster, CONFIG, b"8"), 10)

    asyncio.run(scenario())


def test_subscribers_are_notified_of_changes_but_not_heartbeats() -> None:
    async def scenario() -> None:
        cluster = await network.create_cluster(3)
        changes: list[tuple[str, bytes | None]] = []
        for kind in (NODE, CONFIG):
            cluster.nodes["node-0"].subscribe(
                kind,
                lambda key, fact: changes.append(
                    (key, fact.value if fact else None)
                ),
            )
        await cluster.run(5)
        assert changes == []
        cluster.nodes["node-1"].publish(CONFIG, "v", b"1", 5.0)
        await cluster.run(8)
        assert changes == [("v", b"1"), ("v", None)]

    asyncio.run(scenario())


async def answer_hello(sender: str, body: bytes) -> bytes:
    return b"hello " + sender.encode() + body


@pytest.mark.parametrize(
    ("peer", "topic", "body", "execution"),
    [
        ("node-1", "hello", b"hello node-0!", None),
        ("node-1", "other", None, errors.Execution.NOT_RUN),
        ("node-9", "hello", None, errors.Execution.NOT_RUN),
        ("node-2", "hello", None, errors.Execution.UNKNOWN),
    ],
)
def test_ask(
    peer: str,
    topic: str,
    body: bytes | None,
    execution: errors.Execution | None,
) -> None:
    async def scenario() -> None:
        cluster = await network.create_cluster(3)
        cluster.nodes["node-1"].answer("hello", answer_hello)
        cluster.freeze("node-2")
        node = cluster.nodes["node-0"]
        result = await node.ask(peer, topic, b"!", 1.0)
        if body is not None:
            assert result.ok == body
        else:
            assert result.error.execution is execution

    asyncio.run(scenario())


@pytest.mark.parametrize("value", [b"", b"x" * 2_000])
def test_values_of_invalid_size_are_rejected(value: bytes) -> None:
    async def scenario() -> None:
        cluster = network.Cluster(1)
        node = await cluster.add("node-0")
        with pytest.raises(ValueError, match="bytes"):
            node.publish(CONFIG, "v", value, 60.0)

    asyncio.run(scenario())


def test_flood_of_facts_keeps_within_the_byte_budget() -> None:
    """Many load facts at once must not delay a configuration change.

    One node publishes 400 load facts and then a configuration. Every node
    must know the configuration within a few rounds, although the loads take
    longer. No node may send more than its rate and one burst, in real bytes.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(9)
        node = cluster.nodes["node-0"]
        for number in range(400):
            load = cluster.rng.randbytes(50).hex().encode()
            node.publish(
                peers.FactKind.ENGINE_LOAD, f"engine-{number}", load, 60.0
            )
        node.publish(CONFIG, "version", b"9", 600.0)
        cluster.simulated_network.sent_bytes = {}
        await cluster.run_until(knows(cluster, CONFIG, b"9"), 4)
        loads = [
            len(other.facts(peers.FactKind.ENGINE_LOAD))
            for other in cluster.running()
        ]
        assert min(loads) < 400
        rounds = await cluster.run_until(
            lambda: all(
                len(other.facts(peers.FactKind.ENGINE_LOAD)) == 400
                for other in cluster.running()
            ),
            60,
        )
        rate = node.settings.bytes_per_s
        sent = cluster.simulated_network.sent_bytes
        assert max(sent.values()) < rate * (rounds + 6)

    asyncio.run(scenario())


def test_many_urgent_rounds_stay_within_the_rate() -> None:
    """A burst of urgent facts causes many extra rounds within a second.

    Each could also carry a full message of loads. Once the burst of the token
    bucket is used up, only their overhead is sent.
    """

    async def scenario() -> None:
        cluster = await network.create_cluster(3)
        node = cluster.nodes["node-0"]
        for number in range(400):
            load = cluster.rng.randbytes(50).hex().encode()
            node.publish(
                peers.FactKind.ENGINE_LOAD, f"engine-{number}", load, 60.0
            )
        cluster.simulated_network.sent_bytes = {}
        for _ in range(50):
            await node.run_round(urgent=True)
        sent = cluster.simulated_network.sent_bytes[
            network.address_of("node-0")
        ]
        overhead = 3 * 50 * drafts.MESSAGE_OVERHEAD_BYTES
        assert sent < node.messages.budget.burst + overhead

    asyncio.run(scenario())
