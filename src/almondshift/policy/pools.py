"""Sets of endpoints with spare capacity, for random sampling.

Each request needs a choice among hundreds of endpoints. Examining all of them
costs more than the request, and choosing the best of all makes every node with
the same outdated report choose the same one.

The method is the power of two choices. The better of two random endpoints has
an exponentially lower maximum load than a single random one (Mitzenmacher,
2001); three give mixed accelerators a better chance of a fast one. Adding,
removing and sampling take constant time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

SAMPLE_SIZE = 3


class Pool:
    """Set of names with constant-time addition, removal and sampling."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self._index

    def add(self, name: str) -> bool:
        """Adds a name; returns whether it is new."""
        if name in self._index:
            return False
        self._index[name] = len(self.names)
        self.names.append(name)
        return True

    def discard(self, name: str) -> None:
        """Removes a name if present."""
        index = self._index.pop(name, None)
        if index is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[index] = last
            self._index[last] = index

    def sample(
        self, rng: random.Random, max_count: int = SAMPLE_SIZE
    ) -> list[str]:
        """Returns up to ``max_count`` different names."""
        if len(self.names) <= max_count:
            return list(self.names)
        return rng.sample(self.names, max_count)
