from __future__ import annotations

import dataclasses
import random

import pytest

from almondshift.model import engine_specs
from almondshift.model import layers as model_layers
from almondshift.policy import layer_copies
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
    prefill_tokens_per_s=105_000.0,
    mean_prompt_tokens=774.0,
    mean_answer_tokens=200.0,
    slots=96,
    kinds={},
)
LARGE, MIDDLE, SMALL = 72_000.0, 43_200.0, 21_600.0
FACTORS = {LARGE: 2.4, MIDDLE: 5.6, SMALL: 16.0}
"""Step factors by memory; larger cards are faster, as published."""

ZONES = {
    "a": [LARGE] + [MIDDLE] * 3 + [SMALL] * 8,
    "b": [LARGE] + [MIDDLE] * 6 + [SMALL] * 5,
    "c": [LARGE] * 2 + [MIDDLE] * 2 + [SMALL] * 5,
}

LARGE_ZONES = {
    "a": [LARGE] * 2 + [MIDDLE] * 9 + [SMALL] * 22,
    "b": [LARGE] * 2 + [MIDDLE] * 15 + [SMALL] * 12,
    "c": [LARGE] * 4 + [MIDDLE] * 6 + [SMALL] * 14,
}
"""A fleet of many small, slow cards; each zone holds several chains."""


def _engine(
    instance: str, zone: str, memory: float
) -> layer_holdings.PlannedEngine:
    factor = FACTORS.get(memory, 1.0)
    return layer_holdings.PlannedEngine(
        instance, zone, memory, None, step_factor=factor
    )


def _fleet(
    zones: dict[str, list[float]] = ZONES,
) -> list[layer_holdings.PlannedEngine]:
    return [
        _engine(f"{zone}{index}", zone, memory)
        for zone, memories in zones.items()
        for index, memory in enumerate(memories)
    ]


