"""Events that the router handles. All times are monotonic seconds."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import chains
    from almondshift.model import endpoints
    from almondshift.model import fleet


class FailureReason(enum.StrEnum):
    """Reason why a stage of a chain failed.

    Attributes:
        REFUSED: The endpoint is full.
        NOT_SERVED: The endpoint drains, or no longer holds the layers.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    NOT_SERVED = "not_served"
    LEAVING = "leaving"
    TIMEOUT = "timeout"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request arrived.

    Attributes:
        prompt_tokens: Length of the prompt.
        max_tokens: Maximum tokens requested; 0 for a plain service.
        prefixes: Digests of the prompt's prefixes, longest first.
        deadline: Time at which the caller stops waiting.
    """

    at: float
    request_id: str
    account: str
    service: str
    priority: fleet.Priority
    prompt_tokens: int
    max_tokens: int
    deadline: float
    idempotent: bool
    prefixes: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """New tokens were generated for a request; ``tokens`` counts them."""

    at: float
    request_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """A request ended successfully."""

    at: float
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Abandoned:
    """A request ended early: caller gone, deadline passed, or given up."""

    at: float
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StageFailed:
    """A stage of a running request failed and needs a replacement.

    Attributes:
        index: Index of the stage in the chain in use.
        chain: The chain in use.
        positions: Number of positions that a replacement must replay.
    """

    at: float
    request_id: str
    chain: chains.Chain
    index: int
    reason: FailureReason
    positions: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallTimed:
    """A call to an endpoint was answered."""

    at: float
    endpoint: str
    seconds: float
    items: int
    tokens: int
    layers: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSeen:
    """An endpoint is in the VM list, or its description changed."""

    at: float
    vm: endpoints.Vm
    description: endpoints.EndpointDescription | None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointGone:
    """An endpoint left the VM list, or its VM is gone."""

    at: float
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLeaving:
    """An endpoint is leaving and must get no new work."""

    at: float
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report arrived, directly or through a peer."""

    at: float
    report: endpoints.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class CacheChanged:
    """Cache events of an engine arrived, perhaps with gaps."""

    at: float
    endpoint: str
    events: tuple[endpoints.CacheEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Requests in flight on a peer node, and its recent usage.

    Attributes:
        in_flight: Requests in flight by endpoint.
        account_tokens_per_s: Recent usage by account.
    """

    at: float
    node: str
    in_flight: dict[str, int]
    account_tokens_per_s: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerGone:
    """A peer node left or is no longer heard from."""

    at: float
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class FleetChanged:
    """A newer configuration is active."""

    at: float
    fleet: fleet.Fleet


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """An ejected endpoint answered a probe or failed to answer it."""

    at: float
    endpoint: str
    ok: bool
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent about every 20 ms while requests wait."""

    at: float


Event = (
    Arrival
    | Progress
    | Completed
    | Abandoned
    | StageFailed
    | CallTimed
    | EndpointSeen
    | EndpointGone
    | EndpointLeaving
    | LoadReported
    | CacheChanged
    | PeerLoad
    | PeerGone
    | FleetChanged
    | ProbeAnswered
    | Tick
)
