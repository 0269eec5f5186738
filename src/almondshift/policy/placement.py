"""Which engine should hold which layers.

Load pattern: a fleet of mismatched accelerators, none large enough for a
model, that changes: engines join without warning and are lost, and operators
change models and versions. Cutting a model into equal parts leaves large
cards half empty and makes the slowest one the pace of all; planning anew at
each change reloads weights everywhere from a store that is rate-limited.

Grounds: a request may enter and leave an engine's range at any layer, so the
maximum flow through a model is what its least covered layer gets (the sum of
the rates of the engines that hold it). Each free engine in turn, largest
first, takes the range that lifts the least covered layers most, comparing
the whole sorted cover, so that a layer without any engine comes first. An
engine with a useful range keeps it: only free engines are placed, and one
engine at a time is moved, when that lifts the least covered layer by a fifth
and takes no layer's last engine. Loads in flight are bounded by bytes, so
that a change doesn't queue hundreds of loads at the store, which would make
each of them, the first whole chain too, as late as the last.

Two models share the engines by demand: the next free engine goes to the
model whose cover is the least by its demand. Models whose services wait for
others come after those.

A new version is rolled in one replica at a time. Engines that the old
version's chain can do without are drained, and load the new version once
their sessions have ended; the rest follow when a whole chain of the new
version is ready. Where no engine can be spared, those that can hold both
versions load the new one beside the old; where there are none, the plan says
so and leaves the old version serving.

The plan is a function of its inputs: the same state gives the same plan, so
a new holder of the control lease goes on where the last one stopped.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.model import fleet as fleets
from almondshift.model import layers
from almondshift.model import orders
from almondshift.policy import flow
from almondshift.policy import topology

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

MOVE_GAIN = 1.2
LOADING_BYTES = 64_000_000
_EMPTY = 1e-9
NO_FENCING = 0
"""Orders are planned without a fencing number; who sends them sets it."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedEngine:
    """An engine as it is now; leaving ones are not given to ``plan``."""

    description: endpoints.EndpointDescription
    report: endpoints.LoadReport

    @property
    def name(self) -> str:
        """Its name."""
        return self.description.name

    @property
    def is_draining(self) -> bool:
        """Whether it takes no new sessions."""
        return self.report.role is endpoints.EndpointRole.DRAINING


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order for an endpoint, with a fencing number still to be set."""

    endpoint: str
    order: orders.Order


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Orders to give now, and what can't be done, for operators to read."""

    orders: tuple[PlannedOrder, ...]
    notes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Workload:
    """What engines are placed for: a model with an adapter."""

    model: str
    adapter: str


@dataclasses.dataclass(slots=True)
class _State:
    """A workload's engines and cover while a plan is made."""

    workload: _Workload
    model: fleets.Model
    demand: float
    cover: list[float]
    holders: dict[str, layers.LayerRange] = dataclasses.field(
        default_factory=dict
    )
    draining: dict[str, layers.LayerRange] = dataclasses.field(
        default_factory=dict
    )

    @property
    def least(self) -> float:
        return min(self.cover) / self.demand

    def add(self, engine: PlacedEngine, span: layers.LayerRange) -> None:
        self.holders[engine.name] = span
        _lift(self.cover, engine, span, 1.0)

    def remove(self, engine: PlacedEngine) -> layers.LayerRange:
        span = self.holders.pop(engine.name)
        _lift(self.cover, engine, span, -1.0)
        return span


