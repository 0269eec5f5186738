"""Requests that reveal which configuration is in force on each node."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from tests.soak import callers
from tests.soak import layout

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from tests.soak import judge as soak_judge
    from tests.soak import system as soak_system

PROBE_MARGIN_S = 0.1
WATCH_S = 12.0
WATCH_INTERVAL_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChange:
    """A request that a configuration version newly allows or denies.

    Attributes:
        version: The version that was acked at ``acked_at``.
    """

    version: int
    acked_at: float
    route: str
    key: str
    account: str
    expected: callers.Expected


class ConfigProbes:
    """Probes all nodes for a change once it must be in force."""

    def __init__(
        self, system: soak_system.SoakSystem, judge: soak_judge.Judge
    ) -> None:
        self.system = system
        self.prober = callers.SoakCaller(-2, system, judge)
        self.judge = judge
        self.tasks: set[asyncio.Task[None]] = set()
        self.latest: list[ConfigChange] = []
        system.on_change = self.begin

    def begin(self, change: ConfigChange) -> None:
        self.add(self.probe_when_due(change))
        if self.system.options.restores:
            same = [c for c in self.latest if c.version == change.version]
            self.latest = [*same, change]
            self.add(self.watch(change))

    def add(self, probing: Coroutine[None, None, None]) -> None:
        self.tasks.add(asyncio.create_task(probing))

    async def finish(self) -> None:
        await asyncio.gather(*self.tasks)

    async def probe_when_due(self, change: ConfigChange) -> None:
        due = change.acked_at + layout.CONFIG_APPLY_S + PROBE_MARGIN_S
        await asyncio.sleep(due - time.monotonic())
        await self.probe_all(change)

    async def watch(self, change: ConfigChange) -> None:
        """Probes repeatedly whether the latest change stays in force."""
        while time.monotonic() < change.acked_at + WATCH_S:
            await asyncio.sleep(WATCH_INTERVAL_S)
            if change not in self.latest:
                return
            await self.probe_all(change)

    async def probe_all(self, change: ConfigChange) -> None:
        nodes = self.system.nodes
        await asyncio.gather(*(self.probe(change, node) for node in nodes))

    async def probe(
        self, change: ConfigChange, node: soak_system.NodeProcess
    ) -> None:
        assert node.front is not None
        try:
            connection = await callers.open_node_connection(
                node.name, node.front.address
            )
        except OSError:
            return
        self.prober.sent += 1
        request = self.prober.make_request(node.name, change.route, 0)
        request.key, request.account = change.key, change.account
        request.expected = change.expected
        request.acked_at = change.acked_at
        request.version = change.version
        self.judge.record_sent(request)
        await connection.exchange(request)
        connection.close()
        if change.expected is callers.Expected.ADDED and request.status == 200:
            request.proven_version = change.version
        is_newest = change.version == self.system.configuration.version
        if request.expected is callers.Expected.ADDED and not is_newest:
            # A later version may have revoked what this one allowed.
            request.expected = callers.Expected.UNKNOWN
        self.judge.check_answer(request)
