"""The order in which a node offers digests of what it holds.

Digests repair what forwarding missed. Heartbeats and notices that were
accepted lately matter most, so that these have a share of their own. Otherwise
they would come up ever more rarely, the more facts a node holds.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from almondshift.ports import peers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from almondshift.coordination import send_queue

RECENT_S = 10.0
"""Age up to which a notice counts as recent, in seconds."""

MAX_RECENT = 1_000
"""Maximum number of recent notices whose digests are preferred."""


class Rotation:
    """Facts that are offered in turn.

    Attributes:
        queue: The facts, the next one first.
    """

    def __init__(self) -> None:
        self.queue: collections.deque[send_queue.FactId] = collections.deque()

    def take(
        self, is_kept: Callable[[send_queue.FactId], bool]
    ) -> Iterator[send_queue.FactId]:
        """Yields each fact once; drops those that are not kept."""
        for _ in range(len(self.queue)):
            identity = self.queue.popleft()
            if is_kept(identity):
                self.queue.append(identity)
                yield identity


class DigestRotation:
    """Facts whose digests are offered, in three rotations.

    Attributes:
        nodes: Facts about nodes.
        recent: Notices that were accepted lately.
        others: All facts that are not about nodes.
        accepted_at: Monotonic time at which recent notices were accepted.
    """

    def __init__(self) -> None:
        self.nodes = Rotation()
        self.recent = Rotation()
        self.others = Rotation()
        self.accepted_at: dict[send_queue.FactId, float] = {}

    def add(self, identity: send_queue.FactId) -> None:
        """Adds a fact that was not held before."""
        is_node = identity[0] is peers.FactKind.NODE
        (self.nodes if is_node else self.others).queue.append(identity)

    def note_accepted(self, identity: send_queue.FactId, now: float) -> None:
        """Records that a notice was accepted."""
        if identity not in self.accepted_at:
            self.recent.queue.append(identity)
        self.accepted_at[identity] = now
        if len(self.recent.queue) > MAX_RECENT:
            del self.accepted_at[self.recent.queue.popleft()]

    def take(
        self,
        count: int,
        now: float,
        is_held: Callable[[send_queue.FactId], bool],
        is_live: Callable[[send_queue.FactId], bool],
    ) -> list[send_queue.FactId]:
        """Returns up to ``count`` live facts.

        Half of them are about nodes and a quarter are recent ones, if there
        are that many; later calls continue after the facts returned.

        Args:
            count: Maximum number of facts.
            now: Monotonic time in seconds.
            is_held: Returns whether a fact is still held.
            is_live: Returns whether a fact is valid now.
        """
        found: dict[send_queue.FactId, None] = {}

        def is_recent(identity: send_queue.FactId) -> bool:
            if now - self.accepted_at[identity] <= RECENT_S:
                return True
            del self.accepted_at[identity]
            return False

        for rotation, is_kept, end in (
            (self.nodes, is_held, count // 2),
            (self.recent, is_recent, count // 2 + count // 4),
            (self.others, is_held, count),
            (self.nodes, is_held, count),
        ):
            self._fill(found, rotation.take(is_kept), is_live, end)
        return list(found)

    def _fill(
        self,
        found: dict[send_queue.FactId, None],
        offered: Iterator[send_queue.FactId],
        is_live: Callable[[send_queue.FactId], bool],
        end: int,
    ) -> None:
        """Adds live facts to those found until they are ``end``."""
        while len(found) < end:
            identity = next(offered, None)
            if identity is None:
                return
            if is_live(identity):
                found[identity] = None
