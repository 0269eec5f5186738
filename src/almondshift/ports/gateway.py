"""The interface of the node to the HTTP front that serves callers."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator
    from collections.abc import Callable

    import expression

    from almondshift import errors
    from almondshift.model import chains
    from almondshift.model import completions
    from almondshift.model import fleet
    from almondshift.ports import plain_services


@dataclasses.dataclass(frozen=True, slots=True)
class EntryAddress:
    """An address that callers may use."""

    address: str
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Entries:
    """Addresses, the best first.

    Attributes:
        hold_seconds: How long a caller should cache these addresses.
    """

    addresses: tuple[EntryAddress, ...]
    hold_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlainRequest:
    """A caller's call to a plain service.

    Attributes:
        path: Path and query below the service, with a leading slash.
        deadline: Monotonic time.
    """

    request_id: str
    account: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    deadline: float
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A request to be admitted.

    Attributes:
        tokens: Maximum number of tokens in its response; 0 for a call to a
            plain service.
        deadline: Monotonic time.
    """

    request_id: str
    service: str
    tokens: int
    deadline: float


class CompletionStream(abc.ABC):
    """The tokens of one completion."""

    @abc.abstractmethod
    def tokens(self) -> AsyncGenerator[int]:
        """Yields each token once, in order; closing it cancels the work.

        Raises:
            errors.AlmondshiftError: The completion can't continue.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Cancels the work; may be called more than once."""

    @abc.abstractmethod
    def execution(self) -> errors.Execution:
        """Returns what is known so far about whether any engine ran it."""

    @abc.abstractmethod
    def chain(self) -> chains.Chain | None:
        """Returns the chain in use; None for a stored response."""

    @abc.abstractmethod
    def summary(self) -> completions.CompletionSummary:
        """Returns the time spent in each stage, and the recoveries."""


class Gateway(abc.ABC):
    """The node, as callers see it."""

    @abc.abstractmethod
    def current_fleet(self) -> fleet.Fleet | None:
        """Returns the configuration in force; None before the first."""

    @abc.abstractmethod
    def account_of(self, key: str) -> fleet.Account | None:
        """Returns the client account of a bearer key."""

    @abc.abstractmethod
    def ready(self) -> bool:
        """Returns whether callers should be sent here."""

    @abc.abstractmethod
    def begin(
        self, admission: Admission, cut: Callable[[errors.NodeLeaving], None]
    ) -> expression.Result[None, errors.NodeLeaving]:
        """Admits a request, or refuses it while the node is shutting down.

        Args:
            admission: The request.
            cut: Called if the node stops before the request has ended.
        """

    @abc.abstractmethod
    def end(self, request_id: str) -> None:
        """Records that a request ended, whatever the outcome."""

    @abc.abstractmethod
    def entries(self, account: str) -> Entries:
        """Returns the addresses for an account (``""`` if not known)."""

    @abc.abstractmethod
    async def complete(
        self, request: completions.CompletionRequest
    ) -> expression.Result[CompletionStream, errors.AlmondshiftError]:
        """Starts a completion, or returns its stored response."""

    @abc.abstractmethod
    async def call_plain(
        self, request: PlainRequest
    ) -> expression.Result[plain_services.PlainAnswer, errors.AlmondshiftError]:
        """Calls a plain service, or returns its stored response."""
