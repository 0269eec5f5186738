"""Placement of model layers on engines.

A fleet consists of mismatched accelerators, none large enough for a model, and
it changes: engines join without warning and are lost, and operators change
models and versions. Cutting a model into equal parts leaves large accelerators
half empty and limits throughput to the slowest one. Replanning everything at
each change reloads weights everywhere from a store that is rate-limited.

A request may enter and leave an engine's range at any layer, so the maximum
flow through a model equals the rate of its least covered layer (the sum of the
rates of the engines that hold it). Each free engine in turn, largest first,
gets the range that raises the least covered layers most. The entire sorted
coverage is compared, so a layer without any engine has priority. An engine with
a useful range keeps it: only free engines are placed, and one engine at a time
is moved, if that raises the least covered layer by a fifth and leaves no layer
without an engine. If layers have no engine, for example after a loss, as many
engines are moved at once as fill the gap, see ``layer_gaps``. The bytes being
loaded at once are bounded, so that a change doesn't queue hundreds of loads at
the store. All of them, including the first complete chain, would otherwise
finish as late as the last one.

Two models share the engines by demand: the next free engine goes to the model
with the least coverage relative to its demand. Models whose services depend on
services that aren't ready yet come last.

A new version is rolled out one replica at a time. Engines that the old
version's chain can do without are drained, and load the new version once their
sessions have ended. The others follow when a complete chain of the new version
is ready, but for one chain that is kept as long as requests of the old version
are running. If no engine can be spared, engines that can hold both versions
load the new one alongside the old one. If there are none, the plan reports it
and leaves the old version in service.

The plan is a pure function of its inputs: the same state gives the same plan,
so a new holder of the control lease continues where the previous one stopped.

Used for nodes that call each engine of a chain themselves. For the relay, see
``layer_plan``.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.model import fleet as fleets
from almondshift.model import layers
from almondshift.model import orders
from almondshift.policy import chain_split
from almondshift.policy import engine_rates
from almondshift.policy import layer_gaps
from almondshift.policy import topology

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

MIN_MOVE_GAIN = 1.2
"""Minimum ratio by which moving an engine must raise the least coverage."""
MAX_LOADING_BYTES = 64_000_000
"""Maximum bytes of weights that may be loading at once in the fleet."""
_ZERO_RATE = 1e-9
UNSET_FENCING = 0
"""Planned orders carry no fencing token; the sender sets it."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedEngine:
    """The current state of an engine; ``plan`` gets no leaving engines."""

    description: endpoints.EndpointDescription
    report: endpoints.LoadReport

    @property
    def name(self) -> str:
        """The engine's name."""
        return self.description.name

    @property
    def is_draining(self) -> bool:
        """Whether the engine accepts no new sessions."""
        return self.report.role is endpoints.EndpointRole.DRAINING


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order for an endpoint, before its fencing token is set."""

    endpoint: str
    order: orders.Order


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Orders to send now, and notes for operators on what can't be done."""

    orders: tuple[PlannedOrder, ...]
    notes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Workload:
    """A model with an adapter, for which engines are placed."""

    model: str
    adapter: str


@dataclasses.dataclass(slots=True)
class _WorkloadState:
    """Engines and layer coverage of a workload during planning."""

    workload: _Workload
    model: fleets.Model
    demand: float
    coverage: list[float]
    holders: dict[str, layers.LayerRange] = dataclasses.field(
        default_factory=dict
    )
    draining: dict[str, layers.LayerRange] = dataclasses.field(
        default_factory=dict
    )

    @property
    def min_coverage_per_demand(self) -> float:
        """The rate of the least covered layer, divided by the demand."""
        return min(self.coverage) / self.demand

    def add(self, engine: PlacedEngine, span: layers.LayerRange) -> None:
        self.holders[engine.name] = span
        _add_rate(self.coverage, engine, span, 1.0)

    def remove(self, engine: PlacedEngine) -> layers.LayerRange:
        span = self.holders.pop(engine.name)
        _add_rate(self.coverage, engine, span, -1.0)
        return span


