"""Tests plans, resumed comparisons and paired differences."""

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


def make_measurement(
    variant: str, seed: int, worth: float
) -> measurements.Measurement:
    return measurements.Measurement(
        play=measurements.Play(
            "small", "small.toml", "busy", seed, False, variant, "commit"
        ),
        figures={"worth": worth},
        broken_rules=(),
        fault="",
    )


def test_labels_of_plays_are_unique(tmp_path: pathlib.Path) -> None:
    """With equal labels, a play would read the entry of another deployment."""
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
def test_memory_limits_concurrent_plays(
    tmp_path: pathlib.Path, memory_gb: str, jobs: int
) -> None:
    text = PLAN.replace("memory_gb = 3", f"memory_gb = {memory_gb}")
    assert command.job_count(plans.load(write_plan(tmp_path, text))) == jobs


@pytest.mark.parametrize(
    ("replaced_text", "key"),
    [
        ("jobs = 4", "jobs"),
        ("days = calm busy", "days"),
        ("seeds = 11 12", "seeds"),
        ("[variant standing]\n\n    [variant other]", "variants"),
    ],
)
def test_invalid_plan_names_the_key(
    tmp_path: pathlib.Path, replaced_text: str, key: str
) -> None:
    text = PLAN.replace(replaced_text, f"# {key}").replace(
        "revision", "# revision"
    )
    with pytest.raises(plans.PlanInvalid, match=key):
        plans.load(write_plan(tmp_path, text))


def test_play_of_truncated_last_line_is_run_again(
    tmp_path: pathlib.Path,
) -> None:
    """An interrupted comparison keeps the plays it had finished."""
    path = tmp_path / "plays.jsonl"
    result_file = results.ResultFile(path)
    result_file.add(make_measurement("standing", 11, 0.5))
    result_file.add(make_measurement("standing", 12, 0.6))
    path.write_text(path.read_text()[:-20])
    reloaded = results.ResultFile(path)
    reloaded.load()
    assert [play.seed for play in reloaded.by_play] == [11]


@pytest.mark.parametrize(
    ("changes", "is_clear"),
    [((0.02, 0.021, 0.019), True), ((0.3, -0.2, 0.05), False), ((0.2,), False)],
)
def test_interval_decides_whether_a_difference_is_clear(
    changes: tuple[float, ...], is_clear: bool
) -> None:
    plays = []
    for seed, change in enumerate(changes):
        plays.append(make_measurement("standing", seed, 0.5))
        plays.append(make_measurement("other", seed, 0.5 + change))
    found = differences.paired(plays, "standing")
    row = next(d for d in found if d.deployment == "small")
    assert row.mean == pytest.approx(sum(changes) / len(changes))
    assert row.low <= row.mean <= row.high
    assert row.is_clear is is_clear


def test_unpaired_plays_are_ignored() -> None:
    plays = [
        make_measurement("standing", 1, 0.5),
        make_measurement("other", 1, 0.6),
        make_measurement("other", 2, 0.9),
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
def test_incomplete_day_gives_no_measurement(
    entry: dict[str, object],
) -> None:
    """An aborted day must not count as a day with worth 0."""
    play = make_measurement("other", 1, 0.0).play
    with pytest.raises(day_player.DayNotPlayed):
        day_player.read_entry(entry, play)


def test_entries_of_other_jobs_are_skipped(tmp_path: pathlib.Path) -> None:
    """Otherwise a play would take another variant's entry, or be lost."""
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
