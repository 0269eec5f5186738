"""Observation of the exchange of facts between nodes."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.ports import peers


class ExchangeObserver(abc.ABC):
    """Is told what a node sends to its peers, and what it leaves out."""

    @abc.abstractmethod
    def fact_sent(self, kind: peers.FactKind, waited_s: float | None) -> None:
        """Records that a fact was sent.

        Args:
            kind: What the fact is about.
            waited_s: Seconds since this node learned it; None if this node
                had sent it before.
        """

    @abc.abstractmethod
    def fact_repeated(self, kind: peers.FactKind) -> None:
        """Records that a peer sent a fact that this node already held."""

    @abc.abstractmethod
    def message_limited(self) -> None:
        """Records that facts were left out of a message for want of room."""


class NullExchangeObserver(ExchangeObserver):
    """Records nothing."""

    def fact_sent(self, kind: peers.FactKind, waited_s: float | None) -> None:
        """Does nothing."""

    def fact_repeated(self, kind: peers.FactKind) -> None:
        """Does nothing."""

    def message_limited(self) -> None:
        """Does nothing."""
