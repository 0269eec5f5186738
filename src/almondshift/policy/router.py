"""Request router: applies events to the modules that make load decisions.

The router is a state machine that performs no I/O. Each event is first applied
to the modules that it concerns. Waiting requests that can now run are then
dispatched, and requests that have reached their maximum wait are refused. The
cost of an event is proportional to what it changes: a tick with nothing due
checks the heads of two heaps and the lanes that have waiting requests.
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
from almondshift.policy import excluded_engines
from almondshift.policy import fair_queue
from almondshift.policy import lanes as lanes_module
from almondshift.policy import long_jobs
from almondshift.policy import plain_choice
from almondshift.policy import prefix_hints
from almondshift.policy import recovery
from almondshift.policy import retry_after
from almondshift.policy import retry_budget
from almondshift.policy import router_interface
from almondshift.policy import topology

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

NOT_READY_RETRY_S = 1.0
"""Mean Retry-After while layers are loading, which takes seconds."""
EXPECTED_PROBE_S = 0.02
"""Expected probe time, with allowance for links and scheduling."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouterSettings:
    """Settings of a router.

    Attributes:
        zone: Availability zone of the node.
        long_tokens: Minimum cost in tokens of a long request.
        retry_share: Retried work as a share of new work.
    """

    zone: str = ""
    long_tokens: int = long_jobs.LONG_TOKENS
    retry_share: float = retry_budget.RETRY_SHARE


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    in_flight: dict[str, int]


