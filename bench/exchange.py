"""Measures the cost of the gossip exchange per node, by cluster size.

All nodes run in one process on a simulated clock, over an in-memory
transport with the real codec. Each runs the real load exchange with 820/390
engines per node and the traffic of a busy system: the load of every engine
changes each second, its state on average once in ``STATE_CHANGE_S``, and each
node has requests of 20 accounts. The baseline is a full mesh that sends
each node's own facts to every other node once per second, over the same codec.

Run: ``python -m bench.exchange [SIZE ...]``
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import pathlib
import random
import resource
import time
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift.adapters import peer_codec
from almondshift.coordination import membership
from almondshift.coordination import peer_types
from almondshift.model import endpoints
from almondshift.model import fleet as fleets
from almondshift.model import layers
from almondshift.node import directory
from almondshift.node import load_exchange
from almondshift.node import router_driver
from almondshift.node import usage
from almondshift.policy import actions
from almondshift.policy import events
from almondshift.policy import router_interface
from almondshift.ports import clocks
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    MessageHandler = Callable[[peers.PeerMessage], Awaitable[peers.PeerMessage]]

CLUSTER_SIZES = (3, 9, 27, 81)
TARGET_NODES = 390
ENGINES_PER_NODE = 820 / 390
FRESH_S = 10.0
"""Maximum age of a load report that counts as fresh."""

STATE_CHANGE_S = 600.0
ACCOUNTS_PER_NODE = 20
WARM_ROUNDS = 60
ROUNDS = 20
URGENT_GAP_S = peer_types.MembershipSettings().urgent_gap_s
MAX_FRAME_BYTES = 1_048_576
FRAME_HEADER_BYTES = 4
PACKET_BYTES = 66
"""Ethernet, IPv4 and TCP headers with timestamps, of data or an ACK."""

LOAD_FACT = (
    b'{"i":"0123456789abcdef","r":"serving","s":12,"q":3,"h":[["m",1,0,8]]}'
)
USAGE_FACT = b'{"account-1":1200.5,"account-2":310.0,"account-3":88.25}'


class BenchClock(clocks.Clock):
    """A clock that the benchmark advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        """Returns the simulated time."""
        return self.now

    def wall(self) -> float:
        """Returns the simulated time as seconds since the epoch."""
        return self.now + 1_700_000_000.0

    async def sleep(self, seconds: float) -> None:
        """Returns at once."""
        del seconds


@dataclasses.dataclass(slots=True)
class Traffic:
    """Traffic over the transport, and parts of the processor time.

    Attributes:
        content_bytes: Size of the encoded messages, without headers.
        codec_s: Processor time to encode and decode the messages.
        bench_s: Processor time of the benchmark itself, not counted as a cost.
    """

    messages: int = 0
    content_bytes: int = 0
    codec_s: float = 0.0
    bench_s: float = 0.0

    @property
    def wire_bytes(self) -> int:
        """Bytes with frame and packet headers and an ACK per message."""
        headers = FRAME_HEADER_BYTES + 2 * PACKET_BYTES
        return self.content_bytes + self.messages * headers


class CodecLink(peers.PeerLink):
    """An in-memory link that encodes and decodes each message."""

    def __init__(
        self, links: dict[str, CodecLink], address: str, traffic: Traffic
    ) -> None:
        self.links = links
        self.address = address
        self.traffic = traffic

    async def start(self, handler: MessageHandler) -> None:
        """Starts to accept calls."""
        self.handler = handler
        self.links[self.address] = self

    async def close(self) -> None:
        """Stops accepting calls."""
        self.links.pop(self.address, None)

    async def call(
        self, address: str, message: peers.PeerMessage, timeout_s: float
    ) -> expression.Result[peers.PeerMessage, errors.PeerUnreachable]:
        """Calls a node in this process."""
        del timeout_s
        link = self.links.get(address)
        if link is None:
            return expression.Error(
                errors.PeerUnreachable("no link at this address")
            )
        answer = await link.handler(self.round_trip(message))
        return expression.Ok(self.round_trip(answer))

    def round_trip(self, message: peers.PeerMessage) -> peers.PeerMessage:
        """Encodes and decodes a message and counts its bytes."""
        started = time.process_time()
        frame = peer_codec.Frame(1, message)
        content = peer_codec.encode(frame, MAX_FRAME_BYTES)
        decoded = peer_codec.decode(content, MAX_FRAME_BYTES).ok.message
        self.traffic.codec_s += time.process_time() - started
        self.traffic.messages += 1
        self.traffic.content_bytes += len(content)
        return decoded


