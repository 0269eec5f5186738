"""Links between the nodes of the system."""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import TYPE_CHECKING

import expression

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from almondshift import errors


class FactKind(enum.StrEnum):
    """What a fact is about; the value's form depends on it."""

    NODE = "node"
    CONFIG = "config"
    LEAVING = "leaving"
    QUARANTINE = "quarantine"
    ENGINE_LOAD = "engine_load"
    ACCOUNT_USE = "account_use"
    ENGINE_LOST = "engine_lost"
    NODE_SILENT = "node_silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Fact:
    """A piece of state that a node shares with its peers.

    Of two facts with the same kind and key, the one with the higher
    ``(version, origin)`` wins.

    Attributes:
        version: Increases with each change by the origin.
        origin: Node that published it.
        ttl_s: Seconds for which it is valid, counted from each receipt and
            reduced by the time that it was in transit.
        value: JSON text as bytes.
    """

    kind: FactKind
    key: str
    version: int
    origin: str
    ttl_s: float
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FactDigest:
    """Identifies a fact without its value."""

    kind: FactKind
    key: str
    version: int
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One side of a push-pull exchange.

    Attributes:
        digests: Digests of the facts that the sender holds (all or a part).
        facts: Facts that the sender believes the receiver lacks.
        wants: Digests of facts that the sender asks for.
    """

    sender: str
    secret: str
    digests: tuple[FactDigest, ...]
    facts: tuple[Fact, ...]
    wants: tuple[FactDigest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A direct question to a peer, e.g. about a claim that it made."""

    sender: str
    secret: str
    topic: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a question; ``known`` is false for an unknown topic."""

    known: bool
    body: bytes


PeerMessage = Exchange | Question | Answer


class PeerLink(abc.ABC):
    """Calls between nodes over TCP, one reply to each message.

    Attributes:
        address: ``host:port`` that peers reach it by, known after ``start``.
        secret: Shared secret of all nodes; it may be replaced at any time.
    """

    address: str
    secret: str

    @abc.abstractmethod
    async def start(
        self, handler: Callable[[PeerMessage], Awaitable[PeerMessage]]
    ) -> None:
        """Listens, and replies to messages with the result of ``handler``."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes the listener and all connections."""

    @abc.abstractmethod
    async def call(
        self, address: str, message: PeerMessage, timeout_s: float
    ) -> expression.Result[PeerMessage, errors.PeerUnreachable]:
        """Sends a message to ``host:port`` and waits for the reply."""
