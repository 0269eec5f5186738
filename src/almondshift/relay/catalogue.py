"""This node's view of the configuration and of the engine registry."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

import expression

from almondshift import errors
from almondshift import log_events
from almondshift.model import layers as model_layers
from almondshift.policy import engine_starts
from almondshift.policy import path_candidates
from almondshift.relay import row_order

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import registered_engines
    from almondshift.model import relayed
    from almondshift.model import routing_config
    from almondshift.ports import row_feeds

REMOVAL_GRACE_S = 1.8
"""Time after a store outage in which removals are held back, in seconds.
Entries that expired during the outage are written again within about two
seconds. The grace period is slightly shorter, so that an engine that really
left gets work for at most those two seconds."""

MAX_LOGGED_ENGINES = 20
"""Maximum number of new engines in one registry read that are logged one by
one."""

LEFT = "left the registry"
UNREADABLE = "its entry can't be read"
RESTARTED = "started again"
"""Reasons that are logged when an engine is dropped."""

MAX_ANNOUNCED = 1_024
"""Maximum number of instances that are kept as shutting down by their own
responses; more than an operator replaces within hours."""

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Decoders:
    """Decoders of the store's rows.

    Attributes:
        config: Decodes a configuration.
        engine: Decodes an engine's entry, given its row key.
        config_order: Orders configurations.
        engine_order: Orders entries of one engine.
    """

    config: Callable[
        [bytes],
        expression.Result[routing_config.RoutingConfig, errors.ConfigInvalid],
    ]
    engine: Callable[
        [str, bytes],
        expression.Result[
            registered_engines.RegisteredEngine, errors.ConfigInvalid
        ],
    ]
    config_order: row_order.RowOrder = row_order.UNORDERED
    engine_order: row_order.RowOrder = row_order.UNORDERED


class Catalogue:
    """The newest configuration and the registered engines.

    Attributes:
        config: The newest known configuration; None before the first.
        engines: Engines by instance, which identifies one start of an engine.
        current_instances: The current instance of each engine, by row key of
            the registry.
        version: Incremented with each change of the engines.
        unlogged: New engines that have not been logged yet.
        pending_removals: Monotonic time at which a removal that is held back
            takes effect, by row key.
        announced_leaving: Instances that said themselves that they shut down,
            the latest last. Their entries may call them ready, and may come
            back after they were removed during a store outage.
        on_config: Called after each new configuration.
        on_leaving: Called with an engine that starts to shut down.
        on_gone: Called with an engine that is gone.
        on_restarted: Called with the previous instance of an engine that
            restarted under the same name, before ``on_gone`` is called with it.
        on_engine: Called with an engine that is new or changed.
    """

    def __init__(self, decoders: Decoders, config_key: str) -> None:
        self.decoders = decoders
        self.config_key = config_key
        self.config: routing_config.RoutingConfig | None = None
        self.engines: dict[str, registered_engines.RegisteredEngine] = {}
        self.current_instances: dict[str, str] = {}
        self.starts = engine_starts.create_engine_starts()
        self.version = 0
        self.unlogged: list[registered_engines.RegisteredEngine] = []
        self.pending_removals: dict[str, float] = {}
        self.announced_leaving: dict[str, None] = {}
        self.views: dict[str, path_candidates.FleetView] = {}
        self.on_config: list[Callable[[], None]] = []
        self.on_leaving: list[
            Callable[[registered_engines.RegisteredEngine], None]
        ] = []
        self.on_gone: list[
            Callable[[registered_engines.RegisteredEngine], None]
        ] = []
        self.on_restarted: list[
            Callable[[registered_engines.RegisteredEngine], None]
        ] = []
        self.on_engine: list[
            Callable[[registered_engines.RegisteredEngine], None]
        ] = []

    def apply_config_row(self, row: row_feeds.FeedRow, verified: bool) -> None:
        """Applies a row of the operators' table.

        An older version never replaces a newer one, since rows arrive from the
        store and from peers in any order.
        """
        if row.key != self.config_key or row.value is None:
            return
        decoded = self.decoders.config(row.value)
        previous = self.config.version if self.config is not None else 0
        if decoded.is_error():
            detail = str(decoded.error)
            log_events.emit(
                logger, log_events.ConfigUnreadable(previous, detail)
            )
            return
        if decoded.ok.version <= previous and self.config is not None:
            return
        self.config = decoded.ok
        self.views.clear()
        log_events.emit(
            logger,
            log_events.ConfigApplied(decoded.ok.version, previous, verified),
        )
        for callback in self.on_config:
            callback()

    def apply_engine_row(
        self, row: row_feeds.FeedRow, now: float, outage_ended_at: float
    ) -> None:
        """Applies a row of the registry.

        Args:
            row: The row, or its removal.
            now: Monotonic seconds.
            outage_ended_at: End of the last store outage, in monotonic seconds;
                entries of live engines may have expired during the outage.
        """
        self._apply_row(row, now, outage_ended_at)
        self._log_new_engines()

    def _apply_row(
        self, row: row_feeds.FeedRow, now: float, outage_ended_at: float
    ) -> None:
        if row.value is None:
            self._apply_removal(row.key, now, outage_ended_at)
            return
        self.pending_removals.pop(row.key, None)
        try:
            decoded = self.decoders.engine(row.key, row.value)
        except Exception as error:
            # Entries of other writers must not keep this node from the rest.
            decoded = expression.Error(_undecodable_error(error))
        if decoded.is_error():
            detail = str(decoded.error)
            log_events.emit(
                logger, log_events.EndpointUnreadable(row.key, detail)
            )
            # The engine gets no work until its entry can be decoded again.
            self._drop(row.key, UNREADABLE)
            return
        if self._is_current_start(row, decoded.ok, now):
            self._set_engine(row.key, decoded.ok)

    def apply_whole_registry(
        self,
        rows: tuple[row_feeds.FeedRow, ...],
        now: float,
        outage_ended_at: float,
    ) -> None:
        """Applies a full read of the registry; rows not in it were removed."""
        present = {row.key for row in rows}
        for row in rows:
            self._apply_row(row, now, outage_ended_at)
        self._log_new_engines()
        for key in [
            key for key in self.current_instances if key not in present
        ]:
            self._apply_removal(key, now, outage_ended_at)

    def has_due_removals(self, now: float) -> bool:
        """Returns whether some removal is no longer held back."""
        return any(at <= now for at in self.pending_removals.values())

    def expire_removals(self, now: float) -> None:
        """Drops engines whose removal is no longer held back."""
        for key in [
            key for key, at in self.pending_removals.items() if at <= now
        ]:
            self._drop(key)

    def of_service(
        self, service: str
    ) -> list[registered_engines.RegisteredEngine]:
        """Returns the engines of a service."""
        return [e for e in self.engines.values() if e.service == service]

    def by_address(
        self, address: str
    ) -> registered_engines.RegisteredEngine | None:
        """Returns the engine that was registered last at an address."""
        found = None
        for engine in self.engines.values():
            if engine.address == address:
                found = engine
        return found

    def holds(self, part: relayed.PathPart) -> bool:
        """Returns whether an engine's entry shows the layers of a part."""
        engine = self.engines.get(part.instance)
        if engine is None or engine.layers is None:
            return False
        return engine.layers.covers(
            model_layers.LayerRange(part.start, part.end)
        )

    def view(self, service: str) -> path_candidates.FleetView | None:
        """Returns a service's engines and spec; None if it has no spec."""
        cached = self.views.get(service)
        if cached is not None:
            return cached
        if self.config is None:
            return None
        service_config = self.config.services.get(service)
        if service_config is None or service_config.engine is None:
            return None
        created = path_candidates.FleetView(
            service=service,
            spec=service_config.engine,
            engines=tuple(self.of_service(service)),
            version=self.version,
        )
        self.views[service] = created
        return created

    def _is_current_start(
        self,
        row: row_feeds.FeedRow,
        engine: registered_engines.RegisteredEngine,
        now: float,
    ) -> bool:
        """Returns whether a row belongs to the current start of an engine.

        A write of the previous start may reach the store after the first write
        of the new one, and a peer may still hold the old row. Applying it
        would restore layers that the new start does not hold.
        """
        accepted_start = self.starts.accepted_start(row.key)
        status = self.starts.classify_row(
            row.key, engine.born_ms, row.revision, now
        )
        if status is engine_starts.RowStatus.LATE:
            event = log_events.StaleEndpointEntry(
                row.key, engine.born_ms, accepted_start
            )
            log_events.emit(logger, event)
            return False
        if status is engine_starts.RowStatus.REPLACES:
            log_events.emit(
                logger,
                log_events.EndpointStartCorrected(
                    row.key, engine.born_ms, accepted_start
                ),
            )
        return True

    def _set_engine(
        self, key: str, engine: registered_engines.RegisteredEngine
    ) -> None:
        if engine.instance in self.announced_leaving:
            engine = dataclasses.replace(engine, leaving=True)
        previous = self.engines.get(engine.instance)
        if previous == engine:
            return
        replaced = self.engines.get(self.current_instances.get(key, ""))
        if replaced is not None and replaced.instance != engine.instance:
            for callback in self.on_restarted:
                callback(replaced)
            self._drop(key, RESTARTED)
        self.current_instances[key] = engine.instance
        self.engines[engine.instance] = engine
        self._record_change()
        if previous is None:
            self.unlogged.append(engine)
        if engine.leaving and (previous is None or not previous.leaving):
            self._begin_leaving(engine, "registry")
        for callback in self.on_engine:
            callback(engine)

    def mark_leaving(self, instance: str) -> bool:
        """Records that an engine said in a response that it shuts down.

        Returns:
            Whether it was not known to do so.
        """
        engine = self.engines.get(instance)
        if engine is None or instance in self.announced_leaving:
            return False
        self.announced_leaving[instance] = None
        if len(self.announced_leaving) > MAX_ANNOUNCED:
            del self.announced_leaving[next(iter(self.announced_leaving))]
        if engine.leaving:
            return False
        leaving = dataclasses.replace(engine, leaving=True)
        self.engines[instance] = leaving
        self._record_change()
        self._begin_leaving(leaving, "response")
        return True

    def _begin_leaving(
        self, engine: registered_engines.RegisteredEngine, source: str
    ) -> None:
        log_events.emit(
            logger, log_events.EndpointLeaving(engine.instance, source)
        )
        for callback in self.on_leaving:
            callback(engine)

    def _log_new_engines(self) -> None:
        """Logs new engines, with a single line if there are many.

        A line for each of thousands of engines would use up the log's rate
        limit, and lines about decisions would be dropped.
        """
        new, self.unlogged = self.unlogged, []
        if len(new) > MAX_LOGGED_ENGINES:
            event = log_events.RegistryRead(len(self.engines), len(new))
            log_events.emit(logger, event)
            return
        for engine in new:
            log_events.emit(
                logger,
                log_events.EndpointSeen(
                    engine.instance, engine.zone, engine.kind
                ),
            )

    def _apply_removal(
        self, key: str, now: float, outage_ended_at: float
    ) -> None:
        if key not in self.current_instances:
            return
        held_until = outage_ended_at + REMOVAL_GRACE_S
        if now < held_until:
            self.pending_removals[key] = held_until
            return
        self._drop(key)

    def _drop(self, key: str, reason: str = LEFT) -> None:
        self.pending_removals.pop(key, None)
        instance = self.current_instances.pop(key, "")
        engine = self.engines.pop(instance, None)
        if engine is None:
            return
        self._record_change()
        log_events.emit(logger, log_events.EndpointGone(instance, reason))
        for callback in self.on_gone:
            callback(engine)

    def _record_change(self) -> None:
        self.version += 1
        self.views.clear()


def _undecodable_error(error: Exception) -> errors.ConfigInvalid:
    return errors.ConfigInvalid(
        f"The registry entry can't be decoded: {error!r}.",
        section="registry",
        key=None,
        remedy="Remove the entry, or write a valid one.",
    )
