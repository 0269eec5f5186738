"""Callers' requests with the route and account that apply to them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import relayed
    from almondshift.model import routes


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with what the configuration determines about it.

    Attributes:
        account: Name of the client account; empty for none.
        priority: 0 is the most urgent.
        config_version: Version of the configuration that was applied.
        from_peer: Whether a peer passed the request on.
        possible_runs: Number of the route's ``max_attempts`` that are used, or
            that the peer keeps for itself and others.
    """

    request: relayed.RelayedRequest
    route: routes.Route
    service: str
    account: str
    priority: int
    config_version: int
    from_peer: bool = False
    possible_runs: int = 0

    @property
    def may_go_to_peer(self) -> bool:
        """Whether a peer may serve it.

        A mark that this node does not know may be that of a node with another
        secret, to which the request would come back.
        """
        return not self.from_peer and not self.request.peer_mark
