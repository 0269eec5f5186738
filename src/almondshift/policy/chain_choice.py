"""Chain selection: the path of least expected time through the layer graph.

Accelerators differ in speed, hold overlapping layer ranges, and are connected
by links of different latency. Round robin over chains runs at the pace of the
slowest engine and leaves fast ones idle; always choosing the best chain makes
all nodes with the same outdated report choose the same one.

The time of a chain is the sum of its stages, so the fastest chain is a shortest
path over layer boundaries. Engines with the same range form one group. For each
group a few engines with spare capacity are sampled at random and the best of
them represents the group (see ``pools``), so that the cost depends on the
number of ranges and not on the number of engines. The expected time of an
engine grows with its utilisation, up to three times the idle time at its limit.
Requests therefore go where there is spare capacity, in proportion to it, and a
scarce range is left to the requests that need it. The node carries activations
itself, so each stage costs two passes over the link between the availability
zones of the node and the engine.

Used by ``router``, for nodes that call each engine of a chain themselves. For
the relay, see ``path_choice``.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from almondshift.model import chains
from almondshift.model import layers
from almondshift.policy import concurrency
from almondshift.policy import ejection
from almondshift.policy import engine_rates
from almondshift.policy import long_jobs as long_jobs_module
from almondshift.policy import pools
from almondshift.policy import prefix_hints
from almondshift.policy import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from almondshift.model import endpoints

LOCAL_LINK_S = 0.0002
"""Latency of the link to an engine in the node's own availability zone."""
UNKNOWN_LINK_S = 0.0005
"""Latency assumed for a link between zones that is not configured."""
CONGESTION_FACTOR = 2.0
"""Relative increase of an engine's step time from idle to its limit; it grows
with the square of the utilisation."""
COST_JITTER = 0.1
"""Maximum relative random increase of an engine's cost, so that nodes with the
same report choose different engines."""
TOKEN_TIME_SMOOTHING = 0.1
"""Weight of a new value in the moving average of the time of a token."""
SATURATED_COST_FACTOR = 4.0
"""Cost factor of an engine that is used although it has no capacity left."""


