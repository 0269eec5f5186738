"""Interfaces between the front, which talks to callers, and the relay."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift import errors
    from almondshift.model import relayed
    from almondshift.model import routing_config


class Responder(abc.ABC):
    """Writes one response to a caller.

    Attributes:
        head_sent: Whether status and header fields have been sent.
        ended: Whether nothing more can be written.
    """

    head_sent: bool
    ended: bool

    @abc.abstractmethod
    def send_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Sends the status and the header fields."""

    @abc.abstractmethod
    def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""

    @abc.abstractmethod
    def send_whole(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Sends a complete response whose body is known."""

    @abc.abstractmethod
    def finish(self) -> None:
        """Ends the response as complete."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Aborts the response, so that it is not taken for a complete one."""

    @abc.abstractmethod
    def fail(self, error: errors.AlmondshiftError) -> None:
        """Responds with an error; only before the head has been sent."""


class ActiveRequest(abc.ABC):
    """A request that is being served."""

    @abc.abstractmethod
    def caller_gone(self) -> None:
        """Stops the work, since the caller has disconnected."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Aborts the request, since the node is stopping."""

    @abc.abstractmethod
    def shed(self) -> None:
        """Ends the request, since the node buffers too many bytes."""


class Relay(abc.ABC):
    """Serves requests."""

    @abc.abstractmethod
    def accept(
        self, request: relayed.RelayedRequest, responder: Responder
    ) -> ActiveRequest:
        """Accepts a request; the response goes to ``responder``."""

    @abc.abstractmethod
    def limits(self) -> routing_config.CallerLimits:
        """Returns what callers may send."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Returns whether callers should be sent here."""

    @abc.abstractmethod
    def addresses(self, zone: str) -> list[str]:
        """Returns where callers may connect.

        Args:
            zone: The caller's availability zone; empty if not known.
        """
