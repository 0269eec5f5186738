"""How often a node repeats the path search, by the size of the fleet."""

from __future__ import annotations

import dataclasses

import pytest

from almondshift.policy import engine_tracker
from almondshift.policy import path_candidates
from almondshift.policy import path_choice
from almondshift.policy import zone_paths
from tests.policy import test_path_choice as small

ARRIVALS_PER_S = 10
SECONDS = 10


def fleet(copies: int) -> path_candidates.FleetView:
    """Returns a view of the small fleet's engines, each several times."""
    view = small._view()
    engines = tuple(
        dataclasses.replace(engine, instance=f"{engine.instance}-{copy}")
        for engine in view.engines
        for copy in range(copies)
    )
    return dataclasses.replace(view, engines=engines)


@pytest.fixture
def searches(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Records the number of candidates of each search."""
    recorded: list[int] = []
    search = zone_paths.find_paths

    def counted(candidates: list[object], *more: object) -> object:
        recorded.append(len(candidates))
        return search(candidates, *more)  # type: ignore[arg-type]

    monkeypatch.setattr(zone_paths, "find_paths", counted)
    return recorded


@pytest.mark.parametrize("copies", [1, 100])
def test_large_fleet_is_searched_less_often(
    copies: int, searches: list[int]
) -> None:
    """With thousands of engines, nodes would do little else than search."""
    chooser = small._chooser()
    view = fleet(copies)
    for arrival in range(ARRIVALS_PER_S * SECONDS):
        now = arrival / ARRIVALS_PER_S
        assert chooser.choose(view, small.TOKENS, now) is not None
    most = SECONDS / path_choice.refresh_s(len(view.engines)) + 1
    assert 1 < len(searches) <= most


def test_lost_engine_of_a_large_fleet_gets_no_request(
    searches: list[int],
) -> None:
    """Cached paths would still include a lost engine for seconds."""
    chooser = small._chooser()
    view = fleet(100)
    chosen = chooser.choose(view, small.TOKENS, 0.0)
    assert chosen is not None
    lost = chosen.path[0].instance
    chooser.tracker.suspect(lost, engine_tracker.Suspicion.UNREACHABLE, 0.0)
    again = chooser.choose(view, small.TOKENS, 0.01)
    assert again is not None
    assert all(part.instance != lost for part in again.path)
    assert len(searches) == 2
