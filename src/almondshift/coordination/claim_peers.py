"""Asks peers for claims that the store may have lost.

After the store has returned from an older copy, a missing row does not show
that a key is free. Before a node writes a claim in an era, each of its peers
has to reply: either that it has written all of its claims again, which counts
for the whole era, or whether it holds the claim in question.
"""

from __future__ import annotations

import abc
import asyncio
import enum


class HeldAnswer(enum.StrEnum):
    """A peer's reply to the question whether it holds the claim of a key.

    ``WRITTEN`` means that all of its claims are in the store in this era, and
    ``FREE`` that it does not hold this one and won't in an earlier era.
    """

    WRITTEN = "written"
    FREE = "free"
    HELD = "held"
    UNKNOWN = "unknown"


class ClaimPeers(abc.ABC):
    """The other nodes that may hold claims."""

    @abc.abstractmethod
    def names(self) -> list[str]:
        """Returns the names of all peers that may be alive."""

    @abc.abstractmethod
    async def ask_held(self, node: str, key: str, era: int) -> HeldAnswer:
        """Asks a peer; ``UNKNOWN`` if it can't be reached in time."""


class NoPeers(ClaimPeers):
    """For a node that is alone."""

    def names(self) -> list[str]:
        """Returns no names."""
        return []

    async def ask_held(self, node: str, key: str, era: int) -> HeldAnswer:
        """Returns ``UNKNOWN``."""
        return HeldAnswer.UNKNOWN


class HeldElsewhere:
    """What peers have replied in the newest era.

    Attributes:
        era: The newest era in which a claim was written.
        written: Peers whose claims are all in the store in that era.
    """

    def __init__(self, peers: ClaimPeers) -> None:
        self.peers = peers
        self.era = 0
        self.written: set[str] = set()

    async def find(
        self, key: str, era: int, asks_all: bool = False
    ) -> HeldAnswer:
        """Returns what is known of a key once all peers were asked.

        Args:
            key: The key of a claim.
            era: The store's era.
            asks_all: Whether to ask peers again that have replied
                ``WRITTEN``, as the row may have been overwritten by a late
                write of an earlier era.

        Returns:
            ``HELD`` or ``UNKNOWN`` if a peer replied so, else ``FREE``.
        """
        if era == 0:
            return HeldAnswer.FREE
        if era > self.era:
            self.era, self.written = era, set()
        names = self.peers.names()
        if not asks_all:
            names = [name for name in names if name not in self.written]
        answers = await asyncio.gather(
            *(self.peers.ask_held(name, key, era) for name in names)
        )
        if era == self.era:
            self.written |= {
                name
                for name, answer in zip(names, answers, strict=True)
                if answer is HeldAnswer.WRITTEN
            }
        for answer in (HeldAnswer.HELD, HeldAnswer.UNKNOWN):
            if answer in answers:
                return answer
        return HeldAnswer.FREE
