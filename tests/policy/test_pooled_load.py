"""Estimates of the fleet's load from a few requests of each of many nodes."""

from __future__ import annotations

import random

import pytest

from almondshift.policy import engine_tracker
from almondshift.policy import path_choice
from almondshift.policy import pooled_load
from tests.policy import test_path_choice as fleets

NODES = 76


def test_shares_depend_on_the_copies_of_each_layer() -> None:
    holdings = [
        pooled_load.Holding("a", 0, 4),
        pooled_load.Holding("b", 0, 8),
        pooled_load.Holding("c", 4, 8),
    ]
    shares = pooled_load.engine_shares(holdings, 8)
    assert shares["a"] == pooled_load.EngineShare(0.5, 0.5)
    assert shares["b"] == pooled_load.EngineShare(0.5, 0.5)
    assert shares["c"] == pooled_load.EngineShare(0.5, 0.0)


def test_fast_engines_get_a_larger_share() -> None:
    """With equal shares, fast engines would seem empty and be overfilled.

    Load: five copies of the layers, two on cards that are seven times as fast.
    """
    holdings = [
        pooled_load.Holding(f"f{i}", 0, 8, speed=0.42) for i in range(2)
    ]
    holdings += [
        pooled_load.Holding(f"s{i}", 0, 8, speed=0.06) for i in range(3)
    ]
    shares = pooled_load.engine_shares(holdings, 8)
    assert shares["f0"].running == pytest.approx(0.412, abs=0.001)
    assert shares["s0"].first == pytest.approx(0.059, abs=0.001)
    assert sum(s.running for s in shares.values()) == pytest.approx(1.0)


@pytest.mark.parametrize(("nodes", "factor"), [(1, 1.0), (16, 1.0), (80, 5.0)])
def test_query_rate_does_not_grow_with_the_group(
    nodes: int, factor: float
) -> None:
    assert pooled_load.query_interval_factor(nodes) == factor


@pytest.mark.parametrize(
    ("nodes", "found"), [(7, 21.0), (16, 48.0), (76, 3.0 + 6 * 0.5 * 75)]
)
def test_small_groups_count_engine_by_engine(nodes: int, found: float) -> None:
    assert pooled_load.fleet_total(3.0, 6.0, 0.5, nodes) == found


@pytest.mark.parametrize(
    ("nodes", "sent", "soon"),
    [(8, 3, 24.0), (73, 0, 1.0 + 72 * 0.5), (73, 2, 2.0 + 72 * 1.5)],
    ids=["few nodes", "nothing sent", "two sent"],
)
def test_next_requests_of_all_nodes_are_counted(
    nodes: int, sent: int, soon: float
) -> None:
    """All nodes choose at the same moment, and none sees the others' choices.

    Load: two equal engines; half of a node's requests went to the first.
    """
    tracker = engine_tracker.EngineTracker()
    for number in range(sent):
        here = "a" if number % 2 == 0 or nodes == 8 else "b"
        tracker.add((engine_tracker.UsedPart(here, 4),), 100.0)
    shares = dict.fromkeys("ab", pooled_load.EngineShare(0.5, 0.5))
    load = pooled_load.FleetLoad(
        tracker, shares, 4, nodes, pooled_load.MeanRequests(), 0.0
    )
    assert load.first_requests_if_all_nodes_add_one("a") == soon


def test_few_requests_of_many_nodes_are_not_refused() -> None:
    """Load: 76 nodes with 3 requests each, on three chains of four engines.

    An engine has room for 82 requests, and 96 slots as the first engine; 228
    requests are 76 on each chain. Counted engine by engine, a node with three
    on one chain would assume 228 there, and refuse requests that fit.
    """
    refused = 0
    for seed in range(40):
        chooser = path_choice.create_path_chooser(
            engine_tracker.EngineTracker(), random.Random(seed)
        )
        chooser.nodes = NODES
        for number in range(4):
            chosen = chooser.choose(fleets._view(), fleets.TOKENS, 0.3 * number)
            if chosen is None:
                refused += 1
            elif number < 3:
                chooser.tracker.add(chosen.used, fleets.TOKENS)
    assert refused == 0


def test_many_nodes_admit_up_to_the_memory() -> None:
    """Load: requests keep coming to 76 nodes until all are refused.

    Each node admits requests until its own total, extrapolated to all nodes,
    fills the fleet. Engines are neither overfilled by far nor left half empty.
    """
    admitted = 0
    for seed in range(NODES):
        chooser = path_choice.create_path_chooser(
            engine_tracker.EngineTracker(), random.Random(seed)
        )
        chooser.nodes = NODES
        for number in range(60):
            chosen = chooser.choose(fleets._view(), fleets.TOKENS, 0.3 * number)
            if chosen is not None:
                chooser.tracker.add(chosen.used, fleets.TOKENS)
                admitted += 1
    room = 3 * fleets.SPEC.layer_token_capacity("k", 20) / 20 / fleets.TOKENS
    assert 0.7 * room <= admitted <= 1.35 * room
