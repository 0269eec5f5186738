"""Prefix-cache hints, and spreading of a hot prefix over engines.

Many requests have a common prompt prefix, and one prefix may be requested more
often than a single engine can serve. Without hints each engine recomputes every
prompt. If hints were always followed, requests for a hot prefix would queue at
the one engine that has it while others are idle.

Engines publish their cache events late and with gaps, so the assumed content of
an engine's cache is discarded at a gap: a wrong hint costs a full prompt on an
engine that was chosen over a less busy one. A hint is followed only while the
node's requests in flight for the prefix use less than half of the sessions that
it may use on that engine. Beyond that, requests are routed by load, and the
next engine then holds the prefix too.

Memory is bounded to 512 prefixes per engine, dropping the oldest first. That
is 420,000 for 820 engines (about 60 MB at worst, and in practice the content
of the engines' limited caches).
"""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from almondshift.model import endpoints

MAX_PREFIXES = 512
MAX_PREFIX_SHARE = 0.5
HINT_WEIGHT = 0.5
"""Weight of the prompt work that a hint promises to save; less than 1, because
hints are often wrong."""


class _KnownCache:
    def __init__(self) -> None:
        self.sequence: int | None = None
        self.prefixes: dict[int, None] = {}


class PrefixHints:
    """Assumed contents of the engines' prefix caches."""

    def __init__(self) -> None:
        self._engines: dict[str, _KnownCache] = {}
        self._holders: dict[int, dict[str, None]] = {}
        self._in_flight: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )

    def apply_events(
        self, engine: str, changes: Iterable[endpoints.CacheEvent]
    ) -> None:
        """Applies cache events in order; a gap discards the assumed content."""
        cache = self._engines.setdefault(engine, _KnownCache())
        for change in changes:
            last = cache.sequence
            if last is not None and change.sequence <= last:
                continue
            if last is not None and change.sequence != last + 1:
                self._drop_all(engine, cache)
            cache.sequence = change.sequence
            if change.added:
                self._add(engine, cache, change.prefix)
            else:
                self._drop(engine, cache, change.prefix)

    def forget(self, engine: str) -> None:
        """Removes an engine that is gone or restarted."""
        cache = self._engines.pop(engine, None)
        if cache is not None:
            self._drop_all(engine, cache)

    def cached_share(
        self, prefixes: tuple[int, ...], engine: str, allowed: float
    ) -> float:
        """Returns the share of a prompt that an engine need not compute.

        Args:
            prefixes: Digests of the prompt's prefixes, longest first.
            engine: Name of the engine.
            allowed: Number of sessions that this node may use on it.
        """
        cache = self._engines.get(engine)
        if cache is None:
            return 0.0
        for index, prefix in enumerate(prefixes):
            if prefix not in cache.prefixes:
                continue
            if self._in_flight[(prefix, engine)] >= allowed * MAX_PREFIX_SHARE:
                return 0.0
            return HINT_WEIGHT * (len(prefixes) - index) / len(prefixes)
        return 0.0

    def holders(self, prefixes: tuple[int, ...], max_count: int) -> list[str]:
        """Returns up to ``max_count`` engines that hold the longest prefix."""
        for prefix in prefixes:
            holders = self._holders.get(prefix)
            if holders:
                return list(itertools.islice(holders, max_count))
        return []

    def started(self, prefixes: tuple[int, ...], engine: str) -> None:
        """Records that a request with these prefixes started on an engine."""
        for prefix in prefixes:
            self._in_flight[(prefix, engine)] += 1

    def ended(self, prefixes: tuple[int, ...], engine: str) -> None:
        """Records that a request with these prefixes left an engine."""
        for prefix in prefixes:
            key = (prefix, engine)
            self._in_flight[key] -= 1
            if self._in_flight[key] <= 0:
                del self._in_flight[key]

    def _add(self, engine: str, cache: _KnownCache, prefix: int) -> None:
        cache.prefixes.pop(prefix, None)
        cache.prefixes[prefix] = None
        self._holders.setdefault(prefix, {})[engine] = None
        if len(cache.prefixes) > MAX_PREFIXES:
            self._drop(engine, cache, next(iter(cache.prefixes)))

    def _drop(self, engine: str, cache: _KnownCache, prefix: int) -> None:
        if prefix not in cache.prefixes:
            return
        del cache.prefixes[prefix]
        holders = self._holders[prefix]
        del holders[engine]
        if not holders:
            del self._holders[prefix]

    def _drop_all(self, engine: str, cache: _KnownCache) -> None:
        for prefix in list(cache.prefixes):
            self._drop(engine, cache, prefix)
