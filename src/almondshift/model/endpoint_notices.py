"""What endpoints say of themselves in any response."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What a response says about its endpoint.

    Attributes:
        address: ``host:port`` of the endpoint.
        instance: The start of the endpoint that the call was meant for; empty
            if any may have responded.
        backoff_s: Time for which it asks this node for no requests; 0 if it
            does not ask.
        is_leaving: Whether it says that it is shutting down.
    """

    address: str
    instance: str
    backoff_s: float = 0.0
    is_leaving: bool = False
