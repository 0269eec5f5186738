"""Engines that refuse new work before the registry lists them as leaving.

If engines are drained during a store outage, the registry still lists them as
ready, and every node sends them requests. Each refusal uses up one of the few
attempts of a request, and after several refusals the caller is refused although
other engines have capacity.

An engine that is out of memory refuses in the same way and has capacity again
within half a second. Therefore a refusal triggers the engine's health check,
which fails while it drains. Such an engine gets no new work, and peers are
notified; each checks the engine itself, since its own network path may differ.

An engine may also say in any response that it shuts down. It gets no new work
from then on, whatever its entry says.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from almondshift.policy import engine_tracker
from almondshift.ports import peers
from almondshift.relay import background

if TYPE_CHECKING:
    from almondshift.model import registered_engines
    from almondshift.ports import clocks
    from almondshift.ports import path_engines
    from almondshift.relay import catalogue
    from almondshift.relay import group as relay_group
    from almondshift.relay import lost_engines

HEALTH_TIMEOUT_S = 0.3
CHECK_GAP_S = 0.5
"""Minimum interval between health checks of one engine, in seconds."""

LEAVING_FACT_S = 3.0
"""Validity of the fact that an engine shuts down, in seconds; peers check it at
once."""

MAX_CHECKS = 24
"""Maximum concurrent checks. A check that is skipped is triggered again by the
engine's next refusal."""


class RefusingEngines:
    """Checks engines that refuse work.

    Attributes:
        checked_at: Monotonic time of the last check, by instance.
        group: The other nodes; None before this node has joined them.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        registry: catalogue.Catalogue,
        tracker: engine_tracker.EngineTracker,
        engines: path_engines.PathEngines,
        lost: lost_engines.LostEngines,
    ) -> None:
        self.clock = clock
        self.catalogue = registry
        self.tracker = tracker
        self.engines = engines
        self.lost = lost
        self.checked_at: dict[str, float] = {}
        self.group: relay_group.Group | None = None
        self.work = background.Background()

    def join(self, node_group: relay_group.Group) -> None:
        """Starts to exchange facts about draining engines with peers."""
        self.group = node_group
        node_group.subscribe_facts(peers.FactKind.LEAVING, self.handle_fact)

    async def close(self) -> None:
        """Cancels the checks."""
        await self.work.close()

    def handle_fact(self, key: str, fact: peers.Fact | None) -> None:
        """Checks an engine that is draining according to a peer."""
        if fact is not None:
            self.check(key)

    def note_leaving(self, instance: str) -> None:
        """Records that an engine said that it shuts down; notifies peers."""
        if not self.catalogue.mark_leaving(instance) or self.group is None:
            return
        kind = peers.FactKind.LEAVING
        if not self.group.is_published(kind, instance):
            value = f'"{engine_tracker.Suspicion.DRAINING}"'.encode()
            self.group.publish_fact(kind, instance, value, LEAVING_FACT_S)

    def check(self, instance: str) -> None:
        """Starts a check unless one was started recently."""
        engine = self.catalogue.engines.get(instance)
        if (
            engine is None
            or engine.leaving
            or self.tracker.is_suspect(instance)
        ):
            return
        now = self.clock.monotonic()
        if now - self.checked_at.get(instance, -math.inf) < CHECK_GAP_S:
            return
        if len(self.work) >= MAX_CHECKS:
            return
        self.checked_at[instance] = now
        self.work.run(self.check_health(engine))

    async def check_health(
        self, engine: registered_engines.RegisteredEngine
    ) -> None:
        """Ejects an engine if its health check fails."""
        if await self.is_healthy(engine) is not False:
            return
        if not self.tracker.is_suspect(engine.instance):
            reason = engine_tracker.Suspicion.DRAINING
            self.lost.suspect(
                engine.instance, reason, engine_tracker.Evidence.HEALTH_CHECK
            )

    async def is_healthy(
        self, engine: registered_engines.RegisteredEngine
    ) -> bool | None:
        """Returns the result of the health check.

        None if the engine's service is not configured or has no health check,
        or if the check gave no result.
        """
        config = self.catalogue.config
        service = config.services.get(engine.service) if config else None
        if service is None or not service.health_path:
            return None
        return await self.engines.is_healthy(
            engine.address, service.health_path, HEALTH_TIMEOUT_S
        )

    def forget(self, instance: str) -> None:
        """Drops an engine that is gone."""
        self.checked_at.pop(instance, None)


def create_refusing_engines(
    clock: clocks.Clock,
    registry: catalogue.Catalogue,
    tracker: engine_tracker.EngineTracker,
    engines: path_engines.PathEngines,
    lost: lost_engines.LostEngines,
) -> RefusingEngines:
    """Creates the checks; they report draining engines to ``lost``."""
    return RefusingEngines(clock, registry, tracker, engines, lost)
