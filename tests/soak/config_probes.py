"""Requests that reveal which configuration is in force on each node."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from tests.soak import callers
from tests.soak import layout

if TYPE_CHECKING:
    from tests.soak import judge as soak_judge
    from tests.soak import system as soak_system

PROBE_MARGIN_S = 0.1


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
        system.on_change = self.begin

    def begin(self, change: ConfigChange) -> None:
        task = asyncio.create_task(self.probe_all(change))
        self.tasks.add(task)

    async def finish(self) -> None:
        await asyncio.gather(*self.tasks)

    async def probe_all(self, change: ConfigChange) -> None:
        due = change.acked_at + layout.CONFIG_APPLY_S + PROBE_MARGIN_S
        await asyncio.sleep(due - time.monotonic())
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
        self.judge.record_sent(request)
        await connection.exchange(request)
        connection.close()
        is_newest = change.version == self.system.configuration.version
        if request.expected is callers.Expected.ADDED and not is_newest:
            # A later version may have revoked what this one allowed.
            request.expected = callers.Expected.UNKNOWN
        self.judge.check_answer(request)
