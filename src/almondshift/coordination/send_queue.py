"""The facts that a node has still to send, in the order of sending.

Facts that were sent least often come first, and of these the newest. So while
there is room for a part of the facts only, each new one still reaches some
peers at once, which forward it.
"""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Iterator

FactId = tuple[peers.FactKind, str]

URGENT_KINDS = frozenset(
    {
        peers.FactKind.LEAVING,
        peers.FactKind.CONFIG,
        peers.FactKind.QUARANTINE,
        peers.FactKind.ENGINE_LOST,
        peers.FactKind.NODE_SILENT,
    }
)


class Priority(enum.IntEnum):
    """In which order kinds of facts get the room of a message.

    Attributes:
        NOTICE: Urgent and short.
        NODE: About a node.
        REFRESH: Extends a fact that most nodes hold.
        REPORT: Urgent, but large or numerous; what follows from reports is
            told by notices.
        BULK: Published again regularly.
    """

    NOTICE = 0
    NODE = 1
    REFRESH = 2
    REPORT = 3
    BULK = 4


class SendQueue:
    """Facts of one priority.

    Attributes:
        levels: Facts with the sends left, by the number of sends made; the
            oldest first.
        level_of: Number of sends made, by fact.
    """

    def __init__(self) -> None:
        self.levels: list[collections.OrderedDict[FactId, int]] = []
        self.level_of: dict[FactId, int] = {}

    def __len__(self) -> int:
        return len(self.level_of)

    def __contains__(self, identity: FactId) -> bool:
        return identity in self.level_of

    def __iter__(self) -> Iterator[FactId]:
        """Yields the facts in the order of sending."""
        for level in self.levels:
            yield from reversed(level)

    def add(self, identity: FactId, sends: int) -> None:
        """Adds a fact that has not been sent, or a newer version of one."""
        self.discard(identity)
        self._insert(identity, 0, sends)

    def discard(self, identity: FactId) -> None:
        """Removes a fact if it is present."""
        level = self.level_of.pop(identity, None)
        if level is not None:
            del self.levels[level][identity]

    def record_send(self, identity: FactId) -> None:
        """Counts one send; removes the fact after its last one."""
        level = self.level_of.get(identity)
        if level is None:
            return
        sends = self.levels[level][identity]
        self.discard(identity)
        if sends > 1:
            self._insert(identity, level + 1, sends - 1)

    def _insert(self, identity: FactId, level: int, sends: int) -> None:
        while len(self.levels) <= level:
            self.levels.append(collections.OrderedDict())
        self.levels[level][identity] = sends
        self.level_of[identity] = level


class PendingFacts:
    """The facts that a node has still to send, by priority.

    Attributes:
        report_topics: Kinds and topics of facts that are reports; a topic is
            a key up to its first slash.
    """

    def __init__(self) -> None:
        self.queues = {priority: SendQueue() for priority in Priority}
        self.report_topics: set[tuple[peers.FactKind, str]] = set()

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def __contains__(self, identity: FactId) -> bool:
        return any(identity in queue for queue in self.queues.values())

    def __iter__(self) -> Iterator[FactId]:
        """Yields all facts in the order of sending."""
        for priority in Priority:
            yield from self.queues[priority]

    def priority_of(self, identity: FactId) -> Priority:
        """Returns the priority of a fact."""
        kind, key = identity
        if kind is peers.FactKind.NODE:
            return Priority.NODE
        if kind not in URGENT_KINDS:
            return Priority.BULK
        if (kind, key.partition("/")[0]) in self.report_topics:
            return Priority.REPORT
        return Priority.NOTICE

    def has_urgent(self) -> bool:
        """Returns whether there are notices or reports."""
        return any(self.queues[p] for p in (Priority.NOTICE, Priority.REPORT))

    def add(self, identity: FactId, sends: int) -> None:
        """Adds a fact that has not been sent, or a newer version of one."""
        self.discard(identity)
        self.queues[self.priority_of(identity)].add(identity, sends)

    def add_refresh(self, identity: FactId, sends: int) -> None:
        """Adds a newer version of a fact with the same value.

        One that is still to be sent keeps its place and its sends.
        """
        if identity not in self:
            self.queues[Priority.REFRESH].add(identity, sends)

    def discard(self, identity: FactId) -> None:
        """Removes a fact if it is present."""
        for queue in self.queues.values():
            queue.discard(identity)

    def record_send(self, identity: FactId) -> None:
        """Counts one send; removes the fact after its last one."""
        for queue in self.queues.values():
            queue.record_send(identity)
