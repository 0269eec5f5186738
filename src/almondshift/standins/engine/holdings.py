"""What the engine holds, and how orders change it."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
from typing import TYPE_CHECKING
from typing import Protocol

from almondshift.model import endpoints
from almondshift.model import layers
from almondshift.model import orders

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from almondshift.standins.engine import sessions
    from almondshift.standins.engine import settings as engine_settings

SEEN_LIMIT = 10_000

Weights = tuple[str, int, int]
"""Model, version and layer."""


class Needs(Protocol):
    """What an item, a session and a snapshot have in common."""

    @property
    def model(self) -> str:
        """The model's name."""

    @property
    def version(self) -> int:
        """The model's version."""

    @property
    def adapter(self) -> str:
        """The adapter, or ``""``."""

    @property
    def layers(self) -> layers.LayerRange:
        """The layers to run."""


@dataclasses.dataclass(slots=True)
class Entry:
    """A holding.

    Attributes:
        ready: Whether all weights are loaded.
        closed: Whether it opens no more sessions; it goes when the last
            session that needs it has ended.
    """

    model: str
    version: int
    adapter: str
    layers: layers.LayerRange
    ready: bool = False
    closed: bool = False

    def covers(self, needs: Needs) -> bool:
        """Returns whether it has all that is needed, ready to run."""
        return (
            self.ready
            and self.model == needs.model
            and self.version == needs.version
            and self.adapter == needs.adapter
            and self.layers.covers(needs.layers)
        )

    def is_for(self, order: orders.Order) -> bool:
        """Returns whether it is what the order asks for."""
        return (
            self.model == order.model
            and self.version == order.version
            and self.adapter == order.adapter
            and self.layers == order.layers
        )

    def weights(self) -> set[Weights]:
        """Returns the layers that it needs in memory."""
        wanted = range(self.layers.start, self.layers.end)
        return {(self.model, self.version, layer) for layer in wanted}


@dataclasses.dataclass(frozen=True, slots=True)
class SeenOrder:
    """An order as it came, and how it was answered; for tests to judge."""

    fencing: int
    status: str
    model: str
    version: int
    start: int
    end: int


