"""The prefix cache: prompt prefixes that take no time when repeated."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from almondshift.model import prefixes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from almondshift.standins.engine import sessions


class PrefixCache:
    """An LRU cache of the digests of complete blocks.

    Attributes:
        on_change: Called with a digest, and True if added, False if evicted.
    """

    def __init__(
        self, limit: int, on_change: Callable[[int, bool], None]
    ) -> None:
        self.limit = limit
        self.on_change = on_change
        self.digests: collections.OrderedDict[tuple[int, int, int], None] = (
            collections.OrderedDict()
        )

    def advance(self, session: sessions.Session, inputs: Sequence[int]) -> int:
        """Adds a session's next inputs and returns how many were cached.

        Inputs count as cached only if all earlier inputs of the session were,
        since a prefix starts at the first position.
        """
        cached = 0
        tail = session.prefix_tail
        uncounted = 0
        for value in inputs:
            tail.append(value)
            uncounted += 1
            if len(tail) < prefixes.BLOCK_TOKENS:
                continue
            if self._complete_block(session):
                cached += uncounted
            uncounted = 0
        return cached

    def _complete_block(self, session: sessions.Session) -> bool:
        previous = session.prefix_digest or session.seed
        digest = prefixes.extend(previous, session.prefix_tail)
        session.prefix_digest = digest
        session.prefix_tail.clear()
        key = (digest, session.layers.start, session.layers.end)
        if key in self.digests:
            self.digests.move_to_end(key)
            return session.prefix_cached
        session.prefix_cached = False
        self._insert(key)
        return False

    def _insert(self, key: tuple[int, int, int]) -> None:
        if self.limit <= 0:
            return
        if len(self.digests) >= self.limit:
            evicted, _ = self.digests.popitem(last=False)
            self.on_change(evicted[0], False)
        self.digests[key] = None
        self.on_change(key[0], True)

    def clear(self) -> None:
        """Evicts everything."""
        for key in self.digests:
            self.on_change(key[0], False)
        self.digests.clear()
