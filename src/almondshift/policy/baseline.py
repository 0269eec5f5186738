"""Baseline router: FIFO, with round robin over complete chains.

The other modules are measured against this router. It rotates over chains
regardless of load, dispatches requests at once, and has no limits and no
budgets.

This is what a plain round-robin balancer does. A module that is not better than
this under the load that it addresses has no place in the router.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from almondshift.model import chains
from almondshift.model import fleet as fleets
from almondshift.model import layers
from almondshift.policy import actions
from almondshift.policy import events
from almondshift.policy import router_interface
from almondshift.policy import topology

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

NOT_READY_RETRY_S = 1.0
"""Mean Retry-After while layers are loading, which takes seconds."""


@dataclasses.dataclass(slots=True)
class _RoundRobin:
    """Selects names in rotation."""

    next: int = 0

    def next_name(self, names: list[str]) -> str:
        name = names[self.next % len(names)]
        self.next += 1
        return name


class BaselineRouter(router_interface.Router):
    """Round robin over complete chains, with no limit of any kind."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.topology = topology.create_topology()
        self._round_robins: dict[tuple[object, ...], _RoundRobin] = {}
        self._handlers: dict[
            type, Callable[..., list[actions.Action] | None]
        ] = {
            events.Arrival: self._arrive,
            events.StageFailed: self._replace,
            events.EndpointSeen: self._endpoint_seen,
            events.EndpointGone: self._endpoint_gone,
            events.EndpointLeaving: self._endpoint_leaving,
            events.LoadReported: self._load_reported,
            events.FleetChanged: self._fleet_changed,
        }

    def handle(self, event: events.Event) -> list[actions.Action]:
        """Handles one event; see the base class."""
        handler = self._handlers.get(type(event))
        if handler is None:
            return []
        return handler(event) or []

    def service_ready(self, service: str) -> bool:
        """Returns whether a service and all its dependencies can be served."""
        return self.topology.service_ready(service)

    def _endpoint_seen(self, event: events.EndpointSeen) -> None:
        self.topology.update_vm(event.vm, event.description)

    def _endpoint_gone(self, event: events.EndpointGone) -> None:
        self.topology.remove(event.endpoint)

    def _endpoint_leaving(self, event: events.EndpointLeaving) -> None:
        self.topology.mark_leaving(event.endpoint)

    def _load_reported(self, event: events.LoadReported) -> None:
        self.topology.report(event.report, event.at)

    def _fleet_changed(self, event: events.FleetChanged) -> None:
        self.topology.configure(event.fleet)

    def _arrive(self, event: events.Arrival) -> list[actions.Action]:
        service = self._service(event.service)
        if service is None:
            return [
                actions.Refuse(
                    event.request_id,
                    actions.RefusalReason.UNKNOWN_SERVICE,
                    None,
                )
            ]
        if not self.topology.service_ready(event.service):
            return [self._not_ready(event.request_id)]
        if service.kind is fleets.ServiceKind.PLAIN:
            return [self._dispatch_plain(event, service)]
        return [self._dispatch(event, service)]

    def _service(self, name: str) -> fleets.Service | None:
        fleet = self.topology.fleet
        return fleet.services.get(name) if fleet else None

    def _not_ready(self, request_id: str) -> actions.Refuse:
        return actions.Refuse(
            request_id,
            actions.RefusalReason.SERVICE_NOT_READY,
            NOT_READY_RETRY_S * self.rng.uniform(0.5, 1.5),
        )

    def _dispatch_plain(
        self, event: events.Arrival, service: fleets.Service
    ) -> actions.Action:
        names = list(self.topology.plain[service.name])
        rotation = self._round_robin(("plain", service.name))
        return actions.DispatchPlain(
            event.request_id, rotation.next_name(names)
        )

    def _dispatch(
        self, event: events.Arrival, service: fleets.Service
    ) -> actions.Action:
        target = self.topology.target_of(service)
        if target is None:
            return self._not_ready(event.request_id)
        all_layers = layers.LayerRange(
            0, self.topology.layer_count(target.model)
        )
        stages = self._stages(target, all_layers, avoid="")
        if not stages:
            return self._not_ready(event.request_id)
        chain = chains.Chain(
            target.model, target.version, target.adapter, stages
        )
        return actions.Dispatch(event.request_id, chain)

    def _replace(self, event: events.StageFailed) -> list[actions.Action]:
        failed = event.chain.stages[event.index]
        target = topology.Target(
            event.chain.model, event.chain.version, event.chain.adapter
        )
        stages = self._stages(target, failed.layers, avoid=failed.endpoint)
        if not stages:
            return [
                actions.Refuse(
                    event.request_id, actions.RefusalReason.NO_REPLACEMENT, None
                )
            ]
        return [actions.Replace(event.request_id, event.index, stages)]

    def _stages(
        self,
        target: topology.Target,
        needed: layers.LayerRange,
        avoid: str,
    ) -> tuple[chains.Stage, ...]:
        """Returns stages that cover ``needed``; empty if there are none.

        Each stage extends as far as any engine's range allows.
        """
        stages: list[chains.Stage] = []
        position = needed.start
        while position < needed.end:
            end, names = self._farthest(target, position, avoid)
            if not names:
                return ()
            end = min(end, needed.end)
            name = self._round_robin((target, position, end)).next_name(names)
            span = layers.LayerRange(position, end)
            stages.append(chains.Stage(name, span))
            position = end
        return tuple(stages)

    def _farthest(
        self, target: topology.Target, position: int, avoid: str
    ) -> tuple[int, list[str]]:
        """Returns the farthest end of the ranges that hold a layer.

        Also returns the engines whose range ends there.
        """
        farthest, names = position, list[str]()
        for span, holders in self.topology.ranges.get(target, {}).items():
            if not span.start <= position < span.end:
                continue
            usable = [name for name in holders if name != avoid]
            if not usable or span.end < farthest:
                continue
            names = usable if span.end > farthest else names + usable
            farthest = span.end
        return farthest, names

    def _round_robin(self, key: tuple[object, ...]) -> _RoundRobin:
        return self._round_robins.setdefault(key, _RoundRobin())


def create_baseline_router(rng: random.Random) -> router_interface.Router:
    """Returns the baseline router; ``rng`` only jitters Retry-After."""
    return BaselineRouter(rng)
