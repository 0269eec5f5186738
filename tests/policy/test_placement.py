from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import pytest

from almondshift.model import endpoints
from almondshift.model import fleet
from almondshift.model import layers
from almondshift.policy import engine_rates
from almondshift.policy import flow
from almondshift.policy import placement
from almondshift.policy import topology

if TYPE_CHECKING:
    from collections.abc import Sequence

LAYERS = 8
BIG = 1 << 40


class _Engines:
    """Simulated engines that execute their orders."""

    def __init__(self, capacities: list[int]) -> None:
        self.descriptions = {
            f"e{i}": endpoints.EndpointDescription(
                f"e{i}", f"e{i}-1", f"cap{c}", c, 0.004, 0.0005, 8, 64
            )
            for i, c in enumerate(capacities)
        }
        self.holdings: dict[str, tuple[endpoints.Holding, ...]] = {
            name: () for name in self.descriptions
        }
        self.roles = dict.fromkeys(
            self.descriptions, endpoints.EndpointRole.IDLE
        )
        self.sessions = dict.fromkeys(self.descriptions, 0)

    def placed(self) -> list[placement.PlacedEngine]:
        return [
            placement.PlacedEngine(
                description,
                endpoints.LoadReport(
                    name,
                    description.instance,
                    self.roles[name],
                    False,
                    self.holdings[name],
                    self.sessions[name],
                    0,
                    1,
                    0.0,
                ),
            )
            for name, description in self.descriptions.items()
        ]

    def apply(self, plan: placement.Plan, *, ready: bool = True) -> None:
        for planned in plan.orders:
            name, order = planned.endpoint, planned.order
            self.roles[name] = order.role
            holding = endpoints.Holding(
                order.model, order.version, order.adapter, order.layers, ready
            )
            if order.role is endpoints.EndpointRole.DRAINING:
                continue
            kept = [
                held
                for held in self.holdings[name]
                if held.version != order.version
                and held.layers.count + order.layers.count
                <= self.descriptions[name].layer_capacity
            ]
            self.holdings[name] = (*kept, holding)

    def finish_loading(self) -> None:
        for name, held in self.holdings.items():
            self.holdings[name] = tuple(
                dataclasses.replace(h, ready=True) for h in held
            )

    def has_complete_chain(
        self,
        version: int,
        model: str = "m",
        layer_count: int = LAYERS,
        adapter: str = "",
    ) -> bool:
        spans = [
            held.layers
            for name, holdings in self.holdings.items()
            if self.roles[name] is not endpoints.EndpointRole.DRAINING
            for held in holdings
            if held.ready
            and (held.model, held.version) == (model, version)
            and held.adapter == adapter
        ]
        return topology.covers_all(spans, layer_count)

    def bound(self, model: str = "m") -> float:
        return flow.bound_tokens_per_s(
            [
                flow.FlowEngine(self.descriptions[name], held.layers)
                for name, holdings in self.holdings.items()
                for held in holdings
                if held.model == model
            ],
            LAYERS,
        )


def _fleet(
    version: int = 1,
    models: tuple[str, ...] = ("m",),
    adapters: Sequence[str] = ("",),
) -> fleet.Fleet:
    return fleet.Fleet(
        version=1,
        name="test",
        models={
            name: fleet.Model(name, LAYERS, version, layer_bytes=1)
            for name in models
        },
        services={
            f"on-{name}{adapter}": fleet.Service(
                f"on-{name}{adapter}",
                fleet.ServiceKind.MODEL,
                model=name,
                adapter=adapter,
            )
            for name in models
            for adapter in adapters
        },
        endpoint_rules=(),
        links=(),
        accounts={},
    )


@pytest.mark.parametrize(
    ("capacities", "share"),
    [
        ([4, 4], 0.99),
        ([8], 0.99),
        ([4, 4, 4, 4], 0.99),
        ([8, 4, 4], 0.9),
        # Two of three hold three layers: 500 of 562.5 is the maximum.
        ([3, 3, 3], 0.88),
        ([8, 6, 6, 4, 4, 3], 0.7),
        ([6, 6, 6, 3, 3, 3, 2, 2], 0.7),
    ],
)
def test_mixed_engines_come_close_to_their_maximum_throughput(
    capacities: list[int], share: float
) -> None:
    engines = _Engines(capacities)
    engines.apply(placement.plan(_fleet(), engines.placed()))
    # Upper bound of any placement: the layers that all engines process per
    # second, with as many layers as they can hold, divided by the layers of
    # the model.
    work = sum(
        engine_rates.tokens_per_s(d, min(d.layer_capacity, LAYERS))
        * min(d.layer_capacity, LAYERS)
        for d in engines.descriptions.values()
    )
    assert engines.has_complete_chain(1)
    assert engines.bound() >= share * work / LAYERS


