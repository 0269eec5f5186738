"""Shares dead engines with the other nodes, each of which verifies them.

Seven engines may die at a time while each of hundreds of nodes sends them a
request per second. If each node had to detect every dead engine itself,
its first request there would fail and use up retry budget, and its streams
would stall until it had queried the engine.

Therefore the first node that finds an engine dead notifies the others. They do
not rely on it, since a node with a faulty link would eject a healthy engine for
all. Each queries the engine itself, which takes a few milliseconds if its port
refuses connections and a tenth of a second if it does not respond.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.policy import engine_tracker
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import registered_engines
    from almondshift.ports import clocks
    from almondshift.relay import catalogue
    from almondshift.relay import group as relay_group
    from almondshift.relay import observer

FACT_KINDS = {
    engine_tracker.Suspicion.UNREACHABLE: peers.FactKind.ENGINE_LOST,
    engine_tracker.Suspicion.STALLED: peers.FactKind.ENGINE_LOST,
    engine_tracker.Suspicion.DRAINING: peers.FactKind.LEAVING,
}
"""Kind of the fact that is published for a suspicion. Other suspicions are not
published: the registry tells peers which engines are gone, and whether an
engine refuses may depend on the node that asks."""


class LostEngines:
    """Engines that this node or a peer suspects.

    Attributes:
        group: The other nodes; None before this node has joined them.
        on_peer_report: Called with an engine that a peer found dead, and the
            peer's name.
        is_isolated: Returns whether this node reaches no endpoint of a
            service. Then all seem dead to it, and peers are not notified.
        is_streaming: Returns whether streams currently receive events from an
            engine.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        registry: catalogue.Catalogue,
        tracker: engine_tracker.EngineTracker,
        relay_observer: observer.RelayObserver,
    ) -> None:
        self.clock = clock
        self.catalogue = registry
        self.tracker = tracker
        self.observer = relay_observer
        self.group: relay_group.Group | None = None
        self.on_peer_report: Callable[
            [registered_engines.RegisteredEngine, str], None
        ] = lambda engine, peer: None
        self.is_isolated: Callable[[str], bool] = lambda service: False
        self.is_streaming: Callable[[str], bool] = lambda instance: False

    def join(self, node_group: relay_group.Group) -> None:
        """Starts to exchange facts about dead engines with peers."""
        self.group = node_group
        node_group.subscribe_facts(peers.FactKind.ENGINE_LOST, self.handle_fact)

    def suspect(
        self,
        instance: str,
        reason: engine_tracker.Suspicion,
        found_by: engine_tracker.Evidence = engine_tracker.Evidence.REQUEST,
    ) -> None:
        """Ejects an engine for a while, and notifies peers.

        An engine that accepts no connections but still sends events is not
        dead: it closed its port to drain. Peers verify this themselves.
        """
        kind = FACT_KINDS.get(reason)
        if reason is engine_tracker.Suspicion.UNREACHABLE and self.is_streaming(
            instance
        ):
            reason = engine_tracker.Suspicion.DRAINING
        now = self.clock.monotonic()
        if not self.tracker.suspect(instance, reason, now):
            return
        self.observer.emit(
            log_events.EndpointEjected(
                instance,
                reason.value,
                round(self.tracker.state(instance).suspect_until - now, 3),
                found_by.value,
            )
        )
        engine = self.catalogue.engines.get(instance)
        if engine is not None and self.is_isolated(engine.service):
            return
        if self.group is None or kind is None:
            return
        if not self.group.is_published(kind, instance):
            value = f'"{reason.value}"'.encode()
            self.group.publish_fact(
                kind, instance, value, engine_tracker.SUSPECT_S
            )

    def restore(self, instance: str) -> None:
        """Clears the suspicion of an engine that responds again."""
        state = self.tracker.states.get(instance)
        if state is None or state.reason is None:
            return
        suspicion = state.reason
        seemed_ended = self.tracker.seems_ended(instance)
        self.tracker.clear_suspicion(instance)
        self.observer.emit(
            log_events.EndpointRestored(
                instance,
                round(self.clock.monotonic() - state.suspect_since, 3),
                suspicion.value,
                seemed_ended,
            )
        )

    def clear_refusal(self, instance: str) -> None:
        """Clears the suspicion of an engine whose entry was out of date.

        It refused a path over layers that it no longer holds, for which its
        new entry shows the right ones.
        """
        state = self.tracker.states.get(instance)
        if (
            state is not None
            and state.reason is engine_tracker.Suspicion.REFUSED
        ):
            self.restore(instance)

    def handle_fact(self, key: str, fact: peers.Fact | None) -> None:
        """Handles a peer's fact about an engine."""
        if fact is None or self.group is None:
            return
        if fact.origin == self.group.name or self.tracker.is_lost(key):
            return
        engine = self.catalogue.engines.get(key)
        if engine is not None:
            self.on_peer_report(engine, fact.origin)


def create_lost_engines(
    clock: clocks.Clock,
    registry: catalogue.Catalogue,
    tracker: engine_tracker.EngineTracker,
    relay_observer: observer.RelayObserver,
) -> LostEngines:
    """Creates the record of lost engines; ``join`` connects it to peers."""
    return LostEngines(clock, registry, tracker, relay_observer)
