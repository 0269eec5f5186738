"""Requests that show which configuration is in force at each node."""

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

MARGIN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigChange:
    """What a version of the configuration allows or denies from now on.

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
    """Asks all nodes for what was changed, once it must be in force."""

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
        due = change.acked_at + layout.CONFIG_APPLY_S + MARGIN_S
        await asyncio.sleep(due - time.monotonic())
        nodes = self.system.nodes
        await asyncio.gather(*(self.probe(change, node) for node in nodes))

    async def probe(
        self, change: ConfigChange, node: soak_system.NodePart
    ) -> None:
        assert node.front is not None
        try:
            channel = await callers.open_channel(node.name, node.front.address)
        except OSError:
            return
        self.prober.sent += 1
        request = self.prober.make(node.name, change.route, 0)
        request.key, request.account = change.key, change.account
        request.expected = change.expected
        request.acked_at = change.acked_at
        self.judge.sending(request)
        await channel.exchange(request)
        channel.close()
        is_newest = change.version == self.system.configuration.version
        if request.expected is callers.Expected.ADDED and not is_newest:
            # A later version may have taken back what this one allowed.
            request.expected = callers.Expected.UNKNOWN
        self.judge.answered(request)