def test_a_settled_fleet_gets_no_orders() -> None:
    engines = _Engines([8, 4, 4, 3, 3, 2])
    engines.apply(placement.plan(_fleet(), engines.placed()))
    settled = placement.plan(_fleet(), engines.placed())
    moved = 0
    while settled.orders and moved < 6:
        moved += len(settled.orders)
        engines.apply(settled)
        settled = placement.plan(_fleet(), engines.placed())
    assert moved <= 1
    assert settled.orders == ()


def test_a_new_engine_is_used_and_the_others_stay() -> None:
    engines = _Engines([4, 4, 4, 4, 4])
    joined = engines.placed()[-1]
    first = engines.placed()[:-1]
    engines.apply(placement.plan(_fleet(), first))
    plan = placement.plan(_fleet(), engines.placed())
    assert [order.endpoint for order in plan.orders] == [joined.name]


def test_a_lost_layer_range_is_covered_again() -> None:
    engines = _Engines([4, 4, 4, 4, 4])
    engines.apply(placement.plan(_fleet(), engines.placed()))
    spans = {n: h[0].layers for n, h in engines.holdings.items()}
    upper = [n for n, span in spans.items() if span.start == 4]
    placed = [e for e in engines.placed() if e.name not in upper]
    plan = placement.plan(_fleet(), placed)
    (planned,) = plan.orders
    assert planned.order.layers == layers.LayerRange(4, 8)


@pytest.mark.parametrize(
    ("capacities", "adapters", "lost"),
    [
        ([4, 3, 3, 3], [""], "e0"),
        ([5, 3, 2, 2], [""], "e1"),
        ([8, 5, 5, 3], ["", "x"], "e1"),
        ([8, 7, 4, 3, 3], ["", "x"], "e1"),
        ([8, 6, 5, 2, 2], ["", "x"], "e1"),
    ],
)
@pytest.mark.parametrize("sessions", [0, 1])
def test_several_engines_share_the_layers_of_a_lost_one(
    capacities: list[int], adapters: list[str], lost: str, sessions: int
) -> None:
    """Guards against layers that stay lost since no engine has room for all."""
    engines = _Engines(capacities)
    planned = _fleet(adapters=adapters)
    _settle(engines, planned)
    del engines.descriptions[lost], engines.holdings[lost]
    engines.sessions = dict.fromkeys(engines.descriptions, sessions)
    _settle(engines, planned)
    for adapter in adapters:
        assert engines.has_complete_chain(1, adapter=adapter)


@pytest.mark.parametrize(
    "capacities",
    [[8, 8, 8, 8, 8], [8, 6, 6, 6, 4], [7, 6, 6, 4, 3], [8, 5, 5, 5, 5]],
)
def test_an_engine_is_not_moved_back_and_forth(capacities: list[int]) -> None:
    """Guards against endless loads where two workloads swap their coverage."""
    engines = _Engines(capacities)
    planned = _fleet(adapters=["", "x"])
    _settle(engines, planned)
    assert placement.plan(planned, engines.placed()).orders == ()


def _settle(engines: _Engines, planned: fleet.Fleet) -> None:
    """Plans until no order is given; sessions end on draining engines."""
    for _ in range(10):
        plan = placement.plan(planned, engines.placed())
        if not plan.orders:
            return
        engines.apply(plan)
        for name, role in engines.roles.items():
            if role is endpoints.EndpointRole.DRAINING:
                engines.sessions[name] = 0
    raise AssertionError(f"orders after ten plans: {plan.orders}")


def test_two_models_share_engines() -> None:
    engines = _Engines([4] * 8)
    models = _fleet(models=("m", "k"))
    engines.apply(placement.plan(models, engines.placed()))
    assert engines.bound("m") == pytest.approx(engines.bound("k"))


