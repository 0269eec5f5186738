"""An in-memory network of nodes with faults and a manual clock."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.adapters import peer_codec
from almondshift.coordination import membership
from almondshift.coordination import peer_types
from almondshift.ports import clocks
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Handler = Callable[[peers.PeerMessage], Awaitable[peers.PeerMessage]]

HEADER_BYTES = 4
MAX_FRAME_BYTES = 65_536
SETTLE_PASSES = 10
WALL_START = 1_700_000_000.0


class ManualClock(clocks.Clock):
    """A clock that only advances when told to.

    Attributes:
        now: Monotonic seconds.
        wall_offset: Wall clock minus the monotonic clock.
    """

    def __init__(self) -> None:
        self.now = 100.0
        self.wall_offset = WALL_START
        self.sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now + self.wall_offset

    async def sleep(self, seconds: float) -> None:
        due = self.now + seconds
        future = asyncio.get_running_loop().create_future()
        self.sleepers.append((due, future))
        await future

    async def advance(self, seconds: float) -> None:
        """Advances the clock and wakes sleepers in the order of their times."""
        end = self.now + seconds
        await settle()
        while due := [s for s in self.sleepers if s[0] <= end]:
            first = min(due, key=lambda sleeper: sleeper[0])
            self.sleepers.remove(first)
            self.now = max(self.now, first[0])
            if not first[1].done():
                first[1].set_result(None)
            await settle()
        self.now = end


async def settle() -> None:
    """Lets all tasks run until they wait for the clock."""
    for _ in range(SETTLE_PASSES):
        await asyncio.sleep(0)


@dataclasses.dataclass(slots=True)
class SimulatedNetwork:
    """Delivers calls between links, subject to faults.

    Attributes:
        drop_rate: Share of messages lost, in each direction.
        groups: Partition of each address; only addresses in the same one are
            connected.
        frozen: Addresses of frozen processes.
        waiting: Messages that wait for frozen processes.
        sent_bytes: Bytes sent by address; None to disable counting.
    """

    rng: random.Random
    drop_rate: float = 0.0
    handlers: dict[str, Handler] = dataclasses.field(default_factory=dict)
    groups: dict[str, int] = dataclasses.field(default_factory=dict)
    frozen: set[str] = dataclasses.field(default_factory=set)
    sent_bytes: dict[str, int] | None = None
    waiting: list[tuple[str, peers.PeerMessage]] = dataclasses.field(
        default_factory=list
    )

    def reaches(self, sender: str, receiver: str) -> bool:
        if receiver not in self.handlers:
            return False
        return self.groups.get(sender, 0) == self.groups.get(receiver, 0)

    def drops_message(self) -> bool:
        return self.rng.random() < self.drop_rate

    async def deliver(
        self, sender: str, receiver: str, message: peers.PeerMessage
    ) -> peers.PeerMessage | None:
        if not self.reaches(sender, receiver) or self.drops_message():
            return None
        self.count_bytes(sender, message)
        if receiver in self.frozen:
            self.waiting.append((receiver, message))
            return None
        reply = await self.handlers[receiver](message)
        self.count_bytes(receiver, reply)
        return None if self.drops_message() else reply

    def count_bytes(self, sender: str, message: peers.PeerMessage) -> None:
        """Counts the encoded size of a message."""
        if self.sent_bytes is None:
            return
        frame = peer_codec.Frame(1, message)
        size = len(peer_codec.encode(frame, MAX_FRAME_BYTES))
        total = self.sent_bytes.get(sender, 0)
        self.sent_bytes[sender] = total + HEADER_BYTES + size

    async def thaw(self, address: str) -> None:
        """Resumes a process; waiting messages are handled before timers."""
        self.frozen.discard(address)
        waited = [m for receiver, m in self.waiting if receiver == address]
        self.waiting = [w for w in self.waiting if w[0] != address]
        for message in waited:
            await self.handlers[address](message)


class MemoryLink(peers.PeerLink):
    """A link over the simulated network."""

    def __init__(
        self, simulated_network: SimulatedNetwork, address: str
    ) -> None:
        self.simulated_network = simulated_network
        self.address = address

    async def start(
        self,
        handler: Handler,
    ) -> None:
        self.simulated_network.handlers[self.address] = handler

    async def close(self) -> None:
        self.simulated_network.handlers.pop(self.address, None)

    async def call(
        self, address: str, message: peers.PeerMessage, timeout_s: float
    ) -> expression.Result[peers.PeerMessage, errors.PeerUnreachable]:
        del timeout_s
        reply = await self.simulated_network.deliver(
            self.address, address, message
        )
        if reply is None:
            return expression.Error(errors.PeerUnreachable("lost"))
        return expression.Ok(reply)


class Cluster:
    """Nodes on one simulated network and one clock.

    Attributes:
        nodes: Started nodes by name, including frozen ones.
        seeds: Seed addresses that nodes get.
    """

    def __init__(
        self, seed: int, settings: peer_types.MembershipSettings | None = None
    ) -> None:
        self.rng = random.Random(seed)
        self.simulated_network = SimulatedNetwork(self.rng)
        self.clock = ManualClock()
        self.settings = settings
        self.nodes: dict[str, membership.Membership] = {}
        self.seeds: list[str] = []
        self.rounds = 0

    def frozen(self, name: str) -> bool:
        return address_of(name) in self.simulated_network.frozen

    def running(self) -> list[membership.Membership]:
        return [n for name, n in self.nodes.items() if not self.frozen(name)]

    async def seed_addresses(self) -> list[str]:
        return list(self.seeds)

    async def add(self, name: str, zone: str = "a") -> membership.Membership:
        """Starts or restarts a node; its rounds are run by ``run``."""
        address = address_of(name)
        node = membership.create_membership(
            MemoryLink(self.simulated_network, address),
            self.clock,
            random.Random(self.rng.random()),
            peer_types.NodeIdentity(name, address, f"{name}:80", zone),
            self.seed_addresses,
            self.settings,
        )
        self.nodes[name] = node
        self.simulated_network.frozen.discard(address)
        await node.link.start(node.handle)
        node.join()
        await node.refresh_seeds()
        return node

    def kill(self, name: str) -> None:
        del self.nodes[name]
        address = address_of(name)
        self.simulated_network.handlers.pop(address, None)
        self.simulated_network.frozen.discard(address)

    def freeze(self, name: str) -> None:
        self.simulated_network.frozen.add(address_of(name))

    async def thaw(self, name: str) -> None:
        await self.simulated_network.thaw(address_of(name))

    async def run(self, rounds: int) -> None:
        """Runs rounds of one second on each running node."""
        for _ in range(rounds):
            for node in self.running():
                await node.refresh_seeds()
                await node.run_round()
            self.clock.now += 1.0
            self.rounds += 1

    async def run_until(
        self, condition: Callable[[], bool], max_rounds: int
    ) -> int:
        """Runs rounds until a condition is true; returns the number."""
        for done in range(max_rounds + 1):
            if condition():
                return done
            await self.run(1)
        raise AssertionError(f"condition not met within {max_rounds} rounds")

    def views(self) -> dict[str, set[str]]:
        """Returns the names of the peers that each running node knows."""
        return {
            node.node.name: {peer.name for peer in node.peers()}
            for node in self.running()
        }

    def is_joined(self) -> bool:
        """Returns whether each running node knows exactly the other ones."""
        names = {node.node.name for node in self.running()}
        return all(
            seen == names - {name} for name, seen in self.views().items()
        )


def address_of(name: str) -> str:
    return f"{name}:1"


async def create_cluster(
    size: int,
    seed: int = 1,
    settings: peer_types.MembershipSettings | None = None,
) -> Cluster:
    """Creates a cluster whose nodes know each other."""
    cluster = Cluster(seed, settings)
    cluster.seeds = [address_of("node-0"), address_of("node-1")]
    for number in range(size):
        await cluster.add(f"node-{number}", f"zone-{number % 3}")
    await cluster.run_until(cluster.is_joined, 40)
    return cluster
