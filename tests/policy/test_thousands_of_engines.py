"""Path choice among thousands of engines, with dozens of equal ones."""

from __future__ import annotations

import random

import pytest

from almondshift.policy import engine_sample
from almondshift.policy import engine_tracker
from almondshift.policy import path_choice
from tests.policy import test_path_choice as small
from tests.policy import test_path_refresh as large

COPIES = 50
GROUPS = 12


@pytest.mark.parametrize(
    ("copies", "searched"),
    [
        (1, GROUPS),
        (engine_sample.MAX_PER_GROUP, GROUPS * engine_sample.MAX_PER_GROUP),
        (COPIES, GROUPS * engine_sample.MAX_PER_GROUP),
    ],
)
def test_search_samples_each_group(copies: int, searched: int) -> None:
    """A search over all engines would take most of a node's CPU time."""
    chooser = small._chooser()
    found = chooser.candidates.find(large.fleet(copies), 0.0)
    assert len(found) == searched
    assert len({(c.zone, c.start) for c in found}) == GROUPS


def test_nodes_spread_over_equal_engines() -> None:
    """If all nodes sampled the same few engines, they would overload them."""
    view = large.fleet(COPIES)
    firsts = set()
    for seed in range(300):
        chooser = path_choice.create_path_chooser(
            engine_tracker.EngineTracker(), random.Random(seed)
        )
        chooser.nodes = 300
        chosen = chooser.choose(view, small.TOKENS, 0.0)
        assert chosen is not None
        firsts.add(chosen.path[0].instance)
    assert len(firsts) > 0.7 * 3 * COPIES


def test_room_outside_the_sample_is_used() -> None:
    """Callers would be refused while one engine of each group has room."""
    chooser = small._chooser()
    view = large.fleet(COPIES)
    for engine in view.engines:
        if not engine.instance.endswith("-7"):
            chooser.tracker.note_full(engine.instance, 0.0)
    chosen = chooser.choose(view, small.TOKENS, 0.1)
    assert chosen is not None
    assert all(part.instance.endswith("-7") for part in chosen.path)


@pytest.mark.parametrize("others_full", [False, True])
def test_moved_request_keeps_its_other_engines(others_full: bool) -> None:
    """If the sample omits them, other engines have to prefill its tokens."""
    chooser = small._chooser()
    view = large.fleet(COPIES)
    chosen = chooser.choose(view, small.TOKENS, 0.0)
    assert chosen is not None
    lost = chosen.path[2].instance
    spare = lost.split("-")[0] + ("-8" if lost.endswith("-7") else "-7")
    chooser.tracker.suspect(lost, engine_tracker.Suspicion.STALLED, 0.0)
    if others_full:
        for engine in view.engines:
            if engine.instance != spare:
                chooser.tracker.note_full(engine.instance, 0.0)
    moved = chooser.find_replacement(view, chosen.path, small.TOKENS, 0.1)
    assert moved is not None
    assert lost not in {part.instance for part in moved.path}
    for index in (0, 1, 3):
        assert moved.path[index] == chosen.path[index]
    if others_full:
        assert moved.path[2].instance == spare
