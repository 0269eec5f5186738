"""A simulated cluster of engines, nodes and callers."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.model import fleet as fleets
from almondshift.model import layers
from almondshift.policy import baseline
from almondshift.policy import events
from almondshift.policy import flow
from almondshift.policy import router
from bench.virtual import engines as engines_module
from bench.virtual import nodes as nodes_module
from bench.virtual import results as results_module
from bench.virtual import simulation

if TYPE_CHECKING:
    from collections.abc import Callable

    from almondshift.policy import actions
    from almondshift.policy import router_interface

MODEL = "m"
LAYERS = 12
ZONES = ("z1", "z2", "z3")
SAME_ZONE_S = 0.0002
OTHER_ZONE_S = 0.0008
REPORT_INTERVAL_S = 0.5
REPORT_LAG_S = 0.3
PEER_INTERVAL_S = 1.0
PEER_LAG_S = 0.7
CACHE_EVENT_INTERVAL_S = 0.5
CACHE_EVENT_LOSS = 0.01
MAX_ATTEMPTS = 4
WARM_UP_S = 1.5
"""Time before the first request, in which the first reports arrive."""


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """One engine of a cluster."""

    accelerator: str
    layer_span: tuple[int, int]
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accelerator:
    """Speed and limits of a kind of accelerator."""

    fixed_s: float
    per_layer_token_s: float
    max_batch: int
    max_sessions: int
    layer_capacity: int


ACCELERATORS = {
    "fast": Accelerator(0.004, 0.00008, 8, 96, 12),
    "medium": Accelerator(0.006, 0.00016, 8, 64, 8),
    "small": Accelerator(0.008, 0.0003, 8, 48, 4),
}

MIXED = (
    EngineSpec("fast", (0, 6), "z1"),
    EngineSpec("fast", (6, 12), "z2"),
    EngineSpec("fast", (0, 6), "z3"),
    EngineSpec("fast", (6, 12), "z1"),
    EngineSpec("medium", (0, 6), "z2"),
    EngineSpec("medium", (6, 12), "z3"),
    EngineSpec("medium", (0, 6), "z1"),
    EngineSpec("medium", (6, 12), "z2"),
    EngineSpec("medium", (0, 6), "z3"),
    EngineSpec("medium", (6, 12), "z1"),
    EngineSpec("small", (0, 4), "z2"),
    EngineSpec("small", (4, 8), "z3"),
    EngineSpec("small", (8, 12), "z1"),
)
"""Mixed accelerators, with layer ranges that don't all align."""


def create_baseline(
    rng: random.Random, node: str, zone: str
) -> router_interface.Router:
    """Returns the baseline router."""
    del node, zone
    return baseline.create_baseline_router(rng)


def create_router(
    rng: random.Random, node: str, zone: str
) -> router_interface.Router:
    """Returns the router that nodes run."""
    return router.create_router(rng, node, router.RouterSettings(zone=zone))


def make_fleet(accounts: dict[str, fleets.Account]) -> fleets.Fleet:
    """Returns a configuration with one model and a service on it."""
    service = fleets.Service("chat", fleets.ServiceKind.MODEL, model=MODEL)
    return fleets.Fleet(
        version=1,
        name="bench",
        models={MODEL: fleets.Model(MODEL, LAYERS, 1)},
        services={"chat": service},
        endpoint_rules=(),
        links=tuple(
            fleets.Link(a, b, OTHER_ZONE_S, 1e9)
            for a in ZONES
            for b in ZONES
            if a < b
        ),
        accounts=accounts,
    )