def test_loads_in_flight_are_bounded() -> None:
    engines = _Engines([4] * 8)
    plan = placement.plan(_fleet(), engines.placed(), loading_bytes=8)
    assert len(plan.orders) == 2
    engines.apply(plan, ready=False)
    again = placement.plan(_fleet(), engines.placed(), loading_bytes=8)
    assert again.orders == ()


def test_services_with_unready_dependencies_come_last() -> None:
    engines = _Engines([8])
    models = _fleet(models=("a", "b"))
    waiting = dataclasses.replace(models.services["on-a"], depends_on=("on-b",))
    models.services["on-a"] = waiting
    (planned,) = placement.plan(models, engines.placed()).orders
    assert planned.order.model == "b"


@pytest.mark.parametrize(
    "capacities", [[4, 4, 4, 4], [4, 4, 4, 4, 4, 4], [8, 8], [4, 4, 8], [16]]
)
def test_a_version_change_always_keeps_a_complete_chain(
    capacities: list[int],
) -> None:
    """All requests can be served during the rollout of a version.

    Engines drain, load and become ready one after another. At each point
    either the old or the new version has a complete chain that accepts new
    requests. In the end the new version has a complete chain and no orders
    remain.
    """
    engines = _Engines(capacities)
    engines.apply(placement.plan(_fleet(), engines.placed()))
    for _ in range(20):
        plan = placement.plan(_fleet(version=2), engines.placed())
        engines.apply(plan, ready=False)
        assert engines.has_complete_chain(1) or engines.has_complete_chain(2)
        engines.finish_loading()
        assert engines.has_complete_chain(1) or engines.has_complete_chain(2)
    assert engines.has_complete_chain(2)
    final = placement.plan(_fleet(version=2), engines.placed())
    assert final.orders == ()


def test_an_engine_with_sessions_is_drained_before_it_is_reloaded() -> None:
    engines = _Engines([4, 4, 4, 4])
    engines.apply(placement.plan(_fleet(), engines.placed()))
    engines.sessions = dict.fromkeys(engines.sessions, 3)
    for _ in range(3):
        plan = placement.plan(_fleet(version=2), engines.placed())
        roles = {planned.order.role for planned in plan.orders}
        assert roles <= {endpoints.EndpointRole.DRAINING}
        engines.apply(plan)
    draining = [
        name
        for name, role in engines.roles.items()
        if role is endpoints.EndpointRole.DRAINING
    ]
    assert len(draining) == 2


@pytest.mark.parametrize(
    "busy", [(), ("e0", "e3"), ("e1", "e2"), ("e0", "e2"), ("e1", "e3")]
)
def test_a_version_change_begins_whichever_engines_are_idle(
    busy: tuple[str, ...],
) -> None:
    """Guards against a rollout that waits until other engines are idle.

    Layers 0-6 and 8-12 of the idle engines leave 6-8 to engines of which the
    old version needs the last one.
    """
    spans = {"e0": (0, 8), "e1": (0, 6), "e2": (6, 12), "e3": (8, 12)}
    engines = _engines_holding(spans, dict.fromkeys(spans, 1))
    engines.sessions.update(dict.fromkeys(busy, 3))
    changed = _fleet(version=2)
    changed.models["m"] = dataclasses.replace(changed.models["m"], layers=12)
    plan = placement.plan(changed, engines.placed())
    assert plan.notes == ()
    drained = {planned.endpoint for planned in plan.orders}
    assert drained in ({"e0", "e3"}, {"e1", "e2"})


@pytest.mark.parametrize(
    ("in_use", "busy", "reloaded"),
    [
        ({("m", 2)}, (), {"old0", "old1", "old2", "old3"}),
        ({("m", 1)}, (), {"old0", "old1"}),
        ({("m", 1), ("m", 2)}, ("old0",), {"old1", "old2"}),
        ({("m", 1)}, ("old0", "old1"), {"old2", "old3"}),
        ({("other", 1)}, (), {"old0", "old1", "old2", "old3"}),
    ],
)
def test_engines_of_a_version_in_use_are_kept(
    in_use: set[tuple[str, int]], busy: tuple[str, ...], reloaded: set[str]
) -> None:
    """Guards against begun requests whose last idle engines are reloaded.

    A request whose stage failed has no session for it on any engine.
    """
    spans = {"old0": (0, 4), "old1": (4, 8), "old2": (0, 4), "old3": (4, 8)}
    versions = {**dict.fromkeys(spans, 1), "new0": 2, "new1": 2}
    spans |= {"new0": (0, 4), "new1": (4, 8)}
    engines = _engines_holding(spans, versions)
    for name in busy:
        engines.sessions[name] = 1
    plan = placement.plan(_fleet(version=2), engines.placed(), in_use=in_use)
    assert {planned.endpoint for planned in plan.orders} == reloaded


