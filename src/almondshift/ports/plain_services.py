"""The interface to plain services, which use no engine."""

from __future__ import annotations

import abc
import dataclasses

import expression

from almondshift import errors

PlainError = (
    errors.EndpointUnreachable
    | errors.EndpointRefused
    | errors.EndpointOutcomeUnknown
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlainCall:
    """A call to a plain service.

    Attributes:
        path: Path and query below the service's root, with a leading slash.
        attempt: Id of this attempt, sent as ``X-Attempt-Id``.
        repeatable: Whether the transport may reuse a connection. A call that
            is not repeatable always goes over a new connection, since HTTP
            clients resend a request when a reused one turns out closed.
    """

    request_id: str
    attempt: str
    method: str
    path: str
    content_type: str
    body: bytes
    timeout_s: float
    repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PlainAnswer:
    """A complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(abc.ABC):
    """Connections to endpoints of plain services."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Makes calls possible."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes connections."""

    @abc.abstractmethod
    async def call(
        self, address: str, call: PlainCall
    ) -> expression.Result[PlainAnswer, PlainError]:
        """Sends a call once; never resends it or follows redirects."""
