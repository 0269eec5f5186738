"""Counts the endpoints that may have run a request, against its route's limit.

An endpoint that was sent the request and returned no complete response counts,
since it may have run the request, unless it has ended too. An endpoint that
does not respond may have lost power or may only pause, as a process that is not
scheduled does, and continue what it runs seconds later. Therefore it counts
until it is known to have ended, and again if it responds after all. Further
attempts at the same endpoint add nothing.

Connections that fail together may mean that this node has lost its links, or
that endpoints reset them and continue. Such attempts count until this node is
known to reach no endpoint.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True, slots=True)
class EndedAttempt:
    """An attempt that may have run the request.

    Attributes:
        instance: Its endpoint.
        ended_at: Loop time of its end.
    """

    instance: str
    ended_at: float


class PossibleRuns:
    """Counts the endpoints that may have run one request.

    Attributes:
        settled: Attempts that count whatever becomes of their endpoints.
        attempts: The other attempts, in order.
        cut_off: Endpoints of attempts that don't count, since this node had
            lost its links to them.
    """

    def __init__(self, earlier: int) -> None:
        self.settled = earlier
        self.attempts: list[EndedAttempt] = []
        self.cut_off: set[str] = set()

    def add_settled(self, count: int = 1) -> None:
        """Counts attempts at endpoints that are not known here."""
        self.settled += count

    def add(self, instance: str, ended_at: float) -> None:
        """Counts an attempt until its endpoint is known to have ended."""
        self.attempts.append(EndedAttempt(instance, ended_at))

    def add_cut_off(self, instance: str) -> None:
        """Records an attempt that ended while this node was cut off."""
        self.cut_off.add(instance)

    def remove(self, instance: str) -> None:
        """Removes the first attempt at an endpoint, as the node was cut off."""
        for attempt in self.attempts:
            if attempt.instance == instance:
                self.attempts.remove(attempt)
                self.cut_off.add(instance)
                return

    def remove_within(self, began_at: float, ended_at: float) -> None:
        """Removes the attempts that ended while this node was cut off."""
        for attempt in list(self.attempts):
            if began_at <= attempt.ended_at <= ended_at:
                self.attempts.remove(attempt)
                self.cut_off.add(attempt.instance)

    def latest_end(self) -> float:
        """Returns when the latest attempt at a known endpoint ended.

        Minus infinity if there is none.
        """
        return max((a.ended_at for a in self.attempts), default=-math.inf)

    def instances(self) -> frozenset[str]:
        """Returns the known endpoints that may have run the request."""
        return frozenset(attempt.instance for attempt in self.attempts)

    def all_engines(self) -> int:
        """Returns the number of endpoints, whether they count or not."""
        return self.settled + len(self.instances() | self.cut_off)

    def count(self, has_ended: Callable[[str], bool]) -> int:
        """Returns the number of endpoints that count.

        Args:
            has_ended: Returns whether an endpoint is known to have ended.
        """
        return self.settled + sum(
            not has_ended(instance) for instance in self.instances()
        )


def granted_runs(
    possible_runs: int, max_attempts: int, is_last_peer: bool
) -> int:
    """Returns how many engines a peer may run a request on.

    The peer may fail without a word of how many it used. So all that it may
    use count at once, and other peers get what is left.

    Args:
        possible_runs: Number of runs that count so far.
        max_attempts: Limit of the route.
        is_last_peer: Whether no other peer could continue.
    """
    left = max_attempts - possible_runs
    return max(1, left if is_last_peer else 1)
