"""What the other nodes have on an engine, judged from the own requests.

Load pattern: with many nodes each has a few requests in all. If a node takes
the others for like it engine by engine, one own request on an engine of 192
places stands for 76, and three for an engine that is full: a node of 76 would
refuse requests, or pass over whole chains, while most memory is free.

Here the own requests are pooled over all engines before they are taken for
every node: callers choose nodes at random, so a node's total is a fair sample
of all, and other nodes spread theirs over the engines that hold a layer. With
seven own requests the error is some 40%, of a load that is itself spread;
engine by engine it is over 100%.

Grounds: few nodes have enough requests on each engine to see which are full,
and keep counting engine by engine.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from almondshift.policy import engine_book

MANY_NODES = 16
"""Beyond this many nodes a node pools its requests."""


def question_gap(nodes: int) -> float:
    """Returns how many times longer a node of a group waits between questions.

    Each node asks by itself; without this a hundred nodes ask an engine a
    hundred times as often as one does, and to ask is much of their work.
    """
    return max(1.0, nodes / MANY_NODES)


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """An engine that takes work, and its layers.

    Attributes:
        speed: Steps it makes while a published one is made.
    """

    instance: str
    start: int
    end: int
    speed: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineShare:
    """What part of all requests an engine gets if they spread by speed.

    Attributes:
        running: Share of all requests that use it.
        first: Share of all requests that it is first for.
    """

    running: float
    first: float


NO_SHARE = EngineShare(0.0, 0.0)


def engine_shares(
    holdings: Iterable[Holding], layers: int
) -> dict[str, EngineShare]:
    """Returns the shares of a model's engines, by instance.

    Nodes choose fast engines until their load makes slower ones as good, so
    that requests spread about as speeds do. Taken for even, five chains of
    which two carry most would each seem to have a fifth, and the two would be
    filled beyond their memory.
    """
    known = list(holdings)
    speeds = [0.0] * layers
    for holding in known:
        for layer in range(holding.start, min(holding.end, layers)):
            speeds[layer] += holding.speed
    # Running totals: a holding then costs the same however many layers it has.
    totals = [0.0]
    for speed in speeds:
        totals.append(totals[-1] + (1.0 / speed if speed else 0.0))
    shares = {}
    for holding in known:
        end = min(holding.end, layers)
        held = end - holding.start
        if held <= 0:
            continue
        running = holding.speed * (totals[end] - totals[holding.start])
        running /= held
        first = holding.speed / speeds[0] if holding.start == 0 else 0.0
        shares[holding.instance] = EngineShare(running, first)
    return shares


def expected(
    own_here: float, own_total: float, share: float, nodes: int
) -> float:
    """Returns what all nodes together have on an engine.

    Args:
        own_here: What this node has there.
        own_total: What it has on all engines.
        share: The engine's share of all.
        nodes: All nodes, this one included.
    """
    if nodes <= MANY_NODES:
        return own_here * nodes
    return own_here + own_total * share * (nodes - 1)


MEMORY_S = 5.0
"""Over which a node's requests are averaged: about as long as they last."""


class UsualRequests:
    """The mean number of a node's requests over the last seconds.

    Each of many nodes has three requests at a time, give or take two: what it
    has at a moment says little of what all have.

    Attributes:
        mean: The mean.
        at: When it was last brought up to date; monotonic seconds.
    """

    def __init__(self) -> None:
        self.mean = 0.0
        self.at = -math.inf

    def note(self, requests: float, now: float) -> None:
        """Takes what the node has now."""
        kept = math.exp(-max(0.0, now - self.at) / MEMORY_S)
        self.mean += (1.0 - kept) * (requests - self.mean)
        self.at = now


class FleetLoad:
    """What all nodes together are believed to have on a service's engines.

    Attributes:
        own_tokens: This node's memory over all engines, in tokens.
        own_requests: This node's requests.
        usual: The mean of the requests, brought up to date.
    """

    def __init__(
        self,
        book: engine_book.EngineBook,
        shares: Mapping[str, EngineShare],
        layers: int,
        nodes: int,
        usual: UsualRequests,
        now: float,
    ) -> None:
        self.book = book
        self.shares = shares
        self.layers = layers
        self.nodes = nodes
        self.now = now
        states = [book.states[i] for i in shares if i in book.states]
        self.own_tokens = sum(s.layer_tokens for s in states) / layers
        self.own_requests = sum(s.first_running for s in states)
        self.usual = usual
        usual.note(self.own_requests, now)

    def own_share(self, instance: str, room: float) -> float:
        """Returns the own part of an engine's memory, for all nodes alike.

        Too coarse to tell whether an engine is full, but it sends a node's
        next request to engines that have none of it. By pooled loads alone
        like engines look alike, and all nodes would take the cheapest.
        """
        state = self.book.states.get(instance)
        return state.layer_tokens * self.nodes / room if state else 0.0

    def own_running(self, instance: str) -> float:
        """Returns the own requests that use an engine, for all nodes alike."""
        state = self.book.states.get(instance)
        return state.running * self.nodes if state else 0.0

    def running(self, instance: str) -> float:
        """Returns the requests that use an engine, by the usual own total."""
        state = self.book.states.get(instance)
        here = state.running if state else 0
        share = self._share(instance).running
        return expected(here, self.usual.mean, share, self.nodes)

    def first(self, instance: str) -> float:
        """Returns the requests that an engine is first for."""
        here = self.own_first(instance)
        share = self._share(instance).first
        return expected(here, self.own_requests, share, self.nodes)

    def first_soon(self, instance: str) -> float:
        """Returns the same once each node has sent one more request there.

        Nodes that start together, or learn of a loss together, choose at the
        same moment and don't see each other's choices yet. A node that counts
        only what it has sent takes the last places of the fastest engine for
        free, as do all the others.
        """
        if self.nodes <= MANY_NODES:
            return self.first(instance)
        here = self.own_first(instance)
        share = self._share(instance).first
        return expected(here + 1, self.own_requests + 1, share, self.nodes)

    def own_first(self, instance: str) -> int:
        """Returns the own requests that an engine is first for."""
        state = self.book.states.get(instance)
        return state.first_running if state else 0

    def used(self, instance: str, held: int) -> float:
        """Returns the memory in use, in tokens times layers.

        Args:
            instance: The engine.
            held: Layers that it holds.
        """
        state = self.book.states.get(instance)
        here = state.layer_tokens if state else 0.0
        share = self._share(instance).running * held
        estimate = expected(here, self.own_tokens, share, self.nodes)
        alike = self.nodes if self.nodes <= MANY_NODES else 1
        return self.book.used(instance, estimate, alike, self.now)

    def _share(self, instance: str) -> EngineShare:
        return self.shares.get(instance, NO_SHARE)
