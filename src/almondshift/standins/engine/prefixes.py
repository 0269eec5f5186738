"""The prefix cache: which prompt prefixes cost no time again."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from almondshift.model import prefixes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from almondshift.standins.engine import sessions


class PrefixCache:
    """Digests of whole blocks, least recently used first.

    Attributes:
        on_change: Called with a digest, and true if it was added.
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

        Only a session whose inputs were all cached so far profits, since a
        prefix counts from the first position.
        """
        cached = 0
        rest = session.prefix_rest
        fresh = 0
        for value in inputs:
            rest.append(value)
            fresh += 1
            if len(rest) < prefixes.BLOCK_TOKENS:
                continue
            if self._close_block(session):
                cached += fresh
            fresh = 0
        return cached

    def _close_block(self, session: sessions.Session) -> bool:
        before = session.prefix_digest or session.seed
        digest = prefixes.extend(before, session.prefix_rest)
        session.prefix_digest = digest
        session.prefix_rest.clear()
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
