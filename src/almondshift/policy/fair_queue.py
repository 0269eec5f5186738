"""Weighted fair queueing of requests between client accounts.

Some accounts send more than their share, and small critical requests arrive
among long drafts, which have the priority BULK. In a single FIFO queue, an
account that sends ten times its share gets ten times its share and everybody
waits for it. With strict priorities, a steady stream of urgent requests starves
the drafts.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) is applied twice: between
priorities and, within each, between accounts. Work is counted by cost (prompt
and expected tokens), because a count of requests would favour accounts with
long requests. A priority or account that was idle starts at the current virtual
time, so a small critical request is next regardless of the backlog; one that is
always busy gets the share given by its weight and no more. The weights of 16, 4
and 1 leave drafts a twentieth of a system that urgent requests alone would
fill. Operators configure the weight of an account.

Long requests have a separate queue within each account, so that a long one
that may not start yet doesn't block the short ones behind it.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from almondshift.model import fleet

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")

PRIORITY_WEIGHTS = {
    fleet.Priority.CRITICAL: 16.0,
    fleet.Priority.NORMAL: 4.0,
    fleet.Priority.BULK: 1.0,
}


@dataclasses.dataclass(slots=True, eq=False)
class Entry(Generic[T]):
    """A waiting request.

    Attributes:
        cost: Prompt and expected tokens.
        waiting: False once it was dequeued or withdrawn.
    """

    item: T
    account: str
    priority: fleet.Priority
    cost: float
    long: bool
    waiting: bool = True


MAX_EXACT_FLOWS = 64
"""Largest number of accounts whose waiting work is taken into account one by
one when a wait is predicted."""


class _Flow(Generic[T]):
    """The requests of one account at one priority."""

    def __init__(self, account: str) -> None:
        self.account = account
        self.weight = 1.0
        self.finish_tag = 0.0
        self.waiting = 0
        self.cost = 0.0
        self.queues: dict[bool, collections.deque[Entry[T]]] = {
            False: collections.deque(),
            True: collections.deque(),
        }
        self.in_heap = {False: False, True: False}

    def cost_before(self, start: float, mean_cost: float) -> float:
        """Estimates the cost of this flow that is served before a time.

        Args:
            start: A virtual time.
            mean_cost: Mean cost of a request.
        """
        if self.waiting == 0 or self.finish_tag > start:
            return 0.0
        return min(
            self.cost, (start - self.finish_tag) * self.weight + mean_cost
        )

    def head(self, long: bool) -> Entry[T] | None:
        queue = self.queues[long]
        while queue and not queue[0].waiting:
            queue.popleft()
        return queue[0] if queue else None


class _Level(Generic[T]):
    """The accounts with waiting requests at one priority."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual_time = 0.0
        self.finish_tag = 0.0
        self.waiting = 0
        self.cost = 0.0
        self.active_weight = 0.0
        self.busy_flows = 0
        self.flows: dict[str, _Flow[T]] = {}
        self.heaps: dict[bool, list[tuple[float, int, _Flow[T]]]] = {
            False: [],
            True: [],
        }
        self._order = 0

    def push(self, entry: Entry[T], weight: float) -> None:
        flow = self.flows.get(entry.account)
        if flow is None:
            flow = self.flows[entry.account] = _Flow(entry.account)
        if flow.waiting == 0:
            flow.weight = weight
            flow.finish_tag = max(flow.finish_tag, self.virtual_time)
            self.active_weight += weight
            self.busy_flows += 1
        flow.queues[entry.long].append(entry)
        flow.waiting += 1
        flow.cost += entry.cost
        self.waiting += 1
        self.cost += entry.cost
        if not flow.in_heap[entry.long]:
            self._push_heap(flow, entry.long)

    def peek(self, *, allow_long: bool) -> Entry[T] | None:
        first = self._top(long=False)
        long = self._top(long=True) if allow_long else None
        if first is None or (long is not None and long[0] < first[0]):
            first = long
        return None if first is None else first[1]

    def dequeue(self, entry: Entry[T]) -> None:
        flow = self.flows[entry.account]
        self.virtual_time = max(self.virtual_time, flow.finish_tag)
        flow.finish_tag += entry.cost / flow.weight
        self.withdraw(entry)

    def withdraw(self, entry: Entry[T]) -> None:
        flow = self.flows[entry.account]
        entry.waiting = False
        flow.waiting -= 1
        flow.cost -= entry.cost
        self.waiting -= 1
        self.cost -= entry.cost
        if flow.waiting == 0:
            self.active_weight -= flow.weight
            self.busy_flows -= 1
            flow.cost = 0.0
            self._remove_idle_flow(flow)
        if self.waiting == 0:
            self._reset()

    def _remove_idle_flow(self, flow: _Flow[T]) -> None:
        if flow.finish_tag <= self.virtual_time:
            del self.flows[flow.account]

    def _reset(self) -> None:
        """Starts a new busy period and discards the tags of the last one."""
        self.cost = 0.0
        self.active_weight = 0.0
        self.flows.clear()
        self.heaps[False].clear()
        self.heaps[True].clear()

    def _push_heap(self, flow: _Flow[T], long: bool) -> None:
        self._order += 1
        heapq.heappush(self.heaps[long], (flow.finish_tag, self._order, flow))
        flow.in_heap[long] = True

    def _pop_heap(self, flow: _Flow[T], long: bool) -> None:
        heapq.heappop(self.heaps[long])
        flow.in_heap[long] = False

    def _top(self, *, long: bool) -> tuple[float, Entry[T]] | None:
        heap = self.heaps[long]
        while heap:
            tag, _, flow = heap[0]
            head = flow.head(long)
            if head is None or self.flows.get(flow.account) is not flow:
                self._pop_heap(flow, long)
            elif tag < flow.finish_tag:
                self._pop_heap(flow, long)
                self._push_heap(flow, long)
            else:
                return tag, head
        return None