class Eligibility(enum.Enum):
    """Which engines a chain may use.

    Attributes:
        AVAILABLE: Engines in service that this node's share has slots on.
        BELOW_LIMIT: Engines below the limit of all nodes, even ejected ones.
        ANY: Any engine, even a full one.
    """

    AVAILABLE = "available"
    BELOW_LIMIT = "below_limit"
    ANY = "any"


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Work that a chain is chosen for.

    Attributes:
        prompt_tokens: Tokens to process before the first generated one.
        tokens: Number of tokens expected to be generated.
        is_long: Whether it counts as a long request; see ``long_jobs``.
        prefixes: Prefixes of the prompt that an engine may have cached.
    """

    prompt_tokens: int
    tokens: float
    is_long: bool
    prefixes: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A chosen chain.

    Attributes:
        seconds: Expected time of the entire request on this chain.
    """

    stages: tuple[chains.Stage, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _RangeExits:
    """A range, and the boundaries at which a chain may leave it."""

    span: layers.LayerRange
    ends: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Cost:
    """Expected seconds on one engine, linear in the number of layers."""

    name: str
    fixed_s: float
    per_layer_s: float

    def seconds(self, layer_count: int) -> float:
        return self.fixed_s + self.per_layer_s * layer_count


class _Engine:
    """An engine with the cached data needed to choose it."""

    def __init__(self, description: endpoints.EndpointDescription) -> None:
        self.description = description
        self.load = concurrency.EngineLoad()
        self.link_s = UNKNOWN_LINK_S
        self.available = False


class ChainChooser:
    """Tracks the load of engines and chooses chains.

    Attributes:
        engines: Engines by name.
        capacity_generation: Counter that grows when an engine gains capacity;
            compared to decide whether to try waiting requests again.
        active_peers: Number of peers that have requests in flight.
        known_peers: Number of known peers.
    """

    def __init__(
        self,
        rng: random.Random,
        zone: str,
        topology: topologies.Topology,
        health: ejection.Ejection,
        long_jobs: long_jobs_module.LongJobs,
        hints: prefix_hints.PrefixHints,
    ) -> None:
        self.rng = rng
        self.zone = zone
        self.topology = topology
        self.health = health
        self.long_jobs = long_jobs
        self.hints = hints
        self.engines: dict[str, _Engine] = {}
        self.capacity_generation = 0
        self.active_peers = 0
        self.known_peers = 0
        self._pools: dict[
            topologies.Target, dict[layers.LayerRange, pools.Pool]
        ] = {}
        self._served: dict[
            str, frozenset[tuple[topologies.Target, layers.LayerRange]]
        ] = {}
        self._graphs: dict[
            tuple[topologies.Target, layers.LayerRange],
            dict[int, tuple[_RangeExits, ...]],
        ] = {}
        self._graphs_generation = -1
        self._token_times: dict[str, float] = {}
        self._objectives: dict[str, float] = {}

    def token_time_s(self, model: str) -> float:
        """Returns the time of one token through a chain of this model."""
        return self._token_times.get(model, 0.0)

    def sync(self) -> None:
        """Applies pending topology changes."""
        for name in self.topology.changed:
            self._sync_engine(name)
        self.topology.changed.clear()

    def refresh(self, name: str) -> None:
        """Adds an engine with spare capacity to its pools, or removes it."""
        engine = self.engines.get(name)
        if engine is None:
            return
        state = self.health.state(name)
        allowed = engine.load.allowed
        if state is ejection.State.TRIAL:
            allowed = min(allowed, ejection.MAX_TRIAL_REQUESTS)
        available = (
            state is not ejection.State.EJECTED and engine.load.own < allowed
        )
        if available != engine.available:
            self._set_available(name, engine, available)

    def apply_report(self, report: endpoints.LoadReport, at: float) -> None:
        """Applies an engine's load report."""
        engine = self.engines.get(report.endpoint)
        if engine is None:
            return
        engine.load.limit = self._limit(report.endpoint, engine)
        engine.load.apply_report(
            report, at - report.age_s, self.active_peers, self.known_peers
        )
        # The fraction of a slot is rounded up with a probability equal to it,
        # drawn once per report. With deterministic rounding, many nodes would
        # all round down to none or all up to one.
        engine.load.allowed = float(
            int(engine.load.allowed + self.rng.random())
        )
        self.refresh(report.endpoint)
        # An available engine may have more slots than before the report.
        self.capacity_generation += engine.available

    def choose(
        self,
        target: topologies.Target,
        needed: layers.LayerRange,
        job: Job,
        at: float,
        *,
        avoid: frozenset[str] = frozenset(),
        eligibility: Eligibility = Eligibility.AVAILABLE,
    ) -> Choice | None:
        """Chooses stages that cover ``needed``.

        Args:
            target: Model, version and adapter that the engines must hold.
            needed: Layers to cover.
            job: Work to run on the chain.
            at: Current time.
            avoid: Engines not to use.
            eligibility: Which engines may be used. Recoveries of running
                requests may use other engines than ``AVAILABLE`` ones;
                those are preferred.

        Returns:
            The choice, or None if the eligible engines form no chain.
        """
        graph = self._graph(target, needed)
        sampled = self._sample_engines(target, job, at, avoid, eligibility)
        best: dict[int, tuple[float, chains.Stage | None]] = {
            needed.end: (0.0, None)
        }
        for position in sorted(graph, reverse=True):
            self._update_best_stage(best, position, graph[position], sampled)
        return self._shortest_path(best, needed, target)

    def started(
        self, stages: Iterable[chains.Stage], job: Job, at: float
    ) -> None:
        """Records that a request was started on these stages."""
        for stage in stages:
            engine = self.engines.get(stage.endpoint)
            if engine is None:
                continue
            engine.load.adjust_own(at, 1)
            engine.load.own_long += job.is_long
            engine.load.pending_prompt_tokens += job.prompt_tokens
            self.hints.started(job.prefixes, stage.endpoint)
            self.refresh(stage.endpoint)

    def prefill_finished(
        self, stages: Iterable[chains.Stage], job: Job
    ) -> None:
        """Records that a request's prompt has been processed by its chain."""
        for stage in stages:
            engine = self.engines.get(stage.endpoint)
            if engine is not None:
                remaining = (
                    engine.load.pending_prompt_tokens - job.prompt_tokens
                )
                engine.load.pending_prompt_tokens = max(0, remaining)

    def ended(
        self, stages: Iterable[chains.Stage], job: Job, at: float
    ) -> None:
        """Records that a request has left these stages."""
        for stage in stages:
            self.hints.ended(job.prefixes, stage.endpoint)
            engine = self.engines.get(stage.endpoint)
            if engine is None or engine.load.own == 0:
                continue
            engine.load.adjust_own(at, -1)
            engine.load.own_long = max(0, engine.load.own_long - job.is_long)
            self.refresh(stage.endpoint)
            # refresh() counts an engine that becomes available. A long request
            # also frees a slot for another long one on an engine that had
            # slots left for short ones only.
            self.capacity_generation += job.is_long

    def mark_full(self, name: str) -> None:
        """Marks an engine that refused work as full until its next report."""
        engine = self.engines.get(name)
        if engine is not None:
            engine.load.allowed = min(engine.load.allowed, engine.load.own)
            self.refresh(name)

    def set_peer_in_flight(
        self, node: str, before: dict[str, int], now: dict[str, int]
    ) -> None:
        """Replaces a peer's previous in-flight counts with the current ones."""
        for name in before.keys() - now.keys():
            if name in self.engines:
                self.engines[name].load.peers.discard(node)
        for name in now.keys() - before.keys():
            if name in self.engines:
                self.engines[name].load.peers.add(node)

    def apply_config(self) -> None:
        """Applies latencies and objectives of a new configuration."""
        fleet = self.topology.fleet
        self._objectives.clear()
        for service in fleet.services.values() if fleet else ():
            objective = service.objectives.between_tokens_s
            strictest = self._objectives.get(service.model, objective)
            self._objectives[service.model] = min(strictest, objective)
        for name, engine in self.engines.items():
            endpoint = self.topology.endpoints[name]
            engine.link_s = self._link_s(endpoint.zone)

    def expected_call_s(
        self, name: str, tokens: int, layer_count: int
    ) -> float:
        """Returns the call time computed from the engine's description.

        The call shares its batch with other requests in proportion to the
        engine's utilisation. Above the engine's limit it also waits for
        complete batches ahead of it.
        """
        engine = self.engines.get(name)
        if engine is None:
            return 1.0
        described = engine.description
        utilisation = engine.load.utilisation
        shared = described.max_batch * min(1.0, utilisation)
        work = described.per_layer_token_s * layer_count * max(tokens, shared)
        batch_s = max(engine_rates.MIN_BATCH_S, described.fixed_s + work)
        return batch_s * max(1.0, utilisation)

    def _sync_engine(self, name: str) -> None:
        endpoint = self.topology.endpoints.get(name)
        served = endpoint.served if endpoint else frozenset()
        before = self._served.get(name, frozenset())
        for target, span in before:
            self._pool(target, span).discard(name)
        if endpoint is None or endpoint.description is None:
            self._served.pop(name, None)
            self.engines.pop(name, None)
            self.health.forget(name)
            self.hints.forget(name)
            return
        engine = self._engine(name, endpoint.description)
        self._served[name] = served
        engine.link_s = self._link_s(endpoint.zone)
        spans = sorted({span for _, span in served})
        self.health.set_group(
            name, (endpoint.description.accelerator, *spans) if spans else name
        )
        engine.load.limit = self._limit(name, engine)
        if before == frozenset():
            equal_share = engine.load.limit / (1 + self.known_peers)
            engine.load.allowed = max(1.0, equal_share)
        engine.available = False
        self.refresh(name)

    def _engine(
        self, name: str, description: endpoints.EndpointDescription
    ) -> _Engine:
        engine = self.engines.get(name)
        if engine is None or engine.description != description:
            self.health.forget(name)
            self.hints.forget(name)
            engine = self.engines[name] = _Engine(description)
        return engine

    def _set_available(
        self, name: str, engine: _Engine, available: bool
    ) -> None:
        engine.available = available
        for target, span in self._served.get(name, ()):
            if available:
                self._pool(target, span).add(name)
            else:
                self._pool(target, span).discard(name)
        if available:
            self.capacity_generation += 1

    def _pool(
        self, target: topologies.Target, span: layers.LayerRange
    ) -> pools.Pool:
        spans = self._pools.setdefault(target, {})
        if span not in spans:
            spans[span] = pools.Pool()
        return spans[span]

    def _limit(self, name: str, engine: _Engine) -> float:
        served = self._served.get(name)
        if not served:
            return 1.0
        target, span = (
            next(iter(served))
            if len(served) == 1
            else max(served, key=lambda pair: pair[1].count)
        )
        return concurrency.limit_for(
            engine.description,
            span.count,
            self.token_time_s(target.model),
            self._objective_s(target.model),
        )

    def _objective_s(self, model: str) -> float:
        """Returns the strictest time-between-tokens objective of a model."""
        return self._objectives.get(model, 0.0)

    def _link_s(self, zone: str) -> float:
        if zone == self.zone:
            return LOCAL_LINK_S
        fleet = self.topology.fleet
        for link in fleet.links if fleet else ():
            if {link.zone_a, link.zone_b} == {zone, self.zone}:
                return link.latency_s
        return UNKNOWN_LINK_S

    def _graph(
        self, target: topologies.Target, needed: layers.LayerRange
    ) -> dict[int, tuple[_RangeExits, ...]]:
        if self._graphs_generation != self.topology.generation:
            self._graphs.clear()
            self._graphs_generation = self.topology.generation
        key = (target, needed)
        if key not in self._graphs:
            spans = sorted(self.topology.ranges.get(target, {}))
            self._graphs[key] = build_graph(spans, needed)
        return self._graphs[key]

    def _sample_engines(
        self,
        target: topologies.Target,
        job: Job,
        at: float,
        avoid: frozenset[str],
        eligibility: Eligibility,
    ) -> dict[layers.LayerRange, _Cost]:
        """Chooses the cheapest of a few sampled engines for each range."""
        hinted = self.hints.holders(job.prefixes, pools.SAMPLE_SIZE)
        sampled = {}
        for span, pool in self._pools.get(target, {}).items():
            names = pool.sample(self.rng)
            names += [name for name in hinted if name in pool]
            usable = [
                name
                for name in names
                if self._usable(name, job, at, avoid)
                and self._is_eligible(name, eligibility)
            ]
            factor = 1.0
            if not usable and eligibility is not Eligibility.AVAILABLE:
                usable = self._unavailable_engines(
                    target, span, avoid, eligibility
                )
                factor = SATURATED_COST_FACTOR
            if usable:
                sampled[span] = self._cheapest(usable, span, job, factor)
        return sampled

    def _usable(
        self, name: str, job: Job, at: float, avoid: frozenset[str]
    ) -> bool:
        if name in avoid:
            return False
        if not job.is_long:
            return True
        load = self.engines[name].load
        return load.own_long < self.long_jobs.slots(at, load.allowed)

    def _is_eligible(self, name: str, eligibility: Eligibility) -> bool:
        if eligibility is not Eligibility.BELOW_LIMIT:
            return True
        return self.engines[name].load.utilisation < 1.0

    def _unavailable_engines(
        self,
        target: topologies.Target,
        span: layers.LayerRange,
        avoid: frozenset[str],
        eligibility: Eligibility,
    ) -> list[str]:
        holders = self.topology.ranges.get(target, {}).get(span, {})
        usable = [
            name
            for name in holders
            if name not in avoid and self._is_eligible(name, eligibility)
        ]
        healthy = [
            name
            for name in usable
            if self.health.state(name) is not ejection.State.EJECTED
        ]
        usable = healthy or usable
        if len(usable) > pools.SAMPLE_SIZE:
            usable = self.rng.sample(usable, pools.SAMPLE_SIZE)
        return usable

    def _cheapest(
        self,
        names: list[str],
        span: layers.LayerRange,
        job: Job,
        factor: float,
    ) -> _Cost:
        costs = [self._cost(name, job, factor) for name in names]
        return min(costs, key=lambda cost: cost.seconds(span.count))

    def _cost(self, name: str, job: Job, factor: float) -> _Cost:
        """Returns a job's expected time on an engine, linear in layers."""
        engine = self.engines[name]
        load, described = engine.load, engine.description
        utilisation = min(1.0, load.utilisation)
        slowness = self.health.slowness(name)
        load_factor = slowness * (
            1.0 + CONGESTION_FACTOR * utilisation * utilisation
        )
        tokens = 1.0 + job.tokens
        steps = tokens + load.queued / max(1, described.max_batch)
        batch = max(1.0, utilisation * described.max_batch)
        cached = self.hints.cached_share(job.prefixes, name, load.allowed)
        prefill_tokens = (
            job.prompt_tokens * (1.0 - cached) + load.pending_prompt_tokens
        )
        work = steps * load_factor * batch + prefill_tokens * slowness
        factor *= 1.0 + COST_JITTER * self.rng.random()
        return _Cost(
            name,
            factor
            * (
                steps * load_factor * described.fixed_s
                + 2.0 * tokens * engine.link_s
            ),
            factor * work * described.per_layer_token_s,
        )

    def _update_best_stage(
        self,
        best: dict[int, tuple[float, chains.Stage | None]],
        position: int,
        options: tuple[_RangeExits, ...],
        sampled: dict[layers.LayerRange, _Cost],
    ) -> None:
        """Updates the first stage of the cheapest chain from ``position``."""
        for option in options:
            cost = sampled.get(option.span)
            if cost is None:
                continue
            for end in option.ends:
                if end not in best:
                    continue
                seconds = cost.seconds(end - position) + best[end][0]
                if position not in best or seconds < best[position][0]:
                    span = layers.LayerRange(position, end)
                    best[position] = (seconds, chains.Stage(cost.name, span))

    def _shortest_path(
        self,
        best: dict[int, tuple[float, chains.Stage | None]],
        needed: layers.LayerRange,
        target: topologies.Target,
    ) -> Choice | None:
        """Returns the chain of the best stages, or None if there is none.

        If it covers the entire model, also updates the model's token time.
        """
        if needed.start not in best:
            return None
        stages: list[chains.Stage] = []
        position = needed.start
        while position < needed.end:
            stage = best[position][1]
            if stage is None:
                return None
            stages.append(stage)
            position = stage.layers.end
        if needed.count == self.topology.layer_count(target.model):
            self._update_token_time(target.model, stages)
        return Choice(tuple(stages), best[needed.start][0])

    def _update_token_time(
        self, model: str, stages: list[chains.Stage]
    ) -> None:
        """Updates the smoothed token time of chains with full batches."""
        token_time = 0.0
        for stage in stages:
            engine = self.engines[stage.endpoint]
            described = engine.description
            layer_s = described.per_layer_token_s * stage.layers.count
            token_time += described.fixed_s + layer_s * described.max_batch
            token_time += 2.0 * engine.link_s
        before = self._token_times.get(model, token_time)
        self._token_times[model] = before + TOKEN_TIME_SMOOTHING * (
            token_time - before
        )


def build_graph(
    spans: list[layers.LayerRange], needed: layers.LayerRange
) -> dict[int, tuple[_RangeExits, ...]]:
    """Returns the usable ranges at each layer boundary.

    A chain leaves a range at its end or where another range begins. Leaving it
    elsewhere would only move the boundary between the same two engines.
    """
    starts = {s.start for s in spans if needed.start < s.start < needed.end}
    ends = {s.end for s in spans if needed.start < s.end < needed.end}
    graph = {}
    for position in {needed.start} | starts | ends:
        options = [
            _RangeExits(span, _ends(span, position, starts, needed.end))
            for span in spans
            if span.start <= position < span.end
        ]
        graph[position] = tuple(options)
    return graph


def _ends(
    span: layers.LayerRange, position: int, starts: set[int], last: int
) -> tuple[int, ...]:
    final = min(span.end, last)
    within = {start for start in starts if position < start < final}
    return tuple(sorted(within | {final}))
