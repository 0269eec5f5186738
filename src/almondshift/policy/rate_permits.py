"""Permits for requests to an endpoint that limits the requests of all nodes.

An endpoint in need takes a few requests per second, while tens or hundreds of
nodes send to it. If each node had an equal share with a bucket of its own, the
buckets alone would exceed the limit: 195 nodes with bursts of one request send
195 requests at once where twelve are allowed in four seconds. With strict equal
shares, a node would wait two minutes for each permit while most of the limit is
unused.

So one node decides for each endpoint, and the others ask it before each
request. All nodes compute the same decider from the names of the nodes they
see; no election is needed, and endpoints are spread over nodes. Nodes that see
different peers may name different deciders, therefore each grants only the part
of the limit that corresponds to the share of all known nodes that it hears
from. A new decider starts without permits, since the previous one may have
granted some until a moment ago.

Nodes whose requests were denied wait before they ask again, for longer the more
of them there are, so that the number of questions is proportional to the limit
and not to the number of nodes.
"""

from __future__ import annotations

import dataclasses
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

BURST = 2.0
"""Permits that can be saved up; requests don't arrive evenly."""

START_DEBT_S = 1.0
"""A new decider grants nothing for the time in which the limit allows this many
seconds' worth of requests: the previous decider may still grant permits, and
nodes that don't know the limit yet still send requests."""

MAX_DEBT_S = 2.0
"""Maximum debt from calls that need no permit, in seconds of the limit."""

MIN_PER_S = 0.1
"""Rate of trial requests to an endpoint that takes none. Their responses show
when its limit ends."""

WAITING_S = 2.0
"""Time for which a node counts as waiting after it was denied a permit, in
seconds."""

QUESTIONS_PER_PERMIT = 4.0
"""Questions of waiting nodes for each permit; more than one, since a node that
may ask again doesn't always have a request."""

MIN_WAIT_S = 0.05
MAX_WAIT_S = 5.0
"""Range of the time after which a node may ask again, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDecision:
    """The decision on one request.

    Attributes:
        wait_s: Seconds after which the node may ask again; 0 if granted.
    """

    is_granted: bool
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    since: float
    priority: int


class PermitBucket:
    """The permits of one endpoint, on the node that decides.

    Attributes:
        level: Permits available; negative for a debt.
        waiting: Nodes that were denied a permit, by name.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = max(MIN_PER_S, per_s)
        self.level = -START_DEBT_S * self.per_s
        self.at = now
        self.waiting: dict[str, _Waiting] = {}

    def set_rate(self, per_s: float, now: float) -> None:
        """Sets the rate from now on, in permits per second."""
        self._advance(now)
        self.per_s = max(MIN_PER_S, per_s)

    def request(self, node: str, priority: int, now: float) -> PermitDecision:
        """Decides on a node's request.

        The last permit is reserved while a node waits with a more urgent
        request.

        Args:
            node: The node that asks.
            priority: Priority of its request; 0 is the most urgent.
            now: Monotonic seconds.
        """
        self._advance(now)
        self.waiting.pop(node, None)
        is_reserved = any(w.priority < priority for w in self.waiting.values())
        needed = 2.0 if is_reserved else 1.0
        if self.level >= needed:
            self.level -= 1.0
            return PermitDecision(True)
        self.waiting[node] = _Waiting(now, priority)
        wait_s = max(
            (needed - self.level) / self.per_s,
            len(self.waiting) / (QUESTIONS_PER_PERMIT * self.per_s),
        )
        return PermitDecision(False, min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S))

    def charge(self, calls: float, now: float) -> None:
        """Deducts calls that were made without a permit."""
        self._advance(now)
        least = -MAX_DEBT_S * self.per_s
        self.level = max(min(self.level, least), self.level - calls)

    def _advance(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.at)
        self.at = now
        self.level = min(BURST, self.level + elapsed_s * self.per_s)
        self.waiting = {
            node: waiting
            for node, waiting in self.waiting.items()
            if now - waiting.since < WAITING_S
        }


def deciding_node(endpoint: str, nodes: Iterable[str]) -> str:
    """Returns the node that decides on an endpoint's permits.

    Rendezvous hashing: if a node joins or leaves, only its own endpoints get
    another decider.

    Args:
        endpoint: The endpoint's instance.
        nodes: Names of the nodes, at least one.
    """
    return max(nodes, key=lambda node: _rank(endpoint, node))


def _rank(endpoint: str, node: str) -> bytes:
    text = f"{endpoint}\0{node}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
