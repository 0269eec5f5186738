"""Small fleets and events for the policy tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from almondshift.model import endpoints
from almondshift.model import fleet
from almondshift.model import layers
from almondshift.policy import events

if TYPE_CHECKING:
    from almondshift.policy import router_interface

LAYERS = 8


def make_fleet(
    version: int = 1,
    model_version: int = 1,
    services: tuple[fleet.Service, ...] = (),
    accounts: tuple[fleet.Account, ...] = (),
) -> fleet.Fleet:
    chat = fleet.Service("chat", fleet.ServiceKind.MODEL, model="m")
    return fleet.Fleet(
        version=version,
        name="test",
        models={"m": fleet.Model("m", LAYERS, model_version)},
        services={service.name: service for service in (chat, *services)},
        endpoint_rules=(),
        links=(),
        accounts={account.name: account for account in accounts},
    )


def seen(
    name: str, zone: str = "z1", service: str = "", at: float = 0.0
) -> events.EndpointSeen:
    kind = (
        endpoints.EndpointKind.PLAIN
        if service
        else endpoints.EndpointKind.ENGINE
    )
    vm = endpoints.Vm(
        name, f"{name}:1", zone, kind, service, endpoints.VmState.LIVE
    )
    description = endpoints.EndpointDescription(
        name, f"{name}-1", "gpu", LAYERS, 0.002, 0.0001, 8, 64
    )
    return events.EndpointSeen(at, vm, None if service else description)


def reported(
    name: str,
    span: tuple[int, int],
    at: float = 0.0,
    *,
    version: int = 1,
    ready: bool = True,
    leaving: bool = False,
    sessions: int = 0,
    instance: str = "",
) -> events.LoadReported:
    holding = endpoints.Holding(
        "m", version, "", layers.LayerRange(*span), ready
    )
    report = endpoints.LoadReport(
        name,
        instance or f"{name}-1",
        endpoints.EndpointRole.SERVING,
        leaving,
        (holding,),
        sessions,
        0,
        1,
        0.0,
    )
    return events.LoadReported(at, report)


def arrival(
    request_id: str = "r1",
    service: str = "chat",
    at: float = 0.0,
    account: str = "a",
    deadline_s: float = 10.0,
    prompt_tokens: int = 16,
    max_tokens: int = 16,
    priority: fleet.Priority = fleet.Priority.NORMAL,
    prefixes: tuple[int, ...] = (),
) -> events.Arrival:
    return events.Arrival(
        at,
        request_id,
        account,
        service,
        priority,
        prompt_tokens,
        max_tokens,
        at + deadline_s,
        True,
        prefixes,
    )


def feed(router: router_interface.Router, *incoming: events.Event) -> None:
    for event in incoming:
        router.handle(event)
