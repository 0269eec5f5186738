"""How many nodes share the engines, during discovery and afterwards."""

from __future__ import annotations

import dataclasses
import random

import pytest

from almondshift.model import engine_specs
from almondshift.model import layers
from almondshift.model import registered_engines
from almondshift.policy import engine_tracker
from almondshift.policy import group_size
from almondshift.policy import path_candidates
from almondshift.policy import path_choice
from tests.policy import test_path_choice as fleets

NODES = 73


@pytest.mark.parametrize(
    ("serving", "written", "age_s", "nodes"),
    [
        (0, 0, 0.1, 1),
        (0, 73, 0.1, 73),
        (72, 40, 0.1, 73),
        (30, 73, group_size.DISCOVERY_S - 0.1, 73),
        (48, 73, group_size.DISCOVERY_S, 49),
        (0, 73, group_size.DISCOVERY_S, 1),
    ],
    ids=["no row read", "no peer found", "rows late", "some peers found",
         "a zone gone", "alone"],
)  # fmt: skip
def test_rows_are_counted_during_discovery(
    serving: int, written: int, age_s: float, nodes: int
) -> None:
    size = group_size.GroupSize(100.0)
    assert size.nodes(serving, written, 100.0 + age_s) == nodes


@pytest.mark.parametrize("callers", [2, 3])
def test_simultaneous_retries_are_spread(callers: int) -> None:
    """Callers of all nodes retry within the second in which the nodes start.

    One chain of three is twice as fast. Nodes that each assumed to be alone
    sent all 146 or 219 requests to it. Its first engine has 96 slots, and the
    rest were refused while two chains were idle.
    """
    size = group_size.GroupSize(0.0)
    firsts: dict[str, int] = {}
    for node in range(NODES):
        chooser = path_choice.create_path_chooser(
            engine_tracker.EngineTracker(), random.Random(node)
        )
        chooser.nodes = size.nodes(0, NODES, 0.2)
        for _ in range(callers):
            chosen = chooser.choose(_view(), fleets.TOKENS, 0.2)
            assert chosen is not None
            chooser.tracker.add(chosen.used, fleets.TOKENS)
            first = chosen.path[0].instance
            firsts[first] = firsts.get(first, 0) + 1
    assert sum(firsts.values()) == NODES * callers
    assert max(firsts.values()) <= fleets.SPEC.slots


def _view() -> path_candidates.FleetView:
    slow = engine_specs.AcceleratorKind("slow", 72_000.0, 5.0, 3.2)
    kinds = {"k": fleets.KIND, "slow": slow}
    spec = dataclasses.replace(fleets.SPEC, kinds=kinds)
    engines = [
        registered_engines.RegisteredEngine(
            f"{zone}{i}", "s", f"{zone}{i}:1", zone, 96, False, kind,
            layers.LayerRange(i * 20, i * 20 + 20),
        )
        for zone, kind in (("a", "k"), ("b", "slow"), ("c", "slow"))
        for i in range(4)
    ]  # fmt: skip
    return path_candidates.FleetView("s", spec, tuple(engines), 1)
