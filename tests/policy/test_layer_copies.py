"""Which layers an empty engine or a standby should hold."""

from __future__ import annotations

import dataclasses
import random

import pytest

from almondshift.model import layers as model_layers
from almondshift.policy import layer_copies
from almondshift.policy import layer_holdings
from tests.policy import test_layer_plan as fleets


def _held(
    name: str, memory: float, start: int, end: int
) -> layer_holdings.PlannedEngine:
    engine = fleets._engine(name, "z", memory)
    return dataclasses.replace(engine, held=model_layers.LayerRange(start, end))


@pytest.mark.parametrize(
    ("values", "most", "expected"),
    [
        ([0.0, 1.0, 1.0, 0.0], 2, (1, 3)),
        ([1.0, 0.0, 0.0, 1.0], 2, (0, 2)),
        ([0.0, 0.0, 0.0, 5.0], 2, (2, 4)),
        ([1.0, 1.0], 9, (0, 2)),
        ([3.0], 1, (0, 1)),
    ],
)
def test_best_range_has_the_greatest_sum(
    values: list[float], most: int, expected: tuple[int, int]
) -> None:
    found = layer_copies.best_range(values, most)
    assert (found.start, found.end) == expected


@pytest.mark.parametrize("seed", range(40))
def test_holders_without_an_engine_match_those_of_the_others(
    seed: int,
) -> None:
    """If they did not match, the only holder of a layer might give it up."""
    rng = random.Random(seed)
    group = []
    for index in range(rng.randint(1, 8)):
        start = rng.randrange(80)
        end = rng.randint(start + 1, 90)
        memory = rng.choice([fleets.LARGE, fleets.MIDDLE, fleets.SMALL])
        group.append(_held(f"e{index}", memory, start, end))
    held = {e.instance: e.held for e in group}
    holders = layer_copies.layer_holders(group, held, 80)
    for engine in group:
        assert engine.held is not None
        others = [e for e in group if e is not engine]
        left = holders.without(engine, engine.held)
        expected = layer_copies.layer_holders(others, held, 80)
        assert left.fastest == expected.fastest
        assert left.copies == expected.copies
        assert left.holder_layer_totals == expected.holder_layer_totals
        assert max(left.slowest, default=0.0) == max(
            expected.slowest, default=0.0
        )


def test_fast_engine_is_placed_where_only_slow_ones_hold_layers() -> None:
    """Layers that only slow engines hold delay all streams all the time."""
    group = [
        _held("fast", fleets.LARGE, 0, 30),
        *(_held(f"slow{i}", fleets.SMALL, 30 + 10 * i, 40 + 10 * i)
          for i in range(5)),
    ]  # fmt: skip
    held = {e.instance: e.held for e in group}
    new = fleets._engine("new", "z", fleets.MIDDLE)
    found = layer_copies.place_empty(group, held, new, fleets.SPEC)
    assert found is not None
    assert found.start >= 30 and found.count == 17


def test_slow_engine_copies_layers_of_the_largest_sole_holder() -> None:
    """If the sole holder of most layers is lost, callers wait longest."""
    group = [
        _held("large", fleets.LARGE, 0, 34),
        *(_held(f"small{i}", fleets.MIDDLE, 34 + 12 * i, min(80, 46 + 12 * i))
          for i in range(4)),
    ]  # fmt: skip
    held = {e.instance: e.held for e in group}
    new = fleets._engine("new", "z", fleets.SMALL)
    found = layer_copies.place_empty(group, held, new, fleets.SPEC)
    assert found is not None
    assert found.end <= 34 and found.count == 10
