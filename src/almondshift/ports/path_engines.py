"""Endpoints that take complete requests; engines pass work along a path."""

from __future__ import annotations

import abc
import dataclasses
import enum
from typing import TYPE_CHECKING

from almondshift.model import not_run

if TYPE_CHECKING:
    from almondshift.model import endpoint_notices
    from almondshift.model import rate_limits
    from almondshift.model import relayed


class Ending(enum.Enum):
    """How a forwarded request ended.

    Attributes:
        WHOLE: The complete response was received.
        NOT_SENT: No connection was made, so nothing was sent.
        BROKEN: The connection failed before the end of the response.
        SPOILT: The response was invalid, over a limit or for another request.
    """

    WHOLE = "whole"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    SPOILT = "spoilt"


class OrderOutcome(enum.Enum):
    """The outcome of an order."""

    DONE = "done"
    BEGUN = "begun"
    CONFLICT = "conflict"
    NO_SUCH_REQUEST = "no_such_request"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """An engine's response to an order.

    Attributes:
        faulty_address: The engine at fault, if the response names one.
    """

    outcome: OrderOutcome
    faulty_address: str = ""


class AnswerListener(abc.ABC):
    """Receives the response to a forwarded request, in order."""

    @abc.abstractmethod
    def on_head(self, head: relayed.ForwardedHead) -> None:
        """Receives the head."""

    @abc.abstractmethod
    def on_data(self, data: bytes) -> None:
        """Receives a part of the body."""

    @abc.abstractmethod
    def on_end(self, ending: Ending, reason: str) -> None:
        """Receives the end; called once, unless the request was cancelled."""


class ForwardedRequest(abc.ABC):
    """A forwarded request that has not ended."""

    @property
    @abc.abstractmethod
    def earlier_calls(self) -> int | None:
        """Number of calls that its connection carried before.

        None while it has no connection.
        """

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stops it at the endpoint; the listener is not called any more."""


def evidence_of(
    ending: Ending, head: relayed.ForwardedHead | None
) -> not_run.NotRun | None:
    """Returns why a forwarded request did not run; None if it may have.

    A head whose body is incomplete or invalid is no evidence.
    """
    if ending is Ending.NOT_SENT:
        return not_run.NotRun.NO_CONNECTION
    if ending is Ending.WHOLE and head is not None:
        return head.evidence
    return None


class CallObserver(abc.ABC):
    """Observes all calls to endpoints."""

    @abc.abstractmethod
    def on_call(self, purpose: rate_limits.CallPurpose, address: str) -> None:
        """Handles a call that is about to be sent."""

    @abc.abstractmethod
    def on_response(self, address: str) -> None:
        """Handles the head of a response."""

    @abc.abstractmethod
    def on_limit(self, notice: rate_limits.LimitNotice) -> None:
        """Handles a response that names a limit, or answers a request."""

    @abc.abstractmethod
    def on_notice(self, notice: endpoint_notices.EndpointNotice) -> None:
        """Handles a response with a backoff or the notice of a shutdown."""


class IgnoringObserver(CallObserver):
    """Ignores all calls."""

    def on_call(self, purpose: rate_limits.CallPurpose, address: str) -> None:
        """Does nothing."""

    def on_response(self, address: str) -> None:
        """Does nothing."""

    def on_limit(self, notice: rate_limits.LimitNotice) -> None:
        """Does nothing."""

    def on_notice(self, notice: endpoint_notices.EndpointNotice) -> None:
        """Does nothing."""


class PathEngines(abc.ABC):
    """Calls to endpoints.

    Attributes:
        observer: Observes all calls.
    """

    observer: CallObserver = IgnoringObserver()

    @abc.abstractmethod
    def forward(
        self,
        request: relayed.RelayedRequest,
        forwarding: relayed.Forwarding,
        listener: AnswerListener,
    ) -> ForwardedRequest:
        """Sends a request; the listener is called after this returns."""

    @abc.abstractmethod
    async def report(
        self, address: str, timeout_s: float
    ) -> relayed.EngineReport | None:
        """Requests an engine's report; None if it does not respond in time."""

    @abc.abstractmethod
    async def is_healthy(
        self, address: str, health_path: str, timeout_s: float
    ) -> bool | None:
        """Calls an endpoint's health check.

        Returns:
            Whether it takes new work; None if it does not respond in time, or
            is too busy to tell.
        """

    @abc.abstractmethod
    async def is_listening(self, address: str, timeout_s: float) -> bool | None:
        """Opens a connection to an endpoint and closes it.

        Returns:
            Whether its host accepts connections at this port; None if it does
            not respond in time.
        """

    @abc.abstractmethod
    async def place(
        self,
        address: str,
        instance: str,
        start: int,
        end: int,
        expected_orders: int | None,
        timeout_s: float,
    ) -> OrderAnswer:
        """Orders an engine to hold layers ``start`` up to ``end``.

        Args:
            address: ``host:port``.
            instance: Only this start of the engine may carry out the order.
            start: First layer.
            end: The layer after the last.
            expected_orders: The engine refuses the order if it has accepted
                another number of orders; None for no such condition.
            timeout_s: Time without a response after which the outcome is
                unknown.
        """

    @abc.abstractmethod
    async def repath(
        self,
        request_id: str,
        path: relayed.Path,
        timeout_s: float,
    ) -> OrderAnswer:
        """Moves a running request to a path with the same first engine."""

    @abc.abstractmethod
    def forget(self, address: str) -> None:
        """Closes idle connections to an endpoint that is gone."""
