"""Sets of endpoints with room, from which a few are drawn at random.

Load pattern: choice among hundreds of endpoints for each request. Looking
at each one costs more than the request; taking the best of all makes every
node with the same late report take the same one. Grounds: the better of two
random ones is exponentially less loaded at worst than one random one
(Mitzenmacher, 2001); three give mixed accelerators a better chance of a fast
one. Adding, removing and drawing take constant time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

DRAWN = 3


class Pool:
    """Names that can be added, removed and drawn in constant time."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.names)

    def __contains__(self, name: str) -> bool:
        return name in self._index

    def add(self, name: str) -> bool:
        """Adds a name; returns whether it was not there."""
        if name in self._index:
            return False
        self._index[name] = len(self.names)
        self.names.append(name)
        return True

    def discard(self, name: str) -> None:
        """Removes a name if it is there."""
        index = self._index.pop(name, None)
        if index is None:
            return
        last = self.names.pop()
        if last != name:
            self.names[index] = last
            self._index[last] = index

    def draw(self, rng: random.Random, most: int = DRAWN) -> list[str]:
        """Returns up to ``most`` different names."""
        if len(self.names) <= most:
            return list(self.names)
        return rng.sample(self.names, most)