class HoldingTable:
    """Takes orders and loads what they ask for, one order at a time.

    Attributes:
        role: The role last ordered.
        highest_fencing: The highest fencing number seen.
        order_number: Fencing number of the order last accepted.
        seen: The last orders, in the order in which they came.
    """

    def __init__(
        self,
        settings: engine_settings.EngineSettings,
        load_layer: Callable[[str, int, int], Awaitable[None]],
        list_sessions: Callable[[], Iterable[sessions.Session]],
        drop_session: Callable[[str], None],
    ) -> None:
        self.settings = settings
        self.load_layer = load_layer
        self.list_sessions = list_sessions
        self.drop_session = drop_session
        self.role = endpoints.EndpointRole.IDLE
        self.highest_fencing = 0
        self.order_number = 0
        self.seen: collections.deque[SeenOrder] = collections.deque(
            maxlen=SEEN_LIMIT
        )
        self.entries: list[Entry] = []
        self.loaded: set[Weights] = set()
        self.loading: asyncio.Task[None] | None = None
        self.sessions_changed = asyncio.Event()

    async def close(self) -> None:
        """Stops loading."""
        if self.loading is None:
            return
        self.loading.cancel()
        await asyncio.gather(self.loading, return_exceptions=True)

    def report(self) -> tuple[endpoints.Holding, ...]:
        """Returns the holdings; one is ready if it opens sessions."""
        return tuple(
            endpoints.Holding(
                entry.model,
                entry.version,
                entry.adapter,
                entry.layers,
                entry.ready and not entry.closed,
            )
            for entry in self.entries
        )

    def opens(self, needs: Needs) -> bool:
        """Returns whether a new session finds what it needs."""
        return any(
            entry.covers(needs) for entry in self.entries if not entry.closed
        )

    def continues(self, needs: Needs) -> bool:
        """Returns whether a running session finds what it needs."""
        return any(entry.covers(needs) for entry in self.entries)

    def take(self, order: orders.Order) -> orders.OrderAnswer:
        """Accepts or refuses an order; the loading goes on afterwards."""
        status = self._judge(order)
        self.seen.append(
            SeenOrder(
                order.fencing,
                status.value,
                order.model,
                order.version,
                order.layers.start,
                order.layers.end,
            )
        )
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        if status is orders.OrderStatus.ACCEPTED:
            self.order_number = order.fencing
            self.role = order.role
            self._begin(order)
        return orders.OrderAnswer(status, self.highest_fencing)

    def _judge(self, order: orders.Order) -> orders.OrderStatus:
        if self._is_stale(order):
            return orders.OrderStatus.STALE
        if not order.model:
            return orders.OrderStatus.ACCEPTED
        layer_count = self.settings.models.get(order.model, 0)
        whole = layers.LayerRange(0, layer_count)
        if order.layers.count < 1 or not whole.covers(order.layers):
            return orders.OrderStatus.INVALID
        if order.layers.count > self.settings.layer_capacity:
            return orders.OrderStatus.INVALID
        return orders.OrderStatus.ACCEPTED

    def _is_stale(self, order: orders.Order) -> bool:
        if not self.settings.checks_fencing:
            return False
        return order.fencing < self.highest_fencing

    def _begin(self, order: orders.Order) -> None:
        entry = self._find(order)
        if entry is not None and not entry.ready:
            return
        if self.loading is not None:
            self.loading.cancel()
        self.entries = [held for held in self.entries if held.ready]
        if entry is not None:
            entry.closed = False
            self._close_others(entry)
            return
        if not order.model:
            self._close_others(None)
            return
        entry = Entry(order.model, order.version, order.adapter, order.layers)
        self.entries.append(entry)
        self.loading = asyncio.create_task(self._load(entry))

    def _find(self, order: orders.Order) -> Entry | None:
        for entry in self.entries:
            if entry.is_for(order):
                return entry
        return None

    async def _load(self, entry: Entry) -> None:
        await self._make_room(entry)
        for weights in sorted(entry.weights() - self.loaded):
            await self.load_layer(*weights)
            self.loaded.add(weights)
        if entry.adapter:
            await asyncio.sleep(self.settings.adapter_load_s)
        entry.ready = True
        self._close_others(entry)

    async def _make_room(self, entry: Entry) -> None:
        """Waits until the entry fits beside what sessions still use.

        Without the wait, sessions of the old holding would lose their KV
        state to each order; without its bound, one forgotten session would
        hold back the order for ever.
        """
        self._forget_unused()
        if self._fits(entry):
            return
        for held in self.entries:
            held.closed = held is not entry
        deadline = asyncio.get_running_loop().time() + self.settings.drain_s
        self.sweep()
        while not self._fits(entry):
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                self._drop_closed()
                return
            await self._wait_for_sessions(left)
            self.sweep()

    async def _wait_for_sessions(self, timeout_s: float) -> None:
        self.sessions_changed.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.sessions_changed.wait(), timeout_s)

    def _fits(self, entry: Entry) -> bool:
        needed = self.loaded | entry.weights()
        return len(needed) <= self.settings.layer_capacity

    def _close_others(self, entry: Entry | None) -> None:
        for held in self.entries:
            if held is not entry:
                held.closed = True
        self.sweep()

    def sweep(self) -> None:
        """Drops closed holdings that no session needs any more."""
        self.sessions_changed.set()
        for entry in list(self.entries):
            if entry.closed and not self._is_used(entry):
                self.entries.remove(entry)
        self._forget_unused()

    def _is_used(self, entry: Entry) -> bool:
        return any(entry.covers(session) for session in self.list_sessions())

    def _drop_closed(self) -> None:
        self.entries = [entry for entry in self.entries if not entry.closed]
        for session in list(self.list_sessions()):
            if not self.continues(session):
                self.drop_session(session.session)
        self._forget_unused()

    def _forget_unused(self) -> None:
        needed: set[Weights] = set()
        for entry in self.entries:
            needed |= entry.weights()
        self.loaded &= needed
