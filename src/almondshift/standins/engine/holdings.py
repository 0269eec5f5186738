"""The layers an engine holds, and the orders that change them."""

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

MAX_RECEIVED_ORDERS = 10_000

LayerKey = tuple[str, int, int]
"""Model, version and layer."""


class LayerRequirement(Protocol):
    """The common attributes of step items, sessions and snapshots."""

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
class HoldingEntry:
    """A range of layers that is loaded or being loaded.

    Attributes:
        ready: Whether all weights are loaded.
        closed: Whether it accepts no new sessions; it is removed when the
            last session that uses it has ended.
    """

    model: str
    version: int
    adapter: str
    layers: layers.LayerRange
    ready: bool = False
    closed: bool = False

    def covers(self, required: LayerRequirement) -> bool:
        """Returns whether it is ready and satisfies the requirement."""
        return (
            self.ready
            and self.model == required.model
            and self.version == required.version
            and self.adapter == required.adapter
            and self.layers.covers(required.layers)
        )

    def matches(self, order: orders.Order) -> bool:
        """Returns whether it is what the order asks for."""
        return (
            self.model == order.model
            and self.version == order.version
            and self.adapter == order.adapter
            and self.layers == order.layers
        )

    def layer_keys(self) -> set[LayerKey]:
        """Returns the keys of its layers."""
        wanted = range(self.layers.start, self.layers.end)
        return {(self.model, self.version, layer) for layer in wanted}


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """A received order and the status it was given; for tests."""

    fencing: int
    status: str
    model: str
    version: int
    start: int
    end: int


class HoldingTable:
    """Handles orders and loads their layers, one order at a time.

    Attributes:
        role: The role of the last accepted order.
        highest_fencing: The highest fencing token received.
        order_number: Fencing token of the last accepted order.
        received_orders: The latest orders, in order of arrival.
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
        self.received_orders: collections.deque[ReceivedOrder] = (
            collections.deque(maxlen=MAX_RECEIVED_ORDERS)
        )
        self.entries: list[HoldingEntry] = []
        self.loaded: set[LayerKey] = set()
        self.loading: asyncio.Task[None] | None = None
        self.sessions_changed = asyncio.Event()

    async def close(self) -> None:
        """Cancels loading."""
        if self.loading is None:
            return
        self.loading.cancel()
        await asyncio.gather(self.loading, return_exceptions=True)

    def report(self) -> tuple[endpoints.Holding, ...]:
        """Returns the holdings; those that open sessions count as ready."""
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

    def can_open(self, required: LayerRequirement) -> bool:
        """Returns whether a new session finds the layers it requires."""
        return any(
            entry.covers(required) for entry in self.entries if not entry.closed
        )

    def can_continue(self, required: LayerRequirement) -> bool:
        """Returns whether a running session finds the layers it requires."""
        return any(entry.covers(required) for entry in self.entries)

    def handle_order(self, order: orders.Order) -> orders.OrderAnswer:
        """Accepts or refuses an order; layers are loaded in the background."""
        status = self._check_order(order)
        self.received_orders.append(
            ReceivedOrder(
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
            self._apply(order)
        return orders.OrderAnswer(status, self.highest_fencing)

    def _check_order(self, order: orders.Order) -> orders.OrderStatus:
        if self._is_stale(order):
            return orders.OrderStatus.STALE
        if not order.model:
            return orders.OrderStatus.ACCEPTED
        layer_count = self.settings.models.get(order.model, 0)
        all_layers = layers.LayerRange(0, layer_count)
        if order.layers.count < 1 or not all_layers.covers(order.layers):
            return orders.OrderStatus.INVALID
        if order.layers.count > self.settings.layer_capacity:
            return orders.OrderStatus.INVALID
        return orders.OrderStatus.ACCEPTED

    def _is_stale(self, order: orders.Order) -> bool:
        if not self.settings.checks_fencing:
            return False
        return order.fencing < self.highest_fencing

    def _apply(self, order: orders.Order) -> None:
        entry = self._find(order)
        if entry is not None and not entry.ready:
            return
        if self.loading is not None:
            self.loading.cancel()
        self.entries = [other for other in self.entries if other.ready]
        if entry is not None:
            entry.closed = False
            self._close_others(entry)
            return
        if not order.model:
            self._close_others(None)
            return
        entry = HoldingEntry(
            order.model, order.version, order.adapter, order.layers
        )
        self.entries.append(entry)
        self.loading = asyncio.create_task(self._load(entry))

    def _find(self, order: orders.Order) -> HoldingEntry | None:
        for entry in self.entries:
            if entry.matches(order):
                return entry
        return None

    async def _load(self, entry: HoldingEntry) -> None:
        await self._make_room(entry)
        for layer_key in sorted(entry.layer_keys() - self.loaded):
            await self.load_layer(*layer_key)
            self.loaded.add(layer_key)
        if entry.adapter:
            await asyncio.sleep(self.settings.adapter_load_s)
        entry.ready = True
        self._close_others(entry)

    async def _make_room(self, entry: HoldingEntry) -> None:
        """Waits until the entry fits next to the layers that sessions use.

        Without the wait, each order would cost sessions of the old holding
        their KV state. The wait is bounded because otherwise one abandoned
        session would block the order indefinitely.
        """
        self._unload_unused()
        if self._fits(entry):
            return
        for other in self.entries:
            other.closed = other is not entry
        deadline = asyncio.get_running_loop().time() + self.settings.drain_s
        self.remove_unused()
        while not self._fits(entry):
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                self._drop_closed_entries()
                return
            await self._wait_for_sessions(remaining_s)
            self.remove_unused()

    async def _wait_for_sessions(self, timeout_s: float) -> None:
        self.sessions_changed.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.sessions_changed.wait(), timeout_s)

    def _fits(self, entry: HoldingEntry) -> bool:
        needed = self.loaded | entry.layer_keys()
        return len(needed) <= self.settings.layer_capacity

    def _close_others(self, entry: HoldingEntry | None) -> None:
        for other in self.entries:
            if other is not entry:
                other.closed = True
        self.remove_unused()

    def remove_unused(self) -> None:
        """Removes closed holdings that no session uses any more."""
        self.sessions_changed.set()
        for entry in list(self.entries):
            if entry.closed and not self._is_used(entry):
                self.entries.remove(entry)
        self._unload_unused()

    def _is_used(self, entry: HoldingEntry) -> bool:
        return any(entry.covers(session) for session in self.list_sessions())

    def _drop_closed_entries(self) -> None:
        self.entries = [entry for entry in self.entries if not entry.closed]
        for session in list(self.list_sessions()):
            if not self.can_continue(session):
                self.drop_session(session.session)
        self._unload_unused()

    def _unload_unused(self) -> None:
        needed: set[LayerKey] = set()
        for entry in self.entries:
            needed |= entry.layer_keys()
        self.loaded &= needed