class IdleRouter(router_interface.Router):
    """A router that does nothing; ``bench.load`` measures router cost."""

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Ignores an event."""
        del event
        return []

    def service_ready(self, service: str) -> bool:
        """Reports every service as not ready."""
        del service
        return False


class HeldLoadDirectory(directory.Directory):
    """A directory of endpoints without connections.

    Attributes:
        read_at: Time at which the newest load was read, by engine.
    """

    def __init__(self, clock: clocks.Clock, names: list[str]) -> None:
        self.clock = clock
        self.endpoints = {n: directory.Endpoint(make_vm(n)) for n in names}
        self.read_at: dict[str, float] = {}

    def take_peer_report(self, report: endpoints.LoadReport) -> None:
        """Records when a load was read."""
        at = self.clock.monotonic() - report.age_s
        self.read_at[report.endpoint] = at

    def read(
        self, reports: list[endpoints.LoadReport], watches: set[str]
    ) -> None:
        """Takes reports as if just read from the watched engines."""
        now = self.clock.monotonic()
        for report in reports:
            known = self.endpoints[report.endpoint]
            known.watched = report.endpoint in watches
            if known.watched:
                known.report = report
                known.reported_at = now
                self.read_at[report.endpoint] = now


def make_vm(name: str) -> endpoints.Vm:
    """Returns the VM of an engine."""
    kind = endpoints.EndpointKind.ENGINE
    state = endpoints.VmState.LIVE
    return endpoints.Vm(name, f"{name}:80", "zone", kind, "", state)


def make_load_report(
    name: str, instance: int, load: int
) -> endpoints.LoadReport:
    """Returns a load report of a busy engine."""
    span = layers.LayerRange(0, 8)
    return endpoints.LoadReport(
        endpoint=name,
        instance=f"{instance:016x}",
        role=endpoints.EndpointRole.SERVING,
        leaving=False,
        holdings=(endpoints.Holding("model-1", 1, "", span, True),),
        sessions=load % 64,
        queued_items=load % 7,
        order_number=1,
        age_s=0.1,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Average cost per node and the time in which a change spreads.

    Attributes:
        wire_bytes_s: Bytes sent and received per second.
        cpu_share: Share of a processor core.
        heap_bytes: Growth of resident memory per node.
        rounds: Rounds until each node had a configuration change, without
            extra rounds.
        seconds: Seconds until each node had one, with extra rounds.
        loads_share: Share of engine loads that a node holds.
        fresh_share: Share of them that are at most ``FRESH_S`` old.
        age_p95_s: 95th percentile of the age of the loads held.
    """

    nodes: int
    messages_s: float
    wire_bytes_s: float
    cpu_share: float
    heap_bytes: float
    rounds: int
    seconds: float
    loads_share: float
    fresh_share: float
    age_p95_s: float


