"""The engines that a path may use, with their expected cost and memory.

The cost is derived from the published step time, the accelerator, the engine's
reported slowdown and this node's estimate of the requests that share its
batches. Engines that are suspect, leaving or full are excluded.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.policy import engine_sample
from almondshift.policy import path_search
from almondshift.policy import pooled_load

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    import random

    from almondshift.model import engine_specs
    from almondshift.model import registered_engines
    from almondshift.policy import engine_tracker

MANY_NODES_JITTER = 0.5
"""Maximum relative random increase of each engine's cost in groups of many
nodes, where a node has too few own requests to tell busy from idle engines.
Engines that are twice as slow still rank lower."""

ESTIMATE_TOLERANCE = 2.0
"""Estimated memory use, as a multiple of capacity, above which a request is
refused without asking the engine. Estimates extrapolate from this node's few
requests. A wrong refusal always makes its caller late, while an engine without
room refuses within milliseconds."""

BATCH_WAIT_FACTOR = 2.0
"""Time that a request spends at an engine, as a multiple of its time in
batches; the rest is spent waiting for them."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """The engines of a service as registered.

    Attributes:
        version: Increases with each change of registrations.
    """

    service: str
    spec: engine_specs.EngineSpec
    engines: tuple[registered_engines.RegisteredEngine, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _LiveEngines:
    """Engines that hold layers and are neither suspect nor leaving.

    Full engines are included.
    """

    engines: list[registered_engines.RegisteredEngine]
    groups: list[engine_sample.Group]
    shares: dict[str, pooled_load.EngineShare]
    version: tuple[int, int]


class PathCandidates:
    """Selects candidates, and caches data of the engines between requests.

    Attributes:
        nodes: Nodes of the group, this one included.
        isolated_nodes: Returns how many of them reach no engine of a service.
        mean_requests: This node's mean number of requests, by service.
        live: Usable engines, by service, until health or registrations change.
    """

    def __init__(
        self, tracker: engine_tracker.EngineTracker, rng: random.Random
    ) -> None:
        self.tracker = tracker
        self.rng = rng
        self.nodes = 1
        self.isolated_nodes: Callable[[str], int] = lambda service: 0
        self.mean_requests: dict[str, pooled_load.MeanRequests] = {}
        self.live: dict[str, _LiveEngines] = {}

    def find(
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
            kept: Engines on the request's current path. They already hold its
                memory, so they remain candidates even when full. Otherwise a
                request that lost one engine would have to leave the others too.
            is_sampled: Whether large groups of similar engines are sampled.
        """
        load = self.load(view, now)
        live = self._live_engines(view)
        engines = live.engines
        if is_sampled:
            engines = engine_sample.sample_engines(live.groups, self.rng)
            missing = kept.difference(engine.instance for engine in engines)
            if missing:
                engines += [e for e in live.engines if e.instance in missing]
        found = []
        for engine in engines:
            is_kept = engine.instance in kept
            if self._takes_nothing(engine.instance, now) and not is_kept:
                continue
            candidate = self._candidate(engine, view.spec, load)
            if is_kept:
                candidate = dataclasses.replace(candidate, used=0.0)
            found.append(candidate)
        return found

    def candidate_sets(
        self,
        view: FleetView,
        now: float,
        kept: frozenset[str] = frozenset(),
    ) -> Iterator[list[path_search.Candidate]]:
        """Yields a sample of the candidates, then all if some were omitted."""
        yield self.find(view, now, kept)
        if engine_sample.omits_any(self._live_engines(view).groups):
            yield self.find(view, now, kept, is_sampled=False)

    def _takes_nothing(self, instance: str, now: float) -> bool:
        """Returns whether an engine has no room, or asked for no requests."""
        return self.tracker.is_full(
            instance, now
        ) or self.tracker.is_in_backoff(instance, now)

    def _live_engines(self, view: FleetView) -> _LiveEngines:
        version = (view.version, self.tracker.changes)
        live = self.live.get(view.service)
        if live is not None and live.version == version:
            return live
        engines = [
            engine
            for engine in view.engines
            if engine.layers is not None
            and not engine.leaving
            and not self.tracker.is_suspect(engine.instance)
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
        groups = engine_sample.group_engines(engines)
        live = _LiveEngines(engines, groups, shares, version)
        self.live[view.service] = live
        return live

    def load(self, view: FleetView, now: float) -> pooled_load.FleetLoad:
        """Returns the estimated load of all nodes on the engines."""
        shares = self._live_engines(view).shares
        mean_requests = self.mean_requests.setdefault(
            view.service, pooled_load.MeanRequests()
        )
        return pooled_load.FleetLoad(
            self.tracker,
            shares,
            view.spec.layers,
            self.sharing_nodes(view.service),
            mean_requests,
            now,
        )

    def _candidate(
        self,
        engine: registered_engines.RegisteredEngine,
        spec: engine_specs.EngineSpec,
        load: pooled_load.FleetLoad,
    ) -> path_search.Candidate:
        assert engine.layers is not None
        layer_count = engine.layers.count
        running = load.own_running(engine.instance)
        if chooses_by_share(load.nodes, spec):
            running = load.running(engine.instance)
        factor = _step_factor(engine.kind, spec)
        batch = running * layer_count / spec.layers * BATCH_WAIT_FACTOR
        context_k = (
            spec.mean_prompt_tokens + spec.mean_answer_tokens / 2
        ) / 1000
        per_request = spec.step_ms_per_request
        per_request += spec.step_ms_per_kilotoken * context_k
        step_ms = spec.step_ms + per_request * batch
        pace = self.tracker.pace(engine.instance, load.now)
        return path_search.Candidate(
            instance=engine.instance,
            address=engine.address,
            zone=engine.zone,
            start=engine.layers.start,
            end=engine.layers.end,
            layer_ms=factor
            * pace
            * step_ms
            / spec.layers
            * self._jitter(load.nodes),
            room=spec.layer_token_capacity(engine.kind, layer_count),
            used=load.used(engine.instance, layer_count)
            / self.tolerance(engine.instance, load.now),
            may_be_first=load.first_requests(engine.instance) < engine.slots,
        )

    def tolerance(self, instance: str, now: float) -> float:
        """Returns by which factor estimated memory use may exceed capacity."""
        return (
            1.0
            if self.tracker.has_fresh_report(instance, now)
            else ESTIMATE_TOLERANCE
        )

    def sharing_nodes(self, service: str) -> int:
        """Returns how many nodes send requests to a service's engines.

        Nodes that reach none have peers send them. If they were counted, the
        peers would extrapolate from more requests to more nodes than there
        are, and refuse requests while engines have room.
        """
        return max(1, self.nodes - self.isolated_nodes(service))

    def _jitter(self, nodes: int) -> float:
        if nodes <= pooled_load.MANY_NODES:
            return 1.0
        return self.rng.uniform(1.0, 1.0 + MANY_NODES_JITTER)


def chooses_by_share(nodes: int, spec: engine_specs.EngineSpec) -> bool:
    """Returns whether one request of each node would overload a path.

    Paths are then drawn by their shares of all requests.
    """
    return nodes > spec.slots


def _step_factor(kind: str, spec: engine_specs.EngineSpec) -> float:
    kind_spec = spec.kinds.get(kind)
    return kind_spec.step_factor if kind_spec is not None else 1.0
