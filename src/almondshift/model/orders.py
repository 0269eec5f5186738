"""Orders that the holder of the control lease sends to engines."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from almondshift.model import endpoints
    from almondshift.model import layers


class OrderStatus(enum.StrEnum):
    """How an engine responded to an order."""

    ACCEPTED = "accepted"
    STALE = "stale"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The role and layers that an engine should take on; idempotent.

    Attributes:
        fencing: Fencing token of the lease under which it was sent.
        role: The role to take.
        model: Model to hold, ``""`` to hold nothing.
        version: Version of the model.
        adapter: Adapter, or ``""``.
        layers: Layers to hold.
    """

    fencing: int
    role: endpoints.EndpointRole
    model: str
    version: int
    adapter: str
    layers: layers.LayerRange


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """An engine's response to an order.

    Attributes:
        highest: The highest fencing token that the engine has seen.
    """

    status: OrderStatus
    highest: int