class System:
    """A cluster of nodes that share a simulated clock."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.clock = BenchClock()
        self.traffic = Traffic()
        self.links: dict[str, CodecLink] = {}
        self.rng = random.Random(size)
        self.engines = round(size * ENGINES_PER_NODE)
        self.names = [f"engine-{n}" for n in range(self.engines)]
        self.instances = dict.fromkeys(self.names, 1)
        self.nodes: list[membership.Membership] = []
        self.exchanges: list[load_exchange.LoadExchange] = []
        self.directories: list[HeldLoadDirectory] = []

    async def seeds(self) -> list[str]:
        """Returns the addresses of two nodes."""
        return ["node-0:1", "node-1:1"]

    async def start(self) -> None:
        """Starts all nodes."""
        for number in range(self.size):
            name = f"node-{number}"
            identity = peer_types.NodeIdentity(
                name, f"{name}:1", f"10.0.{number // 250}.{number}:80", "zone"
            )
            link = CodecLink(self.links, f"{name}:1", self.traffic)
            node = membership.create_membership(
                link,
                self.clock,
                random.Random(self.rng.random()),
                identity,
                self.seeds,
            )
            await link.start(node.handle)
            node.join()
            await node.refresh_seeds()
            self.nodes.append(node)
            self.add_exchange(node)

    def add_exchange(self, node: membership.Membership) -> None:
        """Creates the load exchange of a node."""
        node_directory = HeldLoadDirectory(self.clock, self.names)
        exchange = load_exchange.create_load_exchange(
            node,
            node_directory,
            router_driver.create_router_driver(IdleRouter(), self.clock),
            usage.create_usage(),
            self.clock,
            random.Random(self.rng.random()),
        )
        exchange.listen()
        self.directories.append(node_directory)
        self.exchanges.append(exchange)

    async def run_round(self, number: int) -> None:
        """Runs a round on each node, in random order, within one second."""
        del number
        order = list(range(self.size))
        self.rng.shuffle(order)
        reports = self.new_reports()
        for index in order:
            self.clock.now += 1.0 / self.size
            self.publish_loads(index, reports)
            await self.nodes[index].run_round()

    def new_reports(self) -> list[endpoints.LoadReport]:
        """Returns new loads of all engines; a few engines restart."""
        for name in self.names:
            if self.rng.random() < 1.0 / STATE_CHANGE_S:
                self.instances[name] += 1
        return [
            make_load_report(name, instance, self.rng.randrange(1000))
            for name, instance in self.instances.items()
        ]

    def publish_loads(
        self, index: int, reports: list[endpoints.LoadReport]
    ) -> None:
        """Lets a node read its engines' loads and publish what is due."""
        exchange = self.exchanges[index]
        watches = {name for name in self.names if exchange.watches(name)}
        started = time.process_time()
        self.directories[index].read(reports, watches)
        self.record_usage(exchange.meter, index)
        self.traffic.bench_s += time.process_time() - started
        exchange.publish()

    def record_usage(self, meter: usage.Usage, index: int) -> None:
        """Records requests of some accounts in flight on some engines."""
        now = self.clock.monotonic()
        for number in range(ACCOUNTS_PER_NODE):
            request_id = f"{index}/{number}"
            engine = self.names[(index + number) % self.engines]
            meter.in_flight[engine] = 1 + number % 3
            arrival = events.Arrival(
                now,
                request_id,
                f"account-{index}-{number}",
                "chat",
                fleets.Priority.NORMAL,
                32,
                32,
                now + 8.0,
                True,
                (),
            )
            meter.observe(arrival)
            meter.observe(events.Progress(now, request_id, 40 + number))


