"""Decisions that the router returns."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import chains


class RefusalReason(enum.StrEnum):
    """Reason why a request is not served."""

    OVERLOADED = "overloaded"
    ACCOUNT_LIMITED = "account_limited"
    DEADLINE_PAST = "deadline_past"
    SERVICE_NOT_READY = "service_not_ready"
    UNKNOWN_SERVICE = "unknown_service"
    NO_REPLACEMENT = "no_replacement"
    RETRY_BUDGET = "retry_budget"
    MAX_RETRIES = "max_retries"


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Start the request along a chain now."""

    request_id: str
    chain: chains.Chain


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchPlain:
    """Send the request to this endpoint of a plain service now."""

    request_id: str
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class Replace:
    """Replace a failed stage with these stages, and replay into them."""

    request_id: str
    index: int
    replacement: tuple[chains.Stage, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryState:
    """What the refusal of a retry was decided from.

    Attributes:
        retries: Previous retries of the request.
        credit: Tokens left in the node's retry budget.
        waiting: Requests that wait for the same engines.
    """

    retries: int
    credit: float
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request now; a refusal is never delayed.

    Attributes:
        retry_after_s: Jittered Retry-After; None if a retry is pointless.
        retry_state: Set if the request was running and is not retried.
    """

    request_id: str
    reason: RefusalReason
    retry_after_s: float | None
    retry_state: RetryState | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Probe an ejected endpoint with a cheap call."""

    endpoint: str


Action = Dispatch | DispatchPlain | Replace | Refuse | Probe
