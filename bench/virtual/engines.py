"""A simulated engine with sessions, priorities, batches and prefix cache."""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

from almondshift.model import endpoints

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.model import layers
    from bench.virtual import simulation

CACHED_PREFIXES = 16


@dataclasses.dataclass(slots=True)
class Item:
    """Work of one request for one engine."""

    request_id: str
    priority: int
    tokens: int
    layers: int
    prefixes: tuple[int, ...]
    done: Callable[[], None]
    failed: Callable[[], None]


class VirtualEngine:
    """Runs items in batches; can be slowed down or killed.

    Attributes:
        slowdown: Factor on the duration of a batch.
        is_dead: Whether the engine was killed; it then answers no items.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        description: endpoints.EndpointDescription,
        zone: str,
        holdings: tuple[endpoints.Holding, ...],
    ) -> None:
        self.sim = sim
        self.description = description
        self.zone = zone
        self.holdings = holdings
        self.slowdown = 1.0
        self.extra_link_s = 0.0
        self.is_dead = False
        self.sessions: set[str] = set()
        self.busy_s = 0.0
        self._waiting: list[tuple[int, int, Item]] = []
        self._running: list[Item] = []
        self._order = 0
        self._cache: dict[int, None] = {}
        self._sequence = 0
        self._events: list[endpoints.CacheEvent] = []

    @property
    def vm(self) -> endpoints.Vm:
        """The engine's entry in the VM list."""
        name = self.description.name
        return endpoints.Vm(
            name,
            f"{name}:1",
            self.zone,
            endpoints.EndpointKind.ENGINE,
            "",
            endpoints.VmState.LIVE,
        )

    def layers_held(self) -> layers.LayerRange:
        """Returns the range of its first holding."""
        return self.holdings[0].layers

    def open_session(self, request_id: str) -> bool:
        """Opens a session unless ``max_sessions`` are open."""
        if request_id in self.sessions:
            return True
        if len(self.sessions) >= self.description.max_sessions:
            return False
        self.sessions.add(request_id)
        return True

    def submit(self, item: Item) -> None:
        """Queues an item."""
        self._order += 1
        heapq.heappush(self._waiting, (item.priority, self._order, item))
        if not self._running:
            self._run_batch()

    def cancel(self, request_id: str) -> None:
        """Closes a session; its queued items are then skipped."""
        self.sessions.discard(request_id)

    def kill(self) -> None:
        """Fails the engine with all of its queued and running items."""
        self.is_dead = True
        failed_items = self._running + [entry[2] for entry in self._waiting]
        self._waiting.clear()
        self._running = []
        for item in failed_items:
            item.failed()

    def report(self, age_s: float) -> endpoints.LoadReport:
        """Returns its load report."""
        name = self.description.name
        return endpoints.LoadReport(
            name,
            self.description.instance,
            endpoints.EndpointRole.SERVING,
            False,
            self.holdings,
            len(self.sessions),
            len(self._waiting),
            1,
            age_s,
        )

    def take_cache_events(self) -> tuple[endpoints.CacheEvent, ...]:
        """Returns the cache events since the last call."""
        events = tuple(self._events)
        self._events.clear()
        return events

    def _run_batch(self) -> None:
        batch: list[Item] = []
        while self._waiting and len(batch) < self.description.max_batch:
            item = heapq.heappop(self._waiting)[2]
            if item.request_id in self.sessions:
                batch.append(item)
        if not batch:
            return
        self._running = batch
        work = sum(self._uncached_tokens(item) * item.layers for item in batch)
        seconds = self.description.fixed_s
        seconds += self.description.per_layer_token_s * work
        seconds *= self.slowdown
        self.busy_s += seconds
        self.sim.after(seconds, self._finish, batch)

    def _finish(self, batch: list[Item]) -> None:
        if self.is_dead:
            return
        self._running = []
        for item in batch:
            self._cache_prefixes(item.prefixes)
            item.done()
        if not self._running:
            self._run_batch()

    def _uncached_tokens(self, item: Item) -> float:
        """Returns the tokens to compute, without those of cached prefixes."""
        for index, prefix in enumerate(item.prefixes):
            if prefix in self._cache:
                return item.tokens * index / len(item.prefixes)
        return item.tokens

    def _cache_prefixes(self, prefixes: tuple[int, ...]) -> None:
        for prefix in prefixes:
            known = prefix in self._cache
            self._cache.pop(prefix, None)
            self._cache[prefix] = None
            if not known:
                self._record_event(prefix, added=True)
            if len(self._cache) > CACHED_PREFIXES:
                oldest = next(iter(self._cache))
                del self._cache[oldest]
                self._record_event(oldest, added=False)

    def _record_event(self, prefix: int, *, added: bool) -> None:
        self._sequence += 1
        self._events.append(endpoints.CacheEvent(self._sequence, prefix, added))
