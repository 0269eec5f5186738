"""What is known about VMs and the endpoints on them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import layers


class VmState(enum.StrEnum):
    """State of a VM in the platform's list, which may be stale."""

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
        state: Whether it is being shut down.
    """

    name: str
    address: str
    zone: str
    kind: EndpointKind
    service: str
    state: VmState


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Layers that an engine reports as loaded or, unless ``ready``, loading."""

    model: str
    version: int
    adapter: str
    layers: layers.LayerRange
    ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointDescription:
    """An engine's description of itself; constant while it runs.

    Attributes:
        instance: Random id, new at each start of the engine.
        accelerator: Kind of accelerator.
        layer_capacity: Layers that fit in its memory.
        fixed_s: Time of one batch in addition to that of its items.
        per_layer_token_s: Time of one token through one layer.
        max_batch: Maximum number of items in a batch.
        max_sessions: Maximum number of sessions in its KV cache.
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
    """An engine's report on its load, ``age_s`` old when it was received.

    Attributes:
        order_number: Fencing token of the order last accepted.
    """

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
        sequence: Increases by one; a gap means that events were lost.
        prefix: xxh64 digest of the cached prefix.
        added: True if cached, false if evicted.
    """

    sequence: int
    prefix: int
    added: bool
