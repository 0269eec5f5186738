"""Which parts of prompts are refused after crashes of endpoints."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from almondshift.policy import crash_strikes
from almondshift.policy import part_strikes

FIRST = "f1"
BAD = "bad"


def prompt(name: str, *parts: str) -> crash_strikes.UnansweredPrompt:
    return crash_strikes.UnansweredPrompt(name, parts)


def create_strikes(
    proven: tuple[str, ...] = (FIRST,), answers: int = 30, at: float = 0.0
) -> part_strikes.PartStrikes:
    """Returns strikes of a node that answered prompts with these parts."""
    strikes = part_strikes.PartStrikes()
    for _ in range(answers):
        strikes.note_answered(proven, at)
    return strikes


@dataclasses.dataclass(frozen=True)
class Case:
    """Crashes a second apart, and what is refused after them.

    Attributes:
        crashes: Prompts in flight without data, by crash: a name and parts.
        proven: Parts of prompts that were answered before.
        refused: Parts that are refused at once.
        refused_later: Parts that are refused some seconds later.
    """

    crashes: list[list[tuple[str, ...]]]
    proven: tuple[str, ...] = (FIRST,)
    refused: frozenset[str] = frozenset()
    refused_later: frozenset[str] = frozenset()


CASES = {
    "a part of different prompts": Case(
        [[(f"p{n}", FIRST, BAD)] for n in range(3)],
        refused=frozenset({BAD}),
    ),
    "two crashes are not enough": Case(
        [[(f"p{n}", FIRST, BAD)] for n in range(2)]
    ),
    "each prompt crashes two endpoints": Case(
        [[(f"p{n // 2}", FIRST, BAD)] for n in range(4)],
        refused=frozenset({BAD}),
    ),
    "one prompt that is sent again and again": Case(
        [[("p", FIRST, "rare")] for _ in range(6)]
    ),
    "one such prompt beside a sound one": Case(
        [[("p", FIRST, "rare"), ("q", FIRST, "rare")]]
        + [[("p", FIRST, "rare")] for _ in range(2)]
    ),
    "sound prompts in flight at the same crashes": Case(
        [
            [(f"p{n}", FIRST, BAD), (f"q{n}", FIRST, f"rare{n}")]
            for n in range(4)
        ],
        refused=frozenset({BAD}),
    ),
    "two bad parts in turn": Case(
        [[(f"p{n}", FIRST, f"{BAD}{n % 2}")] for n in range(6)],
        refused=frozenset({f"{BAD}0", f"{BAD}1"}),
    ),
    "the first part": Case(
        [[(f"p{n}", BAD)] for n in range(4)],
        refused_later=frozenset({BAD}),
    ),
    "a proven first part at crashes without a bad one": Case(
        [[(f"p{n}", FIRST)] for n in range(5)]
    ),
    "a proven first part that no prompt gets answered with": Case(
        [[(f"p{n}", FIRST)] for n in range(12)]
    ),
    "no prompt was answered yet": Case(
        [[(f"p{n}", FIRST, BAD)] for n in range(6)], proven=()
    ),
}


@pytest.mark.parametrize("case", CASES.values(), ids=CASES.keys())
def test_only_a_part_that_explains_the_crashes_is_refused(case: Case) -> None:
    """Guards against sound parts refused, and bad ones that never are."""
    strikes = create_strikes(case.proven, 30 if case.proven else 0)
    now = 0.0
    found: set[str] = set()
    for index, running in enumerate(case.crashes):
        now = float(index)
        prompts = [prompt(name, *parts) for name, *parts in running]
        strikes.strike(f"e{index}", prompts, now)
        found |= {refused.part for refused in strikes.review(now)}
    assert found == case.refused
    later = {refused.part for refused in strikes.review(now + 5.0)}
    assert found | later == case.refused | case.refused_later


def test_a_proven_part_that_turns_bad_is_refused() -> None:
    """Guards against a part that stays trusted as it was answered before."""
    strikes = create_strikes(("other",), at=0.0)
    strikes.note_answered((BAD,), 0.0)
    found: list[list[str]] = []
    for index in range(part_strikes.MIN_CRASHES_IF_PROVEN):
        now = 1.0 + index
        strikes.strike(f"e{index}", [prompt(f"p{index}", BAD)], now)
        found.append([refused.part for refused in strikes.review(now)])
        for _ in range(5):
            strikes.note_answered(("other",), now)
    assert found == [[]] * (len(found) - 1) + [[BAD]]


def test_a_response_clears_strikes_and_lifts_a_refusal() -> None:
    """Guards against a sound part that stays refused."""
    strikes = create_strikes()
    for index in range(2):
        strikes.strike(f"e{index}", [prompt(f"p{index}", BAD)], 0.0)
    assert strikes.note_answered((BAD,), 1.0) == [BAD]
    assert not strikes.strikes
    strikes.refuse(BAD, 2.0)
    assert not strikes.prove(BAD, 1.5)
    assert strikes.find_refused((FIRST, BAD), 3.0) == BAD
    assert strikes.prove(BAD, 2.5)
    assert not strikes.find_refused((FIRST, BAD), 3.0)


def test_a_refusal_expires() -> None:
    strikes = create_strikes()
    strikes.refuse(BAD, 0.0)
    end = part_strikes.REFUSED_S
    assert strikes.find_refused((BAD,), end)
    assert not strikes.find_refused((BAD,), end + 1.0)
    strikes.forget_old(end + 1.0)
    assert not strikes.refused


def test_kept_parts_are_bounded() -> None:
    """Guards against memory that grows with the parts that callers invent."""
    strikes = create_strikes()
    for index in range(part_strikes.MAX_PARTS + 100):
        strikes.strike(f"e{index}", [prompt("p", f"s{index}")], 0.0)
        strikes.note_answered((f"a{index}",), 0.0)
    assert len(strikes.strikes) <= part_strikes.MAX_PARTS
    assert len(strikes.proofs) <= part_strikes.MAX_PARTS
    for index in range(100):
        prompts = [prompt(f"p{number}", "s") for number in range(50)]
        strikes.strike(f"s{index}", prompts, 0.0)
    known = strikes.strikes["s"]
    assert len(known) <= part_strikes.MAX_STRIKES_PER_PART
    limit = part_strikes.MAX_PROMPTS_PER_STRIKE
    assert all(len(strike.prompts) <= limit for strike in known.values())
    for index in range(part_strikes.MAX_EXPLAINED + 100):
        strikes.explain(f"x{index}")
    assert len(strikes.explained) <= part_strikes.MAX_EXPLAINED


@hypothesis.given(
    crashes=strategies.lists(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 40),
                strategies.sampled_from([(), (BAD,), ("x",), (BAD, "x")]),
            ),
            min_size=1,
            max_size=6,
        ),
        max_size=20,
    ),
    gap_s=strategies.floats(0.0, 1.0),
)
def test_an_answered_first_part_is_never_refused(
    crashes: list[list[tuple[int, tuple[str, ...]]]], gap_s: float
) -> None:
    """Guards against a route that is refused beside a part that is bad."""
    strikes = create_strikes()
    now = 0.0
    for index, running in enumerate(crashes):
        prompts = [prompt(f"p{n}", FIRST, *parts) for n, parts in running]
        strikes.strike(f"e{index}", prompts, now)
        strikes.review(now)
        now += gap_s
    assert not strikes.find_refused((FIRST,), now)
    strikes.review(now + 60.0)
    assert not strikes.find_refused((FIRST,), now)