class _Planner:
    def __init__(
        self,
        fleet: fleets.Fleet,
        engines: Sequence[PlacedEngine],
        demand: dict[str, float],
        plain_ready: Iterable[str],
        in_use: Collection[tuple[str, int]],
        loading_bytes: int,
    ) -> None:
        self.fleet = fleet
        self.in_use = in_use
        self.engines = {e.name: e for e in sorted(engines, key=_size_order)}
        self.plain_ready = set(plain_ready)
        self.orders: dict[str, orders.Order] = {}
        self.notes: list[str] = []
        self.states = self._make_states(demand)
        self.loading_bytes = loading_bytes
        self.loading = self._loading_now()

    def plan(self) -> Plan:
        free = self._assign_current()
        for state in self.states:
            free += self._roll_out(state)
        if self._place(free):
            self._fill_gaps()
        if not self.orders:
            self._rebalance()
        self._note_uncovered_models()
        planned = tuple(
            PlannedOrder(name, order) for name, order in self.orders.items()
        )
        return Plan(planned, tuple(self.notes))

    def _make_states(self, demand: dict[str, float]) -> list[_WorkloadState]:
        """Returns the workloads, with the dependencies of others first."""
        states: dict[_Workload, _WorkloadState] = {}
        for service in self._by_dependency():
            workload = _Workload(service.model, service.adapter)
            model = self.fleet.models[service.model]
            wanted = demand.get(service.model, float(service.replicas))
            if workload in states:
                states[workload].demand += wanted
            else:
                coverage = [0.0] * model.layers
                states[workload] = _WorkloadState(
                    workload, model, wanted, coverage
                )
        for state in states.values():
            state.demand = max(state.demand, 1e-6)
        return list(states.values())

    def _by_dependency(self) -> list[fleets.Service]:
        services = [
            s
            for s in self.fleet.services.values()
            if s.kind is fleets.ServiceKind.MODEL
        ]
        return sorted(
            services, key=lambda s: (self._unready_depth(s, 0), s.name)
        )

    def _unready_depth(self, service: fleets.Service, nesting: int) -> int:
        """Returns the depth of a service's tree of unready dependencies."""
        if nesting > len(self.fleet.services):
            return nesting
        depths = [
            1 + self._unready_depth(self.fleet.services[name], nesting + 1)
            for name in service.depends_on
            if name in self.fleet.services and not self._is_ready(name)
        ]
        return max(depths, default=0)

    def _is_ready(self, name: str) -> bool:
        service = self.fleet.services[name]
        if service.kind is fleets.ServiceKind.PLAIN:
            return name in self.plain_ready
        spans = [
            holding.layers
            for engine in self.engines.values()
            for holding in engine.report.holdings
            if holding.ready
            and holding.model == service.model
            and holding.adapter == service.adapter
        ]
        count = self.fleet.models[service.model].layers
        return topology.covers_all(spans, count)

    def _loading_now(self) -> int:
        return sum(
            self.fleet.models[holding.model].layer_bytes * holding.layers.count
            for engine in self.engines.values()
            for holding in engine.report.holdings
            if not holding.ready and holding.model in self.fleet.models
        )

    def _assign_current(self) -> list[PlacedEngine]:
        """Assigns engines with useful layers to workloads; returns the rest.

        A draining engine serves no new requests, so it adds no coverage.
        """
        free = []
        for engine in self.engines.values():
            holding = self._best_holding(engine)
            state = self._find_state(holding) if holding else None
            if holding is None or state is None:
                free.append(engine)
            elif engine.is_draining:
                state.draining[engine.name] = holding.layers
            else:
                state.add(engine, holding.layers)
        return free

    def _best_holding(self, engine: PlacedEngine) -> endpoints.Holding | None:
        """Returns the most useful holding, preferably the wanted version."""
        best = None
        for holding in engine.report.holdings:
            state = self._find_state(holding)
            if state is None:
                continue
            rank = (
                holding.version == state.model.version,
                holding.ready,
                holding.layers.count,
            )
            if best is None or rank > best[0]:
                best = (rank, holding)
        return best[1] if best else None

    def _find_state(self, holding: endpoints.Holding) -> _WorkloadState | None:
        for state in self.states:
            if (
                state.workload == _Workload(holding.model, holding.adapter)
                and holding.layers.end <= state.model.layers
            ):
                return state
        return None

    def _roll_out(self, state: _WorkloadState) -> list[PlacedEngine]:
        """Moves the engines of a workload to the model's configured version.

        Returns:
            Drained engines that are free for any workload.
        """
        spans = state.holders | state.draining
        old = [name for name in spans if self._is_old(name, state)]
        empty = [n for n in state.draining if not self._sessions(n)]
        if not old:
            return [self.engines[name] for name in empty]
        new = [name for name in state.holders if name not in old]
        ready = [spans[n] for n in new if self._held(n).ready]
        if topology.covers_all(ready, state.model.layers):
            # No new requests go to the old version now. An engine is reloaded
            # once its last session has ended, so that requests that began on
            # the old version finish on it. While there are such requests, one
            # chain is kept, since a failed stage has no session anywhere.
            kept = self._engines_in_use(state, old)
            empty = [n for n in old if n not in kept and not self._sessions(n)]
        else:
            self._start_rollout(state, old, new)
            spans |= self._spans_to_load(state, list(state.draining), new)
        for name in empty:
            self._load(self.engines[name], state, spans[name])
        return []

    def _engines_in_use(
        self, state: _WorkloadState, old: list[str]
    ) -> set[str]:
        """Returns engines to keep for requests of old versions.

        For each version in use they hold all layers that any engine holds for
        new sessions. Engines with sessions are preferred; these can't be
        reloaded yet anyway.
        """
        kept: set[str] = set()
        for version in {self._held(name).version for name in old}:
            if (state.model.name, version) not in self.in_use:
                continue
            spans = {
                name: state.holders[name]
                for name in old
                if name in state.holders and self._held(name).version == version
            }
            kept |= self._minimal_holders(spans)
        return kept

    def _minimal_holders(self, spans: dict[str, layers.LayerRange]) -> set[str]:
        """Returns few engines that hold all layers of these ranges."""
        kept: set[str] = set()
        end = 0
        for layer in sorted({n for s in spans.values() for n in _layers_of(s)}):
            if layer < end:
                continue
            chosen = max(
                (
                    name
                    for name, span in spans.items()
                    if layer in _layers_of(span)
                ),
                key=lambda n: (self._sessions(n) > 0, spans[n].end, n),
            )
            kept.add(chosen)
            end = spans[chosen].end
        return kept

    def _is_old(self, name: str, state: _WorkloadState) -> bool:
        return self._held(name).version != state.model.version

    def _sessions(self, name: str) -> int:
        return self.engines[name].report.sessions

    def _start_rollout(
        self, state: _WorkloadState, old: list[str], new: list[str]
    ) -> None:
        """Frees engines for the first complete chain of a new version."""
        accepting = [name for name in old if name in state.holders]
        serving = self._current_engines(state, accepting)
        others = [name for name in accepting if name not in serving]
        kept = self._engines_in_use(state, others)
        unused = [name for name in others if name not in kept]
        for spare in self._choices_of_spares(state, serving, unused, new):
            covered = self._covered_after(state, spare, new)
            rest = [name for name in serving if name not in spare]
            dual = self._engines_for_both(state, rest, covered)
            covered += [state.holders[name] for name in dual]
            if topology.covers_all(covered, state.model.layers):
                break
        else:
            self.notes.append(
                f"model {state.model.name}: version {state.model.version} "
                "can't be loaded beside the version in service; add engines, "
                "or engines that can hold both versions"
            )
            return
        for name in spare:
            self._drain(self.engines[name], state, state.holders[name])
        for name in dual:
            self._load(self.engines[name], state, state.holders[name])

    def _current_engines(
        self, state: _WorkloadState, accepting: list[str]
    ) -> list[str]:
        """Returns the engines of the old version on which requests start.

        These are all if no old version has a complete chain.
        """
        by_version = collections.defaultdict(list)
        for name in accepting:
            if self._held(name).ready:
                by_version[self._held(name).version].append(name)
        complete = [
            version
            for version, names in by_version.items()
            if topology.covers_all(
                [state.holders[name] for name in names], state.model.layers
            )
        ]
        if not complete:
            return accepting
        wanted = state.model.version
        return by_version[
            min(complete, key=lambda v: topology.version_rank(v, wanted))
        ]

    def _choices_of_spares(
        self,
        state: _WorkloadState,
        serving: list[str],
        unused: list[str],
        new: list[str],
    ) -> Iterator[list[str]]:
        """Yields engines to drain, always the unused ones, best choice first.

        Idle engines taken one after another may leave layers of which the
        last engine is needed by the old version, although two complete chains
        exist. The split is then searched for as a whole. If the present ranges
        form no two chains, as few engines as possible get other ranges.
        """
        covered = self._covered_after(state, unused, new)
        yield [*unused, *self._spare_engines(state, serving, covered)]
        by_sessions = sorted(serving, key=lambda n: (self._sessions(n), n))
        spans = {name: state.holders[name] for name in by_sessions}
        covered += self._spans_for_both(state)
        count = state.model.layers
        chain = chain_split.second_chain(spans, covered, count)
        yield [*unused, *(chain or ())]
        kept = self._minimal_holders(spans)
        spare = [name for name in by_sessions if name not in kept]
        for end in range(1, len(spare) + 1):
            drained = [*unused, *spare[:end]]
            covered = self._covered_after(state, drained, new)
            if topology.covers_all(covered, count):
                yield drained
                return

    def _covered_after(
        self, state: _WorkloadState, spare: Sequence[str], new: list[str]
    ) -> list[layers.LayerRange]:
        """Returns the new version's ranges once drained engines loaded it."""
        drained = [*state.draining, *spare]
        spans = self._spans_to_load(state, drained, new)
        return [*(state.holders[name] for name in new), *spans.values()]

    def _spans_to_load(
        self, state: _WorkloadState, drained: list[str], new: list[str]
    ) -> dict[str, layers.LayerRange]:
        """Returns the ranges in which drained engines load the new version.

        They keep their ranges if the new version then has a complete chain.
        Otherwise they fill its gaps one after another, largest engine first.
        """
        held = state.holders | state.draining
        spans = {name: held[name] for name in drained}
        covered = [state.holders[name] for name in new]
        count = state.model.layers
        possible = [*covered, *self._spans_for_both(state), *spans.values()]
        if topology.covers_all(possible, count):
            return spans
        uncovered = _uncovered_layers(covered, count)
        for name, engine in self.engines.items():
            if name in spans and uncovered:
                capacity = min(engine.description.layer_capacity, count)
                start = min(*uncovered, count - capacity)
                spans[name] = layers.LayerRange(start, start + capacity)
                uncovered -= set(_layers_of(spans[name]))
        return spans

    def _spans_for_both(self, state: _WorkloadState) -> list[layers.LayerRange]:
        """Returns the ranges of engines that can hold both versions."""
        return [
            span
            for name, span in state.holders.items()
            if self._can_hold_both(name, span)
        ]

    def _spare_engines(
        self,
        state: _WorkloadState,
        serving: list[str],
        covered: list[layers.LayerRange],
    ) -> list[str]:
        """Returns engines that the old version's chain can do without."""
        holders = collections.Counter(
            layer
            for name in serving
            for layer in _layers_of(state.holders[name])
        )
        uncovered = _uncovered_layers(covered, state.model.layers)
        spare = []
        for name in sorted(serving, key=lambda n: (self._sessions(n), n)):
            span = set(_layers_of(state.holders[name]))
            is_last_holder = any(holders[layer] == 1 for layer in span)
            if is_last_holder or not uncovered & span:
                continue
            spare.append(name)
            holders.subtract(span)
            uncovered -= span
        return spare

    def _engines_for_both(
        self,
        state: _WorkloadState,
        serving: list[str],
        covered: list[layers.LayerRange],
    ) -> list[str]:
        chosen = []
        uncovered = _uncovered_layers(covered, state.model.layers)
        for name in serving:
            span = state.holders[name]
            if self._can_hold_both(name, span) and uncovered & set(
                _layers_of(span)
            ):
                chosen.append(name)
                uncovered -= set(_layers_of(span))
        return chosen

    def _can_hold_both(self, name: str, span: layers.LayerRange) -> bool:
        """Returns whether an engine can hold a range in two versions."""
        capacity = self.engines[name].description.layer_capacity
        return capacity >= 2 * span.count

    def _held(self, name: str) -> endpoints.Holding:
        holding = self._best_holding(self.engines[name])
        assert holding is not None
        return holding

    def _load(
        self,
        engine: PlacedEngine,
        state: _WorkloadState,
        span: layers.LayerRange,
    ) -> bool:
        """Orders a load, unless the bound on concurrent loads is reached.

        A load of any size is ordered while nothing else is loading.
        Otherwise a load larger than the bound would never be done.
        """
        size = state.model.layer_bytes * span.count
        if self.loading > 0 and self.loading + size > self.loading_bytes:
            return False
        self.loading += size
        self._order(engine, state, span, endpoints.EndpointRole.SERVING)
        return True

    def _drain(
        self,
        engine: PlacedEngine,
        state: _WorkloadState,
        span: layers.LayerRange,
    ) -> None:
        self._order(engine, state, span, endpoints.EndpointRole.DRAINING)

    def _order(
        self,
        engine: PlacedEngine,
        state: _WorkloadState,
        span: layers.LayerRange,
        role: endpoints.EndpointRole,
    ) -> None:
        version = state.model.version
        holding = self._best_holding(engine)
        if role is endpoints.EndpointRole.DRAINING and holding is not None:
            version = holding.version
        self.orders[engine.name] = orders.Order(
            UNSET_FENCING,
            role,
            state.model.name,
            version,
            state.workload.adapter,
            span,
        )

    def _place(self, free: list[PlacedEngine]) -> bool:
        """Places free engines; returns whether all of them could be loaded."""
        for engine in free:
            state = self._least_covered(engine)
            if state is None:
                continue
            span = _best_span(state, engine)
            if not self._load(engine, state, span):
                return False
            state.add(engine, span)
        return True

    def _fill_gaps(self) -> None:
        """Moves engines to layers that none holds, if that fills a gap."""
        if any(state.draining for state in self.states):
            return
        for index, state in enumerate(self.states):
            if min(state.coverage) > _ZERO_RATE:
                continue
            moves = layer_gaps.find_moves(
                [other.holders for other in self.states],
                index,
                state.model.layers,
                self._movable_engines(),
            )
            for name, span in moves.items():
                if not self._move(self.engines[name], state, span):
                    return

    def _movable_engines(self) -> list[layer_gaps.MovableEngine]:
        return [
            layer_gaps.MovableEngine(
                name,
                index,
                self.engines[name].description.layer_capacity,
                not self._sessions(name),
            )
            for index, state in enumerate(self.states)
            if not self._is_rolling(state)
            for name in state.holders
            if name not in self.orders and self._held(name).ready
        ]

    def _move(
        self,
        engine: PlacedEngine,
        state: _WorkloadState,
        span: layers.LayerRange,
    ) -> bool:
        """Orders a move; returns whether it could be ordered now."""
        origin = next(s for s in self.states if engine.name in s.holders)
        held = origin.holders[engine.name]
        if engine.report.sessions:
            self._drain(engine, origin, held)
        elif not self._load(engine, state, span):
            return False
        origin.remove(engine)
        state.add(engine, span)
        return True

    def _least_covered(self, engine: PlacedEngine) -> _WorkloadState | None:
        """Returns the least covered workload, or the first of several."""
        if engine.description.layer_capacity < 1:
            return None
        return min(
            self.states,
            key=lambda state: state.min_coverage_per_demand,
            default=None,
        )

    def _rebalance(self) -> None:
        """Moves one engine if that raises the least coverage per demand enough.

        Only one of several identical engines with the same holding is tried,
        because the others would result in the same coverage.
        """
        if self.loading > 0 or any(s.draining for s in self.states):
            return
        state = min(
            self.states, key=lambda s: s.min_coverage_per_demand, default=None
        )
        tried = set()
        for engine in self.engines.values():
            holding = self._best_holding(engine)
            signature = (_hardware_class(engine.description), holding)
            if state is None or signature in tried:
                continue
            tried.add(signature)
            if self._try_move(engine, state):
                return

    def _try_move(self, engine: PlacedEngine, state: _WorkloadState) -> bool:
        origin = next(
            (s for s in self.states if engine.name in s.holders), None
        )
        if origin is None or self._is_rolling(origin):
            return False
        before = state.min_coverage_per_demand
        span = origin.remove(engine)
        still_covered = all(origin.coverage[span.start : span.end])
        target = _best_span(state, engine)
        state.add(engine, target)
        least = min(
            state.min_coverage_per_demand, origin.min_coverage_per_demand
        )
        improves = least > max(before * MIN_MOVE_GAIN, _ZERO_RATE)
        if still_covered and improves:
            if engine.report.sessions:
                self._drain(engine, origin, span)
                return True
            return self._load(engine, state, target)
        state.remove(engine)
        origin.add(engine, span)
        return False

    def _is_rolling(self, state: _WorkloadState) -> bool:
        return any(
            self._is_old(name, state)
            for name in state.holders
            if name not in self.orders
        )

    def _note_uncovered_models(self) -> None:
        for state in self.states:
            if min(state.coverage) <= _ZERO_RATE:
                self.notes.append(
                    f"model {state.model.name}: no complete chain yet; "
                    "engines for some layers are missing or not loaded"
                )


