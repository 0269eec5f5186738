"""The router: one facade over the modules that decide under load.

It is a state machine without input or output. Each event is taken over into
the module that it concerns; then what waits and may now go is dispatched,
and what has waited for as long as it may is refused. The cost of an event
grows with what it changes: a tick that finds nothing due looks at the heads
of two heaps and at the lanes that have requests waiting.
"""

from __future__ import annotations

import dataclasses
import heapq
from typing import TYPE_CHECKING

from almondshift.model import chains
from almondshift.model import fleet as fleets
from almondshift.model import layers
from almondshift.policy import account_limits
from almondshift.policy import actions
from almondshift.policy import admission
from almondshift.policy import chain_choice
from almondshift.policy import ejection
from almondshift.policy import events
from almondshift.policy import fair_queue
from almondshift.policy import lanes as lanes_module
from almondshift.policy import long_jobs
from almondshift.policy import plain_choice
from almondshift.policy import recovery
from almondshift.policy import retry_after
from almondshift.policy import retry_budget
from almondshift.policy import routers
from almondshift.policy import spreading
from almondshift.policy import topology

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

NOT_READY_RETRY_S = 1.0
"""Mean Retry-After while layers are loaded, which takes seconds."""
PROBE_USUAL_S = 0.02
"""Least time that counts as usual for a probe, for links and scheduling."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of a router.

    Attributes:
        zone: Availability zone of the node.
        long_tokens: Cost in tokens from which a request is long.
        retry_share: Repeated work as a share of fresh work.
    """

    zone: str = ""
    long_tokens: int = long_jobs.LONG_TOKENS
    retry_share: float = retry_budget.SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    in_flight: dict[str, int]


