"""Prefix-cache hints, and spreading of a hot prefix over engines.

Load patterns: many requests with a common prompt prefix, and one prefix that
is asked for more than one engine can serve. Without hints each engine
computes every prompt anew; if hints were always followed, a hot prefix would
queue at the one engine that has it while others idle.

Grounds: engines publish their cache events late and with gaps, so what is
believed of an engine is dropped at a gap: a wrong hint costs a full prompt on
an engine that was chosen over a less busy one. A hint is followed only while
this node has less than half of what it may send to that engine in flight
for the prefix; past that the request goes by load, and the next engine then
holds the prefix too. Memory is bounded: 512 prefixes of each engine, oldest
dropped first, which is 420,000 for 820 engines (about 60 MB at worst, and
in practice what the engines' limited caches hold).
"""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import endpoints

MAX_PREFIXES = 512
HOT_SHARE = 0.5
CONFIDENCE = 0.5
"""Part of the saved prompt that a hint counts for; hints are often wrong."""


class _Believed:
    def __init__(self) -> None:
        self.sequence: int | None = None
        self.prefixes: dict[int, None] = {}


class PrefixHints:
    """What is believed of the engines' prefix caches."""

    def __init__(self) -> None:
        self._engines: dict[str, _Believed] = {}
        self._holders: dict[int, dict[str, None]] = {}
        self._in_flight: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    def take(
        self, engine: str, changes: Iterable[endpoints.CacheEvent]
    ) -> None:
        """Takes cache events in order; a gap drops all that was believed."""
        believed = self._engines.setdefault(engine, _Believed())
        for change in changes:
            last = believed.sequence
            if last is not None and change.sequence <= last:
                continue
            if last is not None and change.sequence != last + 1:
                self._drop_all(engine, believed)
            believed.sequence = change.sequence
            if change.added:
                self._add(engine, believed, change.prefix)
            else:
                self._drop(engine, believed, change.prefix)

    def forget(self, engine: str) -> None:
        """Forgets an engine that is gone or restarted."""
        believed = self._engines.pop(engine, None)
        if believed is not None:
            self._drop_all(engine, believed)

    def share(
        self, prefixes: tuple[int, ...], engine: str, allowed: float
    ) -> float:
        """Returns the part of a prompt that an engine need not compute.

        Args:
            prefixes: Digests of the prompt's prefixes, longest first.
            engine: The engine.
            allowed: Sessions that this node may hold there.
        """
        believed = self._engines.get(engine)
        if believed is None:
            return 0.0
        for index, prefix in enumerate(prefixes):
            if prefix not in believed.prefixes:
                continue
            if self._in_flight[(prefix, engine)] >= allowed * HOT_SHARE:
                return 0.0
            return CONFIDENCE * (len(prefixes) - index) / len(prefixes)
        return 0.0

    def holders(self, prefixes: tuple[int, ...], most: int) -> list[str]:
        """Returns up to ``most`` engines that hold the longest prefix."""
        for prefix in prefixes:
            holders = self._holders.get(prefix)
            if holders:
                return list(itertools.islice(holders, most))
        return []

    def started(self, prefixes: tuple[int, ...], engine: str) -> None:
        """Notes a request with these prefixes on an engine."""
        for prefix in prefixes:
            self._in_flight[(prefix, engine)] += 1

    def ended(self, prefixes: tuple[int, ...], engine: str) -> None:
        """Notes that such a request left the engine."""
        for prefix in prefixes:
            key = (prefix, engine)
            self._in_flight[key] -= 1
            if self._in_flight[key] <= 0:
                del self._in_flight[key]

    def _add(self, engine: str, believed: _Believed, prefix: int) -> None:
        believed.prefixes.pop(prefix, None)
        believed.prefixes[prefix] = None
        self._holders.setdefault(prefix, {})[engine] = None
        if len(believed.prefixes) > MAX_PREFIXES:
            self._drop(engine, believed, next(iter(believed.prefixes)))

    def _drop(self, engine: str, believed: _Believed, prefix: int) -> None:
        if prefix not in believed.prefixes:
            return
        del believed.prefixes[prefix]
        holders = self._holders[prefix]
        del holders[engine]
        if not holders:
            del self._holders[prefix]

    def _drop_all(self, engine: str, believed: _Believed) -> None:
        for prefix in list(believed.prefixes):
            self._drop(engine, believed, prefix)
