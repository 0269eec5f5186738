from __future__ import annotations

import pytest

from almondshift.policy import answer_times

STREAMS = "streams"
DEFAULT_S = 4.0
"""Default for 100 tokens; twice their time under low load."""


def answer_times_of(
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
    times = answer_times_of(50, 100, 2.0)
    assert least <= times.expected_s(STREAMS, tokens) <= most


@pytest.mark.parametrize("count", [0, answer_times.MIN_SAMPLES - 1])
def test_few_answers_give_the_default(count: int) -> None:
    times = answer_times_of(count, 100, 60.0)
    assert times.expected_s(STREAMS, 100) == DEFAULT_S


def test_services_are_estimated_separately() -> None:
    times = answer_times_of(50, 100, 2.0)
    assert times.expected_s("other", 100) == DEFAULT_S


def test_overload_is_detected_within_the_kept_answers() -> None:
    """A node is stopped during an overload and accepts a late caller.

    Streams took two seconds for a long time; then engines are full, and a few
    streams take eight. The mean of all kept durations would be four seconds,
    and one of two callers would lose its response.
    """
    times = answer_times_of(answer_times.MAX_SAMPLES, 100, 2.0)
    for _ in range(10):
        times.note(STREAMS, 100, 8.0)
    assert times.expected_s(STREAMS, 100) >= 8.0
    for _ in range(answer_times.MAX_SAMPLES):
        times.note(STREAMS, 100, 2.0)
    assert times.expected_s(STREAMS, 100) == pytest.approx(2.0)


def test_wrong_estimates_of_callers_are_allowed_for() -> None:
    """Callers' estimates of the length of a response are often wrong.

    One in ten streams takes three times what its caller's estimate implies.
    """
    times = answer_times.create_answer_times()
    for number in range(answer_times.MAX_SAMPLES):
        times.note(STREAMS, 100, 6.0 if number % 10 == 0 else 2.0)
    assert times.expected_s(STREAMS, 100) >= 6.0


@pytest.mark.parametrize(
    ("running_s", "least", "most"), [(0.5, 0.9, 1.1), (6.0, 6.0, 6.0)]
)
def test_long_unfinished_answers_indicate_overload(
    running_s: float, least: float, most: float
) -> None:
    """Engines are overloaded, and no response has ended since then.

    All complete responses took a second, and twenty have run for six. Those
    that have just begun must not count, or the estimate would be too low.
    """
    times = answer_times_of(50, 100, 1.0)
    unfinished = [answer_times.UnfinishedAnswer(100, running_s)] * 20
    assert least <= times.expected_s(STREAMS, 100, unfinished) <= most
