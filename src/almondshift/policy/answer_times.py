"""How long the next answer will take, from those that were lately given.

Load pattern: a node that is asked to stop has some seconds left, and callers
come to it for three seconds more. In quiet times each of them gets its answer
in time; while engines are crowded the same stream takes three times as long,
and what is taken then is cut. Without an estimate a node can only take all of
them, or refuse all of them, most of which it could have served.

Grounds: time is taken as proportional to the tokens asked for, since engines
give each stream about the same pace. Callers' estimates of their answers are
often wrong by several times, so a high percentile is taken, and the shortest
count as more than they say. What takes longer all the same is seldom taken
after a stop has begun, since the figure must fit into what is left.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

KEPT = 100
"""Answers remembered for each service: with a dozen a second they tell of the
last eight seconds, in which crowds come and go."""

FEWEST = 10
"""Answers below which a percentile says nothing."""

UNKNOWN_S_PER_TOKEN = 0.02
"""Assumed until so many were given: the percentile of a crowd. A node that has
just started does not know whether there is one."""

EQUAL_TOKENS = 100.0
"""Added to the tokens of each answer, for its wait until it begins and for
estimates that are too low."""

PERCENTILE = 0.95
"""Of 3,412 streams in a crowd with 4.2 s left 1,465 would have been taken and
39 of them cut; at 0.9 it is 2,020 and 101, at 0.99 573 and 10. Each answer that
is not cut costs some eight callers a second try elsewhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnfinishedAnswer:
    """An answer that is being given.

    Attributes:
        tokens: How long it is expected to be.
        seconds: Since its request arrived.
    """

    tokens: float
    seconds: float

    def rate(self) -> float:
        """Returns its seconds per token so far."""
        return self.seconds / (self.tokens + EQUAL_TOKENS)


class AnswerTimes:
    """Durations of the last answers of each service.

    Attributes:
        seconds_per_token: From the oldest to the newest.
    """

    def __init__(self) -> None:
        self.seconds_per_token: dict[str, collections.deque[float]] = {}

    def note(self, service: str, tokens: float, seconds: float) -> None:
        """Notes a whole answer.

        Args:
            service: What gave it.
            tokens: How long it was expected to be; 0 if it has no length.
            seconds: From its request's arrival to its end.
        """
        kept = self.seconds_per_token.get(service)
        if kept is None:
            kept = collections.deque(maxlen=KEPT)
            self.seconds_per_token[service] = kept
        kept.append(seconds / (tokens + EQUAL_TOKENS))

    def expected_s(
        self,
        service: str,
        tokens: float,
        unfinished: Sequence[UnfinishedAnswer] = (),
    ) -> float:
        """Returns in how many seconds an answer will most likely be whole.

        Args:
            service: What gives it.
            tokens: How long it is expected to be.
            unfinished: Answers of the service that are being given. Those
                that took longer already than such answers most likely do
                show a crowd before any of its answers has ended; the others
                say nothing yet.
        """
        kept = list(self.seconds_per_token.get(service, ()))
        high = high_rate(kept)
        longer = [rate for a in unfinished if (rate := a.rate()) > high]
        return high_rate(kept + longer) * (tokens + EQUAL_TOKENS)


def high_rate(rates: Sequence[float]) -> float:
    """Returns the percentile of seconds per token, or what is assumed."""
    if len(rates) < FEWEST:
        return UNKNOWN_S_PER_TOKEN
    return sorted(rates)[int(PERCENTILE * len(rates))]


def create_answer_times() -> AnswerTimes:
    """Creates a record that knows of no answer yet."""
    return AnswerTimes()