class _Planner:
    def __init__(
        self,
        fleet: fleets.Fleet,
        engines: Sequence[PlacedEngine],
        demand: dict[str, float],
        plain_ready: Iterable[str],
        loading_bytes: int,
    ) -> None:
        self.fleet = fleet
        self.engines = {e.name: e for e in sorted(engines, key=_size_order)}
        self.plain_ready = set(plain_ready)
        self.orders: dict[str, orders.Order] = {}
        self.notes: list[str] = []
        self.states = self._make_states(demand)
        self.loading_bytes = loading_bytes
        self.loading = self._loading_now()

    def plan(self) -> Plan:
        free = self._take_over()
        for state in self.states:
            free += self._roll(state)
        self._place(free)
        if not self.orders:
            self._move()
        self._check()
        planned = tuple(
            PlannedOrder(name, order) for name, order in self.orders.items()
        )
        return Plan(planned, tuple(self.notes))

    def _make_states(self, demand: dict[str, float]) -> list[_State]:
        """Returns the workloads, those that others wait for first."""
        states: dict[_Workload, _State] = {}
        for service in self._by_dependency():
            workload = _Workload(service.model, service.adapter)
            model = self.fleet.models[service.model]
            wanted = demand.get(service.model, float(service.replicas))
            if workload in states:
                states[workload].demand += wanted
            else:
                cover = [0.0] * model.layers
                states[workload] = _State(workload, model, wanted, cover)
        for state in states.values():
            state.demand = max(state.demand, 1e-6)
        return list(states.values())

    def _by_dependency(self) -> list[fleets.Service]:
        services = [
            s
            for s in self.fleet.services.values()
            if s.kind is fleets.ServiceKind.MODEL
        ]
        return sorted(services, key=lambda s: (self._depth(s, 0), s.name))

    def _depth(self, service: fleets.Service, above: int) -> int:
        """Returns how many services deep its unready dependencies go."""
        if above > len(self.fleet.services):
            return above
        depths = [
            1 + self._depth(self.fleet.services[name], above + 1)
            for name in service.depends_on
            if name in self.fleet.services and not self._is_ready(name)
        ]
        return max(depths, default=0)

    def _is_ready(self, name: str) -> bool:
        service = self.fleet.services[name]
        if service.kind is fleets.ServiceKind.PLAIN:
            return name in self.plain_ready
        spans = [
            held.layers
            for engine in self.engines.values()
            for held in engine.report.holdings
            if held.ready
            and held.model == service.model
            and held.adapter == service.adapter
        ]
        count = self.fleet.models[service.model].layers
        return topology.covers_all(spans, count)

    def _loading_now(self) -> int:
        return sum(
            self.fleet.models[held.model].layer_bytes * held.layers.count
            for engine in self.engines.values()
            for held in engine.report.holdings
            if not held.ready and held.model in self.fleet.models
        )

    def _take_over(self) -> list[PlacedEngine]:
        """Counts engines that hold something useful; returns the others.

        One that is draining serves nothing new, so it covers nothing.
        """
        free = []
        for engine in self.engines.values():
            held = self._useful(engine)
            state = self._state(held) if held else None
            if held is None or state is None:
                free.append(engine)
            elif engine.is_draining:
                state.draining[engine.name] = held.layers
            else:
                state.add(engine, held.layers)
        return free

    def _useful(self, engine: PlacedEngine) -> endpoints.Holding | None:
        """Returns the holding that counts: of the wanted version, if any."""
        best = None
        for held in engine.report.holdings:
            state = self._state(held)
            if state is None:
                continue
            rank = (
                held.version == state.model.version,
                held.ready,
                held.layers.count,
            )
            if best is None or rank > best[0]:
                best = (rank, held)
        return best[1] if best else None

    def _state(self, held: endpoints.Holding) -> _State | None:
        for state in self.states:
            if (
                state.workload == _Workload(held.model, held.adapter)
                and held.layers.end <= state.model.layers
            ):
                return state
        return None

    def _roll(self, state: _State) -> list[PlacedEngine]:
        """Moves a workload's engines on to the model's version.

        Returns:
            Engines that were drained and are free for anything.
        """
        spans = state.holders | state.draining
        old = [name for name in spans if self._is_old(name, state)]
        empty = [n for n in state.draining if not self._sessions(n)]
        if not old:
            return [self.engines[name] for name in empty]
        new = [name for name in state.holders if name not in old]
        ready = [spans[n] for n in new if self._held(n).ready]
        if topology.covers_all(ready, state.model.layers):
            # Nothing new is sent to the old version now; an engine is
            # reloaded once its last session has ended, so that requests
            # that began on the old version end on it.
            empty = [name for name in old if not self._sessions(name)]
        else:
            self._roll_first(state, old, new)
        for name in empty:
            self._load(self.engines[name], state, spans[name])
        return []

    def _is_old(self, name: str, state: _State) -> bool:
        return self._held(name).version != state.model.version

    def _sessions(self, name: str) -> int:
        return self.engines[name].report.sessions

    def _roll_first(
        self, state: _State, old: list[str], new: list[str]
    ) -> None:
        """Frees engines for the first whole chain of a new version."""
        count = state.model.layers
        covered = [state.holders[name] for name in new]
        covered += state.draining.values()
        serving = [name for name in old if name in state.holders]
        spared = self._spared(state, serving, covered)
        serving = [name for name in serving if name not in spared]
        covered += [state.holders[name] for name in spared]
        both = self._holding_both(state, serving, covered)
        covered += [state.holders[name] for name in both]
        if not topology.covers_all(covered, count):
            self.notes.append(
                f"model {state.model.name}: version {state.model.version} "
                "can't be loaded beside the one that serves; add engines, "
                "or engines that can hold both versions"
            )
            return
        for name in spared:
            self._drain(self.engines[name], state, state.holders[name])
        for name in both:
            self._load(self.engines[name], state, state.holders[name])

    def _spared(
        self,
        state: _State,
        serving: list[str],
        covered: list[layers.LayerRange],
    ) -> list[str]:
        """Chooses engines that the old version's chain can do without."""
        holders = collections.Counter(
            layer for name in serving for layer in _each(state.holders[name])
        )
        missing = _missing(covered, state.model.layers)
        spared = []
        for name in sorted(serving, key=lambda n: (self._sessions(n), n)):
            span = set(_each(state.holders[name]))
            last = any(holders[layer] == 1 for layer in span)
            if last or not missing & span:
                continue
            spared.append(name)
            holders.subtract(span)
            missing -= span
        return spared

    def _holding_both(
        self,
        state: _State,
        serving: list[str],
        covered: list[layers.LayerRange],
    ) -> list[str]:
        chosen = []
        missing = _missing(covered, state.model.layers)
        for name in serving:
            span = state.holders[name]
            capacity = self.engines[name].description.layer_capacity
            if capacity >= 2 * span.count and missing & set(_each(span)):
                chosen.append(name)
                missing -= set(_each(span))
        return chosen

    def _held(self, name: str) -> endpoints.Holding:
        held = self._useful(self.engines[name])
        assert held is not None
        return held

    def _load(
        self, engine: PlacedEngine, state: _State, span: layers.LayerRange
    ) -> bool:
        """Orders a load, unless enough is being loaded.

        With nothing in flight a load goes out however large it is, else
        one larger than the bound would never be done.
        """
        size = state.model.layer_bytes * span.count
        if self.loading > 0 and self.loading + size > self.loading_bytes:
            return False
        self.loading += size
        self._order(engine, state, span, endpoints.EndpointRole.SERVING)
        return True

    def _drain(
        self, engine: PlacedEngine, state: _State, span: layers.LayerRange
    ) -> None:
        self._order(engine, state, span, endpoints.EndpointRole.DRAINING)

    def _order(
        self,
        engine: PlacedEngine,
        state: _State,
        span: layers.LayerRange,
        role: endpoints.EndpointRole,
    ) -> None:
        version = state.model.version
        held = self._useful(engine)
        if role is endpoints.EndpointRole.DRAINING and held is not None:
            version = held.version
        self.orders[engine.name] = orders.Order(
            NO_FENCING,
            role,
            state.model.name,
            version,
            state.workload.adapter,
            span,
        )

    def _place(self, free: list[PlacedEngine]) -> None:
        for engine in free:
            state = self._neediest(engine)
            if state is None:
                continue
            span = _best_span(state, engine)
            if not self._load(engine, state, span):
                return
            state.add(engine, span)

    def _neediest(self, engine: PlacedEngine) -> _State | None:
        """Returns the least covered workload, the first of equal ones."""
        if engine.description.layer_capacity < 1:
            return None
        return min(self.states, key=lambda state: state.least, default=None)

    def _move(self) -> None:
        """Moves one engine if that lifts the least covered model enough.

        Of engines that are alike and hold the same, one is tried: the
        others would give the same cover.
        """
        if self.loading > 0 or any(s.draining for s in self.states):
            return
        state = min(self.states, key=lambda s: s.least, default=None)
        tried = set()
        for engine in self.engines.values():
            held = self._useful(engine)
            likeness = (_kind(engine.description), held)
            if state is None or likeness in tried:
                continue
            tried.add(likeness)
            if self._try_move(engine, state):
                return

    def _try_move(self, engine: PlacedEngine, state: _State) -> bool:
        origin = next(
            (s for s in self.states if engine.name in s.holders), None
        )
        if origin is None or self._is_rolling(origin):
            return False
        before = state.least
        span = origin.remove(engine)
        kept = all(origin.cover[span.start : span.end])
        target = _best_span(state, engine)
        state.add(engine, target)
        gains = state.least > max(before * MOVE_GAIN, _EMPTY)
        if kept and gains and origin.least > before:
            if engine.report.sessions:
                self._drain(engine, origin, span)
                return True
            return self._load(engine, state, target)
        state.remove(engine)
        origin.add(engine, span)
        return False

    def _is_rolling(self, state: _State) -> bool:
        return any(self._is_old(name, state) for name in state.holders)

    def _check(self) -> None:
        for state in self.states:
            if min(state.cover) <= _EMPTY:
                self.notes.append(
                    f"model {state.model.name}: no whole chain yet; "
                    "engines for some layers are missing or still to load"
                )


