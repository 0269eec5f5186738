"""A group of nodes of which many lose their links to all endpoints at once."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

from almondshift import log_events
from tests.platform import cut_links
from tests.platform import standin_system as system

if TYPE_CHECKING:
    from almondshift.daemons import relay

CONTACT_S = 3.0
"""The stated target: time after a cut from which callers are served, in
seconds."""

JOIN_TIMEOUT_S = 40.0
STREAM_PATIENCE_S = 4.0
PLAIN_DEADLINE_MS = 1500

ROUTES = {"/chat/x": 58, "/look/x": 24, "/once/x": 18}
"""Paths of the requests, with their weights."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutOptions:
    """What happens to a group of nodes.

    Attributes:
        nodes: Number of nodes.
        cut_nodes: How many of them lose their links.
        cut: What happens to the links.
        requests_per_s: Rate of the requests to all nodes together.
        plain_health: Whether endpoints of the plain service can be queried.
        calm_s: Time before the cut in which requests are sent, in seconds.
        seconds: Duration of the cut.
        seed: Draws the nodes that are cut, and the requests.
    """

    nodes: int
    cut_nodes: int
    cut: cut_links.Cut = cut_links.Cut.ACCEPT
    requests_per_s: float = 20.0
    plain_health: bool = False
    calm_s: float = 2.0
    seconds: float = 9.0
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Try:
    """A request that was sent once.

    Attributes:
        at_s: Time since the cut, in seconds.
        node: Name of the node.
        is_served: Whether the response is complete and successful.
    """

    at_s: float
    node: str
    path: str
    status: int
    is_served: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Passed:
    """A request that a node passed to a peer.

    Attributes:
        at_s: Time since the cut, in seconds.
        is_cut: Whether the peer has lost its links too.
    """

    at_s: float
    service: str
    is_cut: bool


class CutGroup:
    """Cuts nodes of a running system off; sends requests meanwhile.

    Attributes:
        cut_names: Names of the nodes that lose their links.
        tries: The requests, in the order of their ends.
        passed: The requests that were passed to peers.
        detected: When each node that is cut first knew so, in seconds since the
            cut, by its name and the service.
    """

    def __init__(
        self, running: system.StandinSystem, options: CutOptions
    ) -> None:
        self.running = running
        self.options = options
        self.rng = random.Random(options.seed)
        self.loop = asyncio.get_running_loop()
        self.cut_at = self.loop.time() + options.calm_s
        self.cut_processes = self.rng.sample(running.nodes, options.cut_nodes)
        self.cut_names = {name_of(process) for process in self.cut_processes}
        self.pools = [
            cut_links.create_cuttable_pool(process)
            for process in self.cut_processes
        ]
        self.tries: list[Try] = []
        self.passed: list[Passed] = []
        self.detected: dict[tuple[str, str], float] = {}
        for process in running.nodes:
            self.record_events(process)

    @property
    def now_s(self) -> float:
        """Seconds since the cut."""
        return self.loop.time() - self.cut_at

    def record_events(self, process: relay.RelayProcess) -> None:
        """Records what a node logs of its links and of its peers."""
        name = name_of(process)
        observer = process.node.shared.observer

        def record(event: log_events.Event) -> None:
            if isinstance(event, log_events.EndpointsUnreachable):
                self.detected.setdefault((name, event.service), self.now_s)
            elif isinstance(event, log_events.RequestPassedToPeer):
                is_cut = event.peer in self.cut_names
                self.passed.append(Passed(self.now_s, event.service, is_cut))

        observer.emit = record  # type: ignore[method-assign]

    async def run(self) -> None:
        """Sends requests before and during the cut, and ends it."""
        sending = asyncio.create_task(self.send_all())
        await asyncio.sleep(self.options.calm_s)
        for pool in self.pools:
            pool.begin(self.options.cut)
        await sending
        for pool in self.pools:
            pool.end()

    async def send_all(self) -> None:
        """Sends requests at a steady rate, whatever their responses."""
        if not self.options.requests_per_s:
            await asyncio.sleep(self.options.seconds - self.now_s)
            return
        sending = []
        gap_s = 1 / self.options.requests_per_s
        while self.now_s < self.options.seconds:
            sending.append(asyncio.create_task(self.send_one(len(sending))))
            await asyncio.sleep(self.rng.uniform(0.5 * gap_s, 1.5 * gap_s))
        await asyncio.gather(*sending)

    async def send_one(self, number: int) -> None:
        """Sends a request to a random node; records what its caller gets."""
        process = self.rng.choice(self.running.nodes)
        [path] = self.rng.choices(list(ROUTES), list(ROUTES.values()))
        at_s = self.now_s
        fields = {}
        if path != "/chat/x":
            fields["X-Deadline-Ms"] = str(PLAIN_DEADLINE_MS)
        head = system.request(path, f"r{number}", **fields)
        try:
            async with asyncio.timeout(STREAM_PATIENCE_S):
                status, _, body = await system.send(
                    process.settings.entry.address, head, b"x"
                )
        except TimeoutError:
            status, body = 0, b""
        is_served = status == 200 and bool(body)
        self.tries.append(Try(at_s, name_of(process), path, status, is_served))

    def served_when_due(
        self, at_cut_nodes: bool, paths: tuple[str, ...] = tuple(ROUTES)
    ) -> tuple[int, int]:
        """Returns how many tries were served, and how many there were.

        Of those during the cut from ``CONTACT_S`` on.

        Args:
            at_cut_nodes: Whether to count those at nodes that are cut, or those
                at the others.
            paths: Paths that are counted.
        """
        due = [
            t.is_served
            for t in self.tries
            if t.at_s >= CONTACT_S
            and (t.node in self.cut_names) is at_cut_nodes
            and t.path in paths
        ]
        return sum(due), len(due)

    def passed_to_cut_peers(self, from_s: float) -> tuple[int, int]:
        """Returns how many requests were passed to a peer that is cut too.

        And how many were passed at all, both from a time on.
        """
        passed = [p.is_cut for p in self.passed if p.at_s >= from_s]
        return sum(passed), len(passed)

    def undetected(self, service: str, within_s: float) -> int:
        """Returns how many nodes did not know in time that they are cut."""
        return sum(
            self.detected.get((name, service), within_s + 1) > within_s
            for name in self.cut_names
        )


def name_of(process: relay.RelayProcess) -> str:
    """Returns the name of a node."""
    return process.settings.node.name


async def run_cut(options: CutOptions) -> CutGroup:
    """Starts a group, waits until all nodes know each other, and cuts it."""
    async with system.running_system(nodes=options.nodes) as running:
        if not options.plain_health:
            await remove_plain_health(running)
        others = options.nodes - 1
        await running.until(
            lambda: all(
                process.node.group
                and len(process.node.group.serving()) == others
                for process in running.nodes
            ),
            JOIN_TIMEOUT_S,
        )
        group = CutGroup(running, options)
        await group.run()
        return group


async def remove_plain_health(running: system.StandinSystem) -> None:
    """Leaves the plain service without a health check."""
    changed = system.config(2)
    changed["services"][1].pop("healthPath")
    running.store.put("op", "config", changed)
    await running.until(
        lambda: all(
            process.node.catalogue.config
            and process.node.catalogue.config.version == 2
            for process in running.nodes
        )
    )
