"""Nodes that send to one rate-limited endpoint, in simulated time."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING
from typing import Any

import expression

from almondshift import errors
from almondshift.coordination import peer_types
from almondshift.model import rate_limits
from almondshift.ports import peers
from almondshift.relay import endpoint_limits
from almondshift.relay import observer
from tests.coordination import network

if TYPE_CHECKING:
    from collections.abc import Callable

ENDPOINT = "e1"
STEP_S = 0.01
FACT_DELAY_S = 0.6
"""Time in which facts reach all nodes, in seconds."""

SUSPECT_S = 2.0
"""Time after which a dead node is no longer seen, in seconds."""


class FakeCatalogue:
    def __init__(self) -> None:
        self.engines: dict[str, Any] = {ENDPOINT: object()}

    def by_address(self, address: str) -> Any:
        del address
        return None


@dataclasses.dataclass(slots=True)
class SimulatedNode:
    """A node and the names of the nodes that it hears from, without itself."""

    name: str
    limits: endpoint_limits.EndpointLimits
    hears: set[str]
    is_dead: bool = False


class Fleet:
    """Simulated nodes before one endpoint.

    Attributes:
        arrivals: Times of the requests that the endpoint got.
        per_s: The limit that the endpoint names; None for none.
    """

    def __init__(self, count: int, per_s: float | None, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.clock = network.ManualClock()
        self.per_s = per_s
        self.arrivals: list[float] = []
        self.facts: list[tuple[float, peers.Fact]] = []
        self.nodes: dict[str, SimulatedNode] = {}
        names = [f"n{index}" for index in range(count)]
        for name in names:
            self.nodes[name] = self.create_node(name, set(names) - {name})

    def create_node(self, name: str, hears: set[str]) -> SimulatedNode:
        registry: Any = FakeCatalogue()
        recorder = observer.create_relay_observer()
        recorder.emit = lambda event: None  # type: ignore[method-assign]
        limits = endpoint_limits.create_endpoint_limits(
            self.clock, self.rng, registry, recorder
        )
        node = SimulatedNode(name, limits, hears)
        limits.known_nodes = lambda: len(self.nodes)
        group: Any = FakeGroup(self, node)
        limits.join(group)
        return node

    def restart(self, name: str) -> None:
        """Replaces a node by one that knows nothing of the limit."""
        hears = self.nodes[name].hears
        self.nodes[name] = self.create_node(name, hears)

    def kill(self, name: str) -> None:
        self.nodes[name].is_dead = True

    def split(self) -> None:
        """Divides the nodes into two halves that don't hear each other."""
        names = list(self.nodes)
        halves = set(names[::2]), set(names[1::2])
        for half in halves:
            for name in half:
                self.nodes[name].hears = half - {name}

    def decider(self) -> str:
        """Returns the deciding node, as the first node sees it."""
        name = next(iter(self.nodes.values())).limits.decider(ENDPOINT)
        assert name is not None
        return name

    async def run(
        self,
        seconds: float,
        demand_per_s: float,
        at: dict[float, Callable[[], None]] | None = None,
    ) -> None:
        """Sends requests at random nodes, more than the limit allows.

        Args:
            seconds: Simulated time.
            demand_per_s: Requests of all callers per second.
            at: Changes, by the time since the start.
        """
        pending = sorted((at or {}).items())
        started = self.clock.now
        due = started
        while self.clock.now < started + seconds:
            self.clock.now += STEP_S
            while pending and pending[0][0] <= self.clock.now - started:
                pending.pop(0)[1]()
            self.deliver_facts()
            while due <= self.clock.now:
                due += self.rng.expovariate(demand_per_s)
                await self.send_one()

    def deliver_facts(self) -> None:
        while self.facts and self.facts[0][0] <= self.clock.now:
            _, fact = self.facts.pop(0)
            for name, node in self.nodes.items():
                if name != fact.origin and not node.is_dead:
                    node.limits.handle_fact(
                        fact.key, fact if fact.value else None
                    )

    async def send_one(self) -> None:
        """Sends a request at a random live node, if it gets a permit."""
        alive = [node for node in self.nodes.values() if not node.is_dead]
        node = self.rng.choice(alive)
        limits = node.limits
        priority = self.rng.choice((0, 2, 5))
        if limits.is_limited(ENDPOINT):
            if ENDPOINT in limits.withheld(priority):
                return
            if not await limits.request(ENDPOINT, priority):
                return
        self.arrivals.append(self.clock.now)
        sent_at = asyncio.get_running_loop().time()
        limits.on_limit(
            rate_limits.LimitNotice(
                purpose=rate_limits.CallPurpose.REQUEST,
                address="1.2.3.4:5",
                instance=ENDPOINT,
                sent_at=sent_at,
                per_s=self.per_s,
                is_genuine=True,
            )
        )

    def most_in_window(self, since: float, window_s: float) -> int:
        """Returns the most arrivals in a window that ends after ``since``."""
        times = self.arrivals
        return max(
            (
                sum(end - window_s < at <= end for at in times)
                for end in times
                if end >= since
            ),
            default=0,
        )


class FakeGroup:
    """A node's group: calls reach the peers that it hears from."""

    def __init__(self, fleet: Fleet, node: SimulatedNode) -> None:
        self.fleet = fleet
        self.node = node
        self.name = node.name
        self.members = self

    def subscribe_facts(self, kind: peers.FactKind, callback: Any) -> None:
        del kind, callback

    def register_handler(self, topic: str, handler: Any) -> None:
        del topic, handler

    def serving(self) -> list[peer_types.PeerInfo]:
        alive = peer_types.PeerState.ALIVE
        return [
            peer_types.PeerInfo(name, "", "", "", alive, 0.0)
            for name in sorted(self.node.hears)
        ]

    def publish_fact(
        self, kind: peers.FactKind, key: str, value: bytes, ttl_s: float
    ) -> None:
        fact = peers.Fact(kind, key, 1, self.name, ttl_s, value)
        self.fleet.facts.append((self.fleet.clock.now + FACT_DELAY_S, fact))

    def withdraw_fact(self, kind: peers.FactKind, key: str) -> None:
        self.publish_fact(kind, key, b"", 0.0)

    async def ask(
        self, name: str, topic: str, body: bytes, timeout_s: float
    ) -> expression.Result[bytes, errors.PeerUnreachable]:
        del topic, timeout_s
        peer = self.fleet.nodes[name]
        if peer.is_dead or name not in self.node.hears:
            return expression.Error(errors.PeerUnreachable("no reply"))
        reply = await peer.limits.reply_to_peer(self.name, body)
        return expression.Ok(reply)
