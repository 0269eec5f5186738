from __future__ import annotations

import dataclasses
import random

import pytest

from almondshift.model import engine_specs
from almondshift.model import layers as model_layers
from almondshift.policy import layer_holdings
from almondshift.policy import layer_plan

SPEC = engine_specs.EngineSpec(
    layers=80,
    layer_mb=1750.0,
    token_bytes=1_836_000.0,
    load_s=14.0,
    step_ms=1.02,
    step_ms_per_request=0.014,
    step_ms_per_kilotoken=0.019,
    read_tokens_per_s=105_000.0,
    usual_prompt=774.0,
    usual_answer=200.0,
    slots=96,
    kinds={},
)
LARGE, MIDDLE, SMALL = 72_000.0, 43_200.0, 21_600.0
ZONES = {
    "a": [LARGE] + [MIDDLE] * 3 + [SMALL] * 8,
    "b": [LARGE] + [MIDDLE] * 6 + [SMALL] * 5,
    "c": [LARGE] * 2 + [MIDDLE] * 2 + [SMALL] * 5,
}


def _fleet(
    zones: dict[str, list[float]] = ZONES,
) -> list[layer_holdings.PlannedEngine]:
    return [
        layer_holdings.PlannedEngine(f"{zone}{index}", zone, memory, None)
        for zone, memories in zones.items()
        for index, memory in enumerate(memories)
    ]


def _after(
    fleet: list[layer_holdings.PlannedEngine],
    orders: list[layer_plan.LayerOrder],
) -> list[layer_holdings.PlannedEngine]:
    held = {order.instance: order.layers for order in orders}
    return [
        layer_holdings.PlannedEngine(
            e.instance, e.zone, e.memory_mb, held.get(e.instance, e.held)
        )
        for e in fleet
    ]


def _copies(fleet: list[layer_holdings.PlannedEngine], zone: str) -> list[int]:
    counts = [0] * SPEC.layers
    for engine in fleet:
        if engine.zone == zone and engine.held is not None:
            for layer in range(engine.held.start, engine.held.end):
                counts[layer] += 1
    return counts


def _fits(fleet: list[layer_holdings.PlannedEngine]) -> bool:
    return all(
        e.held is None or e.held.count * SPEC.layer_mb <= e.memory_mb
        for e in fleet
    )


def test_an_empty_fleet_gets_one_chain_a_zone_with_room_for_requests() -> None:
    fleet = _fleet()
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    assert _fits(planned)
    for zone in ZONES:
        assert _copies(planned, zone) == [1] * SPEC.layers
    for engine in planned:
        assert engine.held is not None
        assert engine.held.count * SPEC.layer_mb < 0.5 * engine.memory_mb


def test_a_settled_fleet_gets_no_orders() -> None:
    fleet = _fleet()
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    assert layer_plan.plan_orders(planned, SPEC) == []


@pytest.mark.parametrize("lost", [f"a{index}" for index in range(12)])
def test_neighbours_take_over_what_a_dead_engine_held(lost: str) -> None:
    """Callers of one zone get no tokens while layers are missing there.

    An engine dies; the plan is asked with the others. Its neighbours hold
    the missing layers besides their own, each a part, since a load takes
    as long as its share of the layers.
    """
    fleet = _fleet()
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    gone = next(e for e in planned if e.instance == lost)
    assert gone.held is not None
    rest = [e for e in planned if e.instance != lost]
    orders = layer_plan.plan_orders(rest, SPEC)
    mended = _after(rest, orders)
    assert _fits(mended)
    assert min(_copies(mended, "a")) == 1
    assert 1 <= len(orders) <= 2


@pytest.mark.parametrize("index", range(12))
def test_an_engine_that_came_back_empty_gets_layers(index: int) -> None:
    fleet = _fleet()
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    planned[index] = layer_holdings.PlannedEngine(
        "new", "a", planned[index].memory_mb, None
    )
    mended = _after(planned, layer_plan.plan_orders(planned, SPEC))
    assert _fits(mended)
    assert min(_copies(mended, "a")) >= 1
    assert all(e.held is not None for e in mended)


@pytest.mark.parametrize(
    "zones",
    [
        {"a": [SMALL]},
        {"a": [SMALL] * 3, "b": [SMALL] * 3, "c": [SMALL] * 4},
        {"a": [SMALL], "b": [LARGE] * 4},
        {"a": [1000.0] * 3},
        {"a": []},
    ],
)
def test_odd_fleets_bring_no_fault(zones: dict[str, list[float]]) -> None:
    fleet = _fleet(zones)
    for _ in range(3):
        fleet = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
        assert _fits(fleet)


@pytest.mark.parametrize("lost", range(4))
def test_a_hole_with_a_full_neighbour_is_filled_in_steps(lost: int) -> None:
    """All callers wait while a layer is held nowhere.

    Four engines hold a chain; one dies and its only neighbour, at the end of
    the chain, can't take all. The next engine takes over layers of that
    neighbour, which then has room: no layer is given up before.
    """
    fleet = _fleet({"a": [LARGE] * 4})
    fleet = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    del fleet[lost]
    for _ in range(6):
        before = _copies(fleet, "a")
        fleet = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
        assert _fits(fleet)
        after = _copies(fleet, "a")
        pairs = zip(before, after, strict=True)
        assert all(now or not was for was, now in pairs)
    assert min(_copies(fleet, "a")) == 1
    assert layer_plan.plan_orders(fleet, SPEC) == []


