"""Engines found dead, told to the other nodes and checked by each.

Load pattern: engines die by sevens while hundreds of nodes send them a request
a second each. Each node learns of each dead engine by itself: its first
request there fails and spends of the repeats that it may send, and its
streams stand still until it has asked.

So the first node that finds an engine dead tells the others. None of them
believes it: a node whose own link is bad would take a sound engine from all.
Each asks the engine itself, which takes a few ms where its port refuses and a
tenth of a second where it says nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift import log_events
from almondshift.policy import engine_book
from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import registered_engines
    from almondshift.ports import clocks
    from almondshift.relay import catalogue
    from almondshift.relay import group as relay_group
    from almondshift.relay import observer

TOLD = {
    engine_book.Suspicion.UNREACHABLE: peers.FactKind.ENGINE_LOST,
    engine_book.Suspicion.STALLED: peers.FactKind.ENGINE_LOST,
    engine_book.Suspicion.DRAINING: peers.FactKind.LEAVING,
}
"""Kind of fact by which peers learn of a suspicion. They learn of others from
the registry, and whether an engine refuses may depend on who asks."""


class LostEngines:
    """Suspects of this node and of its peers.

    Attributes:
        group: The other nodes; None before they are known.
        on_told: Called with an engine that a peer found dead, and the peer.
        is_heard: Whether streams get answers from an engine at this moment.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        registry: catalogue.Catalogue,
        book: engine_book.EngineBook,
        seen: observer.RelayObserver,
    ) -> None:
        self.clock = clock
        self.catalogue = registry
        self.book = book
        self.observer = seen
        self.group: relay_group.Group | None = None
        self.on_told: Callable[
            [registered_engines.RegisteredEngine, str], None
        ] = lambda engine, peer: None
        self.is_heard: Callable[[str], bool] = lambda instance: False

    def join(self, joined: relay_group.Group) -> None:
        """Begins to tell peers, and to hear from them."""
        self.group = joined
        joined.on_told(peers.FactKind.ENGINE_LOST, self.take_fact)

    def suspect(self, instance: str, reason: engine_book.Suspicion) -> None:
        """Gives an engine no new work for a while, and tells peers.

        An engine that accepts no connection and still answers streams is not
        dead: it closed its port to drain. Peers check it for themselves.
        """
        kind = TOLD.get(reason)
        if reason is engine_book.Suspicion.UNREACHABLE and self.is_heard(
            instance
        ):
            reason = engine_book.Suspicion.DRAINING
        if not self.book.suspect(instance, reason, self.clock.monotonic()):
            return
        self.observer.emit(
            log_events.EndpointEjected(
                instance, reason.value, engine_book.SUSPECT_S
            )
        )
        if self.group is None or kind is None:
            return
        if not self.group.is_told(kind, instance):
            value = f'"{reason.value}"'.encode()
            self.group.tell(kind, instance, value, engine_book.SUSPECT_S)

    def take_fact(self, key: str, fact: peers.Fact | None) -> None:
        """Takes what a peer says of an engine."""
        if fact is None or self.group is None:
            return
        if fact.origin == self.group.name or self.book.is_lost(key):
            return
        engine = self.catalogue.engines.get(key)
        if engine is not None:
            self.on_told(engine, fact.origin)


def create_lost_engines(
    clock: clocks.Clock,
    registry: catalogue.Catalogue,
    book: engine_book.EngineBook,
    seen: observer.RelayObserver,
) -> LostEngines:
    """Creates what tells peers once it has joined them."""
    return LostEngines(clock, registry, book, seen)
