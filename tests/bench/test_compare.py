"""Comparisons of variants: plans, resumed plays, paired differences."""

from __future__ import annotations

import json
import textwrap
from typing import TYPE_CHECKING

from bench.compare import __main__ as command
from bench.compare import differences
from bench.compare import measurements
from bench.compare import plan as plans
from bench.compare import results
from bench.platform import day_player
import pytest

if TYPE_CHECKING:
    import pathlib

PLAN = """
    [plays]
    program = bench-program
    worktrees = trees
    results = plays.jsonl
    why = a question
    jobs = 4
    memory_gb = 3

    [variant standing]

    [variant other]
    revision = HEAD~1

    [deployment small]
    site = small.toml
    days = calm busy
    seeds = 11 12
    memory_gb = 1
"""


def write_plan(folder: pathlib.Path, text: str) -> pathlib.Path:
    path = folder / "plan.ini"
    path.write_text(textwrap.dedent(text))
    return path


def measured(variant: str, seed: int, worth: float) -> measurements.Measurement:
    return measurements.Measurement(
        play=measurements.Play(
            "small", "small.toml", "busy", seed, False, variant, "commit"
        ),
        figures={"worth": worth},
        broken_rules=(),
        fault="",
    )


def test_no_two_plays_are_taken_for_each_other(tmp_path: pathlib.Path) -> None:
    """A deployment would be measured by entries of another one."""
    text = PLAN + PLAN[PLAN.index("    [deployment") :].replace("small", "b")
    plan = plans.load(write_plan(tmp_path, text))
    plays = list(plan.all_plays({"standing": "a", "other": "b"}))
    assert len({play.label for play in plays}) == len(plays) == 16


def test_plan_puts_the_plays_of_a_pair_next_to_each_other(
    tmp_path: pathlib.Path,
) -> None:
    plan = plans.load(write_plan(tmp_path, PLAN))
    plays = list(plan.all_plays({"standing": "a", "other": "b"}))
    assert len(plays) == 8
    assert plays[0].pair == plays[1].pair
    assert [play.variant for play in plays[:2]] == ["standing", "other"]


@pytest.mark.parametrize(
    ("memory_gb", "jobs"), [("3", 3), ("0.5", 1), ("40", 4)]
)
def test_memory_bounds_the_plays_at_a_time(
    tmp_path: pathlib.Path, memory_gb: str, jobs: int
) -> None:
    text = PLAN.replace("memory_gb = 3", f"memory_gb = {memory_gb}")
    assert command.job_count(plans.load(write_plan(tmp_path, text))) == jobs


@pytest.mark.parametrize(
    ("wrong", "named"),
    [
        ("jobs = 4", "jobs"),
        ("days = calm busy", "days"),
        ("seeds = 11 12", "seeds"),
        ("[variant standing]\n\n    [variant other]", "variants"),
    ],
)
def test_invalid_plan_names_the_key(
    tmp_path: pathlib.Path, wrong: str, named: str
) -> None:
    text = PLAN.replace(wrong, f"# {named}").replace("revision", "# revision")
    with pytest.raises(plans.PlanInvalid, match=named):
        plans.load(write_plan(tmp_path, text))


def test_torn_last_line_is_played_again(tmp_path: pathlib.Path) -> None:
    """An interrupted comparison must not lose its finished plays."""
    path = tmp_path / "plays.jsonl"
    kept = results.ResultFile(path)
    kept.add(measured("standing", 11, 0.5))
    kept.add(measured("standing", 12, 0.6))
    path.write_text(path.read_text()[:-20])
    again = results.ResultFile(path)
    again.load()
    assert [play.seed for play in again.found] == [11]


@pytest.mark.parametrize(
    ("changes", "is_clear"),
    [((0.02, 0.021, 0.019), True), ((0.3, -0.2, 0.05), False), ((0.2,), False)],
)
def test_interval_decides_whether_a_difference_is_clear(
    changes: tuple[float, ...], is_clear: bool
) -> None:
    plays = []
    for seed, change in enumerate(changes):
        plays.append(measured("standing", seed, 0.5))
        plays.append(measured("other", seed, 0.5 + change))
    found = differences.paired(plays, "standing")
    row = next(d for d in found if d.deployment == "small")
    assert row.mean == pytest.approx(sum(changes) / len(changes))
    assert row.low <= row.mean <= row.high
    assert row.is_clear is is_clear


def test_plays_without_a_counterpart_are_left_out() -> None:
    plays = [
        measured("standing", 1, 0.5),
        measured("other", 1, 0.6),
        measured("other", 2, 0.9),
    ]
    found = differences.paired(plays, "standing")
    assert {row.pairs for row in found} == {1}


@pytest.mark.parametrize(
    "entry",
    [
        {},
        {"days": []},
        {"days": [{"name": "busy"}]},
        {"days": [{"G": 0.5, "rules": {}}]},
        {"days": None, "error": "cut off"},
    ],
)
def test_day_that_did_not_end_is_no_measurement(
    entry: dict[str, object],
) -> None:
    """A day given up midway must not count as one of worth zero."""
    play = measured("other", 1, 0.0).play
    with pytest.raises(day_player.DayNotPlayed):
        day_player.read_entry(entry, play)


def test_entries_of_other_jobs_are_passed_over(tmp_path: pathlib.Path) -> None:
    """A play would be measured by another variant's entry, or lost."""
    ours: dict[str, object] = {"why": "ours", "days": [{"G": 0.5}]}
    for name, entry in {
        "a": {"why": "theirs", "days": [{"G": 0.9}]},
        "b": {"why": "ours", "days": []},
        "c": ours,
    }.items():
        (tmp_path / f"{name}.json").write_text(json.dumps(entry))
    (tmp_path / "d.json").write_text("{")
    paths = sorted(tmp_path.glob("*.json"))
    assert day_player.find_entry(paths, "ours") == ours
    assert day_player.find_entry(paths, "nobody's") is None