def test_a_hole_that_nobody_can_take_brings_no_fault() -> None:
    """Callers of all zones would lose placing for good by one exception.

    The neighbours of a hole are busy with former orders and no engine is
    empty. The plan leaves the hole and goes on with the other zones.
    """
    held = model_layers.LayerRange
    fleet = [
        layer_holdings.PlannedEngine(
            "a", "z", LARGE, held(0, 30), is_busy=True
        ),
        layer_holdings.PlannedEngine(
            "b", "z", LARGE, held(50, 80), is_busy=True
        ),
        layer_holdings.PlannedEngine("c", "z", LARGE, held(0, 34)),
    ]
    assert layer_plan.plan_orders(fleet, SPEC) == []


@pytest.mark.parametrize(
    ("weights", "limits", "total", "expected"),
    [
        ([1.0, 1.0], [9, 9], 4, [2, 2]),
        ([3.0, 1.0], [9, 9], 4, [3, 1]),
        ([1.0, 1.0], [1, 9], 4, [1, 3]),
        ([1.0], [2], 4, [2]),
        ([], [], 4, []),
    ],
)
def test_proportional_counts(
    weights: list[float], limits: list[int], total: int, expected: list[int]
) -> None:
    assert (
        layer_holdings.proportional_counts(weights, limits, total) == expected
    )


class Fleet:
    """Engines that die, come back empty and load at once."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.engines = _fleet()
        self.serial = 0

    def kill(self) -> None:
        index = self.rng.randrange(len(self.engines))
        self.engines.pop(index)

    def add(self) -> None:
        self.serial += 1
        zone = self.rng.choice("abc")
        memory = self.rng.choice([LARGE, MIDDLE, SMALL, SMALL])
        self.engines.append(
            layer_holdings.PlannedEngine(
                f"new{self.serial}", zone, memory, None
            )
        )

    def settle(self) -> int:
        """Carries out plans until there are no orders; returns how many."""
        for rounds in range(30):
            orders = layer_plan.plan_orders(self.engines, SPEC)
            if not orders:
                return rounds
            self.engines = _after(self.engines, orders)
            assert _fits(self.engines)
        raise AssertionError("the plan does not settle")


@pytest.mark.parametrize("seed", range(25))
def test_losses_and_returns_in_any_order_leave_whole_even_chains(
    seed: int,
) -> None:
    """Callers of a zone wait or are refused though its cards would do.

    Engines die and come empty, one after another, in all zones. What each
    loss mends by itself may leave a hole with no neighbour to fill it, or
    one card full of layers that lets few requests in; the plan has to come
    back from there, in few steps and to an end.
    """
    fleet = Fleet(random.Random(seed))
    fleet.settle()
    for _ in range(20):
        if fleet.rng.random() < 0.5 and len(fleet.engines) > 27:
            fleet.kill()
        else:
            fleet.add()
        assert fleet.settle() <= 12
        for zone in "abc":
            group = [e for e in fleet.engines if e.zone == zone]
            memory = sum(e.memory_mb for e in group)
            if memory * 0.8 < SPEC.layers * SPEC.layer_mb:
                continue
            assert min(_copies(group, zone)) >= 1


def test_an_uneven_chain_is_spread_anew_without_giving_layers_up() -> None:
    """One small card full of layers lets in few requests for its whole zone.

    The others take layers of it first, and it gives them up only then.
    """
    held = model_layers.LayerRange
    engines = [
        layer_holdings.PlannedEngine("a", "z", SMALL, held(0, 12)),
        layer_holdings.PlannedEngine("b", "z", LARGE, held(12, 30)),
        layer_holdings.PlannedEngine("c", "z", LARGE, held(30, 50)),
        layer_holdings.PlannedEngine("d", "z", LARGE, held(50, 70)),
        layer_holdings.PlannedEngine("e", "z", SMALL, held(70, 80)),
    ]
    for _ in range(6):
        orders = layer_plan.plan_orders(engines, SPEC)
        engines = _after(engines, orders)
        assert min(_copies(engines, "z")) >= 1
    assert not orders
    first = engines[0].held
    assert first is not None and first.count <= 8


@pytest.mark.parametrize(
    ("slow", "is_taken_over"), [(["a5"], True), (["a0", "a1", "a2"], False)]
)
def test_layers_of_slow_engines_are_taken_over_unless_they_are_many(
    slow: list[str], is_taken_over: bool
) -> None:
    """A stage that is twelve times slower stops its whole zone."""
    fleet = _fleet()
    planned = [
        dataclasses.replace(e, is_slow=e.instance in slow)
        for e in _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    ]
    orders = layer_plan.plan_orders(planned, SPEC)
    assert bool(orders) is is_taken_over
    mended = _after(planned, orders)
    quick = [e for e in mended if e.instance not in slow]
    assert (min(_copies(quick, "a")) >= 1) is is_taken_over