class Cluster:
    """Engines behind nodes, each with its own router.

    Attributes:
        results: What callers received.
        zone_extra_s: Latency added on links to a zone.
    """

    def __init__(
        self,
        factory: Callable[[random.Random, str, str], router_interface.Router],
        *,
        seed: int = 1,
        specs: tuple[EngineSpec, ...] = MIXED,
        node_count: int = 4,
        accounts: dict[str, fleets.Account] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.sim = simulation.Simulation()
        self.results = results_module.Results()
        self.zone_extra_s: dict[str, float] = {}
        self.engines = {
            engine.description.name: engine
            for engine in (
                make_engine(self.sim, index, spec)
                for index, spec in enumerate(specs)
            )
        }
        self.nodes = [
            self._make_node(factory, index) for index in range(node_count)
        ]
        self._attempts = 0
        self._start(make_fleet(accounts or {}))

    def bound(self, prompt_tokens: int = 32, max_tokens: int = 32) -> float:
        """Returns the hardware bound in generated tokens per second.

        Each generated token is charged a share of its prompt: the work of the
        prompt's tokens, and a place in a batch for each chunk.
        """
        chunks = -(-prompt_tokens // nodes_module.CHUNK_TOKENS)
        return flow.bound_tokens_per_s(
            (
                flow.FlowEngine(
                    _with_prompt_cost(
                        e.description,
                        chunks / max_tokens,
                        prompt_tokens / max_tokens,
                    ),
                    e.layers_held(),
                    e.zone,
                )
                for e in self.engines.values()
                if not e.is_dead
            ),
            LAYERS,
        )

    def send(self, at: float, arrival: events.Arrival) -> None:
        """Schedules a caller's request, in seconds after the warm-up."""
        self.sim.after(WARM_UP_S + at, self._send, arrival)

    def at(self, at: float, change: Callable[[], None]) -> None:
        """Schedules a change, in seconds after the warm-up."""
        self.sim.after(WARM_UP_S + at, change)

    def run(self, seconds: float) -> results_module.Results:
        """Runs for a time after the warm-up, which is time 0 in the results."""
        self.sim.run(WARM_UP_S + seconds)
        for outcome in self.results.outcomes:
            outcome.sent_at -= WARM_UP_S
            outcome.deadline -= WARM_UP_S
            if outcome.done_at is not None:
                outcome.done_at -= WARM_UP_S
            if outcome.first_at is not None:
                outcome.first_at -= WARM_UP_S
        return self.results

    def lose_zone(self, zone: str) -> None:
        """Kills every engine of an availability zone."""
        for engine in self.engines.values():
            if engine.zone == zone:
                engine.kill()

    def _make_node(
        self,
        factory: Callable[[random.Random, str, str], router_interface.Router],
        index: int,
    ) -> nodes_module.VirtualNode:
        name = f"n{index}"
        zone = ZONES[index % len(ZONES)]
        rng = random.Random(self.rng.random())
        return nodes_module.VirtualNode(
            self.sim,
            name,
            zone,
            factory(rng, name, zone),
            self.engines,
            self._link_latency_s,
        )

    def _link_latency_s(self, zone_a: str, zone_b: str) -> float:
        extra = self.zone_extra_s.get(zone_b, 0.0)
        return extra + (SAME_ZONE_S if zone_a == zone_b else OTHER_ZONE_S)

    def _start(self, fleet: fleets.Fleet) -> None:
        for node in self.nodes:
            node.handle_event(events.FleetChanged(0.0, fleet))
            for engine in self.engines.values():
                node.handle_event(
                    events.EndpointSeen(0.0, engine.vm, engine.description)
                )
        self.sim.every(REPORT_INTERVAL_S, self._send_reports)
        self.sim.every(PEER_INTERVAL_S, self._exchange_loads)
        self.sim.every(CACHE_EVENT_INTERVAL_S, self._publish_caches)

    def _send_reports(self) -> None:
        for engine in self.engines.values():
            if engine.is_dead:
                continue
            for node in self.nodes:
                lag = REPORT_LAG_S * self.rng.uniform(0.5, 1.5)
                event = engine.report(lag)
                self.sim.after(lag, self._deliver_report, node, event)

    def _deliver_report(
        self, node: nodes_module.VirtualNode, report: endpoints.LoadReport
    ) -> None:
        node.handle_event(events.LoadReported(self.sim.now, report))

    def _exchange_loads(self) -> None:
        for node in self.nodes:
            in_flight = node.in_flight()
            used = {
                name: cost / PEER_INTERVAL_S
                for name, cost in node.account_use.items()
            }
            node.account_use.clear()
            for peer in self.nodes:
                if peer is node:
                    continue
                lag = PEER_LAG_S * self.rng.uniform(0.5, 1.5)
                self.sim.after(
                    lag, self._deliver_load, peer, node.name, in_flight, used
                )

    def _deliver_load(
        self,
        node: nodes_module.VirtualNode,
        name: str,
        in_flight: dict[str, int],
        used: dict[str, float],
    ) -> None:
        node.handle_event(events.PeerLoad(self.sim.now, name, in_flight, used))

    def _publish_caches(self) -> None:
        for name, engine in self.engines.items():
            changes = engine.take_cache_events()
            if not changes:
                continue
            for node in self.nodes:
                kept = tuple(
                    c for c in changes if self.rng.random() > CACHE_EVENT_LOSS
                )
                node.handle_event(events.CacheChanged(self.sim.now, name, kept))

    def _send(self, arrival: events.Arrival) -> None:
        now = self.sim.now
        timeout_s = arrival.deadline - arrival.at
        outcome = results_module.Outcome(arrival, now, now + timeout_s)
        self.results.outcomes.append(outcome)
        self.attempt(outcome)

    def attempt(self, outcome: results_module.Outcome) -> None:
        """Lets a caller send its request, for the first time or again."""
        outcome.attempts += 1
        arrival = self.next_arrival(outcome)
        self.rng.choice(self.nodes).submit(outcome, arrival, self.on_end)

    def next_arrival(self, outcome: results_module.Outcome) -> events.Arrival:
        """Returns a request with an id of its own.

        A caller that was refused keeps its deadline; one whose deadline has
        passed gets a new one.
        """
        self._attempts += 1
        now = self.sim.now
        timeout_s = outcome.arrival.deadline - outcome.arrival.at
        if now < outcome.deadline:
            deadline = outcome.deadline
        else:
            deadline = now + timeout_s
        return dataclasses.replace(
            outcome.arrival,
            at=now,
            request_id=f"r{self._attempts}",
            deadline=deadline,
        )

    def on_end(
        self,
        outcome: results_module.Outcome,
        refusal: actions.Refuse | None,
    ) -> None:
        """Lets a caller whose request ended retry if it may."""
        if outcome.done_at is not None or outcome.attempts >= MAX_ATTEMPTS:
            return
        if refusal is None:
            # The request timed out; the caller retries once.
            if outcome.attempts < 2:
                self.sim.after(self.rng.random(), self.attempt, outcome)
            return
        if refusal.retry_after_s is None:
            return
        if self.sim.now + refusal.retry_after_s < outcome.deadline:
            self.sim.after(refusal.retry_after_s, self.attempt, outcome)


def _with_prompt_cost(
    description: endpoints.EndpointDescription, chunks: float, tokens: float
) -> endpoints.EndpointDescription:
    """Adds each prompt's cost to the cost of its generated tokens."""
    return dataclasses.replace(
        description,
        fixed_s=description.fixed_s * (1.0 + chunks),
        per_layer_token_s=description.per_layer_token_s * (1.0 + tokens),
    )


def make_engine(
    sim: simulation.Simulation, index: int, spec: EngineSpec
) -> engines_module.VirtualEngine:
    """Returns an engine whose layer range is loaded and ready."""
    name = f"e{index}-{spec.accelerator}"
    accelerator = ACCELERATORS[spec.accelerator]
    description = endpoints.EndpointDescription(
        name,
        f"{name}-1",
        spec.accelerator,
        accelerator.layer_capacity,
        accelerator.fixed_s,
        accelerator.per_layer_token_s,
        accelerator.max_batch,
        accelerator.max_sessions,
    )
    holding = endpoints.Holding(
        MODEL, 1, "", layers.LayerRange(*spec.layer_span), True
    )
    return engines_module.VirtualEngine(sim, description, spec.zone, (holding,))
