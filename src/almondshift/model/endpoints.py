"""What is known about VMs and the endpoints on them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import layers


class VmState(enum.StrEnum):
    """State of a VM in the platform's list, which lags."""

    LIVE = "live"
    LEAVING = "leaving"


class EndpointKind(enum.StrEnum):
    """What an endpoint runs."""

    ENGINE = "engine"
    PLAIN = "plain"


class EndpointRole(enum.StrEnum):
    """What an engine was ordered to do."""

    IDLE = "idle"
    SERVING = "serving"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One row of the platform's list of VMs.

    Attributes:
        name: Unique name; also the name of its endpoint.
        address: ``host:port`` of the endpoint.
        zone: Availability zone.
        kind: What it runs.
        service: For plain services, the service's name, else ``""``.
        state: Whether it is leaving.
    """

    name: str
    address: str
    zone: str
    kind: EndpointKind
    service: str
    state: VmState


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """What an engine has loaded, or is loading, as it says itself."""

    model: str
    version: int
    adapter: str
    layers: layers.LayerRange
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointDescription:
    """What an engine says of itself; constant while it runs.

    Attributes:
        instance: Random id, new at each start of the engine.
        accelerator: Kind of accelerator.
        layer_capacity: Layers that fit in its memory.
        fixed_s: Time of one batch beside what its items cost.
        per_layer_token_s: Time of one token through one layer.
        max_batch: Items in a batch.
        max_sessions: Sessions its KV memory holds.
    """

    name: str
    instance: str
    accelerator: str
    layer_capacity: int
    fixed_s: float
    per_layer_token_s: float
    max_batch: int
    max_sessions: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's own report, ``age_s`` old when it was received."""

    endpoint: str
    instance: str
    role: EndpointRole
    leaving: bool
    holdings: tuple[Holding, ...]
    sessions: int
    queued_items: int
    order_number: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of an engine's prefix cache.

    Attributes:
        sequence: Grows by one; a gap means that events were lost.
        prefix: xxh64 digest of the cached prefix.
        added: True if cached, false if evicted.
    """

    sequence: int
    prefix: int
    added: bool