def _after(
    fleet: list[layer_holdings.PlannedEngine],
    orders: list[layer_plan.LayerOrder],
) -> list[layer_holdings.PlannedEngine]:
    held = {order.instance: order.layers for order in orders}
    return [
        dataclasses.replace(e, held=held.get(e.instance, e.held)) for e in fleet
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


def _token_ms(fleet: list[layer_holdings.PlannedEngine], zone: str) -> float:
    """Returns the time of a token on a zone's fastest holders."""
    held = {e.instance: e.held for e in fleet}
    group = [e for e in fleet if e.zone == zone]
    factors = layer_copies.layer_factors(group, held, SPEC.layers)
    return sum(factors) * SPEC.step_ms / SPEC.layers


@pytest.mark.parametrize(
    ("zone", "token_ms", "least_copies"), [("a", 4.6, 2), ("b", 4.9, 2),
                                           ("c", 4.1, 1)]
)  # fmt: skip
def test_fast_cards_serve_and_slower_ones_hold_second_copies(
    zone: str, token_ms: float, least_copies: int
) -> None:
    """A stream that takes half as long is hit by half as many faults.

    In each zone the serving chain leaves a quarter of its memory for requests,
    and if there are enough other cards each layer is held twice. With one
    chain over all cards a token takes 9.9 ms in the first zone.
    """
    fleet = _fleet()
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    assert _fits(planned)
    assert _token_ms(planned, zone) < token_ms
    assert min(_copies(planned, zone)) >= least_copies
    for engine in planned:
        assert engine.held is not None
        if engine.memory_mb > SMALL:
            weights = engine.held.count * SPEC.layer_mb
            assert weights < 0.76 * engine.memory_mb


@pytest.mark.parametrize("zone", LARGE_ZONES)
def test_streams_of_a_large_fleet_use_its_fast_cards(zone: str) -> None:
    """Callers of long answers wait and are refused long after a fault.

    Engines of three chains die. If chains are spread evenly over all cards,
    most layers run on the slowest ones. The moved streams fill the other
    chains, all streams take longer and hold memory for longer, and new ones are
    refused and retried. The longest answers are affected first.
    """
    fleet = _fleet(LARGE_ZONES)
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    cards = LARGE_ZONES[zone]
    over_all = sum(FACTORS[card] * card for card in cards) / sum(cards)
    assert _token_ms(planned, zone) < over_all * SPEC.step_ms / 2
    assert min(_copies(planned, zone)) >= 2


def test_planned_fleet_gets_no_further_orders() -> None:
    fleet = _fleet()
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    assert layer_plan.plan_orders(planned, SPEC) == []


@pytest.mark.parametrize("lost", [f"a{index}" for index in range(12)])
def test_lost_engine_is_replaced_without_loading_layers(lost: str) -> None:
    """Streams would wait for layers to load, a sixth of a second for each.

    An engine dies in a zone that holds all layers twice. The others still hold
    all of them, and the plan gives no orders.
    """
    fleet = _fleet()
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    rest = [e for e in planned if e.instance != lost]
    assert min(_copies(rest, "a")) >= 1
    assert layer_plan.plan_orders(rest, SPEC) == []


@pytest.mark.parametrize("lost", range(9))
def test_standbys_fill_a_hole(lost: int) -> None:
    """Callers of a zone get no tokens while layers are missing there.

    An engine dies in a zone whose cards don't suffice for all second copies.
    Each standby loads a part of the missing layers, since the time of a load
    grows with its layers. Engines that serve streams keep their memory.
    """
    fleet = _fleet()
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    rest = [e for e in planned if e.instance != f"c{lost}"]
    orders = layer_plan.plan_orders(rest, SPEC)
    repaired = _after(rest, orders)
    assert _fits(repaired)
    assert min(_copies(repaired, "c")) >= 1
    assert len(orders) <= 3
    assert all(order.layers.count <= 5 for order in orders)
    assert {order.instance for order in orders} <= {
        f"c{i}" for i in range(4, 9)
    }


def test_mutual_standbys_do_not_both_give_up_their_layers() -> None:
    """Filling one hole would open another, for which callers wait.

    Two cards hold the same layers and a third holds others; one of the two
    alone could fill a part of the hole.
    """
    held = model_layers.LayerRange
    ranges = [(LARGE, 0, 34), (LARGE, 0, 34), (LARGE, 34, 60)]
    fleet = [
        dataclasses.replace(_engine(f"e{i}", "z", memory), held=held(lo, hi))
        for i, (memory, lo, hi) in enumerate(ranges)
    ]
    for _ in range(5):
        before = _copies(fleet, "z")
        fleet = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
        pairs = zip(before, _copies(fleet, "z"), strict=True)
        assert all(now or not was for was, now in pairs)


@pytest.mark.parametrize("index", range(12))
def test_returning_engine_restores_the_serving_chain(
    index: int,
) -> None:
    """Streams would stay on second copies that are three times as slow.

    An engine dies and comes back empty. It gets its former layers, since it
    saves most time there, or is most needed there as a second copy.
    """
    fleet = _fleet()
    planned = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    before = _token_ms(planned, "a")
    lost = planned[index]
    rest = [e for e in planned if e is not lost]
    rest = _after(rest, layer_plan.plan_orders(rest, SPEC))
    rest.append(dataclasses.replace(lost, instance="new", held=None))
    repaired = _after(rest, layer_plan.plan_orders(rest, SPEC))
    assert _token_ms(repaired, "a") <= before + 1e-9
    assert min(_copies(repaired, "a")) == 2


def test_standby_replaces_a_lost_fast_engine() -> None:
    """Streams would use a slow second copy permanently.

    A fast card is lost permanently, and only slow cards hold its layers. A
    faster standby takes them over, and gives up nothing that only it holds.
    """
    held = model_layers.LayerRange
    ranges = [(0, 17), (17, 34), (63, 80), (0, 17)]
    fleet = [
        dataclasses.replace(_engine(f"m{i}", "z", MIDDLE), held=held(*each))
        for i, each in enumerate(ranges)
    ]
    fleet += [
        dataclasses.replace(_engine(f"s{i}", "z", SMALL), held=held(*each))
        for i, each in enumerate([(34, 44), (44, 54), (54, 63)])
    ]
    slow = _token_ms(fleet, "z")
    for _ in range(4):
        fleet = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
        assert min(_copies(fleet, "z")) >= 1
    assert layer_plan.plan_orders(fleet, SPEC) == []
    assert _token_ms(fleet, "z") < 0.8 * slow


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
def test_unusual_fleets_raise_no_error(zones: dict[str, list[float]]) -> None:
    fleet = _fleet(zones)
    for _ in range(3):
        fleet = _after(fleet, layer_plan.plan_orders(fleet, SPEC))
        assert _fits(fleet)


@pytest.mark.parametrize("lost", range(4))
def test_hole_next_to_a_full_engine_is_filled_in_steps(lost: int) -> None:
    """All callers wait while no engine holds some layer.

    Four engines form a chain; one dies and its only neighbour, at the end of
    the chain, can't take all its layers. The next engine first takes layers of
    that neighbour, which then has room. No layer is given up before that.
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


def test_hole_that_no_engine_can_fill_raises_no_error() -> None:
    """One exception would stop the layer plan of all zones.

    The neighbours of a hole are busy with earlier orders and no engine is
    empty. The plan leaves the hole and continues with the other zones.
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
    """Engines that die, return empty and load layers instantly."""

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
        self.engines.append(_engine(f"new{self.serial}", zone, memory))

    def settle(self) -> int:
        """Carries out plans until there are no orders; returns their number."""
        for plans in range(30):
            orders = layer_plan.plan_orders(self.engines, SPEC)
            if not orders:
                return plans
            self.engines = _after(self.engines, orders)
            assert _fits(self.engines)
        raise AssertionError("the plan does not settle")


@pytest.mark.parametrize("seed", range(25))
def test_random_losses_and_returns_leave_complete_chains(
    seed: int,
) -> None:
    """Callers of a zone wait or are refused although its cards suffice.

    Engines die and return empty, one after another, in all zones. Repairs after
    each loss may leave a hole that no neighbour can fill, or one card full of
    layers that admits few requests. The plan must recover from that in a few
    steps, and then give no more orders.
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


def test_unbalanced_chain_is_rebalanced_without_losing_layers() -> None:
    """One small card full of layers limits the requests of its whole zone.

    It gives up layers only after others have loaded them.
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
    ("zone", "slow", "is_taken_over"),
    [
        ("c", ["c2"], True),
        ("c", ["c0", "c1", "c2"], False),
        ("a", ["a0", "a5"], True),
        ("a", ["a0", "a1", "a2"], True),
    ],
)
def test_layers_of_slow_engines_are_replaced_unless_too_many(
    zone: str, slow: list[str], is_taken_over: bool
) -> None:
    """A stage that is twelve times slower stalls its whole zone.

    Others hold its layers or load them, unless there are so many slow engines
    that the others could not hold all layers and still serve.
    """
    fleet = _fleet()
    planned = [
        dataclasses.replace(e, is_slow=e.instance in slow)
        for e in _after(fleet, layer_plan.plan_orders(fleet, SPEC))
    ]
    orders = layer_plan.plan_orders(planned, SPEC)
    repaired = _after(planned, orders)
    fast = [e for e in repaired if e.instance not in slow]
    assert (min(_copies(fast, zone)) >= 1) is is_taken_over


