"""Estimates how long the next response will take from recent responses.

A node that is asked to stop has some seconds left, and requests still arrive
for three seconds. Under low load the responses to all of them end in time.
While engines are overloaded the same stream takes three times as long, and is
cut off. Without an estimate a node can only accept all requests, or refuse all,
most of which it could have served.

The duration is assumed proportional to the requested tokens, since engines
generate all streams at about the same speed. Callers' estimates of the length
are often wrong by several times, so that a high percentile is used. A constant
is added to each length; it raises the expected time of short responses most.
While a node stops, a request is accepted only if its expected time fits into
the time left, so that few accepted responses take longer than that.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_SAMPLES = 100
"""Maximum number of responses kept per service. With a dozen a second they
cover the last eight seconds, in which overloads come and go."""

MIN_SAMPLES = 10
"""Minimum number of responses for a percentile."""

DEFAULT_S_PER_TOKEN = 0.02
"""Seconds per token assumed with fewer responses: the percentile under
overload, since a node that has just started does not know whether there is
one."""

OVERHEAD_TOKENS = 100.0
"""Tokens added to the length of each response, for the time until it begins and
for estimates that are too low."""

PERCENTILE = 0.95
"""Percentile of the seconds per token. Of 3,412 streams under overload with 4.2
s left, 1,465 would be accepted and 39 of them cut off; at 0.9 these are 2,020
and 101, at 0.99 573 and 10. For each response that is not cut off, some eight
more callers have to retry elsewhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnfinishedAnswer:
    """A response in progress.

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
    """Durations of the last responses of each service.

    Attributes:
        seconds_per_token: By service, from the oldest to the newest.
    """

    def __init__(self) -> None:
        self.seconds_per_token: dict[str, collections.deque[float]] = {}

    def note(self, service: str, tokens: float, seconds: float) -> None:
        """Records a complete response.

        Args:
            service: The service that gave it.
            tokens: Its expected length; 0 if it has none.
            seconds: Time from its request's arrival to its end.
        """
        recent = self.seconds_per_token.get(service)
        if recent is None:
            recent = collections.deque(maxlen=MAX_SAMPLES)
            self.seconds_per_token[service] = recent
        recent.append(seconds / (tokens + OVERHEAD_TOKENS))

    def expected_s(
        self,
        service: str,
        tokens: float,
        unfinished: Sequence[UnfinishedAnswer] = (),
    ) -> float:
        """Returns the time in which a response most likely ends, in seconds.

        Args:
            service: The service that gives it.
            tokens: Its expected length.
            unfinished: Responses of the service in progress. Only those that
                already took longer than expected are counted: they show an
                overload before any response affected by it has ended.
        """
        recent = list(self.seconds_per_token.get(service, ()))
        high = high_rate(recent)
        longer = [rate for a in unfinished if (rate := a.rate()) > high]
        return high_rate(recent + longer) * (tokens + OVERHEAD_TOKENS)


def high_rate(rates: Sequence[float]) -> float:
    """Returns the percentile of seconds per token, or the default."""
    if len(rates) < MIN_SAMPLES:
        return DEFAULT_S_PER_TOKEN
    return sorted(rates)[int(PERCENTILE * len(rates))]


def create_answer_times() -> AnswerTimes:
    """Creates a record without any responses."""
    return AnswerTimes()