class FairQueue(Generic[T]):
    """Waiting requests, served by the weights of priority and account."""

    def __init__(self) -> None:
        self.levels: dict[fleet.Priority, _Level[T]] = {
            priority: _Level(weight)
            for priority, weight in PRIORITY_WEIGHTS.items()
        }
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(level.waiting for level in self.levels.values())

    @property
    def cost(self) -> float:
        """Total cost of all waiting requests."""
        return sum(level.cost for level in self.levels.values())

    def push(self, entry: Entry[T], weight: float) -> None:
        """Adds a request of an account with the given weight."""
        level = self.levels[entry.priority]
        if level.waiting == 0:
            level.finish_tag = max(level.finish_tag, self._virtual_time)
        level.push(entry, max(weight, 1e-6))

    def peek(self, *, allow_long: bool = True) -> Entry[T] | None:
        """Returns the next request without removing it, or None."""
        best: tuple[float, Entry[T]] | None = None
        for level in self.levels.values():
            entry = level.peek(allow_long=allow_long) if level.waiting else None
            if entry and (best is None or level.finish_tag < best[0]):
                best = (level.finish_tag, entry)
        return None if best is None else best[1]

    def dequeue(self, entry: Entry[T]) -> None:
        """Removes a request that ``peek`` returned and charges its account."""
        level = self.levels[entry.priority]
        self._virtual_time = max(self._virtual_time, level.finish_tag)
        level.finish_tag += entry.cost / level.weight
        level.dequeue(entry)

    def withdraw(self, entry: Entry[T]) -> None:
        """Removes a request without charging its account."""
        if entry.waiting:
            self.levels[entry.priority].withdraw(entry)

    def entries(self) -> Iterator[Entry[T]]:
        """Yields all waiting requests, in no particular order."""
        for level in self.levels.values():
            for flow in level.flows.values():
                for queue in flow.queues.values():
                    yield from (entry for entry in queue if entry.waiting)

    def cost_ahead(
        self, account: str, priority: fleet.Priority, weight: float
    ) -> float:
        """Estimates the cost that is served before a new request.

        This is the account's own waiting work, the work of others that their
        weights allow in the same time, and one request of each other account,
        which is the delay bound of start-time fair queueing. With more than
        ``MAX_EXACT_FLOWS`` accounts, the others are assumed to have unlimited
        work.
        """
        level = self.levels[priority]
        flow = level.flows.get(account)
        cost_within_level = self._cost_within_level(level, flow, weight)
        busy = [other for other in self.levels.values() if other.waiting]
        others = sum(other.cost for other in busy if other is not level)
        weights = sum(other.weight for other in busy if other is not level)
        return cost_within_level + min(
            others, cost_within_level * weights / level.weight
        )

    def _cost_within_level(
        self, level: _Level[T], flow: _Flow[T] | None, weight: float
    ) -> float:
        if level.waiting == 0:
            return 0.0
        start, own = level.virtual_time, 0.0
        if flow is not None:
            own = flow.cost
            start = max(start, flow.finish_tag) + own / max(weight, 1e-6)
        mean_cost = level.cost / level.waiting
        if len(level.flows) <= MAX_EXACT_FLOWS:
            others = [f for f in level.flows.values() if f is not flow]
            return own + sum(f.cost_before(start, mean_cost) for f in others)
        ahead = (start - level.virtual_time) * level.active_weight
        return min(level.cost, ahead + level.busy_flows * mean_cost)
