"""Choice of a chain: least expected time through the layer graph.

Load pattern: mixed accelerators that hold overlapping layer ranges, on links
that differ. Chains taken in turn run at the pace of the slowest engine and
leave fast ones idle; always taking the best makes all nodes with the same
late report take the same one.

Grounds: a chain's time is a sum over its stages, so the least is a shortest
path over layer boundaries. Engines with the same range stand in one group;
for each group a few with room are drawn at random and the best of them
stands for it (``pools``), so that the cost depends on the number of ranges
and not of engines. An engine's time grows with its utilisation, at the limit
to three times that of an idle one: requests then go where there is spare
capacity, in proportion to it, and a scarce range is left to those who need
it. The node carries activations itself, so a stage costs two passes of the
link between the node's availability zone and the engine's.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import chains
from almondshift.model import layers
from almondshift.policy import concurrency
from almondshift.policy import ejection
from almondshift.policy import long_jobs as long_jobs_module
from almondshift.policy import pools
from almondshift.policy import spreading
from almondshift.policy import topology as topologies

if TYPE_CHECKING:
    from collections.abc import Iterable
    import random

    from almondshift.model import endpoints

LOCAL_LINK_S = 0.0002
UNKNOWN_LINK_S = 0.0005
CONGESTION = 2.0
JITTER = 0.1
"""Costs closer than a tenth count as equal and are chosen at random."""
CYCLE_SMOOTHING = 0.1
OVERFULL = 4.0
"""Cost factor of an engine taken although it has no room."""


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """What a chain is wanted for.

    Attributes:
        prompt_tokens: Tokens to run before the first new one.
        tokens: Tokens expected to be generated.
    """

    prompt_tokens: int
    tokens: float
    long: bool
    prefixes: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A chosen chain.

    Attributes:
        seconds: Expected time of the whole request along it.
    """

    stages: tuple[chains.Stage, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Hop:
    """From one boundary a range leads to these others."""

    span: layers.LayerRange
    ends: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Cost:
    """Expected seconds in one engine, as a line over its layers."""

    name: str
    fixed: float
    per_layer: float

    def seconds(self, layer_count: int) -> float:
        return self.fixed + self.per_layer * layer_count


class _Engine:
    """An engine with what choosing it needs at hand."""

    def __init__(self, description: endpoints.EndpointDescription) -> None:
        self.description = description
        self.load = concurrency.EngineLoad()
        self.link_s = UNKNOWN_LINK_S
        self.open = False


class ChainChooser:
    """Keeps the engines' load and chooses chains.

    Attributes:
        engines: Engines by name.
        openings: Grows when an engine gets room; who waits compares it.
        active_peers: Peers that have requests in flight.
        known_peers: Peers known.
    """

    def __init__(
        self,
        rng: random.Random,
        zone: str,
        topology: topologies.Topology,
        health: ejection.Ejection,
        long_jobs: long_jobs_module.LongJobs,
        hints: spreading.PrefixHints,
    ) -> None:
        self.rng = rng
        self.zone = zone
        self.topology = topology
        self.health = health
        self.long_jobs = long_jobs
        self.hints = hints
        self.engines: dict[str, _Engine] = {}
        self.openings = 0
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
            dict[int, tuple[_Hop, ...]],
        ] = {}
        self._graphs_generation = -1
        self._cycles: dict[str, float] = {}
        self._objectives: dict[str, float] = {}

    def cycle_s(self, model: str) -> float:
        """Returns the time of one token round a chain of this model."""
        return self._cycles.get(model, 0.0)

    def sync(self) -> None:
        """Takes over what changed in the topology."""
        for name in self.topology.changed:
            self._sync_engine(name)
        self.topology.changed.clear()

    def refresh(self, name: str) -> None:
        """Puts an engine into its pools or takes it out of them."""
        engine = self.engines.get(name)
        if engine is None:
            return
        state = self.health.state(name)
        allowed = engine.load.allowed
        if state is ejection.State.TRIAL:
            allowed = min(allowed, ejection.TRIAL_REQUESTS)
        room = state is not ejection.State.OUT and engine.load.own < allowed
        if room != engine.open:
            self._set_open(name, engine, room)

    def reported(self, report: endpoints.LoadReport, at: float) -> None:
        """Takes an engine's load report."""
        engine = self.engines.get(report.endpoint)
        if engine is None:
            return
        engine.load.limit = self._limit(report.endpoint, engine)
        engine.load.reported(
            report, at - report.age_s, self.active_peers, self.known_peers
        )
        # A fraction of a slot is one slot with that probability, drawn
        # once for each report: with many nodes, each would otherwise round
        # down to none or all up to one.
        engine.load.allowed = float(
            int(engine.load.allowed + self.rng.random())
        )
        self.refresh(report.endpoint)
        self.openings += engine.open

    def choose(
        self,
        target: topologies.Target,
        needed: layers.LayerRange,
        job: Job,
        at: float,
        *,
        avoid: frozenset[str] = frozenset(),
        force: bool = False,
    ) -> Choice | None:
        """Chooses stages that cover ``needed``.

        Args:
            target: What the engines must hold.
            needed: Layers to cover.
            job: What it is for.
            at: Now.
            avoid: Engines not to use.
            force: Whether engines without room may be taken, for the
                recovery of a request that is already running.

        Returns:
            The choice, or None if there is no chain with room.
        """
        graph = self._graph(target, needed)
        drawn = self._draw(target, job, at, avoid, force)
        best: dict[int, tuple[float, chains.Stage | None]] = {
            needed.end: (0.0, None)
        }
        for position in sorted(graph, reverse=True):
            self._improve(best, position, graph[position], drawn)
        return self._path(best, needed, target)

    def started(
        self, stages: Iterable[chains.Stage], job: Job, at: float
    ) -> None:
        """Notes that a request runs along these stages."""
        for stage in stages:
            engine = self.engines.get(stage.endpoint)
            if engine is None:
                continue
            engine.load.change(at, 1)
            engine.load.own_long += job.long
            engine.load.pending_prompt += job.prompt_tokens
            self.hints.started(job.prefixes, stage.endpoint)
            self.refresh(stage.endpoint)

    def prompted(self, stages: Iterable[chains.Stage], job: Job) -> None:
        """Notes that a request's prompt has run through its chain."""
        for stage in stages:
            engine = self.engines.get(stage.endpoint)
            if engine is not None:
                left = engine.load.pending_prompt - job.prompt_tokens
                engine.load.pending_prompt = max(0, left)

    def ended(
        self, stages: Iterable[chains.Stage], job: Job, at: float
    ) -> None:
        """Notes that a request left these stages."""
        for stage in stages:
            self.hints.ended(job.prefixes, stage.endpoint)
            engine = self.engines.get(stage.endpoint)
            if engine is None or engine.load.own == 0:
                continue
            engine.load.change(at, -1)
            engine.load.own_long = max(0, engine.load.own_long - job.long)
            self.refresh(stage.endpoint)
            self.openings += job.long

    def full(self, name: str) -> None:
        """Notes that an engine refused work: no more until it reports."""
        engine = self.engines.get(name)
        if engine is not None:
            engine.load.allowed = min(engine.load.allowed, engine.load.own)
            self.refresh(name)

    def peer_in_flight(
        self, node: str, before: dict[str, int], now: dict[str, int]
    ) -> None:
        """Takes what a peer has in flight in place of what it had."""
        for name in before.keys() - now.keys():
            if name in self.engines:
                self.engines[name].load.peers.discard(node)
        for name in now.keys() - before.keys():
            if name in self.engines:
                self.engines[name].load.peers.add(node)

    def configured(self) -> None:
        """Takes latencies and objectives from a new configuration."""
        fleet = self.topology.fleet
        self._objectives.clear()
        for service in fleet.services.values() if fleet else ():
            objective = service.objectives.between_tokens_s
            least = self._objectives.get(service.model, objective)
            self._objectives[service.model] = min(least, objective)
        for name, engine in self.engines.items():
            known = self.topology.endpoints[name]
            engine.link_s = self._link_s(known.zone)

    def usual_call_s(self, name: str, tokens: int, layer_count: int) -> float:
        """Returns what a call should take by the engine's description.

        Other requests share its batch, as many as its utilisation says,
        and past its limit the call waits for whole batches before it.
        """
        engine = self.engines.get(name)
        if engine is None:
            return 1.0
        described = engine.description
        used = engine.load.utilisation
        shared = described.max_batch * min(1.0, used)
        work = described.per_layer_token_s * layer_count * max(tokens, shared)
        return (described.fixed_s + work) * max(1.0, used)

    def _sync_engine(self, name: str) -> None:
        known = self.topology.endpoints.get(name)
        served = known.served if known else frozenset()
        before = self._served.get(name, frozenset())
        for target, span in before:
            self._pool(target, span).discard(name)
        if known is None or known.description is None:
            self._served.pop(name, None)
            self.engines.pop(name, None)
            self.health.forget(name)
            self.hints.forget(name)
            return
        engine = self._engine(name, known.description)
        self._served[name] = served
        engine.link_s = self._link_s(known.zone)
        spans = sorted({span for _, span in served})
        self.health.place(
            name, (known.description.accelerator, *spans) if spans else name
        )
        engine.load.limit = self._limit(name, engine)
        if before == frozenset():
            equal = engine.load.limit / (1 + self.known_peers)
            engine.load.allowed = max(1.0, equal)
        engine.open = False
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

    def _set_open(self, name: str, engine: _Engine, room: bool) -> None:
        engine.open = room
        for target, span in self._served.get(name, ()):
            if room:
                self._pool(target, span).add(name)
            else:
                self._pool(target, span).discard(name)
        if room:
            self.openings += 1

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
            self.cycle_s(target.model),
            self._objective_s(target.model),
        )

    def _objective_s(self, model: str) -> float:
        """Returns the least time between tokens promised on a model."""
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
    ) -> dict[int, tuple[_Hop, ...]]:
        if self._graphs_generation != self.topology.generation:
            self._graphs.clear()
            self._graphs_generation = self.topology.generation
        key = (target, needed)
        if key not in self._graphs:
            spans = sorted(self.topology.ranges.get(target, {}))
            self._graphs[key] = build_graph(spans, needed)
        return self._graphs[key]

    def _draw(
        self,
        target: topologies.Target,
        job: Job,
        at: float,
        avoid: frozenset[str],
        force: bool,
    ) -> dict[layers.LayerRange, _Cost]:
        """Draws an engine for each range."""
        hinted = self.hints.holders(job.prefixes, pools.DRAWN)
        drawn = {}
        for span, pool in self._pools.get(target, {}).items():
            names = pool.draw(self.rng)
            names += [name for name in hinted if name in pool]
            usable = [n for n in names if self._usable(n, job, at, avoid)]
            factor = 1.0
            if not usable and force:
                usable = self._overfull(target, span, avoid)
                factor = OVERFULL
            if usable:
                drawn[span] = self._cheapest(usable, span, job, factor)
        return drawn

    def _usable(
        self, name: str, job: Job, at: float, avoid: frozenset[str]
    ) -> bool:
        if name in avoid:
            return False
        if not job.long:
            return True
        load = self.engines[name].load
        return load.own_long < self.long_jobs.slots(at, load.allowed)

    def _overfull(
        self,
        target: topologies.Target,
        span: layers.LayerRange,
        avoid: frozenset[str],
    ) -> list[str]:
        holders = self.topology.ranges.get(target, {}).get(span, {})
        usable = [name for name in holders if name not in avoid]
        healthy = [
            name
            for name in usable
            if self.health.state(name) is not ejection.State.OUT
        ]
        usable = healthy or usable
        if len(usable) > pools.DRAWN:
            usable = self.rng.sample(usable, pools.DRAWN)
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
        """Returns the expected time of a job in one stage, by layers."""
        engine = self.engines[name]
        load, described = engine.load, engine.description
        used = min(1.0, load.utilisation)
        slow = self.health.slowness(name)
        busy = slow * (1.0 + CONGESTION * used * used)
        tokens = 1.0 + job.tokens
        steps = tokens + load.queued / described.max_batch
        batch = max(1.0, used * described.max_batch)
        cached = self.hints.share(job.prefixes, name, load.allowed)
        prompt = job.prompt_tokens * (1.0 - cached) + load.pending_prompt
        work = steps * busy * batch + prompt * slow
        factor *= 1.0 + JITTER * self.rng.random()
        return _Cost(
            name,
            factor
            * (steps * busy * described.fixed_s + 2.0 * tokens * engine.link_s),
            factor * work * described.per_layer_token_s,
        )

    def _improve(
        self,
        best: dict[int, tuple[float, chains.Stage | None]],
        position: int,
        hops: tuple[_Hop, ...],
        drawn: dict[layers.LayerRange, _Cost],
    ) -> None:
        for hop in hops:
            cost = drawn.get(hop.span)
            if cost is None:
                continue
            for end in hop.ends:
                if end not in best:
                    continue
                seconds = cost.seconds(end - position) + best[end][0]
                if position not in best or seconds < best[position][0]:
                    span = layers.LayerRange(position, end)
                    best[position] = (seconds, chains.Stage(cost.name, span))

    def _path(
        self,
        best: dict[int, tuple[float, chains.Stage | None]],
        needed: layers.LayerRange,
        target: topologies.Target,
    ) -> Choice | None:
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
            self._note_cycle(target.model, stages)
        return Choice(tuple(stages), best[needed.start][0])

    def _note_cycle(self, model: str, stages: list[chains.Stage]) -> None:
        """Keeps the time of a token round chains with full batches."""
        cycle = 0.0
        for stage in stages:
            engine = self.engines[stage.endpoint]
            described = engine.description
            layer_s = described.per_layer_token_s * stage.layers.count
            cycle += described.fixed_s + layer_s * described.max_batch
            cycle += 2.0 * engine.link_s
        before = self._cycles.get(model, cycle)
        self._cycles[model] = before + CYCLE_SMOOTHING * (cycle - before)


def build_graph(
    spans: list[layers.LayerRange], needed: layers.LayerRange
) -> dict[int, tuple[_Hop, ...]]:
    """Returns, for each boundary, the ranges that lead on from it.

    A chain goes on to the end of a range, or leaves it where another range
    begins; other places to leave would only move the same boundary.
    """
    starts = {s.start for s in spans if needed.start < s.start < needed.end}
    ends = {s.end for s in spans if needed.start < s.end < needed.end}
    graph = {}
    for position in {needed.start} | starts | ends:
        hops = [
            _Hop(span, _ends(span, position, starts, needed.end))
            for span in spans
            if span.start <= position < span.end
        ]
        graph[position] = tuple(hops)
    return graph


def _ends(
    span: layers.LayerRange, position: int, starts: set[int], last: int
) -> tuple[int, ...]:
    final = min(span.end, last)
    within = {start for start in starts if position < start < final}
    return tuple(sorted(within | {final}))