class LoadRouter(router_interface.Router):
    """Routes requests according to load, limits, deadlines and failures."""

    def __init__(
        self, rng: random.Random, node: str, settings: RouterSettings
    ) -> None:
        self.rng = rng
        self.node = node
        self.topology = topology.create_topology()
        self.health = ejection.Ejection()
        self.long_jobs = long_jobs.LongJobs(settings.long_tokens)
        self.hints = prefix_hints.PrefixHints()
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
        self.retry_delays = retry_after.RetryAfter(rng)
        self.lanes: dict[lanes_module.LaneKey, lanes_module.Lane] = {}
        self.waiting: dict[str, lanes_module.Request] = {}
        self.running: dict[str, lanes_module.RunningRequest] = {}
        self._expiries: list[tuple[float, int, lanes_module.Request]] = []
        self._sequence = 0
        self._peers: dict[str, _Peer] = {}
        self._handlers = self._make_handlers()

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Handles one event; see the base class."""
        decided = self._handlers[type(event)](event)
        self.chooser.sync()
        decided += self._process_recoveries(event.at)
        decided += self._dispatch_waiting(event.at)
        decided += self._expire(event.at)
        return decided

    def service_ready(self, service: str) -> bool:
        """Returns whether a service and all its dependencies can be served."""
        return self.topology.service_ready(service)

    def versions_in_use(self) -> set[tuple[str, int]]:
        """Returns models and versions in use; see the base class."""
        found = {
            (running.chain.model, running.chain.version)
            for running in self.running.values()
            if running.chain is not None
        }
        return found | self.topology.targeted_versions()

    def excluded_engines(self, failure: events.StageFailed) -> list[str]:
        """Returns why engines can't replace a failed stage; see base class."""
        running = self.running.get(failure.request_id)
        failed = running.failed_endpoints if running else ()
        chain = failure.chain
        return excluded_engines.describe(
            self.topology,
            self.health,
            topology.Target(chain.model, chain.version, chain.adapter),
            chain.stages[failure.index].layers,
            frozenset(failed),
        )

    def account_tokens_per_s(self, at: float) -> dict[str, float]:
        """Returns the token rate per account on this node, for its peers."""
        return self.limits.usage_by_account(at)

    def in_flight(self) -> dict[str, int]:
        """Returns requests in flight per endpoint, for this node's peers."""
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
            events.EndpointSeen: self._endpoint_seen,
            events.EndpointGone: self._endpoint_gone,
            events.EndpointLeaving: self._endpoint_leaving,
            events.LoadReported: self._load_reported,
            events.CacheChanged: self._cache_changed,
            events.PeerLoad: self._peer_load,
            events.PeerGone: self._peer_gone,
            events.FleetChanged: self._fleet_changed,
            events.ProbeAnswered: self._probe_answered,
            events.Tick: self._tick,
        }

    def _endpoint_seen(
        self, event: events.EndpointSeen
    ) -> list[actions.Action]:
        self.topology.update_vm(event.vm, event.description)
        return []

    def _endpoint_gone(
        self, event: events.EndpointGone
    ) -> list[actions.Action]:
        self.topology.remove(event.endpoint)
        self.health.forget(event.endpoint)
        return []

    def _endpoint_leaving(
        self, event: events.EndpointLeaving
    ) -> list[actions.Action]:
        self.topology.mark_leaving(event.endpoint)
        return []

    def _load_reported(
        self, event: events.LoadReported
    ) -> list[actions.Action]:
        if self.topology.report(event.report, event.at):
            self.chooser.sync()
            self.chooser.apply_report(event.report, event.at)
        return []

    def _cache_changed(
        self, event: events.CacheChanged
    ) -> list[actions.Action]:
        self.hints.apply_events(event.endpoint, event.events)
        return []

    def _fleet_changed(
        self, event: events.FleetChanged
    ) -> list[actions.Action]:
        self.topology.configure(event.fleet)
        self.chooser.apply_config()
        return []

    def _peer_load(self, event: events.PeerLoad) -> list[actions.Action]:
        if event.node != self.node:
            self._update_peer(event.node, event.in_flight)
            self.limits.set_peer_usage(event.node, event.account_tokens_per_s)
        return []

    def _peer_gone(self, event: events.PeerGone) -> list[actions.Action]:
        self._update_peer(event.node, {})
        self._peers.pop(event.node, None)
        self.limits.forget_peer(event.node)
        self._update_peer_count()
        return []

    def _update_peer(self, node: str, in_flight: dict[str, int]) -> None:
        before = self._peers.get(node, _Peer({})).in_flight
        self.chooser.set_peer_in_flight(node, before, in_flight)
        self.plain.set_peer_in_flight(node, before, in_flight)
        self.chooser.active_peers += bool(in_flight) - bool(before)
        self._peers[node] = _Peer(in_flight)
        self._update_peer_count()

    def _update_peer_count(self) -> None:
        self.chooser.known_peers = len(self._peers)
        self.plain.known_peers = len(self._peers)

    def _call_timed(self, event: events.CallTimed) -> list[actions.Action]:
        expected_s = self.chooser.expected_call_s(
            event.endpoint, event.tokens, event.layers
        )
        if self.health.record_call(
            event.endpoint, event.at, event.seconds, expected_s
        ):
            self.chooser.refresh(event.endpoint)
        return []

    def _probe_answered(
        self, event: events.ProbeAnswered
    ) -> list[actions.Action]:
        ratio = event.seconds / EXPECTED_PROBE_S
        if self.health.record_probe(event.endpoint, event.at, event.ok, ratio):
            self.chooser.refresh(event.endpoint)
        return []

    def _tick(self, event: events.Tick) -> list[actions.Action]:
        return [
            actions.Probe(name) for name in self.health.probes_due(event.at)
        ]

    def _arrive(self, event: events.Arrival) -> list[actions.Action]:
        running = self.running.get(event.request_id)
        if running is not None:
            # A second arrival of a dispatched request asks for its retry.
            return self._retry_plain(event, running)
        refusal = self._immediate_refusal(event)
        if refusal is not None:
            return [refusal]
        request = self._make_request(event)
        limited = self._charge(request)
        if limited is not None:
            return [limited]
        return self._enqueue(request)

    def _immediate_refusal(
        self, event: events.Arrival
    ) -> actions.Refuse | None:
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
            self.retry_delays.jittered(NOT_READY_RETRY_S),
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
            self.retry_delays.jittered(wait),
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
            request.job.is_long,
        )
        if not request.job.is_long:
            self.long_jobs.record_short(event.at)
        lane.queue.push(request.entry, weight)
        self.waiting[event.request_id] = request
        decided = self._dispatch_lane(lane, event.at)
        if request.entry.waiting:
            decided += self._admit(request, wait)
        return decided

    def _admit(
        self, request: lanes_module.Request, wait: float
    ) -> list[actions.Action]:
        """Admits a request to the queue, or refuses it now."""
        event, lane = request.arrival, request.lane
        allowed = admission.allowed_wait_s(
            event.priority,
            event.deadline - event.at,
            lane.run_s(request.job),
        )
        if not admission.may_wait(wait, allowed):
            return [self._refuse_waiting(request, event.at)]
        lane.drain.set_waiting(event.at, True)
        request.expires_at = event.at + allowed
        self._sequence += 1
        heapq.heappush(
            self._expiries, (request.expires_at, self._sequence, request)
        )
        return []

    def _refuse_waiting(
        self, request: lanes_module.Request, at: float
    ) -> actions.Refuse:
        self._withdraw(request)
        return actions.Refuse(
            request.arrival.request_id,
            actions.RefusalReason.OVERLOADED,
            request.lane.record_refusal(request, at),
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
                decided.append(self._refuse_waiting(request, at))
        return decided

    def _dispatch_waiting(self, at: float) -> list[actions.Action]:
        if not self.waiting:
            return []
        waiting = [lane for lane in self.lanes.values() if len(lane.queue)]
        if len(waiting) > 1:
            # Lanes may share engines. In a fixed order, the first lane would
            # take every slot that becomes free.
            self.rng.shuffle(waiting)
        decided: list[actions.Action] = []
        for lane in waiting:
            decided += self._dispatch_lane(lane, at)
        return decided

    def _dispatch_lane(
        self, lane: lanes_module.Lane, at: float
    ) -> list[actions.Action]:
        decided: list[actions.Action] = []
        while not lane.is_blocked(self.chooser.capacity_generation):
            allow_long = lane.may_try_long(self.chooser.capacity_generation, at)
            entry = lane.queue.peek(allow_long=allow_long)
            if entry is None:
                break
            action = self._start(entry.item, at)
            if action is not None:
                decided.append(action)
            elif entry.long:
                lane.block_long(self.chooser.capacity_generation, at)
            else:
                lane.blocked_generation = self.chooser.capacity_generation
        lane.drain.set_waiting(at, len(lane.queue) > 0)
        return decided

    def _start(
        self, request: lanes_module.Request, at: float
    ) -> actions.Action | None:
        """Dispatches a waiting request, or refuses it if nothing can run it.

        Returns:
            None if the request has to keep waiting for capacity.
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
        running = lanes_module.RunningRequest(request, at, endpoint=name)
        self.plain.started(name)
        seconds = max(request.lane.run_s(request.job), 1e-3)
        self._record_dispatch(running, seconds)
        return actions.DispatchPlain(request.arrival.request_id, name)

    def _start_chain(
        self, request: lanes_module.Request, at: float
    ) -> actions.Action | None:
        target = self.topology.target_of(request.service)
        if target is None:
            return None
        all_layers = layers.LayerRange(
            0, self.topology.layer_count(target.model)
        )
        choice = self.chooser.choose(target, all_layers, request.job, at)
        if choice is None:
            return None
        chain = chains.Chain(
            target.model, target.version, target.adapter, choice.stages
        )
        running = lanes_module.RunningRequest(
            request, at, chain=chain, stages=choice.stages
        )
        self.chooser.started(choice.stages, request.job, at)
        self._record_dispatch(running, choice.seconds)
        return actions.Dispatch(request.arrival.request_id, chain)

    def _record_dispatch(
        self, running: lanes_module.RunningRequest, seconds: float
    ) -> None:
        request = running.request
        request_id = request.arrival.request_id
        if request.entry is not None:
            request.lane.queue.dequeue(request.entry)
        self.waiting.pop(request_id, None)
        self.running[request_id] = running
        request.lane.started(running, seconds)
        self.budget.earn(running.started_at, request.cost)

    def _progress(self, event: events.Progress) -> list[actions.Action]:
        running = self.running.get(event.request_id)
        if running is not None:
            if running.first_token_at is None:
                self.chooser.prefill_finished(
                    running.stages, running.request.job
                )
            running.request.lane.progressed(running, event.at, event.tokens)
        return []

    def _complete(self, event: events.Completed) -> list[actions.Action]:
        self._end(event.request_id, event.at, completed=True)
        return []

    def _abandon(self, event: events.Abandoned) -> list[actions.Action]:
        request = self.waiting.get(event.request_id)
        if request is not None:
            self._withdraw(request)
        self._end(event.request_id, event.at, completed=False)
        return []

    def _end(self, request_id: str, at: float, *, completed: bool) -> None:
        running = self.running.pop(request_id, None)
        self.recovery.forget(request_id)
        if running is None:
            return
        request = running.request
        self._release(running, running.stages, at)
        if running.endpoint:
            self.plain.ended(running.endpoint)
            self.chooser.capacity_generation += 1
        request.lane.ended(running, at, completed=completed)
        if request.lane.key.plain:
            return
        used = request.arrival.prompt_tokens + running.tokens
        unused = max(0.0, request.charged - used)
        self.limits.refund(request.arrival.account, unused)

    def _release(
        self,
        running: lanes_module.RunningRequest,
        stages: tuple[chains.Stage, ...],
        at: float,
    ) -> None:
        if running.first_token_at is None:
            self.chooser.prefill_finished(stages, running.request.job)
        self.chooser.ended(stages, running.request.job, at)

    def _retry_plain(
        self, event: events.Arrival, running: lanes_module.RunningRequest
    ) -> list[actions.Action]:
        """Retries a plain request that its endpoint did not execute.

        The retry is sent to another endpoint, or refused.
        """
        if not running.endpoint:
            return []
        failed = running.endpoint
        self.health.record_failure(failed, event.at, unreachable=False)
        running.failed_endpoints.add(failed)
        name = self.plain.choose(
            running.request.service.name, frozenset(running.failed_endpoints)
        )
        reasons = actions.RefusalReason
        denied = self._deny_retry(running, running.request.cost)
        if denied is reasons.RETRY_BUDGET and self._has_idle_lane(running):
            # An endpoint chosen for a plain service has spare capacity.
            denied = None
        if name is None or denied is not None:
            self._end(event.request_id, event.at, completed=False)
            return [
                self._refuse_retry(running, denied or reasons.NO_REPLACEMENT)
            ]
        self.plain.ended(failed)
        self.plain.started(name)
        running.endpoint = name
        running.retries += 1
        return [actions.DispatchPlain(event.request_id, name)]

    def _stage_failed(self, event: events.StageFailed) -> list[actions.Action]:
        failed = event.chain.stages[event.index]
        self.recovery.record_failure(event)
        running = self.running.get(event.request_id)
        reasons = actions.RefusalReason
        if running is None:
            return [
                actions.Refuse(
                    event.request_id,
                    reasons.NO_REPLACEMENT,
                    self.retry_delays.jittered(NOT_READY_RETRY_S),
                )
            ]
        if failed in running.stages:
            self._release(running, (failed,), event.at)
            running.stages = tuple(s for s in running.stages if s != failed)
        denied = self._deny_retry(running, 1.0 + event.positions)
        is_over_budget = denied is reasons.RETRY_BUDGET
        if denied is not None and not (
            is_over_budget and self._has_idle_lane(running)
        ):
            self._end(event.request_id, event.at, completed=False)
            return [self._refuse_retry(running, denied)]
        running.retries += 1
        replaced = self.recovery.start(
            event, running, within_budget=not is_over_budget
        )
        return [] if replaced is None else [replaced]

    def _deny_retry(
        self, running: lanes_module.RunningRequest, cost: float
    ) -> actions.RefusalReason | None:
        """Spends a retry; returns why the budget doesn't allow it, if so."""
        if running.retries >= retry_budget.MAX_RETRIES:
            return actions.RefusalReason.MAX_RETRIES
        if self.budget.spend(running.retries, cost):
            return None
        return actions.RefusalReason.RETRY_BUDGET

    def _has_idle_lane(self, running: lanes_module.RunningRequest) -> bool:
        """Returns whether no new request waits for the same engines."""
        return len(running.request.lane.queue) == 0

    def _process_recoveries(self, at: float) -> list[actions.Action]:
        result = self.recovery.retry_pending(at)
        decided: list[actions.Action] = list(result.replaced)
        for expired in result.expired:
            running = self.running[expired.request_id]
            self._end(expired.request_id, at, completed=False)
            decided.append(self._refuse_retry(running, expired.reason))
        return decided

    def _refuse_retry(
        self,
        running: lanes_module.RunningRequest,
        reason: actions.RefusalReason,
    ) -> actions.Refuse:
        return actions.Refuse(
            running.request.arrival.request_id,
            reason,
            self.retry_delays.jittered(NOT_READY_RETRY_S),
            actions.RetryState(
                running.retries,
                self.budget.credit,
                len(running.request.lane.queue),
            ),
        )


def create_router(
    rng: random.Random, node: str, settings: RouterSettings
) -> LoadRouter:
    """Returns the router of a node.

    Args:
        rng: Source of all random choices.
        node: Name of the node; its own peer load events are ignored.
        settings: Router settings.
    """
    return LoadRouter(rng, node, settings)