def resident_bytes() -> int:
    """Returns the resident memory of this process."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


async def measure(size: int) -> Cost:
    """Runs a cluster and returns the cost per node."""
    before = resident_bytes()
    system = System(size)
    await system.start()
    for number in range(WARM_ROUNDS):
        await system.run_round(number)
    heap = (resident_bytes() - before) / size
    system.traffic.messages = 0
    system.traffic.content_bytes = 0
    system.traffic.bench_s = 0.0
    started = time.process_time()
    for number in range(ROUNDS):
        await system.run_round(number)
    cpu_s = time.process_time() - started - system.traffic.bench_s
    node_seconds = size * ROUNDS
    messages_s = 2 * system.traffic.messages / node_seconds
    wire_bytes_s = 2 * system.traffic.wire_bytes / node_seconds
    now = system.clock.now
    ages = sorted(
        now - at
        for node_directory in system.directories
        for at in node_directory.read_at.values()
    )
    pairs = size * system.engines
    return Cost(
        nodes=size,
        messages_s=messages_s,
        wire_bytes_s=wire_bytes_s,
        cpu_share=cpu_s / node_seconds,
        heap_bytes=heap,
        rounds=await rounds_to_spread(system),
        seconds=await urgent_spread_s(system),
        loads_share=len(ages) / pairs,
        fresh_share=sum(age <= FRESH_S for age in ages) / pairs,
        age_p95_s=ages[int(0.95 * (len(ages) - 1))],
    )


async def rounds_to_spread(system: System) -> int:
    """Returns the rounds until each node has a configuration change."""
    system.nodes[0].publish(peers.FactKind.CONFIG, "version", b"8", 600.0)
    rounds = 0
    while not all(node.facts(peers.FactKind.CONFIG) for node in system.nodes):
        await system.run_round(rounds)
        rounds += 1
    return rounds


async def urgent_spread_s(system: System) -> float:
    """Returns the seconds until each node has a change, with urgent rounds.

    As in the daemons, a node that learns of the change runs an extra round
    after ``URGENT_GAP_S`` at the latest.
    """
    for node in system.nodes:
        node.wake.clear()
    system.nodes[0].publish(peers.FactKind.CONFIG, "version", b"9", 600.0)
    steps = 0
    while not all(
        node.facts(peers.FactKind.CONFIG)["version"].value == b"9"
        for node in system.nodes
    ):
        steps += 1
        system.clock.now += URGENT_GAP_S
        if steps * URGENT_GAP_S % 1.0 == 0:
            await system.run_round(steps)
        for node in [n for n in system.nodes if n.wake.is_set()]:
            node.wake.clear()
            await node.run_round(urgent=True)
    return steps * URGENT_GAP_S


def mesh_bytes_s(size: int) -> float:
    """Returns bytes per second that a node of a full mesh would transfer."""
    own = [
        peers.Fact(
            peers.FactKind.ENGINE_LOAD,
            f"engine-{n}",
            1 << 60,
            "n",
            60.0,
            LOAD_FACT,
        )
        for n in range(round(ENGINES_PER_NODE))
    ]
    own.append(
        peers.Fact(
            peers.FactKind.ACCOUNT_USE, "node-1", 1 << 60, "n", 60.0, USAGE_FACT
        )
    )
    message = peers.Exchange("node-1", "secret", (), tuple(own), ())
    answer = peers.Exchange("node-2", "secret", (), (), ())
    traffic = Traffic()
    link = CodecLink({}, "", traffic)
    link.round_trip(message)
    link.round_trip(answer)
    return 2.0 * traffic.wire_bytes * (size - 1)


async def compare(sizes: list[int]) -> None:
    """Prints a table and an extrapolation to the target size."""
    print(
        "nodes  msg/s  KB/s  mesh KB/s  cpu %  heap KB  rounds  sec  loads"
        "  fresh  age p95"
    )
    costs = []
    for size in sizes:
        cost = await measure(size)
        costs.append(cost)
        print(
            f"{size:5d} {cost.messages_s:6.1f} {cost.wire_bytes_s / 1e3:5.1f}"
            f" {mesh_bytes_s(size) / 1e3:10.1f} {100 * cost.cpu_share:6.2f}"
            f" {cost.heap_bytes / 1e3:8.0f} {cost.rounds:7d}"
            f" {cost.seconds:4.1f} {cost.loads_share:6.2f}"
            f" {cost.fresh_share:6.2f} {cost.age_p95_s:8.1f}"
        )
    if len(costs) > 1:
        print_extrapolation(costs[-2], costs[-1])


def print_extrapolation(smaller: Cost, larger: Cost) -> None:
    """Prints the costs at the target size, extrapolated from two sizes."""
    steps = larger.nodes - smaller.nodes
    left = TARGET_NODES - larger.nodes
    print(
        f"extrapolated linearly from {smaller.nodes} and {larger.nodes} nodes:"
    )
    for name in ("wire_bytes_s", "cpu_share", "heap_bytes"):
        high = getattr(larger, name)
        slope = (high - getattr(smaller, name)) / steps
        print(f"  {name} at {TARGET_NODES}: {high + slope * left:.4g}")


def main() -> None:
    """Measures the sizes named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "sizes", nargs="*", type=int, default=list(CLUSTER_SIZES)
    )
    asyncio.run(compare(parser.parse_args().sizes))


if __name__ == "__main__":
    main()