def _engines_holding(
    spans: dict[str, tuple[int, int]], versions: dict[str, int]
) -> _Engines:
    """Returns serving engines, each with one range of one version."""
    engines = _Engines([])
    for name, span in spans.items():
        held = endpoints.Holding(
            "m", versions[name], "", layers.LayerRange(*span), True
        )
        count = held.layers.count
        engines.descriptions[name] = endpoints.EndpointDescription(
            name, f"{name}-1", f"cap{count}", count, 0.004, 0.0005, 8, 64
        )
        engines.holdings[name] = (held,)
        engines.roles[name] = endpoints.EndpointRole.SERVING
        engines.sessions[name] = 0
    return engines


@pytest.mark.parametrize(
    "spans",
    [
        {"e0": (0, 6), "e1": (6, 12), "e2": (0, 6), "e3": (6, 10)},
        {"e0": (0, 6), "e1": (6, 12), "e2": (4, 10), "e3": (8, 12)},
        {"e0": (0, 12), "e1": (0, 4), "e2": (0, 4), "e3": (0, 4)},
    ],
)
@pytest.mark.parametrize("first", [0, 1, 2, 3])
def test_a_version_change_moves_ranges_if_they_form_no_second_chain(
    spans: dict[str, tuple[int, int]], first: int
) -> None:
    """Guards against a rollout that never starts, for want of one range.

    The engines' capacities suffice for two chains, their present ranges don't.
    Drained engines become empty one after another.
    """
    engines = _engines_holding(spans, dict.fromkeys(spans, 1))
    capacities = {"e2": 8} if spans["e0"] == (0, 6) else {}
    for name, capacity in capacities.items():
        engines.descriptions[name] = dataclasses.replace(
            engines.descriptions[name], layer_capacity=capacity
        )
    changed = _fleet(version=2)
    changed.models["m"] = dataclasses.replace(changed.models["m"], layers=12)
    names = sorted(spans)
    for step in range(10):
        last_busy = names[(first + step) % 4]
        engines.sessions = {n: int(n == last_busy) for n in names}
        engines.apply(placement.plan(changed, engines.placed()))
        assert any(
            engines.has_complete_chain(version, layer_count=12)
            for version in (1, 2)
        )
    assert {h.version for held in engines.holdings.values() for h in held} == {
        2
    }


@pytest.mark.parametrize(
    ("in_use", "drained"),
    [
        ({("m", 1), ("m", 2)}, set()),
        ({("m", 2)}, {"e0", "e3"}),
        (set(), {"e0", "e3"}),
    ],
)
def test_a_second_change_keeps_the_chain_that_new_requests_use(
    in_use: set[tuple[str, int]], drained: set[str]
) -> None:
    """Guards against old engines of two versions that are taken for a chain.

    Version 3 is configured while requests of version 1 are still running.
    """
    spans = {"e0": (0, 4), "e1": (4, 8), "e2": (0, 4), "e3": (4, 8)}
    engines = _engines_holding(spans, {"e0": 1, "e1": 2, "e2": 2, "e3": 1})
    plan = placement.plan(_fleet(version=3), engines.placed(), in_use=in_use)
    assert {planned.endpoint for planned in plan.orders} == drained
    assert {planned.order.role for planned in plan.orders} <= {
        endpoints.EndpointRole.DRAINING
    }


def test_a_version_change_that_needs_downtime_is_not_ordered() -> None:
    engines = _Engines([4, 4])
    engines.apply(placement.plan(_fleet(), engines.placed()))
    plan = placement.plan(_fleet(version=2), engines.placed())
    assert plan.orders == ()
    assert "can't be loaded beside" in plan.notes[0]
