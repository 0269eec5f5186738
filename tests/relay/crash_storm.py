"""Requests that crash endpoints, sent again and again to a group of nodes.

The nodes exchange facts over a simulated network in virtual time.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING
from typing import Any

from almondshift.coordination import membership
from almondshift.coordination import peer_types
from almondshift.policy import crash_strikes
from almondshift.policy import engine_tracker
from almondshift.ports import peers
from almondshift.relay import application
from almondshift.relay import crash_watch
from almondshift.relay import group
from tests.coordination import network
from tests.fakes import routed as fake_routed

if TYPE_CHECKING:
    from almondshift.ports import path_engines

STEP_S = 0.1
JOINED_S = 4.0

RESTART_S = (2.0, 5.0)
"""Range of the time after which a crashed endpoint starts again, in seconds."""

MAX_CRASHES = crash_strikes.MAX_STRIKES

KNOWN_S = 4.0
"""The stated target: time after the third crash of a request from which hardly
any node may still run it, in seconds."""

SENDS_PER_ARRIVAL = 2
"""Endpoints that one arrival of a request may run at."""


class ClosedPorts:
    """Endpoints whose ports are closed."""

    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        del address, timeout_s
        return False


@dataclasses.dataclass(frozen=True, slots=True)
class StormOptions:
    """What happens to a group of nodes.

    Attributes:
        requests: Different requests that crash endpoints.
        arrivals_per_s: How often each of them arrives at some node.
        sound_in_flight: Sound requests that each crash interrupts.
        restart_interval_s: Time between restarts of nodes; 0 for none.
    """

    nodes: int
    endpoints: int
    requests: int
    arrivals_per_s: float = 3.5
    sound_in_flight: int = 1
    restart_interval_s: float = 0.0
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Endpoint:
    """An endpoint that starts again after each crash."""

    name: str
    starts: int = 0
    up_at: float = 0.0

    @property
    def instance(self) -> str:
        return f"{self.name}@{self.starts}"


class CrashStorm:
    """A group of nodes, endpoints, and requests that crash them.

    Attributes:
        crashes: By request, the times of its crashes.
        arrivals: By request, the times at which it reached an endpoint.
        steady_since: When each node started.
        unrefused: By request, the nodes that did not refuse it once
            ``KNOWN_S`` had passed since its third crash.
        refused_sound: Sound requests that were refused.
    """

    def __init__(self, options: StormOptions) -> None:
        self.options = options
        self.rng = random.Random(options.seed)
        self.cluster = network.Cluster(
            options.seed, application.MEMBERSHIP_SETTINGS
        )
        self.cluster.simulated_network.sent_bytes = {}
        self.watches: dict[str, crash_watch.CrashWatch] = {}
        self.endpoints = [
            Endpoint(f"i-{number:08x}") for number in range(options.endpoints)
        ]
        self.bad = [
            fake_routed.routed(f"bad{number}", f"bad{number}".encode())
            for number in range(options.requests)
        ]
        self.due = [
            self.rng.uniform(0.0, 1 / options.arrivals_per_s) for _ in self.bad
        ]
        self.crashes: dict[str, list[float]] = {}
        self.arrivals: dict[str, list[tuple[float, str]]] = {}
        self.steady_since: dict[str, float] = {}
        self.unrefused: dict[str, int] = {}
        self.to_answer: list[tuple[float, str, Any]] = []
        self.sound: list[Any] = []
        self.refused_sound = 0
        self.learning: list[Any] = []
        self.next_restart_at = options.restart_interval_s
        self.started_at = 0.0

    @property
    def now(self) -> float:
        return self.cluster.clock.monotonic() - self.started_at

    async def start(self) -> None:
        names = [f"edge-{number}" for number in range(self.options.nodes)]
        self.cluster.seeds = [network.address_of(name) for name in names]
        for name in names:
            await self.add_node(name)
        for _ in range(round(JOINED_S / STEP_S)):
            await self.cluster.clock.advance(STEP_S)
        self.started_at = self.cluster.clock.monotonic()
        self.steady_since = dict.fromkeys(names, 0.0)

    async def add_node(self, name: str) -> crash_watch.CrashWatch:
        address = network.address_of(name)
        node = membership.create_membership(
            network.MemoryLink(self.cluster.simulated_network, address),
            self.cluster.clock,
            random.Random(self.rng.random()),
            peer_types.NodeIdentity(name, address, f"{name}:80", "a"),
            self.cluster.seed_addresses,
            application.MEMBERSHIP_SETTINGS,
        )
        self.cluster.nodes[name] = node
        await node.start()
        ports: path_engines.PathEngines = ClosedPorts()  # type: ignore[assignment]
        watch = crash_watch.create_crash_watch(self.cluster.clock, ports)
        watch.join(group.Group(node))
        self.watches[name] = watch
        return watch

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            await self.restart_due()
            self.send_due()
            self.answer_due()
            await self.cluster.clock.advance(STEP_S)
            for watch in self.watches.values():
                watch.tick()
            self.check_refusals()

    async def restart_due(self) -> None:
        """Kills a node, and starts it again with nothing of before."""
        if not self.next_restart_at or self.now < self.next_restart_at:
            return
        self.next_restart_at += self.options.restart_interval_s
        name = self.rng.choice(sorted(self.watches))
        former = self.cluster.nodes[name]
        for task in list(former.tasks):
            task.cancel()
        self.cluster.kill(name)
        watch = await self.add_node(name)
        self.steady_since[name] = self.now
        self.learning.append(asyncio.create_task(watch.learn()))

    def check_refusals(self) -> None:
        """Counts the nodes that should refuse a request by now and don't."""
        for routed in self.bad:
            request = routed.request.request_id
            crashes = self.crashes.get(request, [])
            if request in self.unrefused or len(crashes) < MAX_CRASHES:
                continue
            if self.now > crashes[MAX_CRASHES - 1] + KNOWN_S:
                self.unrefused[request] = sum(
                    not watch.is_refused(routed)
                    for name, watch in self.watches.items()
                    if self.now > self.steady_since[name] + KNOWN_S
                )

    def send_due(self) -> None:
        for number, routed in enumerate(self.bad):
            while self.due[number] <= self.now:
                gap = 1 / self.options.arrivals_per_s
                self.due[number] += self.rng.uniform(0.5 * gap, 1.5 * gap)
                self.arrive(routed)

    def arrive(self, routed: Any) -> None:
        name = self.rng.choice(sorted(self.watches))
        watch = self.watches[name]
        for send in range(1, SENDS_PER_ARRIVAL + 1):
            if watch.is_refused(routed):
                return
            up = [e for e in self.endpoints if e.up_at <= self.now]
            if not up:
                return
            request = routed.request.request_id
            self.arrivals.setdefault(request, []).append((self.now, name))
            self.crash(self.rng.choice(up), name, routed, send)

    def crash(
        self, endpoint: Endpoint, name: str, routed: Any, send: int
    ) -> None:
        instance = endpoint.instance
        endpoint.starts += 1
        endpoint.up_at = self.now + self.rng.uniform(*RESTART_S)
        request = routed.request.request_id
        self.crashes.setdefault(request, []).append(self.now)
        self.break_off(name, routed, send, instance)
        for number in range(self.options.sound_in_flight):
            body = f"sound {instance} {number}".encode()
            sound = fake_routed.routed(body.decode(), body)
            at = self.rng.choice(sorted(self.watches))
            self.break_off(at, sound, 1, instance)
            self.sound.append(sound)
            self.to_answer.append((self.now + 1.0, at, sound))

    def break_off(
        self, name: str, routed: Any, send: int, instance: str
    ) -> None:
        watch = self.watches[name]
        watch.note_unanswered(routed, send, instance)
        watch.port_closed(instance)
        assert watch.group is not None
        kind = peers.FactKind.ENGINE_LOST
        if not watch.group.is_published(kind, instance):
            watch.group.publish_fact(
                kind, instance, b'"unreachable"', engine_tracker.SUSPECT_S
            )

    def answer_due(self) -> None:
        due = [item for item in self.to_answer if item[0] <= self.now]
        self.to_answer = [i for i in self.to_answer if i[0] > self.now]
        for _, name, sound in due:
            if self.watches[name].is_refused(sound):
                self.refused_sound += 1
            else:
                self.watches[name].note_answered(sound)

    def late_arrivals(self) -> dict[str, int]:
        """Returns how often each request reached an endpoint too late."""
        found = {}
        for request, crashes in self.crashes.items():
            if len(crashes) < MAX_CRASHES:
                continue
            since = crashes[MAX_CRASHES - 1] + KNOWN_S
            late = sum(
                at > since and at > self.steady_since[name] + KNOWN_S
                for at, name in self.arrivals[request]
            )
            if late:
                found[request] = late
        return found

    async def close(self) -> None:
        for task in self.learning:
            task.cancel()
        for node in self.cluster.nodes.values():
            await node.close()
