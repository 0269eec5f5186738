"""Weighted fair sharing of a full system between client accounts.

Load patterns: a hot account, and small critical requests among drafts. In
one queue in order of arrival, an account that sends ten times its share gets
ten times its share and everybody waits for it; with strict priorities, a
steady stream of urgent requests starves the drafts.

Grounds: start-time fair queueing (Goyal, Vin and Cheng, 1996), twice: between
priorities and, within each, between accounts. Work is counted by cost
(prompt and expected tokens), since a request count lets an account with
long requests take more. A priority or account that has been idle starts at
the present virtual time, so a small critical request is next, whatever waits
behind it; one that is always busy gets its weight and no more. The weights
of 16, 4 and 1 leave drafts a twentieth of a system that urgent requests
alone would fill. An account's weight is the operators' figure.

Long requests stand in a line of their own within each account, so that a
long one that may not start yet does not hold up short ones behind it.
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
        waiting: False once it was taken or withdrawn.
    """

    item: T
    account: str
    priority: fleet.Priority
    cost: float
    long: bool
    waiting: bool = True


COUNTED_FLOWS = 64
"""Accounts up to which a wait is predicted from each one's own queue."""


class _Flow(Generic[T]):
    """The requests of one account at one priority."""

    def __init__(self, account: str) -> None:
        self.account = account
        self.weight = 1.0
        self.finish = 0.0
        self.waiting = 0
        self.cost = 0.0
        self.lines: dict[bool, collections.deque[Entry[T]]] = {
            False: collections.deque(),
            True: collections.deque(),
        }
        self.in_heap = {False: False, True: False}

    def cost_before(self, start: float, each: float) -> float:
        """Returns about how much of this flow is served before a time.

        Args:
            start: A virtual time.
            each: Cost of one request.
        """
        if self.waiting == 0 or self.finish > start:
            return 0.0
        return min(self.cost, (start - self.finish) * self.weight + each)

    def head(self, long: bool) -> Entry[T] | None:
        line = self.lines[long]
        while line and not line[0].waiting:
            line.popleft()
        return line[0] if line else None


class _Level(Generic[T]):
    """The accounts that wait at one priority."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual = 0.0
        self.finish = 0.0
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
            flow.finish = max(flow.finish, self.virtual)
            self.active_weight += weight
            self.busy_flows += 1
        flow.lines[entry.long].append(entry)
        flow.waiting += 1
        flow.cost += entry.cost
        self.waiting += 1
        self.cost += entry.cost
        if not flow.in_heap[entry.long]:
            self._enter(flow, entry.long)

    def peek(self, *, allow_long: bool) -> Entry[T] | None:
        short = self._top(long=False)
        long = self._top(long=True) if allow_long else None
        if short is None or (long is not None and long[0] < short[0]):
            short = long
        return None if short is None else short[1]

    def take(self, entry: Entry[T]) -> None:
        flow = self.flows[entry.account]
        self.virtual = max(self.virtual, flow.finish)
        flow.finish += entry.cost / flow.weight
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
            self._forget(flow)
        if self.waiting == 0:
            self._reset()

    def _forget(self, flow: _Flow[T]) -> None:
        if flow.finish <= self.virtual:
            del self.flows[flow.account]

    def _reset(self) -> None:
        """Starts a new busy period; debts of the last one are dropped."""
        self.cost = 0.0
        self.active_weight = 0.0
        self.flows.clear()
        self.heaps[False].clear()
        self.heaps[True].clear()

    def _enter(self, flow: _Flow[T], long: bool) -> None:
        self._order += 1
        heapq.heappush(self.heaps[long], (flow.finish, self._order, flow))
        flow.in_heap[long] = True

    def _leave(self, flow: _Flow[T], long: bool) -> None:
        heapq.heappop(self.heaps[long])
        flow.in_heap[long] = False

    def _top(self, *, long: bool) -> tuple[float, Entry[T]] | None:
        heap = self.heaps[long]
        while heap:
            tag, _, flow = heap[0]
            head = flow.head(long)
            if head is None or self.flows.get(flow.account) is not flow:
                self._leave(flow, long)
            elif tag < flow.finish:
                self._leave(flow, long)
                self._enter(flow, long)
            else:
                return tag, head
        return None


class FairQueue(Generic[T]):
    """Waiting requests, served by weight of priority and account."""

    def __init__(self) -> None:
        self.levels: dict[fleet.Priority, _Level[T]] = {
            priority: _Level(weight)
            for priority, weight in PRIORITY_WEIGHTS.items()
        }
        self._virtual = 0.0

    def __len__(self) -> int:
        return sum(level.waiting for level in self.levels.values())

    @property
    def cost(self) -> float:
        """The cost of all that waits."""
        return sum(level.cost for level in self.levels.values())

    def push(self, entry: Entry[T], weight: float) -> None:
        """Adds a request of an account with this weight."""
        level = self.levels[entry.priority]
        if level.waiting == 0:
            level.finish = max(level.finish, self._virtual)
        level.push(entry, max(weight, 1e-6))

    def peek(self, *, allow_long: bool = True) -> Entry[T] | None:
        """Returns the next request, or None; it stays in the queue."""
        best: tuple[float, Entry[T]] | None = None
        for level in self.levels.values():
            entry = level.peek(allow_long=allow_long) if level.waiting else None
            if entry and (best is None or level.finish < best[0]):
                best = (level.finish, entry)
        return None if best is None else best[1]

    def take(self, entry: Entry[T]) -> None:
        """Takes a request that ``peek`` gave, and charges its account."""
        level = self.levels[entry.priority]
        self._virtual = max(self._virtual, level.finish)
        level.finish += entry.cost / level.weight
        level.take(entry)

    def withdraw(self, entry: Entry[T]) -> None:
        """Takes a request out without charging for it."""
        if entry.waiting:
            self.levels[entry.priority].withdraw(entry)

    def entries(self) -> Iterator[Entry[T]]:
        """Yields all that wait, in no particular order."""
        for level in self.levels.values():
            for flow in level.flows.values():
                for line in flow.lines.values():
                    yield from (entry for entry in line if entry.waiting)

    def cost_ahead(
        self, account: str, priority: fleet.Priority, weight: float
    ) -> float:
        """Returns about how much is served before a new request.

        The account's own waiting work counts, with as much of the others'
        as their weights allow meanwhile, and one request of each other
        account, which is the delay bound of start-time fair queueing. With
        many accounts the others are taken to have work without end.
        """
        level = self.levels[priority]
        flow = level.flows.get(account)
        within = self._within_level(level, flow, weight)
        busy = [other for other in self.levels.values() if other.waiting]
        others = sum(other.cost for other in busy if other is not level)
        weights = sum(other.weight for other in busy if other is not level)
        return within + min(others, within * weights / level.weight)

    def _within_level(
        self, level: _Level[T], flow: _Flow[T] | None, weight: float
    ) -> float:
        if level.waiting == 0:
            return 0.0
        start, own = level.virtual, 0.0
        if flow is not None:
            own = flow.cost
            start = max(start, flow.finish) + own / max(weight, 1e-6)
        each = level.cost / level.waiting
        if len(level.flows) <= COUNTED_FLOWS:
            others = [f for f in level.flows.values() if f is not flow]
            return own + sum(f.cost_before(start, each) for f in others)
        ahead = (start - level.virtual) * level.active_weight
        return min(level.cost, ahead + level.busy_flows * each)
