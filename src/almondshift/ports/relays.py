"""Between the front, which speaks to callers, and what serves them."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift import errors
    from almondshift.model import relayed
    from almondshift.model import routing_config


class Responder(abc.ABC):
    """Writes one answer to a caller.

    Attributes:
        head_sent: Whether the answer has begun.
        ended: Whether nothing more can be written.
    """

    head_sent: bool
    ended: bool

    @abc.abstractmethod
    def send_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Begins the answer."""

    @abc.abstractmethod
    def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""

    @abc.abstractmethod
    def send_whole(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Sends an answer whose body is known, from head to end."""

    @abc.abstractmethod
    def finish(self) -> None:
        """Ends the answer as whole."""

    @abc.abstractmethod
    def break_off(self) -> None:
        """Ends an answer so that it can't be taken for a whole one."""

    @abc.abstractmethod
    def fail(self, error: errors.AlmondshiftError) -> None:
        """Answers with an error; only before the answer has begun."""


class Relaying(abc.ABC):
    """A request that is being served."""

    @abc.abstractmethod
    def caller_gone(self) -> None:
        """Stops the work: nobody waits for the answer any more."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Ends the request, since the node stops before it has ended."""


class Relay(abc.ABC):
    """Serves requests."""

    @abc.abstractmethod
    def accept(
        self, request: relayed.RelayedRequest, responder: Responder
    ) -> Relaying:
        """Takes a request; the answer goes to ``responder``."""

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
