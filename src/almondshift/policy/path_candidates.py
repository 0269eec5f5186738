"""The engines that a path may use, with their expected cost and memory.

Costs follow from the published step time, the accelerator, the engine's pace
and this node's estimate of the requests that share its batches. Engines that
are suspect, leaving or full are left out.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.policy import engine_sample
from almondshift.policy import path_search
from almondshift.policy import pooled_load

if TYPE_CHECKING:
    from collections.abc import Iterator
    import random

    from almondshift.model import engine_specs
    from almondshift.model import registered_engines
    from almondshift.policy import engine_book

SPREAD = 0.5
"""Random factor applied to each engine's cost in large groups, where a node has
too few requests of its own to tell busy engines from idle ones. Engines that
are twice as slow still rank behind."""

GUESS_DOUBT = 2.0
"""Estimated memory use, as a multiple of capacity, above which a request is
refused without asking the engine. Estimates extrapolate from this node's few
requests; a caller that is refused wrongly is late for certain, while an engine
without room refuses within milliseconds."""

BATCH_SHARE = 2.0
"""Time that a request spends at an engine, relative to its time in batches."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The engines of a service as registered.

    Attributes:
        version: Grows with each change of registrations.
    """

    service: str
    spec: engine_specs.EngineSpec
    engines: tuple[registered_engines.RegisteredEngine, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Live:
    """The engines that hold layers and are not suspect, full or not."""

    engines: list[registered_engines.RegisteredEngine]
    groups: list[engine_sample.Group]
    shares: dict[str, pooled_load.EngineShare]
    version: tuple[int, int]


class PathCandidates:
    """Keeps what is known of a service's engines between arrivals.

    Attributes:
        nodes: Nodes that share the engines, this one included.
        usual: This node's usual number of requests, by service.
    """

    def __init__(
        self, book: engine_book.EngineBook, rng: random.Random
    ) -> None:
        self.book = book
        self.rng = rng
        self.nodes = 1
        self.usual: dict[str, pooled_load.UsualRequests] = {}
        self.live: dict[str, _Live] = {}

    def found(
        self,
        view: FleetView,
        now: float,
        kept: frozenset[str] = frozenset(),
        is_sampled: bool = True,
    ) -> list[path_search.Candidate]:
        """Returns the engines that may take work.

        Args:
            view: The engines.
            now: Monotonic seconds.
            kept: Engines that hold a request already. They have its memory
                also when they are full; left out, a request that lost one
                engine would have to leave the others too.
            is_sampled: Whether a sample of large groups will do.
        """
        load = self.load(view, now)
        known = self._live(view)
        engines = known.engines
        if is_sampled:
            engines = engine_sample.sampled(known.groups, self.rng)
            missing = kept.difference(engine.instance for engine in engines)
            if missing:
                engines += [e for e in known.engines if e.instance in missing]
        found = []
        for engine in engines:
            is_kept = engine.instance in kept
            if self.book.is_full(engine.instance, now) and not is_kept:
                continue
            candidate = self._candidate(engine, view.spec, load)
            if is_kept:
                candidate = dataclasses.replace(candidate, used=0.0)
            found.append(candidate)
        return found

    def sets(
        self,
        view: FleetView,
        now: float,
        kept: frozenset[str] = frozenset(),
    ) -> Iterator[list[path_search.Candidate]]:
        """Yields a sample of the candidates, then all if it left some out."""
        yield self.found(view, now, kept)
        if engine_sample.leaves_out(self._live(view).groups):
            yield self.found(view, now, kept, is_sampled=False)

    def _live(self, view: FleetView) -> _Live:
        version = (view.version, self.book.changes)
        known = self.live.get(view.service)
        if known is not None and known.version == version:
            return known
        engines = [
            engine
            for engine in view.engines
            if engine.layers is not None
            and not engine.leaving
            and not self.book.is_suspect(engine.instance)
        ]
        holdings = [
            pooled_load.Holding(
                e.instance,
                e.layers.start,
                e.layers.end,
                1.0 / _step_factor(e.kind, view.spec),
            )
            for e in engines
            if e.layers is not None
        ]
        shares = pooled_load.engine_shares(holdings, view.spec.layers)
        groups = engine_sample.grouped(engines)
        known = _Live(engines, groups, shares, version)
        self.live[view.service] = known
        return known

    def load(self, view: FleetView, now: float) -> pooled_load.FleetLoad:
        """Returns what all nodes are believed to have on the engines."""
        shares = self._live(view).shares
        usual = self.usual.setdefault(view.service, pooled_load.UsualRequests())
        return pooled_load.FleetLoad(
            self.book, shares, view.spec.layers, self.nodes, usual, now
        )

    def _candidate(
        self,
        engine: registered_engines.RegisteredEngine,
        spec: engine_specs.EngineSpec,
        load: pooled_load.FleetLoad,
    ) -> path_search.Candidate:
        assert engine.layers is not None
        held = engine.layers.count
        running = load.own_running(engine.instance)
        if self.draws(spec):
            running = load.running(engine.instance)
        factor = _step_factor(engine.kind, spec)
        batch = running * held / spec.layers * BATCH_SHARE
        context_k = (spec.usual_prompt + spec.usual_answer / 2) / 1000
        per_request = spec.step_ms_per_request
        per_request += spec.step_ms_per_kilotoken * context_k
        step_ms = spec.step_ms + per_request * batch
        pace = self.book.pace(engine.instance, load.now)
        return path_search.Candidate(
            instance=engine.instance,
            address=engine.address,
            zone=engine.zone,
            start=engine.layers.start,
            end=engine.layers.end,
            layer_ms=factor * pace * step_ms / spec.layers * self._spread(),
            room=spec.layer_token_room(engine.kind, held),
            used=load.used(engine.instance, held)
            / self.doubt(engine.instance, load.now),
            may_be_first=load.first(engine.instance) < engine.slots,
        )

    def doubt(self, instance: str, now: float) -> float:
        """Returns how far a belief of an engine's memory in use may be off."""
        return 1.0 if self.book.is_reported(instance, now) else GUESS_DOUBT

    def _spread(self) -> float:
        if self.nodes <= pooled_load.MANY_NODES:
            return 1.0
        return self.rng.uniform(1.0, 1.0 + SPREAD)

    def draws(self, spec: engine_specs.EngineSpec) -> bool:
        """Returns whether one request of each node is too much for a path."""
        return self.nodes > spec.slots


def _step_factor(kind: str, spec: engine_specs.EngineSpec) -> float:
    known = spec.kinds.get(kind)
    return known.step_factor if known is not None else 1.0