class LoadRouter(routers.Router):
    """The router that nodes run."""

    def __init__(
        self, rng: random.Random, node: str, settings: RouterSettings
    ) -> None:
        self.rng = rng
        self.node = node
        self.topology = topology.create_topology()
        self.health = ejection.Ejection()
        self.long_jobs = long_jobs.LongJobs(settings.long_tokens)
        self.hints = spreading.PrefixHints()
        self.chooser = chain_choice.ChainChooser(
            rng,
            settings.zone,
            self.topology,
            self.health,
            self.long_jobs,
            self.hints,
        )
        self.plain = plain_choice.PlainChooser(rng, self.topology, self.health)
        self.recovery = recovery.Recovery(
            self.topology, self.chooser, self.health
        )
        self.limits = account_limits.AccountLimits()
        self.budget = retry_budget.RetryBudget(settings.retry_share)
        self.jitter = retry_after.RetryAfter(rng)
        self.lanes: dict[lanes_module.LaneKey, lanes_module.Lane] = {}
        self.waiting: dict[str, lanes_module.Request] = {}
        self.flights: dict[str, lanes_module.Flight] = {}
        self._expiries: list[tuple[float, int, lanes_module.Request]] = []
        self._order = 0
        self._peers: dict[str, _Peer] = {}
        self._handlers = self._make_handlers()

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Takes one event; see the base class."""
        decided = self._handlers[type(event)](event)
        self.chooser.sync()
        decided += self._recover_waiting(event.at)
        decided += self._dispatch_waiting(event.at)
        decided += self._expire(event.at)
        return decided

    def service_ready(self, service: str) -> bool:
        """Returns whether a service and all it depends on can be served."""
        return self.topology.service_ready(service)

    def account_tokens_per_s(self, at: float) -> dict[str, float]:
        """Returns what accounts use through this node, for its peers."""
        return self.limits.uses(at)

    def in_flight(self) -> dict[str, int]:
        """Returns requests in flight by endpoint, for this node's peers."""
        counts = {
            name: engine.load.own
            for name, engine in self.chooser.engines.items()
            if engine.load.own
        }
        counts.update(self.plain.own)
        return counts

    def _make_handlers(
        self,
    ) -> dict[type, Callable[..., list[actions.Action]]]:
        return {
            events.Arrival: self._arrive,
            events.Progress: self._progress,
            events.Completed: self._complete,
            events.Abandoned: self._abandon,
            events.StageFailed: self._stage_failed,
            events.CallTimed: self._call_timed,
            events.EndpointSeen: self._see,
            events.EndpointGone: self._forget,
            events.EndpointLeaving: self._leave,
            events.LoadReported: self._report,
            events.CacheChanged: self._cache_changed,
            events.PeerLoad: self._peer_load,
            events.PeerGone: self._peer_gone,
            events.FleetChanged: self._configure,
            events.ProbeAnswered: self._probe_answered,
            events.Tick: self._tick,
        }

    def _see(self, event: events.EndpointSeen) -> list[actions.Action]:
        self.topology.see(event.vm, event.description)
        return []

    def _forget(self, event: events.EndpointGone) -> list[actions.Action]:
        self.topology.remove(event.endpoint)
        self.health.forget(event.endpoint)
        return []

    def _leave(self, event: events.EndpointLeaving) -> list[actions.Action]:
        self.topology.leave(event.endpoint)
        return []

    def _report(self, event: events.LoadReported) -> list[actions.Action]:
        if self.topology.report(event.report, event.at):
            self.chooser.sync()
            self.chooser.reported(event.report, event.at)
        return []

    def _cache_changed(
        self, event: events.CacheChanged
    ) -> list[actions.Action]:
        self.hints.take(event.endpoint, event.events)
        return []

    def _configure(self, event: events.FleetChanged) -> list[actions.Action]:
        self.topology.configure(event.fleet)
        self.chooser.configured()
        return []

    def _peer_load(self, event: events.PeerLoad) -> list[actions.Action]:
        if event.node != self.node:
            self._set_peer(event.node, event.in_flight)
            self.limits.peer_used(event.node, event.account_tokens_per_s)
        return []

    def _peer_gone(self, event: events.PeerGone) -> list[actions.Action]:
        self._set_peer(event.node, {})
        self._peers.pop(event.node, None)
        self.limits.peer_gone(event.node)
        self._count_peers()
        return []

    def _set_peer(self, node: str, in_flight: dict[str, int]) -> None:
        before = self._peers.get(node, _Peer({})).in_flight
        self.chooser.peer_in_flight(node, before, in_flight)
        self.plain.peer_in_flight(node, before, in_flight)
        self.chooser.active_peers += bool(in_flight) - bool(before)
        self._peers[node] = _Peer(in_flight)
        self._count_peers()

    def _count_peers(self) -> None:
        self.chooser.known_peers = len(self._peers)
        self.plain.known_peers = len(self._peers)

    def _call_timed(self, event: events.CallTimed) -> list[actions.Action]:
        usual = self.chooser.usual_call_s(
            event.endpoint, event.tokens, event.layers
        )
        if self.health.timed(event.endpoint, event.at, event.seconds, usual):
            self.chooser.refresh(event.endpoint)
        return []

    def _probe_answered(
        self, event: events.ProbeAnswered
    ) -> list[actions.Action]:
        ratio = event.seconds / PROBE_USUAL_S
        if self.health.probed(event.endpoint, event.at, event.ok, ratio):
            self.chooser.refresh(event.endpoint)
        return []

    def _tick(self, event: events.Tick) -> list[actions.Action]:
        return [
            actions.Probe(name) for name in self.health.probes_due(event.at)
        ]

    def _arrive(self, event: events.Arrival) -> list[actions.Action]:
        flight = self.flights.get(event.request_id)
        if flight is not None:
            return self._repeat(event, flight)
        refusal = self._refuse_outright(event)
        if refusal is not None:
            return [refusal]
        request = self._make_request(event)
        limited = self._charge(request)
        if limited is not None:
            return [limited]
        return self._enqueue(request)

    def _refuse_outright(self, event: events.Arrival) -> actions.Refuse | None:
        reasons = actions.RefusalReason
        fleet = self.topology.fleet
        if fleet is None or event.service not in fleet.services:
            return actions.Refuse(
                event.request_id, reasons.UNKNOWN_SERVICE, None
            )
        if event.deadline <= event.at:
            return actions.Refuse(event.request_id, reasons.DEADLINE_PAST, None)
        if not self.topology.service_ready(event.service):
            return self._not_ready(event.request_id)
        return None

    def _not_ready(self, request_id: str) -> actions.Refuse:
        return actions.Refuse(
            request_id,
            actions.RefusalReason.SERVICE_NOT_READY,
            self.jitter.jittered(NOT_READY_RETRY_S),
        )

    def _make_request(self, event: events.Arrival) -> lanes_module.Request:
        assert self.topology.fleet is not None
        service = self.topology.fleet.services[event.service]
        lane = self._lane(service)
        tokens = lane.expected_tokens(event.max_tokens)
        cost = max(1.0, event.prompt_tokens + tokens)
        job = chain_choice.Job(
            event.prompt_tokens,
            tokens,
            self.long_jobs.is_long(cost),
            event.prefixes,
        )
        return lanes_module.Request(event, service, lane, job, cost, cost)

    def _lane(self, service: fleets.Service) -> lanes_module.Lane:
        plain = service.kind is fleets.ServiceKind.PLAIN
        key = lanes_module.LaneKey(
            plain, service.name if plain else service.model, service.adapter
        )
        if key not in self.lanes:
            self.lanes[key] = lanes_module.Lane(key, self.rng)
        return self.lanes[key]

    def _account(self, name: str) -> tuple[float, float]:
        """Returns an account's weight and limit."""
        fleet = self.topology.fleet
        account = fleet.accounts.get(name) if fleet else None
        if account is None:
            return 1.0, 0.0
        return account.weight, account.tokens_per_s

    def _charge(self, request: lanes_module.Request) -> actions.Refuse | None:
        event = request.arrival
        _, limit = self._account(event.account)
        wait = self.limits.charge(event.account, limit, request.cost, event.at)
        if wait <= 0.0:
            return None
        return actions.Refuse(
            event.request_id,
            actions.RefusalReason.ACCOUNT_LIMITED,
            self.jitter.jittered(wait),
        )

    def _enqueue(self, request: lanes_module.Request) -> list[actions.Action]:
        event, lane = request.arrival, request.lane
        weight, _ = self._account(event.account)
        wait = lane.predicted_wait_s(request, weight)
        request.entry = fair_queue.Entry(
            request,
            event.account,
            event.priority,
            request.cost,
            request.job.long,
        )
        if not request.job.long:
            self.long_jobs.note_short(event.at)
        lane.queue.push(request.entry, weight)
        self.waiting[event.request_id] = request
        decided = self._dispatch_lane(lane, event.at)
        if request.entry.waiting:
            decided += self._admit(request, wait)
        return decided

    def _admit(
        self, request: lanes_module.Request, wait: float
    ) -> list[actions.Action]:
        """Lets a request wait, or refuses it now."""
        event, lane = request.arrival, request.lane
        allowed = admission.allowed_wait_s(
            event.priority,
            event.deadline - event.at,
            lane.run_s(request.job),
        )
        if not admission.may_wait(wait, allowed):
            return [self._give_up(request, event.at)]
        lane.drain.note_waiting(event.at, True)
        request.expires_at = event.at + allowed
        self._order += 1
        heapq.heappush(
            self._expiries, (request.expires_at, self._order, request)
        )
        return []

    def _give_up(
        self, request: lanes_module.Request, at: float
    ) -> actions.Refuse:
        self._withdraw(request)
        return actions.Refuse(
            request.arrival.request_id,
            actions.RefusalReason.OVERLOADED,
            request.lane.refusal_s(request, at),
        )

    def _withdraw(self, request: lanes_module.Request) -> None:
        if request.entry is not None:
            request.lane.queue.withdraw(request.entry)
        self.waiting.pop(request.arrival.request_id, None)
        self.limits.refund(request.arrival.account, request.charged)

    def _expire(self, at: float) -> list[actions.Action]:
        decided: list[actions.Action] = []
        while self._expiries and self._expiries[0][0] <= at:
            _, _, request = heapq.heappop(self._expiries)
            if request.entry is not None and request.entry.waiting:
                decided.append(self._give_up(request, at))
        return decided

    def _dispatch_waiting(self, at: float) -> list[actions.Action]:
        if not self.waiting:
            return []
        waiting = [lane for lane in self.lanes.values() if len(lane.queue)]
        if len(waiting) > 1:
            # Lanes may share engines; in a fixed order the first would
            # take each slot that comes free.
            self.rng.shuffle(waiting)
        decided: list[actions.Action] = []
        for lane in waiting:
            decided += self._dispatch_lane(lane, at)
        return decided

    def _dispatch_lane(
        self, lane: lanes_module.Lane, at: float
    ) -> list[actions.Action]:
        decided: list[actions.Action] = []
        while not lane.is_blocked(self.chooser.openings):
            allow_long = lane.may_try_long(self.chooser.openings, at)
            entry = lane.queue.peek(allow_long=allow_long)
            if entry is None:
                break
            action = self._start(entry.item, at)
            if action is not None:
                decided.append(action)
            elif entry.long:
                lane.block_long(self.chooser.openings, at)
            else:
                lane.blocked_at = self.chooser.openings
        lane.drain.note_waiting(at, len(lane.queue) > 0)
        return decided

    def _start(
        self, request: lanes_module.Request, at: float
    ) -> actions.Action | None:
        """Dispatches a waiting request, or refuses it if nothing can run it.

        Returns:
            None if it has to go on waiting for room.
        """
        if not self.topology.service_ready(request.service.name):
            self._withdraw(request)
            return self._not_ready(request.arrival.request_id)
        if request.lane.key.plain:
            return self._start_plain(request, at)
        return self._start_chain(request, at)

    def _start_plain(
        self, request: lanes_module.Request, at: float
    ) -> actions.Action | None:
        name = self.plain.choose(request.service.name)
        if name is None:
            return None
        flight = lanes_module.Flight(request, at, endpoint=name)
        self.plain.started(name)
        seconds = max(request.lane.run_s(request.job), 1e-3)
        self._begin(flight, seconds)
        return actions.DispatchPlain(request.arrival.request_id, name)

    def _start_chain(
        self, request: lanes_module.Request, at: float
    ) -> actions.Action | None:
        target = self.topology.target_of(request.service)
        if target is None:
            return None
        whole = layers.LayerRange(0, self.topology.layer_count(target.model))
        choice = self.chooser.choose(target, whole, request.job, at)
        if choice is None:
            return None
        chain = chains.Chain(
            target.model, target.version, target.adapter, choice.stages
        )
        flight = lanes_module.Flight(
            request, at, chain=chain, stages=choice.stages
        )
        self.chooser.started(choice.stages, request.job, at)
        self._begin(flight, choice.seconds)
        return actions.Dispatch(request.arrival.request_id, chain)

    def _begin(self, flight: lanes_module.Flight, seconds: float) -> None:
        request = flight.request
        request_id = request.arrival.request_id
        if request.entry is not None:
            request.lane.queue.take(request.entry)
        self.waiting.pop(request_id, None)
        self.flights[request_id] = flight
        request.lane.started(flight, seconds)
        self.budget.earn(flight.started_at, request.cost)

    def _progress(self, event: events.Progress) -> list[actions.Action]:
        flight = self.flights.get(event.request_id)
        if flight is not None:
            if flight.first_at is None:
                self.chooser.prompted(flight.stages, flight.request.job)
            flight.request.lane.progressed(flight, event.at, event.tokens)
        return []

    def _complete(self, event: events.Completed) -> list[actions.Action]:
        self._end(event.request_id, event.at, whole=True)
        return []

    def _abandon(self, event: events.Abandoned) -> list[actions.Action]:
        request = self.waiting.get(event.request_id)
        if request is not None:
            self._withdraw(request)
        self._end(event.request_id, event.at, whole=False)
        return []

    def _end(self, request_id: str, at: float, *, whole: bool) -> None:
        flight = self.flights.pop(request_id, None)
        self.recovery.forget(request_id)
        if flight is None:
            return
        request = flight.request
        self._release(flight, flight.stages, at)
        if flight.endpoint:
            self.plain.ended(flight.endpoint)
            self.chooser.openings += 1
        request.lane.ended(flight, at, whole=whole)
        if request.lane.key.plain:
            return
        used = request.arrival.prompt_tokens + flight.tokens
        unused = max(0.0, request.charged - used)
        self.limits.refund(request.arrival.account, unused)

    def _release(
        self,
        flight: lanes_module.Flight,
        stages: tuple[chains.Stage, ...],
        at: float,
    ) -> None:
        if flight.first_at is None:
            self.chooser.prompted(stages, flight.request.job)
        self.chooser.ended(stages, flight.request.job, at)

    def _repeat(
        self, event: events.Arrival, flight: lanes_module.Flight
    ) -> list[actions.Action]:
        """Sends a plain request that was not run to another endpoint."""
        if not flight.endpoint:
            return []
        failed = flight.endpoint
        self.health.failed(failed, event.at, certain=False)
        flight.failed.add(failed)
        name = self.plain.choose(
            flight.request.service.name, frozenset(flight.failed)
        )
        allowed = self.budget.spend(flight.repeats, flight.request.cost)
        if name is None or not allowed:
            self._end(event.request_id, event.at, whole=False)
            reasons = actions.RefusalReason
            return [
                self._not_repeated(
                    event.request_id,
                    reasons.NO_REPLACEMENT if allowed else reasons.RETRY_BUDGET,
                )
            ]
        self.plain.ended(failed)
        self.plain.started(name)
        flight.endpoint = name
        flight.repeats += 1
        return [actions.DispatchPlain(event.request_id, name)]

    def _stage_failed(self, event: events.StageFailed) -> list[actions.Action]:
        failed = event.chain.stages[event.index]
        self.recovery.note(event)
        flight = self.flights.get(event.request_id)
        if flight is None:
            return [
                self._not_repeated(
                    event.request_id, actions.RefusalReason.NO_REPLACEMENT
                )
            ]
        if failed in flight.stages:
            self._release(flight, (failed,), event.at)
            flight.stages = tuple(s for s in flight.stages if s != failed)
        if not self.budget.spend(flight.repeats, 1.0 + event.positions):
            self._end(event.request_id, event.at, whole=False)
            return [
                self._not_repeated(
                    event.request_id, actions.RefusalReason.RETRY_BUDGET
                )
            ]
        flight.repeats += 1
        replaced = self.recovery.start(event, flight)
        return [] if replaced is None else [replaced]

    def _recover_waiting(self, at: float) -> list[actions.Action]:
        recovered = self.recovery.go_on(at)
        decided: list[actions.Action] = list(recovered.replaced)
        for request_id in recovered.given_up:
            self._end(request_id, at, whole=False)
            decided.append(
                self._not_repeated(
                    request_id, actions.RefusalReason.NO_REPLACEMENT
                )
            )
        return decided

    def _not_repeated(
        self, request_id: str, reason: actions.RefusalReason
    ) -> actions.Refuse:
        return actions.Refuse(
            request_id, reason, self.jitter.jittered(NOT_READY_RETRY_S)
        )


def create_router(
    rng: random.Random, node: str, settings: RouterSettings
) -> LoadRouter:
    """Returns the router of a node.

    Args:
        rng: Source of all random choices.
        node: The node's name, by which its own peer load is told apart.
        settings: Its settings.
    """
    return LoadRouter(rng, node, settings)