def plan(
    fleet: fleets.Fleet,
    engines: Sequence[PlacedEngine],
    *,
    demand: dict[str, float] | None = None,
    plain_ready: Iterable[str] = (),
    loading_bytes: int = LOADING_BYTES,
) -> Plan:
    """Returns what engines should be ordered to do now.

    Args:
        fleet: The configuration in force.
        engines: Engines that live and are not leaving, with their reports.
        demand: Tokens a second wanted by model; without it, the replicas
            that services ask for.
        plain_ready: Plain services that have endpoints.
        loading_bytes: Bytes of weights that may be loading at once.

    Returns:
        Orders for engines that should change, and notes on what can't be
        done. Engines that should stay as they are get no order.
    """
    planner = _Planner(fleet, engines, demand or {}, plain_ready, loading_bytes)
    return planner.plan()


def _size_order(engine: PlacedEngine) -> tuple[int, float, str]:
    described = engine.description
    return (-described.layer_capacity, described.fixed_s, described.name)


def _kind(
    description: endpoints.EndpointDescription,
) -> tuple[int, float, float, int]:
    return (
        description.layer_capacity,
        description.fixed_s,
        description.per_layer_token_s,
        description.max_batch,
    )


def _lift(
    cover: list[float],
    engine: PlacedEngine,
    span: layers.LayerRange,
    sign: float,
) -> None:
    rate = flow.engine_tokens_per_s(engine.description, span.count)
    for layer in _each(span):
        cover[layer] = max(0.0, cover[layer] + sign * rate)
        if cover[layer] < _EMPTY:
            cover[layer] = 0.0