def plan(
    fleet: fleets.Fleet,
    engines: Sequence[PlacedEngine],
    *,
    demand: dict[str, float] | None = None,
    plain_ready: Iterable[str] = (),
    in_use: Collection[tuple[str, int]] = (),
    loading_bytes: int = MAX_LOADING_BYTES,
) -> Plan:
    """Returns the orders to send to engines now.

    Args:
        fleet: Active configuration.
        engines: Live engines that are not leaving, with their reports.
        demand: Demand in tokens per second by model; defaults to the number
            of replicas that the services request.
        plain_ready: Plain services that have endpoints.
        in_use: Models and versions that requests run on or start on.
        loading_bytes: Maximum bytes of weights that may be loading at once.

    Returns:
        Orders for engines that should change, and notes on what can't be
        done. Engines that should stay unchanged get no order.
    """
    planner = _Planner(
        fleet, engines, demand or {}, plain_ready, in_use, loading_bytes
    )
    return planner.plan()


def _size_order(engine: PlacedEngine) -> tuple[int, float, str]:
    described = engine.description
    return (-described.layer_capacity, described.fixed_s, described.name)


def _hardware_class(
    description: endpoints.EndpointDescription,
) -> tuple[int, float, float, int]:
    return (
        description.layer_capacity,
        description.fixed_s,
        description.per_layer_token_s,
        description.max_batch,
    )