def _unanswered(
    engine: layer_holdings.PlannedEngine,
    certain_layers: model_layers.LayerRange | None,
) -> layer_holdings.PlannedEngine:
    return dataclasses.replace(
        engine, is_busy=True, is_unanswered=True, certain_layers=certain_layers
    )


@pytest.mark.parametrize(
    ("certain_layers", "missing"),
    [(None, range(27, 54)), ((27, 40), range(40, 54)), ((27, 54), range(0))],
)
def test_layers_an_engine_may_not_hold_are_assigned_to_others(
    certain_layers: tuple[int, int] | None, missing: range
) -> None:
    """A zone would refuse its callers until the engine answers its order.

    Layers that it holds in either case are not loaded again.
    """
    held = [(0, 27), (27, 54), (54, 80), (0, 27), (54, 80)]
    chain = [
        dataclasses.replace(
            _engine(f"a{index}", "a", LARGE), held=model_layers.LayerRange(*h)
        )
        for index, h in enumerate(held)
    ]
    known = model_layers.LayerRange(*certain_layers) if certain_layers else None
    chain[1] = _unanswered(chain[1], known)
    orders = layer_plan.plan_orders(chain, SPEC)
    assert "a1" not in {order.instance for order in orders}
    ordered = {
        layer
        for order in orders
        for layer in range(order.layers.start, order.layers.end)
    }
    assert set(missing) <= ordered
    assert bool(orders) is bool(missing)


def test_order_in_progress_prevents_rebalancing() -> None:
    """A lost answer would make a chain reload layers that it holds.

    No other engine can fill the hole that the order is for. A chain that lacks
    layers is rebalanced, but not while its order may be in progress.
    """
    held = [(0, 20), (20, 26), (26, 60), (60, 80)]
    chain = [
        dataclasses.replace(
            _engine(f"a{index}", "a", LARGE), held=model_layers.LayerRange(*h)
        )
        for index, h in enumerate(held)
    ]
    chain[3] = _unanswered(chain[3], None)
    orders = layer_plan.plan_orders(chain, SPEC)
    moved = {o.instance: o.layers for o in orders}
    for engine in chain[:3]:
        assert engine.held is not None
        assert moved.get(engine.instance, engine.held).covers(engine.held)
