"""Splits the engines of a model into two complete chains."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from almondshift.model import layers as model_layers


@dataclasses.dataclass(frozen=True, slots=True)
class _Partial:
    """Two chains, complete up to a layer each.

    Attributes:
        kept: Last engine of the chain that stays, or ``""``.
        freed: Engines of the other chain.
    """

    kept: str
    kept_end: int
    freed: tuple[str, ...]
    freed_end: int


class _Split:
    """Searches for two chains without a common engine.

    The chain that ends earlier is extended next. Of the engines in use, only
    the last one of each chain can then reach past that end, so that partial
    results with the same last ranges can be completed in the same ways.
    """

    def __init__(
        self,
        spans: Mapping[str, model_layers.LayerRange],
        given: Iterable[model_layers.LayerRange],
        count: int,
    ) -> None:
        self.spans = spans
        self.given = sorted(given)
        self.count = count

    def find(self) -> tuple[str, ...] | None:
        """Returns the engines of the chain that is freed."""
        visited = set()
        stack = [_Partial("", 0, (), self._after_given(0))]
        while stack:
            partial = stack.pop()
            if min(partial.kept_end, partial.freed_end) >= self.count:
                return partial.freed
            key = self._key(partial)
            if key not in visited:
                visited.add(key)
                stack += reversed(self._extensions(partial))
        return None

    def _key(self, partial: _Partial) -> tuple[object, ...]:
        last_freed = partial.freed[-1] if partial.freed else ""
        return (
            self.spans.get(partial.kept),
            partial.kept_end,
            self.spans.get(last_freed),
            partial.freed_end,
        )

    def _extensions(self, partial: _Partial) -> list[_Partial]:
        """Returns the results with one more engine, preferred ones first."""
        if partial.kept_end <= partial.freed_end:
            names = self._candidates(partial, partial.kept_end)
            return [
                dataclasses.replace(
                    partial, kept=name, kept_end=self.spans[name].end
                )
                for name in reversed(names)
            ]
        return [
            dataclasses.replace(
                partial,
                freed=(*partial.freed, name),
                freed_end=self._after_given(self.spans[name].end),
            )
            for name in self._candidates(partial, partial.freed_end)
        ]

    def _candidates(self, partial: _Partial, end: int) -> list[str]:
        """Returns the unused engines that extend a chain past its end."""
        used = {partial.kept, *partial.freed[-1:]}
        return [
            name
            for name, span in self.spans.items()
            if span.start <= end < span.end and name not in used
        ]

    def _after_given(self, end: int) -> int:
        """Returns where a chain ends after it was extended by given ranges."""
        for span in self.given:
            if span.start <= end:
                end = max(end, span.end)
        return end


def second_chain(
    spans: Mapping[str, model_layers.LayerRange],
    given: Sequence[model_layers.LayerRange],
    count: int,
) -> tuple[str, ...] | None:
    """Returns engines that form a chain while the others still form one.

    Args:
        spans: Layer ranges by engine; the first ones are freed rather than
            the last ones.
        given: Ranges that the returned engines need not cover.
        count: Number of layers of the model.

    Returns:
        The engines, or None if the ranges don't suffice for two chains.
    """
    return _Split(spans, given, count).find()
