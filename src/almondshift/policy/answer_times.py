"""How long the next answer will take, estimated from recent ones.

A node that is asked to stop has some seconds left, and requests still arrive
for three seconds. Under low load all their answers end in time. While engines
are overloaded the same stream takes three times as long, and is cut off.
Without an estimate a node can only accept all requests, or refuse all, most of
which it could have served.

Time is assumed proportional to the requested tokens, since engines give all
streams about the same speed. Callers' estimates of their answers are often
wrong by several times, so that a high percentile is used, and a constant is
added to each length, which raises that of short answers most. During a stop a
request is accepted only if its expected time fits into the time left, so that
few accepted answers take longer than that.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_SAMPLES = 100
"""Maximum number of answers kept for each service. With a dozen a second they
cover the last eight seconds, in which overloads come and go."""

MIN_SAMPLES = 10
"""Minimum number of answers for a percentile."""

DEFAULT_S_PER_TOKEN = 0.02
"""Seconds per token assumed with fewer answers: the percentile under overload,
since a node that has just started does not know whether there is one."""

OVERHEAD_TOKENS = 100.0
"""Tokens added to the length of each answer, for the time until it begins and
for estimates that are too low."""

PERCENTILE = 0.95
"""Percentile of the seconds per token. Of 3,412 streams under overload with
4.2 s left, 1,465 would be accepted and 39 of them cut off; at 0.9 these are
2,020 and 101, at 0.99 573 and 10. For each answer that is not cut off, some
eight more callers have to retry elsewhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnfinishedAnswer:
    """An answer in progress.

    Attributes:
        tokens: Its expected length.
        seconds: Time since its request arrived.
    """

    tokens: float
    seconds: float

    def rate(self) -> float:
        """Returns its seconds per token so far."""
        return self.seconds / (self.tokens + OVERHEAD_TOKENS)


class AnswerTimes:
    """Durations of the last answers of each service.

    Attributes:
        seconds_per_token: By service, from the oldest to the newest.
    """

    def __init__(self) -> None:
        self.seconds_per_token: dict[str, collections.deque[float]] = {}

    def note(self, service: str, tokens: float, seconds: float) -> None:
        """Records a complete answer.

        Args:
            service: The service that gave it.
            tokens: Its expected length; 0 if it has none.
            seconds: Time from its request's arrival to its end.
        """
        kept = self.seconds_per_token.get(service)
        if kept is None:
            kept = collections.deque(maxlen=MAX_SAMPLES)
            self.seconds_per_token[service] = kept
        kept.append(seconds / (tokens + OVERHEAD_TOKENS))

    def expected_s(
        self,
        service: str,
        tokens: float,
        unfinished: Sequence[UnfinishedAnswer] = (),
    ) -> float:
        """Returns the time in which an answer most likely ends, in seconds.

        Args:
            service: The service that gives it.
            tokens: Its expected length.
            unfinished: Answers of the service in progress. Only those that
                already took longer than expected are counted: they show an
                overload before any answer given under it has ended.
        """
        kept = list(self.seconds_per_token.get(service, ()))
        high = high_rate(kept)
        longer = [rate for a in unfinished if (rate := a.rate()) > high]
        return high_rate(kept + longer) * (tokens + OVERHEAD_TOKENS)


def high_rate(rates: Sequence[float]) -> float:
    """Returns the percentile of seconds per token, or the default."""
    if len(rates) < MIN_SAMPLES:
        return DEFAULT_S_PER_TOKEN
    return sorted(rates)[int(PERCENTILE * len(rates))]


def create_answer_times() -> AnswerTimes:
    """Creates a record without any answers."""
    return AnswerTimes()
