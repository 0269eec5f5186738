"""Checks whether an endpoint that broke a connection still listens.

The process of a crashed endpoint accepts no connections, so that its host
refuses them. That shows a crash within milliseconds, while the endpoint's
registry entry stays until its lease ends, or for as long as the store does not
respond. An endpoint that only reset a connection still listens.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from almondshift.relay import background

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.ports import path_engines

CHECK_DELAYS_S = (0.0, 0.05, 0.2)
"""Pauses before the checks, in seconds; a process that is being killed closes
its connections and its port one after the other."""

CHECK_TIMEOUT_S = 0.12
"""Time-out of a check, in seconds; hosts in the region respond within
milliseconds."""

MAX_CHECKS = 64
"""Maximum number of endpoints that are checked at once."""


class PortChecks:
    """Checks the ports of endpoints.

    Attributes:
        checking: Instances that are being checked.
        on_closed: Called with an instance whose port is closed.
    """

    def __init__(self, engines: path_engines.PathEngines) -> None:
        self.engines = engines
        self.checking: set[str] = set()
        self.work = background.Background()
        self.on_closed: Callable[[str], None] = lambda instance: None

    async def close(self) -> None:
        """Cancels the checks."""
        await self.work.close()

    def is_checking(self, instance: str) -> bool:
        """Returns whether an endpoint is being checked."""
        return instance in self.checking

    def start(self, instance: str, address: str) -> None:
        """Starts to check an endpoint, unless that is under way."""
        if instance in self.checking or len(self.checking) >= MAX_CHECKS:
            return
        self.checking.add(instance)
        self.work.run(self.check(instance, address))

    async def check(self, instance: str, address: str) -> None:
        """Checks until the port is closed, a few times at most."""
        try:
            for delay_s in CHECK_DELAYS_S:
                await asyncio.sleep(delay_s)
                is_open = await self.engines.is_listening(
                    address, CHECK_TIMEOUT_S
                )
                if is_open is False:
                    break
        finally:
            self.checking.discard(instance)
        if is_open is False:
            self.on_closed(instance)


def create_port_checks(engines: path_engines.PathEngines) -> PortChecks:
    """Creates checks over calls to endpoints."""
    return PortChecks(engines)