def _each(span: layers.LayerRange) -> range:
    return range(span.start, span.end)


def _missing(covered: Iterable[layers.LayerRange], count: int) -> set[int]:
    """Returns the layers that no range covers."""
    missing = set(range(count))
    for span in covered:
        missing -= set(_each(span))
    return missing


def _best_span(state: _State, engine: PlacedEngine) -> layers.LayerRange:
    """Returns the range that lifts the least covered layers most."""
    count = state.model.layers
    capacity = min(engine.description.layer_capacity, count)
    parts = -(-count // capacity)
    lengths = sorted({capacity, -(-count // parts)}, reverse=True)
    best: tuple[list[float], layers.LayerRange] | None = None
    for length in lengths:
        for start in _starts(state, count, length):
            span = layers.LayerRange(start, start + length)
            cover = list(state.cover)
            _lift(cover, engine, span, 1.0)
            cover.sort()
            if best is None or cover > best[0]:
                best = (cover, span)
    assert best is not None
    return best[1]


def _starts(state: _State, count: int, length: int) -> list[int]:
    """Returns where a range may begin: where others begin or end."""
    last = count - length
    found = {0, last}
    found |= {min(last, cut) for cut in range(0, count, length)}
    for span in state.holders.values():
        found |= {span.start, span.end, span.start - length, span.end - length}
    lowest = state.cover.index(min(state.cover))
    found.add(lowest)
    return sorted(start for start in found if 0 <= start <= last)
