from __future__ import annotations

import pytest

from almondshift.policy import answer_times

STREAMS = "streams"
UNKNOWN_S = 4.0
"""For 100 tokens: twice what they take in quiet times."""


def times_of(
    count: int, tokens: float, seconds: float
) -> answer_times.AnswerTimes:
    times = answer_times.create_answer_times()
    for _ in range(count):
        times.note(STREAMS, tokens, seconds)
    return times


@pytest.mark.parametrize(
    ("tokens", "least", "most"),
    [(0, 0.9, 1.1), (100, 1.9, 2.1), (300, 3.9, 4.1)],
)
def test_longer_answers_take_longer(
    tokens: float, least: float, most: float
) -> None:
    times = times_of(50, 100, 2.0)
    assert least <= times.expected_s(STREAMS, tokens) <= most


@pytest.mark.parametrize("count", [0, answer_times.MIN_SAMPLES - 1])
def test_few_answers_say_nothing(count: int) -> None:
    times = times_of(count, 100, 60.0)
    assert times.expected_s(STREAMS, 100) == UNKNOWN_S


def test_services_are_told_apart() -> None:
    times = times_of(50, 100, 2.0)
    assert times.expected_s("other", 100) == UNKNOWN_S


def test_a_crowd_is_seen_within_the_answers_that_are_kept() -> None:
    """A node is stopped in the middle of a crowd and takes a late caller.

    Streams took two seconds for a long time; then engines fill, and a few
    take eight. A mean over all that were kept would promise four seconds,
    and one of two callers would lose its answer.
    """
    times = times_of(answer_times.MAX_SAMPLES, 100, 2.0)
    for _ in range(10):
        times.note(STREAMS, 100, 8.0)
    assert times.expected_s(STREAMS, 100) >= 8.0
    for _ in range(answer_times.MAX_SAMPLES):
        times.note(STREAMS, 100, 2.0)
    assert times.expected_s(STREAMS, 100) == pytest.approx(2.0)


def test_estimates_that_are_off_by_several_times_are_allowed_for() -> None:
    """Callers say how long an answer will be, and are often wrong.

    One in ten streams takes three times what its caller's estimate implies.
    """
    times = answer_times.create_answer_times()
    for number in range(answer_times.MAX_SAMPLES):
        times.note(STREAMS, 100, 6.0 if number % 10 == 0 else 2.0)
    assert times.expected_s(STREAMS, 100) >= 6.0


@pytest.mark.parametrize(
    ("running_s", "least", "most"), [(0.5, 0.9, 1.1), (6.0, 6.0, 6.0)]
)
def test_answers_that_run_long_already_tell_of_a_crowd(
    running_s: float, least: float, most: float
) -> None:
    """Engines fill up, and no answer of the crowd has ended yet.

    All that ended took a second, and twenty have run for six. Young ones
    say nothing: counted as they are, they would make answers look short.
    """
    times = times_of(50, 100, 1.0)
    unfinished = [answer_times.UnfinishedAnswer(100, running_s)] * 20
    assert least <= times.expected_s(STREAMS, 100, unfinished) <= most
