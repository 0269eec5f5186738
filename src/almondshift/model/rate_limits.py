"""Rate limits that endpoints name in their responses."""

from __future__ import annotations

import dataclasses
import enum


class CallPurpose(enum.StrEnum):
    """Why an endpoint is called."""

    REQUEST = "request"
    REPORT = "report"
    HEALTH_CHECK = "health_check"
    ORDER = "order"


@dataclasses.dataclass(frozen=True, slots=True)
class LimitNotice:
    """What a response says about the rate limit of its endpoint.

    Attributes:
        purpose: Purpose of the call.
        address: ``host:port`` of the endpoint.
        instance: The start of the endpoint that the call was meant for; empty
            if any may have responded.
        sent_at: Loop time at which the call was sent.
        per_s: Requests per second that the endpoint takes from all nodes
            together; None if the response names no usable limit.
        invalid: Text of an unusable limit; empty for none.
        is_genuine: Whether the endpoint marked the response as its own.
    """

    purpose: CallPurpose
    address: str
    instance: str
    sent_at: float
    per_s: float | None
    invalid: str = ""
    is_genuine: bool = False
