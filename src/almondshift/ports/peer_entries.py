"""Requests that a node passes to a peer, which serves them like its own."""

from __future__ import annotations

import abc
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import relayed
    from almondshift.model import routes
    from almondshift.ports import path_engines


@dataclasses.dataclass(frozen=True, slots=True)
class PeerForwarding:
    """How a request is passed to a peer.

    Attributes:
        address: ``host:port`` at which the peer serves callers.
        remaining_s: Time left until the node ends the request.
        last_event_id: Event to resume after; empty to begin at the start.
        possible_runs: Number of the route's ``max_attempts`` that the peer may
            not use.
        limit: How often the peer may run the request, whatever its own
            configuration says of the route.
    """

    address: str
    remaining_s: float
    last_event_id: str
    possible_runs: int
    limit: routes.RunLimit


class PeerEntries(abc.ABC):
    """The entries of peers.

    Attributes:
        secret: Shared secret of the nodes; empty until it is known.
    """

    secret: str = ""

    @abc.abstractmethod
    def forward(
        self,
        request: relayed.RelayedRequest,
        forwarding: PeerForwarding,
        listener: path_engines.AnswerListener,
    ) -> path_engines.ForwardedRequest:
        """Passes a request to a peer; the listener receives its response.

        The response's ``not_run`` is set if the peer states that the request
        did not and will not run.
        """

    @abc.abstractmethod
    def possible_runs(self, request: relayed.RelayedRequest) -> int | None:
        """Returns ``possible_runs`` of a request that a peer passed on.

        None if the request comes from a caller, or claims wrongly to be a
        peer's.
        """

    @abc.abstractmethod
    def run_limit(
        self, request: relayed.RelayedRequest
    ) -> routes.RunLimit | None:
        """Returns the limit of a request that a peer passed on.

        None if the peer set none, as earlier releases do.
        """