def _add_rate(
    coverage: list[float],
    engine: PlacedEngine,
    span: layers.LayerRange,
    sign: float,
) -> None:
    rate = engine_rates.tokens_per_s(engine.description, span.count)
    for layer in _layers_of(span):
        coverage[layer] = max(0.0, coverage[layer] + sign * rate)
        if coverage[layer] < _ZERO_RATE:
            coverage[layer] = 0.0


def _layers_of(span: layers.LayerRange) -> range:
    return range(span.start, span.end)


def _uncovered_layers(
    covered: Iterable[layers.LayerRange], count: int
) -> set[int]:
    """Returns the layers that no range covers."""
    uncovered = set(range(count))
    for span in covered:
        uncovered -= set(_layers_of(span))
    return uncovered


def _best_span(
    state: _WorkloadState, engine: PlacedEngine
) -> layers.LayerRange:
    """Returns the range that raises the least covered layers most."""
    count = state.model.layers
    capacity = min(engine.description.layer_capacity, count)
    parts = -(-count // capacity)
    lengths = sorted({capacity, -(-count // parts)}, reverse=True)
    best: tuple[list[float], layers.LayerRange] | None = None
    for length in lengths:
        for start in _candidate_starts(state, count, length):
            span = layers.LayerRange(start, start + length)
            coverage = list(state.coverage)
            _add_rate(coverage, engine, span, 1.0)
            coverage.sort()
            if best is None or coverage > best[0]:
                best = (coverage, span)
    assert best is not None
    return best[1]


def _candidate_starts(
    state: _WorkloadState, count: int, length: int
) -> list[int]:
    """Returns candidate starts, aligned with the ends of other ranges."""
    last = count - length
    found = {0, last}
    found |= {min(last, cut) for cut in range(0, count, length)}
    for span in state.holders.values():
        found |= {span.start, span.end, span.start - length, span.end - length}
    lowest = state.coverage.index(min(state.coverage))
    found.add(lowest)
    return sorted(start for start in found if 0 <= start <= last)
