from __future__ import annotations

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from almondshift.policy import path_search

LAYERS = 12


def _engine(
    name: str, zone: str, start: int, end: int, ms: float, room: float = 1e9
) -> path_search.Candidate:
    return path_search.Candidate(
        name, name, zone, start, end, ms, room, 0.0, True
    )


def _covers(path: path_search.FoundPath) -> bool:
    position = 0
    for part in path.parts:
        held = part.candidate
        if part.start != position or not held.start <= part.start < part.end:
            return False
        if part.end > held.end:
            return False
        position = part.end
    return position == LAYERS


def _cost(parts: list[path_search.Candidate]) -> float:
    """Returns the cost of a path of whole ranges."""
    cost = 0.0
    zone = ""
    for part in parts:
        cost += path_search.HOP_MS + part.layer_ms * (part.end - part.start)
        cost += (
            path_search.ZONE_CHANGE_MS if zone not in ("", part.zone) else 0.0
        )
        zone = part.zone
    return cost


ENGINES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("ab"),
        strategies.integers(0, LAYERS - 1),
        strategies.integers(1, LAYERS),
        strategies.floats(0.05, 2.0),
    ),
    max_size=7,
)


@hypothesis.given(ENGINES)
def test_paths_run_each_layer_once_and_cost_no_more_than_whole_ranges(
    drawn: list[tuple[str, int, int, float]],
) -> None:
    engines = [
        _engine(f"e{i}", zone, start, min(LAYERS, start + count), ms)
        for i, (zone, start, count, ms) in enumerate(drawn)
    ]
    found = path_search.find_path(engines, LAYERS, 1.0)
    chains = [
        list(chain)
        for size in range(1, len(engines) + 1)
        for chain in itertools.permutations(engines, size)
        if chain[0].start == 0
        and chain[-1].end == LAYERS
        and all(a.end == b.start for a, b in itertools.pairwise(chain))
    ]
    if found is None:
        assert not chains
        return
    assert _covers(found)
    names = [part.candidate.instance for part in found.parts]
    assert len(set(names)) == len(names)
    for chain in chains:
        assert found.cost_ms <= _cost(chain) + 1e-9


def test_layers_of_a_dead_engine_are_covered_by_two_others() -> None:
    """Callers get responses although no engine holds exactly the missing range.

    Zone a lost layers 4 to 8; zone b holds them in two parts, split elsewhere.
    """
    engines = [
        _engine("a0", "a", 0, 4, 0.1),
        _engine("a2", "a", 8, 12, 0.1),
        _engine("b0", "b", 0, 6, 0.1),
        _engine("b1", "b", 6, 12, 0.1),
    ]
    found = path_search.find_path(engines, LAYERS, 1.0, first_zone="a")
    assert found is not None and _covers(found)
    assert found.parts[0].candidate.instance == "a0"


def test_moved_path_keeps_its_first_part() -> None:
    engines = [
        _engine("a0", "a", 0, 4, 0.1),
        _engine("b0", "b", 0, 8, 0.1),
        _engine("b1", "b", 8, 12, 0.1),
    ]
    first = path_search.FoundPart(engines[0], 0, 4)
    found = path_search.find_path(engines, LAYERS, 1.0, first=first)
    assert found is not None and _covers(found)
    assert found.parts[0] == first


@pytest.mark.parametrize(
    ("room", "is_found"), [(1200.0, False), (1264.0, True)]
)
def test_request_must_fit_into_memory(room: float, is_found: bool) -> None:
    engine = _engine("a", "a", 0, 12, 0.1, room)
    found = path_search.find_path([engine], LAYERS, 100.0)
    assert (found is not None) is is_found


def test_paths_longer_than_engines_accept_are_not_found() -> None:
    layers = path_search.MAX_PARTS + 1
    engines = [_engine(f"e{i}", "a", i, i + 1, 0.1) for i in range(layers)]
    assert path_search.find_path(engines, layers, 1.0) is None
    assert path_search.find_path(engines[:-1], layers - 1, 1.0) is not None
